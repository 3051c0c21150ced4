package scheduler

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// The predicted wait of a job where run times are predicted by kind. The work ahead of the job, in the order in which jobs
// get capacity, is started as fast as the capacity of the pool works off what runs. Capacity counts when it is there: that
// of hosts in transit when they arrive, and that of hosts in standby as far as the pool will get it, which depends on what
// the other pools need.

// maxPredictedWait is the wait that is predicted if the pool has no capacity for the work ahead. After a minute, a short job
// is of no use to its caller under any target in use.
const maxPredictedWait = time.Minute

// waitIterations is the number of steps in which waitBehind approximates the wait. Each step adds the later steps that take
// capacity within the wait of the step before; what is left after four is small compared with the error of the prediction.
const waitIterations = 4

// capacityArrival is capacity that a pool will have.
type capacityArrival struct {
	// in is the time until then, as of the computation of the supply.
	in    time.Duration
	cores float64
}

// waitingWork is waiting work in core-seconds: that of steps that may start, and that of later steps.
type waitingWork struct{ open, later float64 }

// rankedWork is a waiting job with the waiting work of it and of all jobs before it.
type rankedWork struct {
	rankedJob
	upTo waitingWork
}

// waitForecast is what the wait of a job in a pool depends on.
type waitForecast struct {
	// cores are those of the pool's workers, and freeCores the part that no work item has.
	cores, freeCores float64
	// roomiest is the free capacity of the worker with most free cores.
	roomiest work.Resources
	// arrivals are sorted by time. The capacity that the pool gets from standby is the last one.
	arrivals []capacityArrival
	// ranked are the waiting jobs in the order in which they get capacity, and unranked is the work that waits besides: the
	// later steps of jobs that run, and jobs that have no rank yet.
	ranked   []rankedWork
	unranked waitingWork
	// totals are the results of poolSupply.totalUpTo at the time of the computation, by overuse level.
	totals [maxOveruseLevel + 1]float64
}

// reachableCores returns the cores that the pool has, and those that it will have.
func (f *waitForecast) reachableCores() float64 {
	total := f.cores
	for _, a := range f.arrivals {
		total += a.cores
	}
	return total
}

// waitFor returns the time until ahead core-seconds of work have been started, if runs take meanRun. Hosts that arrive are
// empty, and take work that they are done with a mean run time later.
func (f *waitForecast) waitFor(ahead float64, meanRun time.Duration) time.Duration {
	cores, started, at := f.cores, 0.0, time.Duration(0)
	for _, a := range f.arrivals {
		if next := started + cores*(a.in-at).Seconds(); next >= ahead {
			break
		} else {
			started, at = next, a.in
		}
		if started += a.cores * meanRun.Seconds(); started >= ahead {
			return at
		}
		cores += a.cores
	}
	if cores <= 0 {
		return maxPredictedWait
	}
	// Limited before the conversion: a duration has no room for the wait behind very large jobs.
	seconds := min(maxPredictedWait.Seconds(), (ahead-started)/cores)
	return min(maxPredictedWait, at+time.Duration(seconds*float64(time.Second)))
}

// ahead returns the work that gets capacity before the job, as of the computation.
func (f *waitForecast) ahead(r *rankedJob) waitingWork {
	n := sort.Search(len(f.ranked), func(n int) bool { return compareRanked(&f.ranked[n].rankedJob, r) >= 0 })
	if n == 0 {
		return f.unranked
	}
	before := f.ranked[n-1].upTo
	return waitingWork{f.unranked.open + before.open, f.unranked.later + before.later}
}

// waitBehind returns the time until a job starts behind the work ahead of it. A later step of a job ahead takes capacity once
// the runs of the step before it have ended: within the wait, as many do as the wait is a part of a run time.
func (f *waitForecast) waitBehind(ahead waitingWork, meanRun time.Duration) time.Duration {
	wait := f.waitFor(ahead.open, meanRun)
	for range waitIterations {
		later := ahead.later * min(1, wait.Seconds()/meanRun.Seconds())
		wait = f.waitFor(ahead.open+later, meanRun)
	}
	return wait
}

