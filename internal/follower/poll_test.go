package follower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold"
)

// Guards against one read of the log per record, whose headers cost more than the records, and against
// proposals that wait until the delay between reads is over.
func TestReadsAreSpaced(t *testing.T) {
	runFleet(t, func(f *fleet) {
		c := f.start("a", "zone-00", false)
		advance(3 * time.Second)
		start := time.Now()
		f.join(c)
		f.publish(c)
		assert.Assert(t, time.Since(start) < pollInterval, "two proposals took %s", time.Since(start))
		const perSecond, seconds = 40, 10
		readsBefore := c.log.reads.Load()
		for range perSecond * seconds {
			_, err := f.log.Append(f.ctx, &v1.AppendRequest{Stream: fold.FleetStream, Records: [][]byte{encodeHeartbeat(t)}})
			assert.NilError(t, err)
			advance(time.Second / perSecond)
		}
		reads := c.log.reads.Load() - readsBefore
		assert.Assert(t, reads <= int64(seconds*time.Second/pollInterval)+1, "%d reads", reads)
		advance(pollInterval)
		assert.Equal(t, c.Offset(), int64(2+perSecond*seconds))
	})
}

func encodeHeartbeat(t *testing.T) []byte {
	data, err := fold.EncodeRecord(&v1.Record{
		Schema: fold.Schema, Proposer: "g", Incarnation: "1", Seq: 1,
		Payload: &v1.Record_Heartbeat{Heartbeat: &v1.Heartbeat{}},
	})
	assert.NilError(t, err)
	return data
}

// Guards against asking all peers each second while none of them reaches the log, which costs more than all
// other traffic at 45 controllers, and against controllers that don't find the first one that reaches it
// again.
func TestOutageAsksFewPeers(t *testing.T) {
	runFleet(t, func(f *fleet) {
		const count = 24
		controllers := make([]*controller, count)
		for i := range controllers {
			controllers[i] = f.newController(string(rune('a'+i)), "zone-00", false)
		}
		connectPeers(controllers)
		for _, c := range controllers {
			f.runController(c)
		}
		advance(3 * time.Second)
		for _, c := range controllers {
			c.log.setCut(true)
		}
		advance(20 * time.Second)
		askedBefore := controllers[0].statusCalls.Load()
		const seconds = 20
		advance(seconds * time.Second)
		// Each controller asks two others per second, so each is asked twice per second on average.
		asked := controllers[0].statusCalls.Load() - askedBefore
		assert.Assert(t, asked < seconds*count/3, "asked %d times", asked)

		controllers[count-1].log.setCut(false)
		f.join(controllers[count-1])
		const convergenceTime = 17 * time.Second
		advance(convergenceTime)
		for i, c := range controllers {
			assert.Equal(t, c.Offset(), int64(1), "controller %d", i)
		}
	})
}

// connectPeers makes all controllers peers of each other. They must not run yet.
func connectPeers(controllers []*controller) {
	for _, c := range controllers {
		for i, p := range controllers {
			if p != c {
				c.peers = append(c.peers, &peer{Peer{Name: string(rune('a' + i)), Zone: p.cfg.Zone, Client: p.peerLink}})
			}
		}
	}
}

// Guards against controllers that start while the log is down, and ask each other for a state without a pause although
// none of them has one.
func TestStartDuringOutageAsksWithPauses(t *testing.T) {
	runFleet(t, func(f *fleet) {
		const seconds, maxCalls = 10, 200
		controllers := make([]*controller, 3)
		for i := range controllers {
			controllers[i] = f.newController(string(rune('a'+i)), "zone-00", true)
			controllers[i].maxStatusCalls = maxCalls
		}
		connectPeers(controllers)
		for _, c := range controllers {
			f.runController(c)
		}
		advance(seconds * time.Second)
		for _, c := range controllers {
			assert.Assert(t, c.statusCalls.Load() < maxCalls, "asked %d times", c.statusCalls.Load())
		}
	})
}
