package scheduler

import "time"

// poolWork is the work of a pool on which its planned size is based.
type poolWork struct {
	// placed and waiting are the core-seconds that the work items of accepted jobs still need, and inTimeWaiting is the
	// part of waiting whose jobs can still meet their deadline. Lasting steps and recurring jobs don't count.
	placed, waiting, inTimeWaiting float64
	// usableCPUMilli is the processor capacity that the jobs that can meet their deadline can use at the same time, in
	// thousandths of a core. For each job it counts the step that can use most, since steps run one after the other and
	// much of the backlog can't run yet.
	usableCPUMilli int64
	// lastingHosts is the least number of hosts on which the pool's lasting steps can run with their limits per host, and
	// lastingWaiting is the largest number of waiting work items of one such step.
	lastingHosts, lastingWaiting int
	// usedCPUMilli and lastingCPUMilli are the processor capacity that all placed work and lasting work reserve.
	usedCPUMilli, lastingCPUMilli int64
}

// workByPool computes the work of all pools in one pass over the jobs and one over the workers.
func (c *Core) workByPool(now time.Duration) map[string]poolWork {
	byPool := map[string]*poolWork{}
	pool := func(name string) *poolWork {
		if byPool[name] == nil {
			byPool[name] = &poolWork{}
		}
		return byPool[name]
	}
	for _, w := range c.sortedWorkers() {
		p := pool(w.entry.Pool)
		p.lastingCPUMilli += w.lastingCPUMilli
		if !w.ended {
			p.usedCPUMilli += w.used.CPUMilli
		}
	}
	for j := range c.activeJobs {
		if j.finished() {
			continue
		}
		pool(c.poolOf(j)).addLasting(j)
		if j.def.Recurrence.Times == 0 {
			c.addBacklog(pool(j.def.Queue.Pool), j, now)
		}
	}
	result := make(map[string]poolWork, len(byPool))
	for name, p := range byPool {
		result[name] = *p
	}
	return result
}

// addBacklog adds the work items of the job that don't last.
func (c *Core) addBacklog(p *poolWork, j *job, now time.Duration) {
	waiting, placed := c.remainingWork(j, now)
	p.waiting += waiting
	p.placed += placed
	predicted := c.predict(j)
	if j.offeredAt+predicted.relativeDeadline-now < predicted.remainingPath {
		return
	}
	p.inTimeWaiting += waiting
	p.usableCPUMilli += j.widestStepCPUMilli()
}

// widestStepCPUMilli returns the processor capacity that the step of the job can use at the same time that can use most.
func (j *job) widestStepCPUMilli() int64 {
	widest := int64(0)
	for _, step := range j.steps {
		if !step.def.Lasting {
			widest = max(widest, int64(len(step.items)-step.countInState(itemDone))*step.def.Need.CPUMilli)
		}
	}
	return widest
}

// addLasting adds what the lasting steps of the job need.
func (p *poolWork) addLasting(j *job) {
	for _, step := range j.steps {
		if !step.def.Lasting {
			continue
		}
		p.lastingWaiting = max(p.lastingWaiting, step.countInState(itemWaiting))
		if limit := step.def.MaxPerHost; limit > 0 {
			p.lastingHosts = max(p.lastingHosts, (step.def.Count+limit-1)/limit)
		}
	}
}