// predictWait returns the predicted time until a submitted job starts, whose critical path is path.
func (c *Core) predictWait(supply *poolSupply, cores float64, def *work.Job, path, offeredAt, now time.Duration) time.Duration {
	level := c.overuseLevel(def, now)
	f := supply.forecast
	if f == nil {
		return supply.waitAt(level, cores)
	}
	need, runTime := c.firstNeed(def)
	r := rankedJob{job: &job{def: def}, ready: true, priority: def.Queue.Priority, overuseLevel: level}
	deadline := relativeDeadline(def, path)
	r.slack = offeredAt + deadline - now - path
	if r.tier = latenessTier(deadline, r.slack); r.slack < 0 {
		r.slack = time.Duration(c.predictCoreSeconds(def) * float64(time.Second))
	}
	// Between two computations only new jobs change the sum by much. Those of customers with a higher level get capacity later.
	ahead := f.ahead(&r)
	ahead.open += max(0, supply.totalUpTo(level)-f.totals[level])
	// Free capacity that the work ahead doesn't take, although it could, isn't usable for another reason.
	if need.Fits(f.roomiest) && f.freeCores-ahead.open/runTime.Seconds() >= float64(need.CPUMilli)/1000 {
		return 0
	}
	// The job also waits until runs have ended on as many cores as it needs.
	ahead.open += runTime.Seconds() * float64(need.CPUMilli) / 1000
	return f.waitBehind(ahead, runTime)
}

// backlogWait returns the time in which the pool starts all of its work up to the overuse level, also that of late jobs, which
// wait behind new ones; 0 if run times are predicted by pool. Without a limit for it, jobs that become late would never run
// while new ones are accepted.
func (f *waitForecast) backlogWait(supply *poolSupply, level int) time.Duration {
	if f == nil {
		return 0
	}
	return f.waitFor(supply.totalUpTo(level), 0)
}

// firstNeed returns the least need of the first steps of the job, and their mean run time.
func (c *Core) firstNeed(def *work.Job) (need work.Resources, runTime time.Duration) {
	for n := range def.Steps {
		step := &def.Steps[n]
		if len(step.After) > 0 || step.Lasting {
			continue
		}
		if runTime == 0 || step.Need.CPUMilli < need.CPUMilli {
			need, runTime = step.Need, c.predictRunTime(def, step)
		}
	}
	return need, max(time.Millisecond, runTime)
}

// total returns the waiting and the placed work, in core-seconds.
func (s *poolSupply) total() float64 { return s.totalUpTo(maxOveruseLevel) }

// totalUpTo is total without the waiting work of jobs with a higher overuse level.
func (s *poolSupply) totalUpTo(level int) float64 {
	total := s.placed
	for _, waiting := range s.waiting[:level+1] {
		total += waiting
	}
	return total
}

// forecastWaits adds the forecasts of waits to the supplies that have just been computed.
func (c *Core) forecastWaits(now time.Duration) {
	if c.runTimes == nil {
		return
	}
	for _, supply := range c.supply.byPool {
		supply.forecast = &waitForecast{cores: supply.cores}
		for level := range supply.forecast.totals {
			supply.forecast.totals[level] = supply.totalUpTo(level)
		}
	}
	for _, w := range c.sortedWorkers() {
		if supply := c.supply.byPool[w.entry.Pool]; supply != nil && w.schedulable(now) {
			free := w.freeCapacity()
			supply.forecast.freeCores += float64(max(0, free.CPUMilli)) / 1000
			if free.CPUMilli > supply.forecast.roomiest.CPUMilli {
				supply.forecast.roomiest = free
			}
		}
	}
	standby := c.addTransits(now)
	c.divideStandby(standby)
	for pool, supply := range c.supply.byPool {
		slices.SortFunc(supply.forecast.arrivals, func(a, b capacityArrival) int { return cmp.Or(cmp.Compare(a.in, b.in), cmp.Compare(a.cores, b.cores)) })
		supply.forecast.rank(supply, c.waiting[pool], c.runTimes.rankedBuffers[pool])
		c.runTimes.rankedBuffers[pool] = supply.forecast.ranked
	}
}

