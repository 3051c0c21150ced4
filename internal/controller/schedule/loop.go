package schedule

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"turmericyoke/internal/periodic"
	"turmericyoke/internal/placement"
	"turmericyoke/internal/structs"
)

// Loop places the jobs of all pools for which this controller acts.
type Loop struct {
	Dependencies
	settings Settings
	outbox   *outbox

	mu     sync.Mutex
	source placement.Source
	// offset is that of the state that was read last. Hosts are read less often.
	offset      int64
	document    *structs.Document
	hostsRead   time.Time
	hostsOffset int64
	hosts       map[string]host
	pools       map[string]*poolState
	// since is when each live job was first seen.
	since map[string]time.Time
	// starting are jobs whose start is proposed; the cache counts them as running.
	starting map[string]starting
	// resync are jobs to read again though the fold hasn't changed them.
	resync map[string]bool
	claims map[string]*claim
	// preempting are waiting jobs for which this controller has begun to make room.
	preempting map[string]bool
}

// poolState is what the loop knows of one pool.
type poolState struct {
	rank   int
	joined bool
	tasks  map[string]*task
	// busy are the tasks that need a look in each step. The others only have their leases renewed
	// and are looked at in each sweep.
	busy  map[string]*task
	swept time.Time
	// planned is when the pool was planned last, and stalled since when a lower rank left a plan undone.
	planned time.Time
	stalled time.Time
}

type host struct {
	serving bool
	failed  bool
	pool    string
}

type starting struct {
	attempt uint32
	team    string
	units   uint64
}

// New returns a loop that has read nothing.
func New(deps Dependencies, settings Settings) *Loop {
	return &Loop{
		Dependencies: deps, settings: settings, outbox: newOutbox(),
		source: placement.Source{Queue: placement.NewQueue(), Cache: placement.NewCache(), Health: placement.NewHealth()},
		hosts:  map[string]host{}, pools: map[string]*poolState{}, since: map[string]time.Time{},
		starting: map[string]starting{}, resync: map[string]bool{}, claims: map[string]*claim{}, preempting: map[string]bool{},
	}
}

// Run places jobs until ctx ends. Tasks that run go on under their leases.
func (l *Loop) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	calls := &errgroup.Group{}
	calls.SetLimit(l.settings.MaxCalls)
	group.Go(func() error {
		return periodic.Every(ctx, l.settings.Tick, func(ctx context.Context) { l.step(ctx, calls) })
	})
	group.Go(func() error { return periodic.Every(ctx, l.settings.ReportInterval, l.report) })
	group.Go(func() error { return l.propose(ctx) })
	err := group.Wait()
	_ = calls.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// step follows the fold, carries on what is under way and plans what waits.
func (l *Loop) step(ctx context.Context, calls *errgroup.Group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	l.sync(now)
	l.rank()
	l.tendClaims(now)
	for _, pool := range l.pools {
		if !pool.joined {
			continue
		}
		l.tendPool(ctx, calls, pool, now)
	}
	l.plan(now)
}

func (l *Loop) rank() {
	for name, pool := range l.pools {
		pool.rank, pool.joined = l.Ranker.Rank(name)
	}
}

func (l *Loop) pool(name string) *poolState {
	pool := l.pools[name]
	if pool == nil {
		pool = &poolState{tasks: map[string]*task{}, busy: map[string]*task{}}
		l.pools[name] = pool
	}
	return pool
}

// delay is the time for which a controller of the pool's rank leaves work to others.
func (l *Loop) delay(pool *poolState) time.Duration {
	return time.Duration(pool.rank) * l.settings.RankDelay
}
