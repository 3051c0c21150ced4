package follower

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/snapshot"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/standin/logsvc"
)

// Guards against a proposal that takes effect twice, or that is reported with another outcome than
// the one on the log, under outages, lost requests and lost answers together.
func TestOutcomesUnderFaults(t *testing.T) {
	const writers, publications = 3, 8
	for seed := range uint64(20) {
		run(t, func(f *fleet) {
			random := rand.New(rand.NewPCG(seed, 1))
			var controllers []*controller
			for i := range writers {
				c := f.start(string(rune('a'+i)), "zone-00", false, controllers...)
				pass(time.Second)
				f.join(c)
				controllers = append(controllers, c)
			}
			f.log.SetRate(5)
			var group sync.WaitGroup
			for _, c := range controllers {
				group.Go(func() {
					for range publications {
						f.publish(c)
					}
				})
			}
			for range 40 {
				f.log.UpdateFaults(func(faults *logsvc.Faults) {
					faults.Outage = random.IntN(3) == 0
					faults.LoseResponses, faults.LoseRequests = random.IntN(3), random.IntN(2)
					faults.Delay = time.Duration(random.IntN(7000)) * time.Millisecond
				})
				pass(time.Duration(random.IntN(3000)) * time.Millisecond)
			}
			f.log.UpdateFaults(func(faults *logsvc.Faults) { *faults = logsvc.Faults{} })
			group.Wait()
			pass(time.Minute)
			for _, c := range controllers {
				c.Read(func(state *fold.State) {
					assert.Equal(t, state.Version(), uint64(writers*publications), "seed %d", seed)
				})
				assert.Equal(t, c.hash(), controllers[0].hash(), "seed %d", seed)
				assert.Assert(t, c.Err() == nil, "seed %d: %v", seed, c.Err())
			}
		})
	}
}

// Guards against a zone that stops following while the log can't be reached, and against relaying
// from a peer that is cut off as well.
func TestRelay(t *testing.T) {
	run(t, func(f *fleet) {
		near := f.start("near", "zone-01", false)
		far := f.start("far", "zone-02", false)
		c := f.start("c", "zone-01", false, far, near)
		pass(time.Second)
		f.join(near)
		c.log.setCut(true)
		pass(20 * time.Second)
		f.publish(near)
		pass(3 * time.Second)
		assert.Equal(t, c.hash(), near.hash())
		assert.Equal(t, far.tails.Load(), int64(0), "the peer of the own zone comes first")
		assert.Equal(t, c.Err().Kind, fault.LogUnavailable)
		age, known := c.Freshness()
		assert.Assert(t, known && age < 6*time.Second, "age %s", age)

		near.log.setCut(true)
		pass(30 * time.Second)
		f.join(far)
		pass(5 * time.Second)
		assert.Equal(t, c.hash(), far.hash())

		far.setCut(true)
		near.setCut(true)
		pass(time.Minute)
		age, _ = c.Freshness()
		assert.Assert(t, age >= time.Minute, "age %s", age)
		c.log.setCut(false)
		pass(10 * time.Second)
		age, _ = c.Freshness()
		// One poll has ended and the next one runs.
		assert.Assert(t, age <= 2*pollWait && c.Err() == nil, "age %s", age)
	})
}

// Guards against a follower that goes on with a state that can't be trusted, and against one that
// drops its last state when it stops.
func TestStops(t *testing.T) {
	newer, err := proto.Marshal(&v1.Record{Schema: fold.Schema + 1})
	assert.NilError(t, err)
	cases := map[fault.Kind]func(*fleet, *controller){
		fault.RecordCorrupt: func(f *fleet, c *controller) {
			f.log.UpdateFaults(func(faults *logsvc.Faults) { faults.TruncateRecords = 1 })
			ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
			defer cancel()
			_, err := c.proposer.Propose(ctx, &v1.Record{Payload: &v1.Record_Heartbeat{Heartbeat: &v1.Heartbeat{}}})
			assert.Equal(f.t, fault.KindOf(err), fault.AppendUnsettled)
		},
		fault.SchemaUnsupported: func(f *fleet, _ *controller) {
			_, err := f.log.Append(f.ctx, &v1.AppendRequest{Stream: fold.FleetStream, Records: [][]byte{newer}})
			assert.NilError(f.t, err)
		},
		fault.StateDiverged: func(f *fleet, c *controller) { c.log.setCut(true) },
	}
	for kind, cause := range cases {
		run(t, func(f *fleet) {
			peer := f.start("peer", "zone-00", false)
			pass(time.Second)
			f.join(peer)
			peer.wrongHash.Store(true)
			c := f.start("c", "zone-00", false, peer)
			pass(10 * time.Second)
			assert.Assert(t, c.Ready())
			before, offset := c.hash(), c.Offset()
			cause(f, c)
			pass(20 * time.Second)
			assert.Equal(t, c.Follower.Status().GetFollowerError(), string(kind))
			assert.Equal(t, c.hash(), before)
			_, err := f.log.Append(f.ctx, &v1.AppendRequest{Stream: fold.FleetStream, Records: f.log.Records(fold.FleetStream)[:1]})
			assert.NilError(t, err)
			pass(20 * time.Second)
			assert.Equal(t, c.Offset(), offset)
		})
	}
}

