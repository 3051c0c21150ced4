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

// Guards against a proposal that takes effect twice, or whose reported outcome differs from that in the log,
// when outages, delays, lost requests and lost responses of the log coincide.
func TestOutcomesUnderFaults(t *testing.T) {
	const writers, publicationsPerWriter = 3, 8
	for seed := range uint64(20) {
		runFleet(t, func(f *fleet) {
			rng := rand.New(rand.NewPCG(seed, 1))
			var controllers []*controller
			for i := range writers {
				c := f.start(string(rune('a'+i)), "zone-00", false, controllers...)
				advance(time.Second)
				f.join(c)
				controllers = append(controllers, c)
			}
			f.log.SetRate(5)
			var publishers sync.WaitGroup
			for _, c := range controllers {
				publishers.Go(func() {
					for range publicationsPerWriter {
						f.publish(c)
					}
				})
			}
			for range 40 {
				f.log.UpdateFaults(func(faults *logsvc.Faults) {
					faults.Outage = rng.IntN(3) == 0
					faults.LoseResponses, faults.LoseRequests = rng.IntN(3), rng.IntN(2)
					faults.Delay = time.Duration(rng.IntN(7000)) * time.Millisecond
				})
				advance(time.Duration(rng.IntN(3000)) * time.Millisecond)
			}
			f.log.UpdateFaults(func(faults *logsvc.Faults) { *faults = logsvc.Faults{} })
			publishers.Wait()
			advance(time.Minute)
			for _, c := range controllers {
				c.Read(func(state *fold.State) {
					assert.Equal(t, state.Version(), uint64(writers*publicationsPerWriter), "seed %d", seed)
				})
				assert.Equal(t, c.hash(), controllers[0].hash(), "seed %d", seed)
				assert.Assert(t, c.Err() == nil, "seed %d: %v", seed, c.Err())
			}
		})
	}
}

// Guards against a controller that stops following while it can't reach the log, and against one that keeps
// a peer as its source although that peer is cut off from the log as well.
func TestRelayWhileLogIsUnreachable(t *testing.T) {
	runFleet(t, func(f *fleet) {
		sameZone := f.start("near", "zone-01", false)
		otherZone := f.start("far", "zone-02", false)
		c := f.start("c", "zone-01", false, otherZone, sameZone)
		advance(time.Second)
		f.join(sameZone)
		c.log.setCut(true)
		advance(20 * time.Second)
		f.publish(sameZone)
		advance(3 * time.Second)
		assert.Equal(t, c.hash(), sameZone.hash())
		assert.Equal(t, otherZone.tailCalls.Load(), int64(0), "records were pulled from another zone although a peer of the same zone has them")
		assert.Equal(t, c.Err().Kind, fault.LogUnavailable)
		age, known := c.Freshness()
		assert.Assert(t, known && age < 6*time.Second, "age %s", age)

		sameZone.log.setCut(true)
		advance(30 * time.Second)
		f.join(otherZone)
		advance(5 * time.Second)
		assert.Equal(t, c.hash(), otherZone.hash())

		otherZone.setCut(true)
		sameZone.setCut(true)
		advance(time.Minute)
		age, _ = c.Freshness()
		assert.Assert(t, age >= time.Minute, "age %s", age)
		c.log.setCut(false)
		advance(10 * time.Second)
		age, _ = c.Freshness()
		// The last poll to end started at most two long polls ago.
		assert.Assert(t, age <= 2*longPollWait && c.Err() == nil, "age %s", age)
	})
}

// Guards against a follower that folds further records after a corrupt record, a record of an unsupported
// schema or a state hash that differs from a peer's, and against one that loses its last state when it stops.
func TestStopsOnUntrustedState(t *testing.T) {
	unsupported, err := proto.Marshal(&v1.Record{Schema: fold.Schema + 1})
	assert.NilError(t, err)
	triggers := map[fault.Kind]func(*fleet, *controller){
		fault.RecordCorrupt: func(f *fleet, c *controller) {
			f.log.UpdateFaults(func(faults *logsvc.Faults) { faults.TruncateRecords = 1 })
			ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
			defer cancel()
			_, err := c.proposer.Propose(ctx, &v1.Record{Payload: &v1.Record_Heartbeat{Heartbeat: &v1.Heartbeat{}}})
			assert.Equal(f.t, fault.KindOf(err), fault.AppendUnsettled)
		},
		fault.SchemaUnsupported: func(f *fleet, _ *controller) {
			_, err := f.log.Append(f.ctx, &v1.AppendRequest{Stream: fold.FleetStream, Records: [][]byte{unsupported}})
			assert.NilError(f.t, err)
		},
		fault.StateDiverged: func(f *fleet, c *controller) { c.log.setCut(true) },
	}
	for kind, triggerError := range triggers {
		runFleet(t, func(f *fleet) {
			peer := f.start("peer", "zone-00", false)
			advance(time.Second)
			f.join(peer)
			peer.wrongHash.Store(true)
			c := f.start("c", "zone-00", false, peer)
			advance(10 * time.Second)
			assert.Assert(t, c.Ready())
			hashBefore, offsetBefore := c.hash(), c.Offset()
			triggerError(f, c)
			advance(20 * time.Second)
			assert.Equal(t, c.Follower.Status().GetFollowerError(), string(kind))
			assert.Equal(t, c.hash(), hashBefore)
			_, err := f.log.Append(f.ctx, &v1.AppendRequest{Stream: fold.FleetStream, Records: f.log.Records(fold.FleetStream)[:1]})
			assert.NilError(t, err)
			advance(20 * time.Second)
			assert.Equal(t, c.Offset(), offsetBefore)
		})
	}
}

