package placement

import (
	"container/heap"
	"slices"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// Ranks of waiting jobs. Overdue and aged jobs are taken in order of age alone, which is what
// bounds the wait: see the note on placement.
const (
	rankOverdue = iota
	rankUrgent
	rankAged
	rankStandard
	rankBatch
)

// Compute returns the plan for the snapshot.
func Compute(snapshot *Snapshot, options Options) Plan {
	c := &cycle{snapshot: snapshot, options: options, freeUnits: make([]uint64, len(snapshot.Teams))}
	for i, team := range snapshot.Teams {
		c.freeUnits[i] = team.FreeUnits
	}
	for i := range snapshot.Pools {
		c.planPool(&snapshot.Pools[i])
	}
	// Urgent starts are proposed first.
	slices.SortStableFunc(c.plan.Starts, func(a, b Start) int { return compareBool(b.Urgent, a.Urgent) })
	return c.plan
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// cycle is the working state of one plan.
type cycle struct {
	snapshot *Snapshot
	options  Options
	// freeUnits are the free units of each team that the plan hasn't used.
	freeUnits []uint64
	plan      Plan
}

// planPool plans one pool: claims first, then the buckets in order of rank, share and age.
func (c *cycle) planPool(pool *Pool) {
	p := newPoolCycle(c, pool)
	p.startClaims()
	p.initCursors()
	for p.cursors.Len() > 0 && !p.startLimitReached() {
		cursor := p.cursors.cursors[0]
		if fresh := p.keyOf(cursor); fresh != cursor.key {
			cursor.key = fresh
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

// poolCycle is the working state of one pool.
type poolCycle struct {
	*cycle
	pool          *Pool
	totalCapacity Vector
	free          []Vector
	used          []Vector
	// startsLeft is the number of starts left on each worker.
	startsLeft []int
	// reserved marks workers that an aged job keeps free.
	reserved     []bool
	reservations int
	// chosenVictims are victims of this plan.
	chosenVictims map[string]bool
	claimed       map[string]bool
	cursors       cursorHeap
	// unplaceable are sizes that fit nowhere; room only shrinks within a cycle.
	unplaceable []shape
	// unpreemptable are the sizes of each team for which no victims were found.
	unpreemptable map[int][]shape
	preemptions   int
	// activeWeight is the sum of the weights of the teams that use or want the pool.
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

// startLimitReached reports whether the plan has its number of starts.
func (p *poolCycle) startLimitReached() bool {
	return p.options.MaxStarts > 0 && len(p.plan.Starts) >= p.options.MaxStarts
}

// weightedDominantShare returns the team's largest part of any resource of the pool, divided by its weight.
func (p *poolCycle) weightedDominantShare(team int) float64 {
	part := 0.0
	for i, used := range p.used[team] {
		if p.totalCapacity[i] > 0 {
			part = max(part, float64(used)/float64(p.totalCapacity[i]))
		}
	}
	return part / float64(p.snapshot.Teams[team].Weight)
}

// aboveFairShare reports whether the team uses more than its share of the pool among active teams.
func (p *poolCycle) aboveFairShare(team int) bool {
	return p.weightedDominantShare(team)*float64(p.activeWeight) > 1
}

// startClaims starts claimed jobs whose room is there, and keeps the room of the others.
func (p *poolCycle) startClaims() {
	for _, claim := range p.pool.Claims {
		index, found := p.workerIndex(claim.Worker)
		if !found {
			continue
		}
		p.claimed[claim.Waiting.Job] = true
		// Room on the worker must not go to others meanwhile, so it is taken in both cases.
		if claim.Size.Fits(p.free[index]) && p.freeUnits[claim.Team] >= claim.Waiting.Units {
			p.start(claim.Waiting, claim.Team, index, claim.Size, true)
			continue
		}
		p.free[index] = p.free[index].Minus(claim.Size)
	}
}

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

// start adds a start to the plan.
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

// rankOf returns the rank of a job in a bucket of the class.
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
