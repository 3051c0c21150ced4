package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/work"
)

// plan places waiting work items on workers.
func (c *Core) plan(now time.Duration) {
	if c.config == nil || c.fenced {
		return
	}
	c.repeatStops(now)
	c.leaveDraining()
	c.stopStragglers(now)
	open := c.openWorkers(now)
	if len(open) == 0 {
		return
	}
	unasked := c.unasked(now)
	for _, j := range c.ordered(now) {
		workers := open[c.poolOf(j)]
		if len(workers) == 0 || j.inherited && unasked {
			continue
		}
		c.planJob(j, workers, now)
	}
}

// unasked reports whether some worker may still run work that an earlier term started and didn't
// record: one that hasn't answered yet and whose lease may not have lapsed. The list of workers isn't
// enough to know them all: entries lapse while workers can't write to the store, and run on.
func (c *Core) unasked(now time.Duration) bool {
	if c.term == 1 || now > c.inheritedLease() {
		return false
	}
	for _, w := range c.workers {
		if !w.known && !w.gone && w.born < c.startedMs {
			return true
		}
	}
	for id := range c.hosts.byWorker {
		if w := c.workers[id]; w == nil || !w.known && !w.gone && w.born < c.startedMs {
			return true
		}
	}
	return len(c.hosts.hosts) == 0
}

// poolOf is the pool that runs the job: that of its queue now, or of its queue when it was accepted
// if the queue is dropped.
func (c *Core) poolOf(j *job) string {
	if pool, known := c.queuePools[j.def.Queue.Name]; known {
		return pool
	}
	return j.def.Queue.Pool
}

// openWorkers returns the workers that may get new work, by pool and in order of ID.
func (c *Core) openWorkers(now time.Duration) map[string][]*worker {
	open := map[string][]*worker{}
	for _, w := range c.workers {
		if w.open(now) {
			open[w.entry.Pool] = append(open[w.entry.Pool], w)
		}
	}
	for _, workers := range open {
		slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	}
	return open
}

// open reports whether the worker may get new work.
func (w *worker) open(now time.Duration) bool {
	return w.listed && w.known && !w.gone && !w.entry.Draining && !w.cordoned && !w.vacating && w.failing == 0 && now >= w.pausedTo
}

// leaveDraining stops lasting work on draining workers, so that it starts elsewhere before they leave.
func (c *Core) leaveDraining() {
	for _, w := range c.workers {
		if !w.entry.Draining || w.failing > 0 {
			continue
		}
		for i := range w.items {
			if i.step.def.Lasting && !i.stopping && i.answered > 0 {
				c.stop(i)
			}
		}
	}
}

// ranked is a job with what orders it.
type ranked struct {
	job     *job
	lasting bool
	// tier is 0 while the job can be in time, 1 while it is late but of use, and 2 after that.
	tier     int
	begun    bool
	priority int
	ahead    int
	// slack is the time left before the remaining chain must start; for late jobs it is replaced by
	// the remaining core-seconds, the smallest first.
	slack time.Duration
}

// ordered returns the jobs with waiting items in the order in which they take room: lasting jobs,
// whose service is interrupted while they wait; then those that can still be in time, begun ones
// first, since a job that is partly done earns nothing, by their customer's share and by slack; then
// the late ones, the smallest first.
func (c *Core) ordered(now time.Duration) []*job {
	var list []ranked
	for j := range c.active {
		if j.over() || !j.durable {
			continue
		}
		chain := c.remainingChain(j)
		slack := c.deadline(j) - now - chain
		tier := c.tier(j, slack)
		if slack < 0 {
			slack = time.Duration(c.workOf(j.def) * float64(time.Second))
		}
		list = append(list, ranked{job: j, lasting: j.def.Lasting(), tier: tier, begun: j.begun, priority: j.def.Queue.Priority, ahead: j.ahead, slack: slack})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(falseFirst(!a.lasting, !b.lasting), cmp.Compare(a.tier, b.tier), falseFirst(!a.begun, !b.begun),
			cmp.Compare(a.priority, b.priority), cmp.Compare(a.ahead, b.ahead), cmp.Compare(a.slack, b.slack), cmp.Compare(a.job.def.ID, b.job.def.ID))
	})
	jobs := make([]*job, len(list))
	for i := range list {
		jobs[i] = list[i].job
	}
	return jobs
}

