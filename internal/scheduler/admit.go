package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/overload"
	"turmericyoke/internal/work"
)

// Admission control is designed for queues that ask for several times the capacity of their pool for some
// seconds, and then for almost nothing. Jobs that can't meet their deadline any more wait behind those
// that can, and run when the load is low. A job that would be completed too late to be of use to its caller
// is rejected immediately, with a retry delay.
const (
	// latenessCutoff is the multiple of its relative deadline after which a completed job is of no use to
	// its caller, as the users measure it.
	latenessCutoff = 3
	// defaultRunTime is the predicted run time of a work item that declares none.
	defaultRunTime = 500 * time.Millisecond
	// stepOverhead is the time that a step takes besides its work: two appends to the log, the order to
	// the worker and the worker's report.
	stepOverhead = 60 * time.Millisecond
	// runTimeSmoothing is the weight of a new run in the moving averages of actual and declared run times.
	runTimeSmoothing = 0.03
	// minRunTimeRatio and maxRunTimeRatio bound the ratio of actual to declared run times: declared times
	// are off by a factor of about two.
	minRunTimeRatio, maxRunTimeRatio = 0.5, 2.0
	// maxActiveJobs limits the number of unfinished jobs: planning passes over all of them.
	maxActiveJobs = 4000
	// minRetryAfter is the shortest retry delay that a rejected caller is given.
	minRetryAfter = time.Second
)

// poolStats holds the run-time statistics of a pool, and the accounts of its customers.
type poolStats struct {
	// runTimeRatio is the mean actual run time of work items divided by the mean declared one. The mean
	// of the items' ratios would be too high, since declared times are off in both directions.
	runTimeRatio float64
	// meanActual and meanDeclared are moving averages in seconds; 0 before the first run.
	meanActual, meanDeclared float64
	// accounts holds the customers that sent jobs to the pool, by name.
	accounts map[string]*account
	// crashedAt is when a crash was last counted against a work item in the pool; 0 if none was.
	crashedAt time.Duration
}

// statsOf returns the statistics of the pool, and creates them if there are none.
func (c *Core) statsOf(pool string) *poolStats {
	stats := c.statsByPool[pool]
	if stats == nil {
		stats = &poolStats{runTimeRatio: 1, accounts: map[string]*account{}}
		c.statsByPool[pool] = stats
	}
	return stats
}

// observeRunTime updates the run-time statistics with an item that is done. Inherited items don't count,
// since it isn't known when they started.
func (c *Core) observeRunTime(i *item, now time.Duration) {
	c.runTimes.observe(i, now)
	if i.startConfirmedAt == 0 || i.step.def.Estimate <= 0 || i.inherited {
		return
	}
	stats := c.statsOf(i.step.job.def.Queue.Pool)
	actual, declared := (now - i.startConfirmedAt).Seconds(), i.step.def.Estimate.Seconds()
	if stats.meanDeclared == 0 {
		stats.meanActual, stats.meanDeclared = declared, declared
	}
	stats.meanActual += runTimeSmoothing * (actual - stats.meanActual)
	stats.meanDeclared += runTimeSmoothing * (declared - stats.meanDeclared)
	stats.runTimeRatio = min(maxRunTimeRatio, max(minRunTimeRatio, stats.meanActual/stats.meanDeclared))
}

// predictRunTime returns the expected run time of a work item of the step.
func (c *Core) predictRunTime(def *work.Job, step *work.Step) time.Duration {
	if c.runTimes != nil {
		return c.runTimes.expected(def, step)
	}
	return scaledRunTime(step, c.statsOf(def.Queue.Pool).runTimeRatio)
}

// scaledRunTime returns the expected run time of a work item of the step in a pool with the ratio of actual to declared
// run times.
func scaledRunTime(step *work.Step, ratio float64) time.Duration {
	if step.Estimate <= 0 {
		return defaultRunTime
	}
	return time.Duration(float64(step.Estimate) * ratio)
}

