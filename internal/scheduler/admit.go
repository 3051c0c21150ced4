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
	// lateFactor times its allowance is when a completed job is still of use, as the users count it.
	lateFactor = 3
	// defaultRun is the run time of a work item that declares none.
	defaultRun = 500 * time.Millisecond
	// orderOverhead is what a step costs besides its work: two appends, an order and its report.
	orderOverhead = 60 * time.Millisecond
	// learnRate is the weight of a new run in the means of real and declared run times.
	learnRate = 0.03
	// minRatio and maxRatio bound their ratio: declared times are off by a factor of about two.
	minRatio, maxRatio = 0.5, 2.0
	// maxActive bounds the unfinished jobs, and with them the memory.
	maxActive = 4000
	// minRetryAfter is the least time that a rejected caller is told to wait.
	minRetryAfter = time.Second
)

// poolState is what is learned of the work of a pool.
type poolState struct {
	// ratio is the mean real run time of work items divided by the mean declared one. The mean of the
	// ratios would be too high, since declared times are off both ways.
	ratio float64
	// real and declared are running means in seconds; 0 before the first run.
	real, declared float64
	// accounts are those of the customers that sent jobs.
	accounts map[string]*account
}

func (c *Core) pool(name string) *poolState {
	p := c.pools[name]
	if p == nil {
		p = &poolState{ratio: 1, accounts: map[string]*account{}}
		c.pools[name] = p
	}
	return p
}

// learn takes the run time of an item that is done.
func (c *Core) learn(i *item, now time.Duration) {
	if i.answered == 0 || i.step.def.Estimate <= 0 || i.inherited {
		return
	}
	p := c.pool(i.step.job.def.Queue.Pool)
	real, declared := (now - i.answered).Seconds(), i.step.def.Estimate.Seconds()
	if p.declared == 0 {
		p.real, p.declared = declared, declared
	}
	p.real += learnRate * (real - p.real)
	p.declared += learnRate * (declared - p.declared)
	p.ratio = min(maxRatio, max(minRatio, p.real/p.declared))
}

// runTime predicts the run time of an item of the step.
func (c *Core) runTime(def *work.Job, step *work.Step) time.Duration {
	if step.Estimate <= 0 {
		return defaultRun
	}
	return time.Duration(float64(step.Estimate) * c.pool(def.Queue.Pool).ratio)
}

// chainOf is the longest chain of run times through the steps; done tells which steps count nothing.
func (c *Core) chainOf(def *work.Job, done func(step int) bool) time.Duration {
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
			ends[number] += c.runTime(def, step)
		}
		longest = max(longest, ends[number])
	}
	return longest
}

// remainingChain is the longest chain of what isn't done of the last occurrence.
func (c *Core) remainingChain(j *job) time.Duration {
	last := j.def.Occurrences() - 1
	return c.chainOf(j.def, func(number int) bool {
		step := j.stepOf(last, number)
		return step.done == len(step.items)
	})
}

// allowance is the time in which a job should be completed.
func (c *Core) allowance(def *work.Job) time.Duration {
	chain := c.chainOf(def, func(int) bool { return false })
	return time.Duration(max(1, def.Queue.Slack)*float64(chain)) + def.Queue.Target
}

// deadline is when the job should be completed, on the core's clock.
func (c *Core) deadline(j *job) time.Duration { return j.accepted + c.allowance(j.def) }

// verdict is a decision on a submission.
type verdict struct {
	accept bool
	reason string
	// wait is the predicted wait and room the longest wait with which the job is still of use.
	wait, room time.Duration
	retryAfter time.Duration
}

// admit decides on a submission.
func (c *Core) admit(def *work.Job, now time.Duration) verdict {
	if len(c.active) >= maxActive {
		return verdict{reason: "too_many_jobs", retryAfter: minRetryAfter}
	}
	if def.Lasting() || def.Recurrence.Times > 0 {
		return verdict{accept: true}
	}
	cores := c.coresOf(def.Queue.Pool, now) + c.spareCores()
	if cores <= 0 {
		// Nothing is known of the pool yet, as right after a change of the scheduler.
		return verdict{accept: true}
	}
	chain := c.chainOf(def, func(int) bool { return false }) + time.Duration(len(def.Steps))*orderOverhead
	room := lateFactor*c.allowance(def) - chain
	ahead := c.ahead(def, now)
	before := c.backlog(def.Queue.Pool, now, func(j *job) bool { return j.ahead <= ahead })
	wait := time.Duration(before / cores * float64(time.Second))
	if wait <= room {
		return verdict{accept: true, wait: wait, room: room}
	}
	return verdict{reason: "overload", wait: wait, room: room, retryAfter: max(minRetryAfter, wait-room)}
}

// spareCores are those of hosts on which nothing runs and that may move to any pool that lacks some.
func (c *Core) spareCores() float64 {
	milli := int64(0)
	for _, host := range c.hosts.hosts {
		if c.inStandby(host) {
			milli += host.Capacity.CPUMilli
		}
	}
	return float64(milli) / 1000
}

// coresOf returns the cores of the pool's open workers that lasting work doesn't take.
func (c *Core) coresOf(pool string, now time.Duration) float64 {
	milli := int64(0)
	for _, w := range c.workers {
		if w.entry.Pool != pool || !w.open(now) {
			continue
		}
		milli += w.entry.Capacity.CPUMilli - w.lastingMilli()
	}
	return float64(milli) / 1000
}

// anyJob counts all jobs in a backlog.
func anyJob(*job) bool { return true }

// inTime counts the jobs that can still be in time.
func (c *Core) inTime(now time.Duration) func(*job) bool {
	return func(j *job) bool { return c.deadline(j)-now >= c.remainingChain(j) }
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
			run := c.runTime(j.def, step.def)
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