// tier rates a job by the time that is left before its remaining chain must start.
func (c *Core) tier(j *job, slack time.Duration) int {
	switch {
	case slack >= 0:
		return 0
	case slack >= -(lateFactor-1)*c.allowance(j.def):
		return 1
	}
	return 2
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// planJob places what waits of the job.
func (c *Core) planJob(j *job, workers []*worker, now time.Duration) {
	wall := c.wall()
	for _, step := range j.steps {
		waiting := step.count(itemWaiting)
		if waiting == 0 || !j.ready(step, wall) {
			continue
		}
		if step.def.Gang {
			c.planGang(step, workers, now)
			continue
		}
		placed := 0
		for _, i := range step.items {
			if i.state != itemWaiting {
				continue
			}
			w := c.choose(i, workers)
			if w == nil {
				// The other items of the step need as much; only a different avoided worker tells them apart.
				if i.avoid == nil {
					break
				}
				continue
			}
			c.start(i, w, now)
			placed++
		}
		if placed > 0 {
			c.logger.WithFields(logrus.Fields{"event": "items_placed", "job": j.def.ID, "occurrence": step.occurrence, "step": step.number,
				"placed": placed, "waiting": waiting - placed, "age_ms": (now - j.accepted).Milliseconds()}).Info("work items placed")
		}
	}
}

// planGang places all items of a gang, or none.
func (c *Core) planGang(step *stepRun, workers []*worker, now time.Duration) {
	var placed []*item
	run := int64(0)
	for _, i := range step.items {
		if i.state == itemDone {
			continue
		}
		if i.state == itemPlaced {
			// A member of the last run hasn't ended yet.
			return
		}
		w := c.choose(i, workers)
		if w == nil {
			break
		}
		c.place(i, w)
		placed = append(placed, i)
		run = max(run, i.runs)
	}
	if len(placed) < len(step.items) {
		for _, i := range placed {
			c.release(i)
		}
		return
	}
	checkpoint := step.items[0].checkpoint
	for _, i := range placed {
		i.runs, i.checkpoint = run, checkpoint
		c.order(i, now)
	}
}

// start places the item and orders its start.
func (c *Core) start(i *item, w *worker, now time.Duration) {
	c.place(i, w)
	c.order(i, now)
}

// order numbers the run of a placed item and orders its start.
func (c *Core) order(i *item, now time.Duration) {
	i.runs++
	i.run = (c.term-1)*runsPerTerm + i.runs
	i.placed, i.progressed = now, now
	j := i.step.job
	j.begun = true
	c.orders = append(c.orders, Order{Kind: OrderStart, Worker: i.worker.ref(), Item: i.id(), Run: i.run, Spec: j.def.Spec,
		Checkpoint: i.checkpoint, NeedsAdvice: j.def.Queue.NeedsAdvice})
	c.touch(j)
}

// Weights of choose: a worker with a lower score is taken. Being away from the data costs more than
// any difference in room, since it multiplies the run time.
const (
	farScore     = 4.0
	avoidedScore = 8.0
	apartScore   = 2.0
	waveScore    = 1.0
)

// choose returns the worker for a waiting item, or nil when none has room or the customer's limit is reached.
func (c *Core) choose(i *item, workers []*worker) *worker {
	step := i.step
	customer := step.job.def.Customer
	if limit, ok := c.config.Customers[customer]; ok {
		if !c.used[customer].Plus(step.def.Need).Fits(limit.EffectiveLimit()) {
			return nil
		}
	}
	need := step.need()
	barred := i.barred(c.clock(), len(workers))
	var best *worker
	bestScore := 0.0
	for _, w := range workers {
		if w == barred || !need.Fits(w.free()) || !w.suits(step) {
			continue
		}
		score := c.score(i, w)
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// barTime is how long a work item waits for another worker after a run of it failed.
const barTime = 1500 * time.Millisecond

// barred returns the worker that may not run the item now: the one that failed it, unless the pool has
// no other. Without it the attempts of a good item are used up on a worker that fails everything.
func (i *item) barred(now time.Duration, workers int) *worker {
	if i.failedAt == 0 || workers < 2 || now-i.failedAt > barTime {
		return nil
	}
	return i.avoid
}

// suits reports whether the worker may run items of the step.
func (w *worker) suits(step *stepRun) bool {
	if step.def.Label != "" && !slices.Contains(w.entry.Labels, step.def.Label) {
		return false
	}
	return step.def.MaxPerHost <= 0 || step.onWorker(w) < step.def.MaxPerHost
}

// score rates a worker that has room.
func (c *Core) score(i *item, w *worker) float64 {
	step := i.step
	score := 0.0
	if step.def.DataRack != "" && step.def.DataRack != w.rack {
		score += farScore
	}
	if step.def.SameRack && step.rack != "" && step.rack != w.rack {
		score += farScore
	}
	if i.avoid == w {
		score += avoidedScore
	}
	if c.hosts.due(w.entry.ID) && step.def.Lasting {
		score += waveScore
	}
	// Work is packed: lasting work leaves hosts free that may move, and wide items find room.
	free := fraction(w.free(), w.entry.Capacity)
	if step.def.Lasting != w.hasLasting() {
		score += apartScore
	}
	return score + free
}

// fraction is the larger used part of processor and memory, as a share that is free.
func fraction(free, capacity work.Resources) float64 {
	cpu, memory := 1.0, 1.0
	if capacity.CPUMilli > 0 {
		cpu = float64(free.CPUMilli) / float64(capacity.CPUMilli)
	}
	if capacity.MemoryMiB > 0 {
		memory = float64(free.MemoryMiB) / float64(capacity.MemoryMiB)
	}
	return min(cpu, memory)
}
