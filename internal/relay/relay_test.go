package relay

import (
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"turmericyoke/internal/infra"
)

// Guards against calls or outcomes that change on their way through a relay.
func TestOutcomesOfRelayedCalls(t *testing.T) {
	inFixture(t, func(t *testing.T, f *fixture) {
		relay := f.addRelay("r1", "z")
		f.run()
		clock, err := f.router.Start(t.Context(), testWorker(1), infra.StartOrder{Item: testItem, Run: 4, Token: 5, LeaseEndMs: 99})
		assert.NilError(t, err)
		assert.Equal(t, clock, int64(99))
		clock, err = f.router.Stop(t.Context(), testWorker(1), testItem, 4, 5)
		assert.NilError(t, err)
		assert.Equal(t, clock, int64(5))
		clock, err = f.router.SetPace(t.Context(), testWorker(1), testItem, 4, 30, 5)
		assert.NilError(t, err)
		assert.Equal(t, clock, int64(30))
		report, err := f.router.RenewLease(t.Context(), testWorker(1), infra.LeaseRenewal{Token: 5, LeaseEndMs: 77, AckedEnd: 2, Wait: time.Second})
		assert.NilError(t, err)
		want, err := f.newWorkers().RenewLease(t.Context(), testWorker(1), infra.LeaseRenewal{LeaseEndMs: 77})
		assert.NilError(t, err)
		assert.DeepEqual(t, report, want)
		assert.Check(t, is.Len(relay.workers.calls(), 4))
		for _, kind := range []infra.ErrorKind{infra.Superseded, infra.NoCapacity, infra.Unavailable, infra.WorkerReplaced, infra.LeaseExpired, infra.NotGranted, infra.Fenced} {
			relay.workers.err = &infra.Error{Kind: kind, Op: "start"}
			assertKind(t, f.start(1, 4), kind)
		}
		assert.Check(t, is.Len(f.direct.calls(), 0))
	})
}