// criticalPath returns the longest chain of predicted run times through the steps of one occurrence.
// Steps for which done returns true take no time.
func (c *Core) criticalPath(def *work.Job, done func(step int) bool) time.Duration {
	return longestChain(def, func(number int) time.Duration {
		if done(number) {
			return 0
		}
		return c.pathRunTime(def, &def.Steps[number])
	})
}

// longestChain returns the longest chain of run times through the steps of one occurrence.
func longestChain(def *work.Job, runTime func(step int) time.Duration) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(def.Steps))
	for number := range def.Steps {
		for _, dependency := range def.Steps[number].After {
			if dependency >= 0 && dependency < number {
				ends[number] = max(ends[number], ends[dependency])
			}
		}
		ends[number] += runTime(number)
		longest = max(longest, ends[number])
	}
	return longest
}

// relativeDeadline returns the time from its first submission in which a job with the critical path should be
// completed.
func relativeDeadline(def *work.Job, path time.Duration) time.Duration {
	return time.Duration(max(1, def.Queue.Slack)*float64(path)) + def.Queue.Target
}

// admission is the decision on a submitted job.
type admission struct {
	accepted bool
	// reason is the machine-readable reason for a rejection; empty for an accepted job.
	reason string
	// predictedWait is the predicted time until the job starts, and maxWait the longest wait after which
	// the completed job is still of use.
	predictedWait, maxWait time.Duration
	retryAfter             time.Duration
	forecast               forecast
	// explanation holds log fields that say what the job gives way to; nil without the order by cost.
	explanation logrus.Fields
	// sizeClass is that of the job.
	sizeClass overload.SizeClass
}

// admit decides whether a job is accepted that was first submitted at offeredAt.
func (c *Core) admit(def *work.Job, offeredAt, now time.Duration) admission {
	if len(c.activeJobs) >= maxActiveJobs {
		return admission{reason: "too_many_jobs", retryAfter: minRetryAfter}
	}
	if !c.hasMemoryFor(definitionBytes(def) + occurrenceBytes(def)) {
		return admission{reason: "memory", retryAfter: memoryRetryAfter}
	}
	if def.Lasting() || def.Recurrence.Times > 0 {
		return admission{accepted: true}
	}
	supply, cores := c.supplyOf(def.Queue.Pool, now)
	if cores <= 0 && c.isEvacuated(def.Queue.Pool) {
		return admission{reason: evacuatedReason, retryAfter: evacuationRetryAfter}
	}
	if cores <= 0 {
		// The workers of the pool aren't known yet, as right after the start of a term.
		return admission{accepted: true}
	}
	path := c.criticalPath(def, func(int) bool { return false })
	runTime := path + time.Duration(len(def.Steps))*stepOverhead
	maxWait := latenessCutoff*relativeDeadline(def, path) - runTime - (now - offeredAt)
	if c.options.Policy.Overload.ByCost() {
		return c.admitByCost(def, path, maxWait, offeredAt, now)
	}
	predictedWait := c.predictWait(supply, cores, def, path, offeredAt, now)
	requiredWait := max(predictedWait, supply.forecast.backlogWait(supply, c.overuseLevel(def, now)))
	if requiredWait <= maxWait {
		return admission{accepted: true, predictedWait: predictedWait, maxWait: maxWait, forecast: c.forecastFor(def, path, predictedWait)}
	}
	return admission{reason: "overload", predictedWait: requiredWait, maxWait: maxWait, retryAfter: max(minRetryAfter, requiredWait-maxWait)}
}

// standbyCores returns the cores of the hosts in standby. No work runs on them, and any pool that lacks
// hosts may get them.
func (c *Core) standbyCores() float64 {
	milli := int64(0)
	for _, host := range c.fleet.hosts {
		if c.inStandby(host) && !c.inUnusableZone(host) {
			milli += host.Capacity.CPUMilli
		}
	}
	return float64(milli) / 1000
}
