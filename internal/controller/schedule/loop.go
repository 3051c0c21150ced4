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
	// readOffset is the offset of the state whose jobs were read last. Hosts are read less often, last
	// from the state at hostsReadOffset.
	readOffset      int64
	document        *structs.Document
	hostsReadAt     time.Time
	hostsReadOffset int64
	hosts           map[string]hostState
	pools           map[string]*poolState
	// firstSeen is when this loop first saw each live job.
	firstSeen map[string]time.Time
	// pendingStarts are the jobs whose start is proposed, but not yet accepted. The cache counts them as
	// running.
	pendingStarts map[string]pendingStart
	// jobsToResync are the jobs to read again in the next step, even if the fold hasn't changed them.
	jobsToResync map[string]bool
	// claims are the capacity claims of waiting jobs, by job id.
	claims map[string]*claim
	// preemptors are the waiting jobs for which this controller has begun to evict victims.
	preemptors map[string]bool
}

// poolState is the loop's state of one pool.
type poolState struct {
	// rank is this controller's rank for the pool. It is valid if joined is set.
	rank   int
	joined bool
	tasks  map[string]*task
	// busy are the tasks that are checked in each step. The others only need renewals of their leases and
	// are checked once per sweepInterval.
	busy      map[string]*task
	lastSweep time.Time
	lastPlan  time.Time
	// stalledSince is the time since which plans have had work without progress by any controller. It is
	// zero if they have none.
	stalledSince time.Time
}

// hostState is the state of a host when the hosts were read last.
type hostState struct {
	serving bool
	failed  bool
	pool    string
}

// pendingStart is a proposed start, with the units that it will take from its team.
type pendingStart struct {
	attempt uint32
	team    string
	units   uint64
}

// New returns a loop that hasn't read the state yet.
func New(deps Dependencies, settings Settings) *Loop {
	return &Loop{
		Dependencies: deps, settings: settings, outbox: newOutbox(),
		source: placement.Source{Queue: placement.NewQueue(), Cache: placement.NewCache(), Health: placement.NewHealth()},
		hosts:  map[string]hostState{}, pools: map[string]*poolState{}, firstSeen: map[string]time.Time{},
		pendingStarts: map[string]pendingStart{}, jobsToResync: map[string]bool{}, claims: map[string]*claim{}, preemptors: map[string]bool{},
	}
}

// Run places jobs until ctx ends. It leaves the running tasks under their leases.
func (l *Loop) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	calls := &errgroup.Group{}
	calls.SetLimit(l.settings.MaxCalls)
	group.Go(func() error {
		return periodic.Every(ctx, l.settings.Tick, func(ctx context.Context) { l.step(ctx, calls) })
	})
	group.Go(func() error { return periodic.Every(ctx, l.settings.ReportInterval, l.pollReports) })
	group.Go(func() error { return l.proposeQueued(ctx) })
	err := group.Wait()
	_ = calls.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// step reads the changes of the state, advances the running tasks, and plans waiting jobs.
func (l *Loop) step(ctx context.Context, calls *errgroup.Group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	l.sync(now)
	l.updateRanks()
	l.expireClaims(now)
	for _, pool := range l.pools {
		if !pool.joined {
			continue
		}
		l.advanceTasks(ctx, calls, pool, now)
	}
	l.planDuePools(now)
}

// updateRanks reads this controller's rank for each pool.
func (l *Loop) updateRanks() {
	for name, pool := range l.pools {
		pool.rank, pool.joined = l.Ranker.Rank(name)
	}
}

// ensurePool returns the state of the pool and creates it if needed.
func (l *Loop) ensurePool(name string) *poolState {
	pool := l.pools[name]
	if pool == nil {
		pool = &poolState{tasks: map[string]*task{}, busy: map[string]*task{}}
		l.pools[name] = pool
	}
	return pool
}

// takeoverDelay returns how long pending work of the pool is left to the controllers ranked before this one.
func (l *Loop) takeoverDelay(pool *poolState) time.Duration {
	return time.Duration(pool.rank) * l.settings.DelayPerRank
}