// Guards against orders that a relay sends long after it was frozen, when the scheduling process has given them up and
// may not act any more, and against calls that wait for the relay meanwhile.
func TestFrozenRelaySendsNoOldOrders(t *testing.T) {
	for _, frozen := range []time.Duration{300 * time.Millisecond, time.Second, 5 * time.Second, 30 * time.Second} {
		t.Run(frozen.String(), func(t *testing.T) {
			inFixture(t, func(t *testing.T, f *fixture) {
				relay := f.addRelay("r1", "z")
				f.run()
				relay.listener.Freeze(frozen)
				frozenAt := time.Now()
				err := f.start(1, 1)
				assertKind(t, err, infra.RelayFailed)
				assert.Assert(t, time.Since(frozenAt) <= silenceLimit+100*time.Millisecond, "the outcome took %s", time.Since(frozenAt))
				begin := time.Now()
				assert.NilError(t, f.start(1, 1))
				assert.Assert(t, time.Since(begin) < 10*time.Millisecond, "the repeated start waited for %s", time.Since(begin))
				assert.Check(t, is.Len(f.direct.calls(), 1))
				for time.Since(frozenAt) < frozen {
					assert.NilError(t, f.start(9, 9))
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(5 * time.Second)
				assert.Check(t, is.Len(relay.workers.calls(), 0))
				// It relays again afterwards.
				assert.NilError(t, f.start(2, 2))
				assert.Check(t, is.Len(relay.workers.calls(), 1))
			})
		})
	}
}

// Guards against orders that are sent although the time for which the scheduling process may act has run out while the
// process was suspended.
func TestSuspendedSchedulerSendsNoOldOrders(t *testing.T) {
	inFixture(t, func(t *testing.T, f *fixture) {
		relay := f.addRelay("r1", "z")
		f.run()
		newPending := func(l *link) *pendingCall {
			p := &pendingCall{call: &call{ID: 1, Kind: callStart, Worker: testWorker(1), Order: infra.StartOrder{Item: testItem, Run: 1, Token: 5}}, sendBy: f.clock() + maxRelayDelay, done: make(chan resolved, 1)}
			l.pending[p.call.ID], l.queue = p, append(l.queue, p)
			return p
		}
		l := &link{router: f.router, pending: map[int64]*pendingCall{}, echo: int64(f.clock())}
		// Suspended after the batch is taken and before it is written.
		newPending(l)
		batch := l.takeBatch()
		assert.Assert(t, is.Len(batch.Calls, 1))
		time.Sleep(3 * time.Second)
		why, _ := relay.server.check(t.Context(), &batch.Calls[0], time.Duration(batch.Echo))
		assert.Equal(t, why, reasonExpired)
		// Suspended before the batch is taken.
		p := newPending(l)
		time.Sleep(3 * time.Second)
		assert.Check(t, is.Len(l.takeBatch().Calls, 0))
		assert.Equal(t, (<-p.done).fate, fateNotSent)
	})
}

// Guards against orders that are sent although the permission of the scheduling process has run out, by a relay or
// directly.
func TestSendLimitHoldsOnBothPaths(t *testing.T) {
	inFixture(t, func(t *testing.T, f *fixture) {
		relay := f.addRelay("r1", "z")
		f.run()
		for _, limit := range []time.Duration{-time.Second, 0, time.Millisecond} {
			_, err := f.router.Start(infra.WithSendLimit(t.Context(), limit), testWorker(1), infra.StartOrder{Item: testItem, Run: 1, Token: 5})
			assertKind(t, err, infra.Refused)
			// The relay isn't to blame.
			assert.Assert(t, (*f.router.links.Load())[0].usable(f.clock()))
		}
		assert.Check(t, is.Len(relay.workers.calls(), 0))
		assert.Check(t, is.Len(f.direct.calls(), 0))
	})
}

// Guards against orders of a superseded scheduling process that a relay sends, since it has read of the newer term or has
// got calls of it.
func TestRelayRefusesSupersededTerms(t *testing.T) {
	inFixture(t, func(t *testing.T, f *fixture) {
		relay := f.addRelay("r1", "z")
		f.run()
		assert.NilError(t, f.start(1, 1))
		relay.term.Store(6)
		assertKind(t, f.start(1, 2), infra.Fenced)
		relay.term.Store(5)
		_, err := f.router.Start(t.Context(), testWorker(1), infra.StartOrder{Item: testItem, Run: 3, Token: 7})
		assert.NilError(t, err)
		assertKind(t, f.start(1, 4), infra.Fenced)
		assert.Check(t, is.Len(relay.workers.calls(), 2))
		assert.Check(t, is.Len(f.direct.calls(), 0))
	})
}

// Guards against a relay that calls any address that it is told, and against workers that can't be called because the
// list of the relay is behind.
func TestRelayCallsOnlyWorkersOfItsList(t *testing.T) {
	inFixture(t, func(t *testing.T, f *fixture) {
		relay := f.addRelay("r1", "z")
		f.run()
		for _, worker := range []infra.WorkerRef{{ID: "w-11", Address: "10.0.0.11:1", Zone: "z"}, {ID: "w-1", Address: "10.9.9.9:1", Zone: "z"}} {
			_, err := f.router.Stop(t.Context(), worker, testItem, 1, 5)
			assert.NilError(t, err)
		}
		assert.Check(t, is.Len(relay.workers.calls(), 0))
		assert.Check(t, is.Len(f.direct.calls(), 2))
	})
}

// Guards against calls that are cut off when a relay stops, and new ones that it still gets.
func TestStoppingRelayFinishesItsCalls(t *testing.T) {
	inFixture(t, func(t *testing.T, f *fixture) {
		relay := f.addRelay("r1", "z")
		relay.workers.takes = time.Second
		f.run()
		result := make(chan error, 1)
		go func() {
			_, err := f.router.RenewLease(t.Context(), testWorker(1), infra.LeaseRenewal{Token: 5, Wait: time.Second})
			result <- err
		}()
		time.Sleep(100 * time.Millisecond)
		relay.server.Stop()
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, f.start(1, 2))
		assert.Check(t, is.Len(f.direct.calls(), 1))
		assert.NilError(t, <-result)
		assert.Check(t, is.Len(relay.workers.calls(), 1))
	})
}

// Guards against calls that stay without an outcome when a relay is killed, and against a relay that isn't used again
// after a restart at its address.
func TestKilledRelayStartsAgainAtItsAddress(t *testing.T) {
	inFixture(t, func(t *testing.T, f *fixture) {
		killed := f.addRelay("r1", "z")
		killed.workers.takes = time.Second
		f.run()
		result := make(chan error, 1)
		go func() { result <- f.start(1, 1) }()
		time.Sleep(100 * time.Millisecond)
		l := (*f.router.links.Load())[0]
		killed.listener.Stop()
		assert.NilError(t, l.conn.Close())
		assertKind(t, <-result, infra.RelayFailed)
		assert.NilError(t, f.start(1, 1))
		assert.Check(t, is.Len(f.direct.calls(), 1))
		restarted := f.startRelay("r1", "z")
		time.Sleep(3 * time.Second)
		assert.NilError(t, f.start(1, 2))
		assert.Check(t, is.Len(restarted.workers.calls(), 1))
	})
}

// Guards against calls that go on waiting for a relay that is cut off in one direction only.
func TestRelayCutOffOneWay(t *testing.T) {
	for name, cut := range map[string]func(*testRelay) interface{ Store(bool) }{
		"requests":  func(r *testRelay) interface{ Store(bool) } { return &r.listener.DropsRequests },
		"responses": func(r *testRelay) interface{ Store(bool) } { return &r.listener.DropsResponses },
	} {
		t.Run(name, func(t *testing.T) {
			inFixture(t, func(t *testing.T, f *fixture) {
				relay := f.addRelay("r1", "z")
				f.run()
				cut(relay).Store(true)
				for run := range int64(3) {
					begin := time.Now()
					err := f.start(1, run)
					assert.Assert(t, err == nil || infra.KindOf(err) == infra.RelayFailed, "%v", err)
					assert.Assert(t, time.Since(begin) <= maxRelayDelay+orderTimeLimit+silenceLimit)
				}
				assert.Assert(t, len(f.direct.calls()) >= 2, "%v", f.direct.calls())
			})
		})
	}
}

