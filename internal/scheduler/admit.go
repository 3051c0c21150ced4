package scheduler

import (
	"time"

	"turmericyoke/internal/work"
)

// Admission answers the load of a queue that asks for several times what its pool holds for some
// seconds and then for almost nothing. Jobs that can't be in time any more wait behind those that can,
// and are done in the trough. A job that would be completed so late that its caller has no use for it
// is rejected at once, with the time at which it may come back.
const (
	// latenessCutoff times its allowance is when a completed job is still of use, as the users count it.
	latenessCutoff = 3
	// defaultRunTime is the run time of a work item that declares none.
	defaultRunTime = 500 * time.Millisecond
	// stepOverhead is what a step costs besides its work: two appends, an order and its report.
	stepOverhead = 60 * time.Millisecond
	// runTimeSmoothing is the weight of a new run in the means of real and declared run times.
	runTimeSmoothing = 0.03
	// minRunTimeRatio and maxRatio bound their ratio: declared times are off by a factor of about two.
	minRunTimeRatio, maxRunTimeRatio = 0.5, 2.0
	// maxActiveJobs bounds the unfinished jobs, and with them the memory.
	maxActiveJobs = 4000
	// minRetryAfter is the least time that a rejected caller is told to wait.
	minRetryAfter = time.Second
)

// poolStats is what is learned of the work of a pool.
type poolStats struct {
	// runTimeRatio is the mean real run time of work items divided by the mean declared one. The mean of the
	// ratios would be too high, since declared times are off both ways.
	runTimeRatio float64
	// meanActual and declared are running means in seconds; 0 before the first run.
	meanActual, meanDeclared float64
	// accounts are those of the customers that sent jobs.
	accounts map[string]*account
}

func (c *Core) statsOf(name string) *poolStats {
	p := c.pools[name]
	if p == nil {
		p = &poolStats{runTimeRatio: 1, accounts: map[string]*account{}}
		c.pools[name] = p
	}
	return p
}

// observeRunTime takes the run time of an item that is done.
func (c *Core) observeRunTime(i *item, now time.Duration) {
	if i.answered == 0 || i.step.def.Estimate <= 0 || i.inherited {
		return
	}
	p := c.statsOf(i.step.job.def.Queue.Pool)
	real, declared := (now - i.answered).Seconds(), i.step.def.Estimate.Seconds()
	if p.meanDeclared == 0 {
		p.meanActual, p.meanDeclared = declared, declared
	}
	p.meanActual += runTimeSmoothing * (real - p.meanActual)
	p.meanDeclared += runTimeSmoothing * (declared - p.meanDeclared)
	p.runTimeRatio = min(maxRunTimeRatio, max(minRunTimeRatio, p.meanActual/p.meanDeclared))
}

// predictRunTime predicts the run time of an item of the step.
func (c *Core) predictRunTime(def *work.Job, step *work.Step) time.Duration {
	if step.Estimate <= 0 {
		return defaultRunTime
	}
	return time.Duration(float64(step.Estimate) * c.statsOf(def.Queue.Pool).runTimeRatio)
}

// criticalPath is the longest chain of run times through the steps; done tells which steps count nothing.
func (c *Core) criticalPath(def *work.Job, done func(step int) bool) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(def.Steps))
	for number := range def.Steps {
		step := &def.Steps[number]
		start := time.Duration(0)
		for _, before := range step.After {
			if before >= 0 && before < number {
				start = max(start, ends[before])
			}
		}
		ends[number] = start
		if !done(number) {
			ends[number] += c.predictRunTime(def, step)
		}
		longest = max(longest, ends[number])
	}
	return longest
}

// remainingCriticalPath is the longest chain of what isn't done of the last occurrence.
func (c *Core) remainingCriticalPath(j *job) time.Duration {
	last := j.def.Occurrences() - 1
	return c.criticalPath(j.def, func(number int) bool {
		step := j.stepOf(last, number)
		return step.done == len(step.items)
	})
}

