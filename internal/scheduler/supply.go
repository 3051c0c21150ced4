package scheduler

import "time"

// Admission is asked for each submission, several hundred times a second when callers retry, and has to weigh
// all workers and jobs of a pool. The sums over them are therefore computed once in supplyCacheTime for all
// pools. Jobs that are accepted in between are added.
const supplyCacheTime = 10 * time.Millisecond

// poolSupply is what a pool can do and what it has to do.
type poolSupply struct {
	// cores are those of the pool's schedulable workers that aren't taken by lasting work.
	cores float64
	// placed are the core-seconds that placed work items still need, and waiting those of the waiting items of
	// jobs, by overuse level.
	placed  float64
	waiting [maxOveruseLevel + 1]float64
}

// supplyCache holds the supply of each pool until it expires.
type supplyCache struct {
	expiresAt time.Duration
	byPool    map[string]*poolSupply
	// standbyCores are those of the hosts in standby, which any pool may get.
	standbyCores float64
}

// of returns the supply of the pool, and adds it if there is none.
func (s *supplyCache) of(pool string) *poolSupply {
	supply := s.byPool[pool]
	if supply == nil {
		supply = &poolSupply{}
		s.byPool[pool] = supply
	}
	return supply
}

// waitAt returns the predicted time until a job of the overuse level starts on the given cores. Jobs with a higher
// level are placed after it.
func (s *poolSupply) waitAt(level int, cores float64) time.Duration {
	coreSeconds := s.placed
	for _, waiting := range s.waiting[:level+1] {
		coreSeconds += waiting
	}
	return time.Duration(coreSeconds / cores * float64(time.Second))
}

// supplyOf returns the supply of the pool, and the cores that it can have: its own and those in standby.
func (c *Core) supplyOf(pool string, now time.Duration) (*poolSupply, float64) {
	if now >= c.supply.expiresAt {
		c.computeSupply(now)
	}
	supply := c.supply.of(pool)
	return supply, supply.cores + c.supply.standbyCores
}

// computeSupply computes the supply of all pools.
func (c *Core) computeSupply(now time.Duration) {
	c.supply = supplyCache{expiresAt: now + supplyCacheTime, byPool: map[string]*poolSupply{}, standbyCores: c.standbyCores()}
	for _, w := range c.workers {
		if w.schedulable(now) {
			c.supply.of(w.entry.Pool).cores += float64(max(0, w.entry.Capacity.CPUMilli-w.lastingCPUMilli)) / 1000
		}
	}
	for j := range c.activeJobs {
		if j.finished() || j.def.Recurrence.Times > 0 {
			continue
		}
		supply := c.supply.of(j.def.Queue.Pool)
		waiting, placed := c.remainingWork(j, now)
		supply.waiting[j.overuseLevel] += waiting
		supply.placed += placed
	}
}

// remainingWork returns the core-seconds that the waiting and the placed work items of the job still need.
// Lasting steps don't count.
func (c *Core) remainingWork(j *job, now time.Duration) (waiting, placed float64) {
	for _, step := range j.steps {
		if step.def.Lasting || step.done() {
			continue
		}
		runTime := c.predictRunTime(j.def, step.def)
		cores := float64(step.def.Need.CPUMilli) / 1000
		waiting += float64(step.countInState(itemWaiting)) * runTime.Seconds() * cores
		if step.countInState(itemPlaced) == 0 {
			continue
		}
		for _, i := range step.items {
			if i.state == itemPlaced {
				placed += max(runTime/10, runTime-(now-i.placedAt)).Seconds() * cores
			}
		}
	}
	return waiting, placed
}
