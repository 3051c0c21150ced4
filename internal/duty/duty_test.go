package duty

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/infra/infratest"
)

// lead is one term that a process led.
type lead struct {
	name     string
	term     int64
	from, to time.Duration
}

// fleet is some processes on one log and group.
type fleet struct {
	log   infratest.Log
	group infratest.Group
	start time.Time

	mu    sync.Mutex
	leads []*lead
}

// join starts a process and returns what kills it, so that its membership lapses.
func (f *fleet) join(ctx context.Context, name string, power int64) (*Keeper, context.CancelFunc) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	clock := func() time.Duration { return time.Since(f.start) }
	k := &Keeper{Self: infra.Member{Name: name, Address: name + ":1", CPUMilli: power, StartUnix: time.Now().Unix()}, Nonce: name + fmt.Sprint(time.Now().UnixNano()),
		Log: &f.log, Group: leaveless{&f.group}, Logger: logrus.NewEntry(logger), Clock: clock, Eligible: func() bool { return true }}
	k.Lead = func(ctx context.Context, term int64) {
		l := &lead{name: name, term: term, from: clock()}
		f.mu.Lock()
		f.leads = append(f.leads, l)
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		defer f.mu.Unlock()
		l.to = clock()
	}
	ctx, end := context.WithCancel(ctx)
	go func() { _ = k.Run(ctx) }()
	return k, end
}

// leaveless doesn't tell the group that a process ends, as when it is killed.
type leaveless struct{ *infratest.Group }

func (leaveless) Leave(context.Context, infra.Member) error { return nil }

func (f *fleet) last() *lead {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.leads) == 0 {
		return &lead{}
	}
	return f.leads[len(f.leads)-1]
}

func (f *fleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.leads)
}

func playFleet(t *testing.T, play func(ctx context.Context, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{start: time.Now()}
		ctx, cancel := context.WithCancel(t.Context())
		play(ctx, f)
		cancel()
		synctest.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		for i, l := range f.leads {
			assert.Assert(t, i == 0 || l.term > f.leads[i-1].term, "terms must rise")
		}
	})
}

// Guards against a weak host that schedules while a strong one is there.
func TestStrongestHostClaims(t *testing.T) {
	playFleet(t, func(ctx context.Context, f *fleet) {
		for n := range 5 {
			f.join(ctx, fmt.Sprint("weak-", n), 192)
		}
		f.join(ctx, "strong", 800)
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.last().name, "strong")
		assert.Equal(t, f.count(), 1)
	})
}

// Guards against a fleet without a scheduler after its process is killed. The bound is what the
// notes promise: the membership's time to live and two seconds.
func TestTakeoverAfterAKill(t *testing.T) {
	playFleet(t, func(ctx context.Context, f *fleet) {
		ends := map[string]context.CancelFunc{}
		for n := range 4 {
			name := fmt.Sprint("host-", n)
			_, ends[name] = f.join(ctx, name, 400)
		}
		time.Sleep(5 * time.Second)
		first := f.last()
		killed := time.Since(f.start)
		ends[first.name]()
		time.Sleep(memberTTL + 2*time.Second)
		assert.Assert(t, f.last().name != first.name, "nobody took over")
		assert.Assert(t, f.last().from-killed <= memberTTL+2*time.Second)
	})
}

// Guards against a planned stop that costs as much time as a kill.
func TestResignedDutyIsTakenAtOnce(t *testing.T) {
	playFleet(t, func(ctx context.Context, f *fleet) {
		keepers := map[string]*Keeper{}
		for n := range 4 {
			name := fmt.Sprint("host-", n)
			keepers[name], _ = f.join(ctx, name, 400)
		}
		time.Sleep(5 * time.Second)
		first := f.last()
		at := time.Since(f.start)
		keepers[first.name].Resign(ctx)
		time.Sleep(time.Second)
		assert.Assert(t, f.last().term > first.term, "nobody took over")
		assert.Assert(t, f.last().name != first.name)
		assert.Assert(t, f.last().from-at < 500*time.Millisecond, "took %s", f.last().from-at)
	})
}

// Guards against a process that schedules on after a later claim, and against two claims that both
// succeed: all processes start without a claim at the same moment.
func TestOneTermAtATime(t *testing.T) {
	playFleet(t, func(ctx context.Context, f *fleet) {
		for n := range 6 {
			f.join(ctx, fmt.Sprint("host-", n), 400)
		}
		time.Sleep(5 * time.Second)
		old := f.last()
		at, value := int64(1), []byte(`{"name":"other","address":"o:1","nonce":"o"}`)
		_, err := f.log.Append(ctx, topic, []infra.Record{{Key: claimKey, Value: value}}, infra.AppendOptions{ExpectedEnd: &at})
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		assert.Assert(t, old.to > 0, "the earlier term goes on")
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		assert.Assert(t, f.last().term > 2, "the claim of a process that isn't a member stays")
	})
}

// Guards against a process that restarts and waits for its own membership to lapse.
func TestRestartedHolderClaimsAgain(t *testing.T) {
	playFleet(t, func(ctx context.Context, f *fleet) {
		_, end := f.join(ctx, "only", 400)
		time.Sleep(5 * time.Second)
		end()
		at := time.Since(f.start)
		f.join(ctx, "only", 400)
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.count(), 2)
		assert.Assert(t, f.last().from-at < time.Second)
	})
}

// Guards against a chain of claims after the group has lost all its members, who come back one by
// one: five terms within 0.7 s on a hunted day of vaalkant-ops-grown.
func TestGroupThatForgetsItsMembers(t *testing.T) {
	playFleet(t, func(ctx context.Context, f *fleet) {
		for n := range 8 {
			f.join(ctx, fmt.Sprint("host-", n), 400)
			// Members renew at different moments.
			time.Sleep(47 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		before := f.count()
		f.group.ExpireAll()
		time.Sleep(5 * time.Second)
		assert.Assert(t, f.count() <= before+1, "%d terms began", f.count()-before)
	})
}
