package follower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold"
)

// Guards against a read of the log for each record, whose headers cost more than the records, and
// against proposals that wait for the next spaced read.
func TestReadsAreSpaced(t *testing.T) {
	run(t, func(f *fleet) {
		c := f.start("a", "zone-00", false)
		pass(3 * time.Second)
		start := time.Now()
		f.join(c)
		f.publish(c)
		assert.Assert(t, time.Since(start) < pollInterval, "two proposals took %s", time.Since(start))
		const perSecond, seconds = 40, 10
		before := c.log.reads.Load()
		for range perSecond * seconds {
			_, err := f.log.Append(f.ctx, &v1.AppendRequest{Stream: fold.FleetStream, Records: [][]byte{heartbeat(t)}})
			assert.NilError(t, err)
			pass(time.Second / perSecond)
		}
		reads := c.log.reads.Load() - before
		assert.Assert(t, reads <= int64(seconds*time.Second/pollInterval)+1, "%d reads", reads)
		pass(pollInterval)
		assert.Equal(t, c.Offset(), int64(2+perSecond*seconds))
	})
}

func heartbeat(t *testing.T) []byte {
	raw, err := fold.EncodeRecord(&v1.Record{
		Schema: fold.Schema, Proposer: "g", Incarnation: "1", Seq: 1,
		Payload: &v1.Record_Heartbeat{Heartbeat: &v1.Heartbeat{}},
	})
	assert.NilError(t, err)
	return raw
}

// Guards against asking all peers each second while none reaches the log, which costs more than
// everything else at 45 controllers, and against controllers that then don't hear of the one that
// reaches it again.
func TestOutageAsksFewPeers(t *testing.T) {
	run(t, func(f *fleet) {
		const count = 24
		controllers := make([]*controller, count)
		for i := range controllers {
			controllers[i] = f.make(string(rune('a'+i)), "zone-00", false)
		}
		connect(controllers)
		for _, c := range controllers {
			f.run(c)
		}
		pass(3 * time.Second)
		for _, c := range controllers {
			c.log.setCut(true)
		}
		pass(20 * time.Second)
		before := controllers[0].asked.Load()
		const seconds = 20
		pass(seconds * time.Second)
		// A peer asks two others each second, so that each is asked twice on average.
		asked := controllers[0].asked.Load() - before
		assert.Assert(t, asked < seconds*count/3, "asked %d times", asked)

		controllers[count-1].log.setCut(false)
		f.join(controllers[count-1])
		const inForce = 17 * time.Second
		pass(inForce)
		for i, c := range controllers {
			assert.Equal(t, c.Offset(), int64(1), "controller %d", i)
		}
	})
}

// connect makes controllers know each other before they run.
func connect(controllers []*controller) {
	for _, c := range controllers {
		for i, p := range controllers {
			if p != c {
				c.peers = append(c.peers, &peer{Peer{Name: string(rune('a' + i)), Zone: p.cfg.Zone, Client: p.link}})
			}
		}
	}
}