// Guards against a follower that skips records which the log has trimmed, and against one that stays in
// log_gap although a peer has a newer state.
func TestTrimmedTail(t *testing.T) {
	runFleet(t, func(f *fleet) {
		c := f.start("c", "zone-00", false)
		advance(10 * time.Second)
		f.join(c)
		c.log.setCut(true)
		peer := f.start("peer", "zone-00", false)
		advance(time.Second)
		f.join(peer)
		f.publish(peer)
		f.publish(peer)
		f.log.Trim(fold.FleetStream, 2)
		late := f.start("late", "zone-00", false, c)
		c.log.setCut(false)
		advance(20 * time.Second)
		assert.Equal(t, c.Err().Kind, fault.LogGap)
		assert.Equal(t, c.Offset(), int64(1))
		assert.Assert(t, !late.Ready(), "controller is ready with a state older than the oldest record in the log")

		recovered := f.start("healed", "zone-00", false, c, peer)
		advance(20 * time.Second)
		assert.Equal(t, recovered.hash(), peer.hash())
		assert.Assert(t, recovered.Ready() && recovered.Err() == nil)
	})
}

// Guards against a restarted controller that serves a state older than that of its peers or the head of the
// log.
func TestReadiness(t *testing.T) {
	runFleet(t, func(f *fleet) {
		alone := f.start("alone", "zone-00", true)
		advance(time.Minute)
		assert.Assert(t, !alone.Ready(), "controller is ready without the log and without peers")
		alone.log.setCut(false)
		advance(20 * time.Second)
		assert.Assert(t, alone.Ready(), "controller without peers isn't ready at the head of the log")
		f.join(alone)
		f.publish(alone)

		f.log.UpdateFaults(func(faults *logsvc.Faults) { faults.Outage = true })
		advance(20 * time.Second)
		second := f.start("second", "zone-01", true, alone)
		advance(20 * time.Second)
		assert.Assert(t, second.Ready(), "controller isn't ready with the state of a peer while the log is down")
		assert.Equal(t, second.hash(), alone.hash())

		// The peer reports its offset and is cut off before its state can be fetched.
		second.failFetchState.Store(true)
		starting := f.start("starting", "zone-01", true, second)
		advance(time.Second)
		second.setCut(true)
		f.log.UpdateFaults(func(faults *logsvc.Faults) { faults.Outage = false })
		laggingLog := logsvc.New()
		raw := f.log.Records(fold.FleetStream)
		_, err := laggingLog.Append(f.ctx, &v1.AppendRequest{Stream: fold.FleetStream, Records: raw[:1]})
		assert.NilError(t, err)
		starting.log.mu.Lock()
		starting.log.Log, starting.log.cut = laggingLog, false
		starting.log.mu.Unlock()
		advance(time.Minute)
		assert.Equal(t, starting.Offset(), int64(1))
		assert.Assert(t, !starting.Ready(), "controller is ready with a state older than its peer's")
		_, err = laggingLog.Append(f.ctx, &v1.AppendRequest{Stream: fold.FleetStream, Records: raw[1:]})
		assert.NilError(t, err)
		advance(time.Minute)
		assert.Assert(t, starting.Ready())
	})
}

// Guards against a start that fails on trimmed records although a snapshot covers them, against loading a
// damaged snapshot, and against the same snapshot being written by every controller.
func TestSnapshots(t *testing.T) {
	runFleet(t, func(f *fleet) {
		var writers []*controller
		for _, name := range []string{"a", "b", "c"} {
			c := f.start(name, "zone-00", false, writers...)
			advance(10 * time.Second)
			f.join(c)
			writers = append(writers, c)
		}
		for i, name := range []string{"a", "b", "c"} {
			loop := &snapshot.Loop{Name: name, Incarnation: "1", State: writers[i].Follower, Log: f.log, Logger: writers[i].cfg.Logger}
			go func() { _ = loop.Run(f.ctx) }()
		}
		advance(time.Hour + time.Minute)
		f.publish(writers[0])
		snapshotChunks := f.log.Head(fold.SnapshotStream)
		assert.Equal(t, snapshotChunks, int64(2), "want one chunk with data and one without")
		f.log.UpdateFaults(func(faults *logsvc.Faults) { faults.TruncateRecords = 1 })
		advance(time.Hour + time.Minute)
		assert.Equal(t, f.log.Head(fold.SnapshotStream), 2*snapshotChunks)

		f.log.Trim(fold.FleetStream, 3)
		late := f.start("late", "zone-01", false)
		advance(20 * time.Second)
		assert.Assert(t, late.Ready())
		assert.Equal(t, late.hash(), writers[0].hash())
	})
}
