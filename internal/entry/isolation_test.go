package entry

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/election"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
)

// isolationTest is a process in zone a whose Isolation runs. It joins the group as often as an elector.
type isolationTest struct {
	*Isolation
	infra.Group
	zones, schedulerZone string

	mu sync.Mutex
	// groupDown keeps the group from answering, and reachable tells which members answer. probes counts the probes.
	groupDown bool
	reachable func(infra.Member) bool
	probes    int
}

func (it *isolationTest) Join(context.Context, infra.Member, bool, time.Duration) error {
	it.mu.Lock()
	defer it.mu.Unlock()
	if it.groupDown {
		return &infra.Error{Kind: infra.Unknown, Op: "join"}
	}
	return nil
}

func (it *isolationTest) Current() election.Claim {
	return election.Claim{Term: 1, Holder: infra.Member{Name: it.schedulerZone + "2", Zone: it.schedulerZone}}
}
func (it *isolationTest) FollowsClaims() bool { return false }

// Peers returns three processes in each zone.
func (it *isolationTest) Peers() (peers []infra.Member) {
	for _, zone := range it.zones {
		for _, n := range "012" {
			peers = append(peers, infra.Member{Name: string(zone) + string(n), Zone: string(zone)})
		}
	}
	return peers
}

// startIsolation starts the process. Its probes without an answer take longer than their time limit by late.
func startIsolation(t *testing.T, zones, schedulerZone string, late time.Duration) *isolationTest {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	it, start := &isolationTest{zones: zones, schedulerZone: schedulerZone, reachable: named("a", "b", "c")}, time.Now()
	it.Isolation = &Isolation{Self: infra.Member{Name: "self", Zone: "a"}, Election: it, Clock: func() time.Duration { return time.Hour + time.Since(start) }, Logger: logrus.NewEntry(logger),
		Reachable: func(ctx context.Context, m infra.Member) bool {
			it.mu.Lock()
			it.probes++
			reachable := it.reachable(m)
			it.mu.Unlock()
			if !reachable {
				<-ctx.Done()
				_ = periodic.Pause(t.Context(), late)
			}
			return reachable
		}}
	var running sync.WaitGroup
	t.Cleanup(running.Wait)
	running.Go(func() { _ = it.Run(t.Context()) })
	group := it.ObserveGroup(it)
	running.Go(func() {
		_ = periodic.Every(t.Context(), joinInterval, func(ctx context.Context) { _ = group.Join(ctx, infra.Member{}, false, 0) })
	})
	return it
}

// joinInterval is the time between the elector's joins.
const joinInterval = 300 * time.Millisecond

// named returns a function that reports whether the member's name or zone is among the given ones.
func named(names ...string) func(infra.Member) bool {
	return func(m infra.Member) bool {
		for _, name := range names {
			if m.Name == name || m.Zone == name {
				return true
			}
		}
		return false
	}
}

// cut sets what responds from now on, and lets time pass.
func (it *isolationTest) cut(groupDown bool, reachable func(infra.Member) bool, d time.Duration) {
	it.mu.Lock()
	it.groupDown, it.reachable = groupDown, reachable
	it.mu.Unlock()
	time.Sleep(d)
	synctest.Wait()
}

// Guards against callers that are sent to processes of a partitioned zone, and against processes that report not ready
// although they can serve callers or would leave them nowhere to go.
func TestIsolation(t *testing.T) {
	for name, test := range map[string]struct {
		zones, schedulerZone string
		groupDown            bool
		reachable            func(infra.Member) bool
		late                 time.Duration
		isolated             bool
	}{
		"zone partitioned":                    {"abc", "b", true, named("a"), 0, true},
		"zone partitioned with the scheduler": {"abc", "a", true, named("a"), 0, true},
		"half of the zone partitioned":        {"abc", "b", true, named("a0", "a1"), 0, true},
		"other zones lost, but not the log":   {"abc", "b", false, named("a"), 0, false},
		"log down for everyone":               {"abc", "b", true, named("a", "b", "c"), 0, false},
		"log lost, scheduler reached":         {"abc", "b", true, named("b2"), 0, false},
		"log down, scheduler partitioned":     {"abc", "b", true, named("a", "c"), 0, false},
		"no other zone":                       {"a", "a", true, named("a"), 0, false},
		"process suspended or far behind":     {"abc", "b", true, named("a"), 2 * maxProbeDelay, false},
		"two zones":                           {"ab", "a", true, named("a"), 0, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			it := startIsolation(t, test.zones, test.schedulerZone, test.late)
			it.cut(false, named("a", "b", "c"), time.Second)
			assert.Assert(t, !it.Isolated(), name)
			it.cut(test.groupDown, test.reachable, isolationTime+joinInterval)
			for range 30 {
				assert.Equal(t, it.Isolated(), test.isolated, name)
				it.cut(test.groupDown, test.reachable, 100*time.Millisecond)
			}
		})
	}
}

// Guards against a process that stays not ready after the group or another zone answers again, while a zone flaps.
func TestIsolationEndsWithAnyAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		it := startIsolation(t, "abc", "b", 0)
		for range 3 {
			it.cut(true, named("a"), isolationTime+joinInterval)
			assert.Assert(t, it.Isolated())
			it.cut(false, named("a"), joinInterval)
			assert.Assert(t, !it.Isolated())
			it.cut(true, named("a"), isolationTime+joinInterval)
			assert.Assert(t, it.Isolated())
			it.cut(true, named("b", "c"), 2*probeInterval)
			assert.Assert(t, !it.Isolated())
		}
	})
}

// Guards against probes while the group answers, which would add load to hosts with 0.8 of a core.
func TestProbesAreSentOnlyInSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		it := startIsolation(t, "abc", "b", 0)
		it.cut(false, named("a", "b", "c"), 10*time.Second)
		assert.Equal(t, it.probes, 0)
	})
}

// Guards against refusals that count as responses of the log although it wasn't reached, and errors of the log that don't.
func TestResponsesOfTheLog(t *testing.T) {
	for kind, responded := range map[infra.ErrorKind]bool{infra.Trimmed: true, infra.Conflict: true, infra.Unknown: false, infra.Refused: false} {
		i := &Isolation{Clock: func() time.Duration { return time.Hour }}
		i.noteCall(&infra.Error{Kind: kind, Op: "read"})
		assert.Equal(t, i.silence() == 0, responded, "%s", kind)
	}
}
