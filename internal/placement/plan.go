package placement

import (
	"container/heap"
	"slices"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// Ranks of waiting jobs; lower ranks are placed first. Overdue and aged jobs are placed in order of age alone,
// which bounds their wait: see docs/notes/0010-placement.md.
const (
	rankOverdue = iota
	rankUrgent
	rankAged
	rankStandard
	rankBatch
)

// Compute returns the plan for a snapshot. It doesn't change the snapshot.
func Compute(snapshot *Snapshot, options Options) Plan {
	c := &cycle{snapshot: snapshot, options: options, freeUnits: make([]uint64, len(snapshot.Teams))}
	for i, team := range snapshot.Teams {
		c.freeUnits[i] = team.FreeUnits
	}
	for i := range snapshot.Pools {
		c.planPool(&snapshot.Pools[i])
	}
	// Starts are proposed in the order of the plan, so urgent ones come first.
	slices.SortStableFunc(c.plan.Starts, func(a, b Start) int { return compareBool(b.Urgent, a.Urgent) })
	return c.plan
}

// compareBool compares two values for sorting, false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// cycle is the state of one planning cycle.
type cycle struct {
	snapshot *Snapshot
	options  Options
	// freeUnits are the units of each team that the plan hasn't used yet.
	freeUnits []uint64
	plan      Plan
}

// planPool plans one pool: first its claims, then the jobs of its buckets in the order of cursorKey.
func (c *cycle) planPool(pool *Pool) {
	p := newPoolCycle(c, pool)
	p.startClaims()
	p.initCursors()
	for p.cursors.Len() > 0 && !p.startLimitReached() {
		cursor := p.cursors.items[0]
		// The key is outdated if the plan has changed the team's usage since it was computed.
		if currentKey := p.keyOf(cursor); currentKey != cursor.key {
			cursor.key = currentKey
			heap.Fix(&p.cursors, 0)
			continue
		}
		if p.advance(cursor) {
			heap.Fix(&p.cursors, 0)
			continue
		}
		heap.Pop(&p.cursors)
	}
}

// poolCycle is the state of a planning cycle for one pool.
type poolCycle struct {
	*cycle
	pool          *Pool
	totalCapacity Vector
	// free is the free capacity of each worker, and used the usage of each team, both with the plan so far.
	free []Vector
	used []Vector
	// startsLeft is the number of jobs that may still start on each worker.
	startsLeft []int
	// reserved is set for the workers that are kept free for aged jobs.
	reserved     []bool
	reservations int
	// chosenVictims are the jobs that this plan already preempts.
	chosenVictims map[string]bool
	// claimed are the jobs that have a claim in this pool.
	claimed map[string]bool
	cursors cursorHeap
	// unplaceable are shapes that fit on no worker. They stay so, since free capacity only decreases within a
	// cycle.
	unplaceable []shape
	// unpreemptable are the shapes of each team for which no victims were found.
	unpreemptable map[int][]shape
	preemptions   int
	// activeWeight is the sum of the weights of the active teams: those with running or waiting jobs in the
	// pool.
	activeWeight int
}

func newPoolCycle(c *cycle, pool *Pool) *poolCycle {
	p := &poolCycle{
		cycle: c, pool: pool,
		free: make([]Vector, len(pool.Workers)), startsLeft: make([]int, len(pool.Workers)),
		reserved: make([]bool, len(pool.Workers)), used: slices.Clone(pool.Used),
		chosenVictims: map[string]bool{}, claimed: map[string]bool{}, unpreemptable: map[int][]shape{},
	}
	for i := range pool.Workers {
		p.free[i] = pool.Workers[i].Free
		p.startsLeft[i] = pool.Workers[i].MaxStarts
		p.totalCapacity = p.totalCapacity.Plus(pool.Workers[i].Capacity)
	}
	p.sumActiveWeights()
	return p
}

func (p *poolCycle) sumActiveWeights() {
	active := make([]bool, len(p.snapshot.Teams))
	for _, bucket := range p.pool.Buckets {
		active[bucket.Team] = len(bucket.Jobs) > 0
	}
	for team, used := range p.used {
		if active[team] || used != (Vector{}) {
			p.activeWeight += p.snapshot.Teams[team].Weight
		}
	}
}

// startLimitReached reports whether the plan has as many starts as its options permit.
func (p *poolCycle) startLimitReached() bool {
	return p.options.MaxStarts > 0 && len(p.plan.Starts) >= p.options.MaxStarts
}

// weightedDominantShare returns the team's dominant share, which is its largest share of any resource of the
// pool, divided by its weight.
func (p *poolCycle) weightedDominantShare(team int) float64 {
	share := 0.0
	for i, used := range p.used[team] {
		if p.totalCapacity[i] > 0 {
			share = max(share, float64(used)/float64(p.totalCapacity[i]))
		}
	}
	return share / float64(p.snapshot.Teams[team].Weight)
}

// aboveFairShare reports whether the team uses more of the pool than its weight among the active teams
// entitles it to.
func (p *poolCycle) aboveFairShare(team int) bool {
	return p.weightedDominantShare(team)*float64(p.activeWeight) > 1
}

// startClaims starts the claimed jobs that fit on their workers, and reserves the capacity for the others.
func (p *poolCycle) startClaims() {
	for _, claim := range p.pool.Claims {
		index, found := p.workerIndex(claim.Worker)
		if !found {
			continue
		}
		p.claimed[claim.Waiting.Job] = true
		// Other jobs must not take the capacity meanwhile, so it is subtracted even if the job can't start yet.
		if claim.Size.Fits(p.free[index]) && p.freeUnits[claim.Team] >= claim.Waiting.Units {
			p.start(claim.Waiting, claim.Team, index, claim.Size, true)
			continue
		}
		p.free[index] = p.free[index].Minus(claim.Size)
	}
}

// workerIndex returns the index of the worker in the pool.
func (p *poolCycle) workerIndex(name string) (int, bool) {
	return slices.BinarySearchFunc(p.pool.Workers, name, func(w Worker, name string) int {
		switch {
		case w.Name < name:
			return -1
		case w.Name > name:
			return 1
		}
		return 0
	})
}

// start adds a start to the plan and subtracts what the job takes.
func (p *poolCycle) start(job *WaitingJob, team, worker int, size Vector, urgent bool) {
	p.free[worker] = p.free[worker].Minus(size)
	p.used[team] = p.used[team].Plus(size)
	p.startsLeft[worker]--
	p.freeUnits[team] -= job.Units
	p.plan.Starts = append(p.plan.Starts, Start{
		Job: job.Job, Attempt: job.Attempt, Pool: p.pool.Name, Worker: p.pool.Workers[worker].Name,
		Team: team, Size: size, Urgent: urgent,
	})
}

// rankOf returns the rank of a job of the class, which depends on its wait.
func (c *cycle) rankOf(job *WaitingJob, class v1.JobClass) int {
	waited := c.snapshot.Now.Sub(job.FirstSeen)
	switch {
	case waited >= c.options.AgingAfter+c.options.PreemptAfter:
		return rankOverdue
	case class == v1.JobClass_JOB_CLASS_URGENT:
		return rankUrgent
	case waited >= c.options.AgingAfter:
		return rankAged
	case class == v1.JobClass_JOB_CLASS_STANDARD:
		return rankStandard
	}
	return rankBatch
}