// relativeDeadline is the time in which a job should be completed.
func (c *Core) relativeDeadline(def *work.Job) time.Duration {
	chain := c.criticalPath(def, func(int) bool { return false })
	return time.Duration(max(1, def.Queue.Slack)*float64(chain)) + def.Queue.Target
}

// deadline is when the job should be completed, on the core's clock.
func (c *Core) deadline(j *job) time.Duration { return j.accepted + c.relativeDeadline(j.def) }

// admission is a decision on a submission.
type admission struct {
	accepted bool
	reason   string
	// predictedWait is the predicted wait and room the longest wait with which the job is still of use.
	predictedWait, maxWait time.Duration
	retryAfter             time.Duration
}

// admit decides on a submission.
func (c *Core) admit(def *work.Job, now time.Duration) admission {
	if len(c.active) >= maxActiveJobs {
		return admission{reason: "too_many_jobs", retryAfter: minRetryAfter}
	}
	if def.Lasting() || def.Recurrence.Times > 0 {
		return admission{accepted: true}
	}
	cores := c.availableCores(def.Queue.Pool, now) + c.standbyCores()
	if cores <= 0 {
		// Nothing is known of the pool yet, as right after a change of the scheduler.
		return admission{accepted: true}
	}
	chain := c.criticalPath(def, func(int) bool { return false }) + time.Duration(len(def.Steps))*stepOverhead
	room := latenessCutoff*c.relativeDeadline(def) - chain
	ahead := c.stepsAheadOfShare(def, now)
	before := c.backlog(def.Queue.Pool, now, func(j *job) bool { return j.ahead <= ahead })
	wait := time.Duration(before / cores * float64(time.Second))
	if wait <= room {
		return admission{accepted: true, predictedWait: wait, maxWait: room}
	}
	return admission{reason: "overload", predictedWait: wait, maxWait: room, retryAfter: max(minRetryAfter, wait-room)}
}

// standbyCores are those of hosts on which nothing runs and that may move to any pool that lacks some.
func (c *Core) standbyCores() float64 {
	milli := int64(0)
	for _, host := range c.hosts.hosts {
		if c.inStandby(host) {
			milli += host.Capacity.CPUMilli
		}
	}
	return float64(milli) / 1000
}

// availableCores returns the cores of the pool's open workers that lasting work doesn't take.
func (c *Core) availableCores(pool string, now time.Duration) float64 {
	milli := int64(0)
	for _, w := range c.workers {
		if w.entry.Pool != pool || !w.schedulable(now) {
			continue
		}
		milli += w.entry.Capacity.CPUMilli - w.lastingMilli()
	}
	return float64(milli) / 1000
}

// anyJob counts all jobs in a backlog.
func anyJob(*job) bool { return true }

// canMeetDeadline counts the jobs that can still be in time.
func (c *Core) canMeetDeadline(now time.Duration) func(*job) bool {
	return func(j *job) bool { return c.deadline(j)-now >= c.remainingCriticalPath(j) }
}

// backlog returns the core-seconds that accepted jobs of the pool still need: for what runs, and for
// what waits of the jobs that count.
func (c *Core) backlog(pool string, now time.Duration, counts func(*job) bool) float64 {
	total := 0.0
	for j := range c.active {
		if j.over() || j.def.Queue.Pool != pool || j.def.Recurrence.Times > 0 {
			continue
		}
		counted := counts(j)
		for _, step := range j.steps {
			if step.def.Lasting {
				continue
			}
			run := c.predictRunTime(j.def, step.def)
			for _, i := range step.items {
				left := run
				switch {
				case i.state == itemDone, !counted && i.state == itemWaiting:
					continue
				case i.state == itemPlaced:
					left = max(run/10, run-(now-i.placed))
				}
				total += left.Seconds() * float64(step.def.Need.CPUMilli) / 1000
			}
		}
	}
	return total
}
