package scheduler

import "time"

// Admission is asked for each submission, several hundred times a second when callers retry, and has to weigh
// all workers and jobs of a pool. The sums over them are therefore computed once in supplyCacheTime for all
// pools. In between, accepted jobs are added, and placed and released work items are accounted for; only the progress
// of placed items and changes of workers are out of date.
const supplyCacheTime = 50 * time.Millisecond

// poolSupply is what a pool can do and what it has to do.
type poolSupply struct {
	// cores are those of the pool's schedulable workers that aren't taken by lasting work.
	cores float64
	// placed are the core-seconds that placed work items still need, and waiting those of the waiting items of
	// jobs, by overuse level.
	placed  float64
	waiting [maxOveruseLevel + 1]float64
	// runTimeRatio is the pool's ratio of actual to declared run times at the time of the sums.
	runTimeRatio float64
	// forecast is nil if run times are predicted by pool.
	forecast *waitForecast
}

// supplyCache holds the supply of each pool until it expires.
type supplyCache struct {
	expiresAt time.Duration
	byPool    map[string]*poolSupply
	// standbyCores are those of the hosts in standby, which any pool may get.
	standbyCores float64
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
	supply := c.cachedSupply(pool)
	if supply.forecast != nil {
		return supply, supply.forecast.reachableCores()
	}
	return supply, supply.cores + c.supply.standbyCores
}

// cachedSupply returns the supply of the pool in the cache, and adds it if there is none.
func (c *Core) cachedSupply(pool string) *poolSupply {
	supply := c.supply.byPool[pool]
	if supply == nil {
		supply = &poolSupply{runTimeRatio: c.statsOf(pool).runTimeRatio}
		c.supply.byPool[pool] = supply
	}
	return supply
}

// computeSupply computes the supply of all pools.
func (c *Core) computeSupply(now time.Duration) {
	c.supply = supplyCache{expiresAt: now + supplyCacheTime, byPool: map[string]*poolSupply{}, standbyCores: c.standbyCores()}
	for _, w := range c.sortedWorkers() {
		if w.schedulable(now) {
			c.cachedSupply(w.entry.Pool).cores += float64(max(0, w.entry.Capacity.CPUMilli-w.lastingCPUMilli)) / 1000
		}
	}
	for j := range c.activeJobs {
		if j.finished() || j.def.Recurrence.Times > 0 {
			j.supply = nil
			continue
		}
		c.runTimes.renew(j)
		c.cachedSupply(j.def.Queue.Pool).addJob(j, now)
	}
	c.forecastWaits(now)
}

// addJob adds the work of the job.
func (s *poolSupply) addJob(j *job, now time.Duration) {
	j.supply = s
	waiting, placed := j.remainingWork(s.runTimeRatio, now)
	j.waitingWork = waiting
	s.waiting[j.overuseLevel] += waiting
	s.placed += placed
}

// remainingWork returns the core-seconds that the waiting and the placed work items of the job still need.
// Lasting steps don't count.
func (c *Core) remainingWork(j *job, now time.Duration) (waiting, placed float64) {
	return j.remainingWork(c.statsOf(j.def.Queue.Pool).runTimeRatio, now)
}

// remainingWork is Core.remainingWork for a ratio of actual to declared run times.
func (j *job) remainingWork(ratio float64, now time.Duration) (waiting, placed float64) {
	for _, step := range j.steps {
		if step.def.Lasting || step.done() {
			continue
		}
		runTime := step.expectedRunTime(ratio)
		waiting += float64(step.countInState(itemWaiting)) * step.coreSeconds(runTime)
		if step.countInState(itemPlaced) == 0 {
			continue
		}
		for _, i := range step.items {
			if i.state == itemPlaced {
				placed += step.coreSeconds(i.remainingTime(runTime, now))
			}
		}
	}
	return waiting, placed
}

// coreSeconds returns the work of an item of the step that runs for the given time.
func (s *stepInstance) coreSeconds(runTime time.Duration) float64 {
	return runTime.Seconds() * float64(s.def.Need.CPUMilli) / 1000
}

// remainingTime returns how long a placed item with the predicted run time still runs. An item that has taken longer
// than predicted is expected to take a tenth of the prediction more.
func (i *item) remainingTime(runTime, now time.Duration) time.Duration {
	return max(runTime/10, runTime-(now-i.placedAt))
}

// adjustWaiting adds the work of an item that waits from now on to the waiting work of its pool, or takes that of an item
// that doesn't wait any more off it.
func (i *item) adjustWaiting(waits bool) {
	supply := i.countedSupply()
	if supply == nil {
		return
	}
	coreSeconds := i.step.coreSeconds(i.step.expectedRunTime(supply.runTimeRatio))
	if !waits {
		coreSeconds = -coreSeconds
	}
	supply.waiting[i.step.job.overuseLevel] += coreSeconds
}

// addPlaced adds the work of an item that has just been placed to the placed work of its pool.
func (i *item) addPlaced() {
	if supply := i.countedSupply(); supply != nil {
		supply.placed += i.step.coreSeconds(i.step.expectedRunTime(supply.runTimeRatio))
	}
}

// removePlaced takes the work of an item that is released off the placed work of its pool.
func (i *item) removePlaced(now time.Duration) {
	if supply := i.countedSupply(); supply != nil {
		supply.placed -= i.step.coreSeconds(i.remainingTime(i.step.expectedRunTime(supply.runTimeRatio), now))
	}
}

// countedSupply returns the cached supply that includes the item's work, or nil if none does.
func (i *item) countedSupply() *poolSupply {
	if i.step.def.Lasting {
		return nil
	}
	return i.step.job.supply
}