// Guards against a follower that guesses over trimmed records, and against a log_gap that stays
// after a peer could fill it.
func TestTrimmedTail(t *testing.T) {
	run(t, func(f *fleet) {
		c := f.start("c", "zone-00", false)
		pass(10 * time.Second)
		f.join(c)
		c.log.setCut(true)
		peer := f.start("peer", "zone-00", false)
		pass(time.Second)
		f.join(peer)
		f.publish(peer)
		f.publish(peer)
		f.log.Trim(fold.FleetStream, 2)
		late := f.start("late", "zone-00", false, c)
		c.log.setCut(false)
		pass(20 * time.Second)
		assert.Equal(t, c.Err().Kind, fault.LogGap)
		assert.Equal(t, c.Offset(), int64(1))
		assert.Assert(t, !late.Ready(), "a state older than the log's oldest record")

		healed := f.start("healed", "zone-00", false, c, peer)
		pass(20 * time.Second)
		assert.Equal(t, healed.hash(), peer.hash())
		assert.Assert(t, healed.Ready() && healed.Err() == nil)
	})
}

// Guards against a restarted controller that serves a state older than one that its peers have.
func TestReadiness(t *testing.T) {
	run(t, func(f *fleet) {
		alone := f.start("alone", "zone-00", true)
		pass(time.Minute)
		assert.Assert(t, !alone.Ready(), "neither log nor peers")
		alone.log.setCut(false)
		pass(20 * time.Second)
		assert.Assert(t, alone.Ready(), "the log's head suffices")
		f.join(alone)
		f.publish(alone)

		f.log.UpdateFaults(func(faults *logsvc.Faults) { faults.Outage = true })
		pass(20 * time.Second)
		second := f.start("second", "zone-01", true, alone)
		pass(20 * time.Second)
		assert.Assert(t, second.Ready(), "from a peer alone")
		assert.Equal(t, second.hash(), alone.hash())

		// The peer tells its offset, but its state can't be fetched before it is cut off.
		second.noState.Store(true)
		starting := f.start("starting", "zone-01", true, second)
		pass(time.Second)
		second.setCut(true)
		f.log.UpdateFaults(func(faults *logsvc.Faults) { faults.Outage = false })
		lagging := logsvc.New()
		raw := f.log.Records(fold.FleetStream)
		_, err := lagging.Append(f.ctx, &v1.AppendRequest{Stream: fold.FleetStream, Records: raw[:1]})
		assert.NilError(t, err)
		starting.log.mu.Lock()
		starting.log.Log, starting.log.cut = lagging, false
		starting.log.mu.Unlock()
		pass(time.Minute)
		assert.Equal(t, starting.Offset(), int64(1))
		assert.Assert(t, !starting.Ready(), "older than its peer")
		_, err = lagging.Append(f.ctx, &v1.AppendRequest{Stream: fold.FleetStream, Records: raw[1:]})
		assert.NilError(t, err)
		pass(time.Minute)
		assert.Assert(t, starting.Ready())
	})
}

// Guards against a start that needs trimmed records although a snapshot covers them, against a
// damaged snapshot that is used, and against every controller writing the same snapshot.
func TestSnapshots(t *testing.T) {
	run(t, func(f *fleet) {
		var writers []*controller
		for _, name := range []string{"a", "b", "c"} {
			c := f.start(name, "zone-00", false, writers...)
			pass(10 * time.Second)
			f.join(c)
			writers = append(writers, c)
		}
		for i, name := range []string{"a", "b", "c"} {
			loop := &snapshot.Loop{Name: name, Incarnation: "1", State: writers[i].Follower, Log: f.log, Logger: writers[i].cfg.Logger}
			go func() { _ = loop.Run(f.ctx) }()
		}
		pass(time.Hour + time.Minute)
		f.publish(writers[0])
		written := f.log.Head(fold.SnapshotStream)
		assert.Equal(t, written, int64(2), "one chunk and the one without data")
		f.log.UpdateFaults(func(faults *logsvc.Faults) { faults.TruncateRecords = 1 })
		pass(time.Hour + time.Minute)
		assert.Equal(t, f.log.Head(fold.SnapshotStream), 2*written)

		f.log.Trim(fold.FleetStream, 3)
		late := f.start("late", "zone-01", false)
		pass(20 * time.Second)
		assert.Assert(t, late.Ready())
		assert.Equal(t, late.hash(), writers[0].hash())
	})
}