// Guards against relays that are given up together, with their calls, while the link of the scheduling process is full:
// each of their calls is then sent once more in a direct call, which takes more bytes.
func TestFullLinkKeepsRelays(t *testing.T) {
	inFixture(t, func(t *testing.T, f *fixture) {
		zones := []string{"z", "y", "x"}
		var relays []*testRelay
		for _, zone := range zones {
			relays = append(relays, f.addRelay("r-"+zone, zone))
		}
		f.run()
		for run, delay := range []time.Duration{3 * silenceLimit / 2, 0} {
			for _, relay := range relays {
				relay.listener.DelayRequests(delay)
			}
			var starts errgroup.Group
			for n, zone := range zones {
				worker := testWorker(n)
				worker.Zone = zone
				starts.Go(func() error {
					_, err := f.router.Start(t.Context(), worker, infra.StartOrder{Item: testItem, Run: int64(run + 1), Token: 5})
					return err
				})
			}
			assert.NilError(t, starts.Wait())
			f.settle()
		}
		assert.Equal(t, len(*f.router.links.Load()), len(zones))
		for _, sent := range f.direct.calls() {
			assert.Equal(t, sent.run, int64(1), "relays are used again once the link has room")
		}
	})
}

// Guards against a worker that counts as lost because either the relay or the scheduling process doesn't reach it.
func TestWorkerThatOneProcessReaches(t *testing.T) {
	inFixture(t, func(t *testing.T, f *fixture) {
		relay := f.addRelay("r1", "z")
		f.run()
		relay.workers.setUnreachable("w-1")
		assertKind(t, f.start(1, 1), infra.Unknown)
		assert.NilError(t, f.start(1, 1))
		assert.NilError(t, f.start(1, 2))
		f.direct.setUnreachable("w-2")
		assert.NilError(t, f.start(2, 1))
		// Direct calls are chosen and fail.
		f.router.otherPath["w-2"] = pathChoice{direct: true, until: f.clock() + time.Hour}
		assertKind(t, f.start(2, 2), infra.Unknown)
		assert.NilError(t, f.start(2, 2))
	})
}

// Guards against a relay that is cut off from its workers and keeps being used for all of them in turn.
func TestRelayWithoutWorkersIsAvoided(t *testing.T) {
	inFixture(t, func(t *testing.T, f *fixture) {
		relay := f.addRelay("r1", "z")
		f.run()
		for n := range maxBlames {
			relay.workers.setUnreachable(testWorker(n).ID)
			assertKind(t, f.start(n, 1), infra.Unknown)
			assert.NilError(t, f.start(n, 1))
		}
		before := len(relay.workers.calls())
		assert.NilError(t, f.start(maxBlames, 1))
		assert.Check(t, is.Len(relay.workers.calls(), before))
		time.Sleep(blamedTime + time.Second)
		assert.NilError(t, f.start(maxBlames, 2))
		assert.Check(t, is.Len(relay.workers.calls(), before+1))
	})
}

// Guards against a malformed or hostile message that ends the process of the relay or of the scheduler.
func TestMalformedBatchesEndOnlyTheirConnection(t *testing.T) {
	inFixture(t, func(t *testing.T, f *fixture) {
		relay := f.addRelay("r1", "z")
		f.run()
		for _, message := range []string{"", "\x00", "\xff\xff\xff\xff\xff\xff", "\x00\x00\x00\x05hello", "\x00\x00\x00\x00", "\x00\x00\x00\x03\x00\xfe\x7f", "\x00\x00\x00\x0b\x00\x02\xff\xff\xff\xff\xff\xff\xff\xff\x01"} {
			conn, err := f.network.Dial(t.Context(), "r1")
			assert.NilError(t, err)
			_, err = upgrade(conn, "r1")
			assert.NilError(t, err)
			_, err = conn.Write([]byte(message))
			assert.NilError(t, err)
			time.Sleep(100 * time.Millisecond)
			assert.NilError(t, conn.Close())
		}
		for _, m := range []call{{}, {Kind: 9, Order: infra.StartOrder{Token: 5}}, {Kind: callStart, Worker: testWorker(1)}} {
			why, _ := relay.server.check(t.Context(), &m, f.clock())
			assert.Equal(t, why, reasonInvalid)
		}
		assert.NilError(t, f.start(1, 1))
		assert.Check(t, is.Len(relay.workers.calls(), 1))
	})
}