// rank sets the ranked and the unranked work. It uses the buffer, that of the last forecast of the pool.
func (f *waitForecast) rank(supply *poolSupply, waiting *waitingJobs, buffer []rankedWork) {
	clear(buffer)
	f.ranked, f.unranked = buffer[:0], waitingWork{later: supply.total() - supply.placed}
	if waiting == nil {
		return
	}
	var upTo waitingWork
	for n := range waiting.ranked {
		j := waiting.ranked[n].job
		if j.supply != supply {
			continue
		}
		open := j.openWork()
		if n >= waiting.ready {
			// The job has just been accepted, and has no rank yet.
			f.unranked.open += open
			f.unranked.later -= open
			continue
		}
		upTo.open += open
		upTo.later += max(0, j.waitingWork-open)
		f.ranked = append(f.ranked, rankedWork{waiting.ranked[n], upTo})
	}
	f.unranked.later = max(0, f.unranked.later-upTo.open-upTo.later)
}

// openWork returns the core-seconds of the waiting items of the job whose steps may start.
func (j *job) openWork() float64 {
	total := 0.0
	for _, step := range j.openSteps() {
		if !step.def.Lasting {
			total += float64(step.countInState(itemWaiting)) * step.coreSeconds(j.kept.expected[step.number])
		}
	}
	return total
}

// addTransits adds the hosts that move to pools, and returns the cores of the hosts in standby that don't move.
func (c *Core) addTransits(now time.Duration) (standbyCores float64) {
	for id, host := range c.fleet.hosts {
		cores := float64(host.Capacity.CPUMilli) / 1000
		pool, in := host.Pool, c.options.HostMoveTime
		switch m := c.fleet.moves[id]; {
		case host.State == infra.HostDown || host.State == infra.HostMaintenance, c.inUnusableZone(host):
			continue
		case m != nil && (host.Pool != m.pool || host.State != infra.HostUp):
			pool = m.pool
			if m.succeededAt > 0 {
				in = max(0, m.succeededAt+c.options.HostMoveTime-now)
			}
		case host.State == infra.HostMoving:
		case m == nil && c.inStandby(host):
			standbyCores += cores
			continue
		default:
			continue
		}
		if supply := c.supply.byPool[pool]; supply != nil && !c.config.Pools[pool].Standby {
			supply.forecast.arrivals = append(supply.forecast.arrivals, capacityArrival{in, cores})
		}
	}
	return standbyCores
}

// divideStandby divides the hosts in standby among the pools in proportion to what each lacks to work off its backlog in the
// time for which pools are sized. None gets more than it lacks: no more hosts move to it.
func (c *Core) divideStandby(standbyCores float64) {
	lacks, sum := map[string]float64{}, 0.0
	for pool, supply := range c.supply.byPool {
		if c.config.Pools[pool].Standby {
			continue
		}
		load := max(supply.total()/backlogDrainTime.Seconds(), c.peakTracker.loadOf(pool).loadAt(c.clock()))
		if lack := sizeHeadroom*load - supply.forecast.reachableCores(); lack > 0 {
			lacks[pool] = lack
			sum += lack
		}
	}
	for pool, lack := range lacks {
		share := lack * min(1, standbyCores/sum)
		if share > 0 {
			f := c.supply.byPool[pool].forecast
			f.arrivals = append(f.arrivals, capacityArrival{c.options.HostMoveTime, share})
		}
	}
}
