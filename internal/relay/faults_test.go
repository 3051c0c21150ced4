package relay

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"turmericyoke/internal/infra"
)

var faultSeeds = flag.Int("relay.seeds", 20, "number of seeds of the test with random faults")

// Guards against calls that wait for relays that are listed but gone, and against a relay that is dropped because a read
// of the members misses it.
func TestListOfMembersIsBehind(t *testing.T) {
	inFixture(t, func(t *testing.T, f *fixture) {
		relay := f.addRelay("r1", "z")
		f.run()
		f.mu.Lock()
		f.members = []infra.Member{{Name: "gone", Zone: "y", Address: "gone", CPUMilli: 800}}
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		for run := range int64(5) {
			begin := time.Now()
			assert.NilError(t, f.start(int(run), run))
			assert.Assert(t, time.Since(begin) < 50*time.Millisecond)
		}
		assert.Check(t, is.Len(relay.workers.calls(), 5))
	})
}

// Guards against an order that is sent late because its relay was slow, and against further calls to that relay at once.
func TestRelayThatIsBehind(t *testing.T) {
	inFixture(t, func(t *testing.T, f *fixture) {
		relay := f.addRelay("r1", "z")
		f.run()
		// Shorter than the silence after which the connection is given up.
		relay.listener.Freeze(150 * time.Millisecond)
		_, err := f.router.Start(infra.WithSendLimit(t.Context(), 100*time.Millisecond), testWorker(1), infra.StartOrder{Item: testItem, Run: 1, Token: 5})
		assertKind(t, err, infra.Refused)
		assert.Equal(t, len(relay.workers.calls())+len(f.direct.calls()), 0)
		relayed := len(relay.workers.calls())
		assert.NilError(t, f.start(2, 1))
		assert.Equal(t, len(relay.workers.calls())-relayed, 0, "the relay got a call at once")
		time.Sleep(2 * behindTime)
		assert.NilError(t, f.start(2, 2))
		assert.Equal(t, len(relay.workers.calls())-relayed, 1)
	})
}

// sends are the starts that reached workers, by run.
func (f *fixture) sends(relays []*testRelay) map[int64][]time.Duration {
	byRun := map[int64][]time.Duration{}
	for _, workers := range append([]*fakeWorkers{f.direct}, workersOf(relays)...) {
		for _, sent := range workers.calls() {
			byRun[sent.run] = append(byRun[sent.run], sent.at)
		}
	}
	return byRun
}

func workersOf(relays []*testRelay) (all []*fakeWorkers) {
	for _, relay := range relays {
		all = append(all, relay.workers)
	}
	return all
}

// fault disturbs one relay.
func (f *fixture) fault(rng *rand.Rand, relay *testRelay) {
	switch rng.IntN(6) {
	case 0:
		relay.listener.Freeze(time.Duration(rng.IntN(5000)) * time.Millisecond)
	case 1:
		relay.listener.Freeze(time.Duration(100+rng.IntN(200)) * time.Millisecond)
	case 2:
		relay.listener.DropsRequests.Store(rng.IntN(2) == 0)
	case 3:
		relay.listener.DropsResponses.Store(rng.IntN(2) == 0)
	case 4:
		for _, l := range *f.router.links.Load() {
			if l.relay.Name == relay.member.Name {
				_ = l.conn.Close() // The other side may have closed it.
			}
		}
	case 5:
		relay.workers.mu.Lock()
		relay.workers.takes = time.Duration(rng.IntN(100)) * time.Millisecond
		relay.workers.mu.Unlock()
	}
}

// Guards against orders that are sent after the time in which they may be, are reported as not sent and then run, or are
// confirmed and never ran, while relays freeze, are cut off one way or lose their connections.
func TestOrdersUnderRandomFaults(t *testing.T) {
	for seed := range *faultSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inFixture(t, func(t *testing.T, f *fixture) {
				rng := rand.New(rand.NewPCG(uint64(seed), 17))
				relays := []*testRelay{f.addRelay("r1", "z"), f.addRelay("r2", "y")}
				f.run()
				const starts = 200
				begun, limits, results := make([]time.Duration, starts), make([]time.Duration, starts), make([]error, starts)
				var calls sync.WaitGroup
				for run := range starts {
					if rng.IntN(8) == 0 {
						f.fault(rng, relays[rng.IntN(len(relays))])
					}
					begun[run], limits[run] = f.clock(), time.Duration(rng.IntN(300))*time.Millisecond
					ctx := infra.WithSendLimit(context.Background(), limits[run])
					calls.Go(func() {
						_, results[run] = f.router.Start(ctx, testWorker(run%10), infra.StartOrder{Item: testItem, Run: int64(run), Token: 5})
					})
					time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
				}
				calls.Wait()
				time.Sleep(10 * time.Second)
				sends := f.sends(relays)
				for run, err := range results {
					at := sends[int64(run)]
					for _, sentAt := range at {
						assert.Assert(t, sentAt-begun[run] <= limits[run], "run %d was sent %s after it was begun, with a limit of %s", run, sentAt-begun[run], limits[run])
					}
					switch infra.KindOf(err) {
					case "":
						assert.Equal(t, len(at), 1, "confirmed run %d", run)
					case infra.Refused:
						assert.Equal(t, len(at), 0, "run %d, which is said not to have been sent", run)
					case infra.RelayFailed:
						assert.Assert(t, len(at) <= 1, "run %d", run)
					default:
						t.Errorf("run %d: %v", run, err)
					}
				}
			})
		})
	}
}
