package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

const (
	// holdWait is how long a hold waits at a worker for an end. The lists of serving and lasting work
	// are wanted more often than ends come: their loads are figures for the last half second.
	holdWait        = time.Second
	servingHoldWait = 500 * time.Millisecond
	// idleHold is the pause between holds of a worker on which nothing runs.
	idleHold = 2 * time.Second
	// unconfirmedHold is the pause between holds while ends wait to become durable: a worker lists them
	// again at once, and a slow log must not hide new ends for long.
	unconfirmedHold = 80 * time.Millisecond
	// leaseRenewalStops is the silence after which holds don't renew the lease any more, so that its
	// end stays known although the holds may arrive.
	leaseRenewalStops = 600 * time.Millisecond
	// unhealthyPause keeps new work from a worker that turned an order away, noRoomPause from one
	// that said it has no room.
	unhealthyPause = time.Second
	noRoomPause    = 200 * time.Millisecond
	// greyStreak is how many runs in a row may fail on a worker before it is paused, for firstGreyPause
	// and then twice as long with each further one, up to greyPause. A worker that fails all at once
	// looks free, and would draw work that others would do.
	greyStreak       = 2
	firstGreyPause   = 500 * time.Millisecond
	greyPause        = 4 * time.Second
	maxGreyDoublings = 5
	// stopRetry is the pause before a stop is ordered again.
	stopRetry = 400 * time.Millisecond
	// atWorkPercent is what a lasting work item shows when it is at work.
	atWorkPercent = 100
)

// UpdateWorkers takes changes of the platform's list, and returns the workers that are new.
func (c *Core) UpdateWorkers(update infra.WorkerUpdate) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.poke()
	if update.Reset {
		for _, w := range c.workers {
			w.listed = false
		}
	}
	var added []string
	for _, entry := range update.Entries {
		if c.takeEntry(entry) {
			added = append(added, entry.ID)
		}
	}
	for _, id := range update.Gone {
		if w := c.workers[id]; w != nil {
			w.listed = false
			w.nudge()
			c.logger.WithFields(logrus.Fields{"event": "worker_unlisted", "worker": id, "items": len(w.items)}).Info("worker left the list")
		}
	}
	return added
}

// takeEntry takes an entry and reports whether its worker is new.
func (c *Core) takeEntry(entry infra.WorkerEntry) bool {
	w := c.workers[entry.ID]
	if w == nil {
		w = newWorker(entry)
		w.listed, w.added = true, c.clock()
		c.workers[entry.ID] = w
		c.logger.WithFields(logrus.Fields{"event": "worker_listed", "worker": entry.ID, "pool": entry.Pool, "zone": entry.Zone, "rack": w.rack}).Info("worker is new")
		return true
	}
	added := w.entry.Address == "" || (w.gone && !w.listed)
	if entry.Born > 0 && w.born > 0 && entry.Born > w.born {
		c.reborn(w, entry.Born)
	}
	if entry.Draining && !w.entry.Draining {
		c.logger.WithFields(logrus.Fields{"event": "worker_draining", "worker": entry.ID, "items": len(w.items), "leaves_in_ms": entry.LeavesIn.Milliseconds()}).Info("worker drains")
	}
	w.entry, w.rack, w.listed = entry, rackOf(entry.Labels), true
	w.nudge()
	return added
}

// reborn forgets what ran in the worker's earlier life.
func (c *Core) reborn(w *worker, born int64) {
	c.logger.WithFields(logrus.Fields{"event": "worker_reborn", "worker": w.entry.ID, "born": born, "items": len(w.items)}).Warn("worker started again under its ID")
	for i := range w.items {
		c.release(i)
	}
	w.born, w.handled, w.seen, w.known, w.gone = born, 0, 0, false, false
	w.clockMs, w.leaseEnd, w.streak = 0, 0, 0
}

// WorkerIDs returns the IDs of all workers.
func (c *Core) WorkerIDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.workers))
	for id := range c.workers {
		ids = append(ids, id)
	}
	return ids
}

// Hold says how a worker is to be asked next.
type Hold struct {
	Worker  infra.WorkerRef
	Request infra.HoldRequest
	// Pause comes before the call; Wake ends it early.
	Pause time.Duration
	Wake  <-chan struct{}
	// Over is set when the worker needn't be asked any more.
	Over bool
}

// NextHold decides on the next hold of a worker, without the lease: that is made when it is sent.
func (c *Core) NextHold(id string) Hold {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil || w.gone && len(w.items) == 0 {
		return Hold{Over: true}
	}
	hold := Hold{Worker: w.ref(), Wake: w.wake}
	switch {
	case w.entry.Address == "":
		hold.Pause = idleHold
	case w.failing > 0:
		hold.Pause = min(time.Duration(w.failing)*100*time.Millisecond, time.Second)
		hold.Wake = nil
	case !w.known:
	case w.handled > w.seen:
		// The ends must be durable before they are confirmed; the commit wakes the link.
		hold.Pause = unconfirmedHold
	case len(w.items) == 0:
		hold.Pause = idleHold
	}
	return hold
}

// HoldNow fills in the request of a hold that is sent now.
func (c *Core) HoldNow(id string, confirmed time.Duration) infra.HoldRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return infra.HoldRequest{Token: c.term}
	}
	now := c.clock()
	request := infra.HoldRequest{Token: c.term}
	if w.failing == 0 && w.known {
		// After a failure the worker may have started again, and numbers its ends anew.
		request.Seen = w.seen
		if w.handled == w.seen && len(w.items) > 0 {
			request.Wait = holdWait
			if w.hasLasting() {
				request.Wait = servingHoldWait
			}
		}
	}
	if len(w.items) > 0 && w.clockMs > 0 && now-w.contact < leaseRenewalStops+holdWait && w.failing == 0 {
		request.UntilMs = c.extend(w, now, confirmed)
	}
	return request
}

func (w *worker) hasLasting() bool {
	for i := range w.items {
		if i.step.def.Lasting {
			return true
		}
	}
	return false
}

// extend returns the end of a lease that begins now on the worker's clock, and notes until when what
// runs there may run on. It returns 0 when the term may not extend leases any more.
func (c *Core) extend(w *worker, now, confirmed time.Duration) int64 {
	if now-confirmed > SelfLease || w.clockMs == 0 {
		return 0
	}
	elapsed := now - w.clockAt
	until := w.clockMs + (elapsed + c.options.Lease).Milliseconds()
	end := w.clockAt + time.Duration(float64(elapsed+c.options.Lease)/clockDrift) + lapseMargin
	w.leaseEnd = max(w.leaseEnd, end)
	return until
}

// StartLease returns the lease of a start that is sent now, or 0 when it must not be sent.
func (c *Core) StartLease(order *Order, confirmed time.Duration) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[order.Worker.ID]
	i := c.find(order)
	if w == nil || w.gone || i == nil || i.worker != w || i.run != order.Run || i.stopping {
		return 0
	}
	return c.extend(w, c.clock(), confirmed)
}

// find returns the item of an order.
func (c *Core) find(order *Order) *item {
	j := c.jobs[order.Item.Job]
	if j == nil {
		return nil
	}
	step := j.stepOf(order.Item.Occurrence, order.Item.Step)
	if step == nil || order.Item.Index >= len(step.items) {
		return nil
	}
	return step.items[order.Item.Index]
}

// HoldFailed notes that a hold had no success.
func (c *Core) HoldFailed(id string, sent time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return
	}
	w.failing++
	if w.failing == 1 {
		c.logger.WithFields(logrus.Fields{"event": "worker_lost", "worker": id, "kind": string(infra.KindOf(err)), "items": len(w.items)}).WithError(err).Warn("worker doesn't answer")
	}
	switch infra.KindOf(err) {
	case infra.Fenced:
		c.deposed("hold", id)
	case infra.Reborn:
		// Another worker answers at the address, so this one has ended.
		c.end(w)
	}
	c.poke()
}

// end notes that a worker's life is over.
func (c *Core) end(w *worker) {
	w.gone, w.listed = true, false
	c.giveUp(w, c.clock())
	w.nudge()
}

func (c *Core) deposed(op, id string) {
	if !c.fenced {
		c.logger.WithFields(logrus.Fields{"event": "fenced", "op": op, "at": id, "term": c.term}).Warn("a higher token was seen; this term is over")
	}
	c.fenced = true
	c.poke()
}

// Report takes a worker's answer to a hold that was sent at the given time.
func (c *Core) Report(id string, report infra.WorkerReport, sent time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return
	}
	now := c.clock()
	if report.Born > 0 && w.born > 0 && report.Born != w.born {
		c.reborn(w, report.Born)
	}
	if report.Born > 0 {
		w.born = report.Born
	}
	if w.failing > 0 {
		c.logger.WithFields(logrus.Fields{"event": "worker_regained", "worker": id, "failures": w.failing, "items": len(w.items)}).Info("worker answers again")
	}
	if !w.known {
		c.poke()
	}
	w.failing, w.contact, w.known, w.gone = 0, now, true, false
	w.clockMs, w.clockAt = report.ClockMs, now
	listed := make(map[*item]bool, len(report.Running)+len(report.Ended))
	for _, row := range report.Running {
		c.takeRunning(w, row, listed, now)
	}
	for _, row := range report.Ended {
		c.takeEnded(w, row, listed, now)
	}
	if !report.Partial {
		c.takeAbsent(w, listed, sent)
	}
	c.pace(w, now)
	if w.handled > w.seen {
		c.poke()
	}
}

func (c *Core) takeRunning(w *worker, row infra.Running, listed map[*item]bool, now time.Duration) {
	i := c.find(&Order{Item: row.Item})
	if i != nil && i.state == itemWaiting && !i.step.job.over() && c.unrecorded(i, row.Run) {
		// An earlier term started it and its record was lost.
		i.run, i.placed = row.Run, now
		c.place(i, w)
		c.touch(i.step.job)
	}
	if i == nil || i.worker != w || i.run != row.Run {
		// Nobody waits for this run: it was given up, or its job is over and forgotten.
		c.orders = append(c.orders, Order{Kind: OrderStop, Worker: w.ref(), Item: row.Item, Run: row.Run})
		c.poke()
		return
	}
	listed[i] = true
	i.listed, i.inherited = true, false
	if i.answered == 0 {
		i.answered = now
	}
	if row.Checkpoint != "" {
		i.checkpoint = row.Checkpoint
	}
	if row.Percent > i.percent || i.progressed == 0 {
		i.progressed = now
	}
	i.percent, i.load, i.atWork = row.Percent, row.Load, row.Percent >= atWorkPercent
	if i.step.job.over() && !i.stopping {
		c.stop(i)
	}
}

// unrecorded reports whether an earlier term began the run and its record was lost.
func (c *Core) unrecorded(i *item, run int64) bool {
	return i.step.job.inherited && run > i.accounted && run <= (c.term-1)*runsPerTerm
}

func (c *Core) takeEnded(w *worker, row infra.Ended, listed map[*item]bool, now time.Duration) {
	i := c.find(&Order{Item: row.Item})
	if i != nil && i.worker == w && i.run == row.Run {
		listed[i] = true
	}
	if row.Number <= w.handled {
		return
	}
	w.handled = row.Number
	if i == nil {
		return
	}
	current := i.worker == w && i.run == row.Run
	if !current && !i.dropGhost(w.entry.ID, row.Run) && row.Cause != infra.EndDone && !c.unrecorded(i, row.Run) {
		return
	}
	if row.Checkpoint != "" && i.state != itemDone {
		i.checkpoint = row.Checkpoint
	}
	c.metrics.ended(row.Cause)
	switch row.Cause {
	case infra.EndDone:
		c.itemDone(w, i, row, current, now)
	case infra.EndFailed:
		c.itemFailed(w, i, row, current, now)
	default:
		c.logger.WithFields(logrus.Fields{"event": "run_ended", "item": row.Item.String(), "run": row.Run, "worker": w.entry.ID, "cause": string(row.Cause)}).Info("run ended before it was done")
		if current {
			c.release(i)
		}
	}
	c.touch(i.step.job)
}

func (i *item) dropGhost(worker string, run int64) bool {
	for at, g := range i.ghosts {
		if g.worker == worker && g.run == run {
			i.ghosts = append(i.ghosts[:at], i.ghosts[at+1:]...)
			return true
		}
	}
	return false
}

func (c *Core) itemDone(w *worker, i *item, row infra.Ended, current bool, now time.Duration) {
	w.streak, w.stragglerPause = 0, 0
	if i.step.def.Lasting {
		// Lasting work isn't done before its job is cancelled.
		if current {
			c.release(i)
		}
		return
	}
	if current {
		c.learn(i, now)
	}
	members := []*item{i}
	if i.step.def.Gang {
		members = i.step.items
	}
	for _, member := range members {
		if member.state == itemDone {
			continue
		}
		if member == i && current {
			c.release(i)
		} else if member.state == itemPlaced {
			c.stop(member)
			if member.step.def.Gang {
				c.release(member)
			}
		}
		if member.state != itemDone {
			member.state = itemDone
			member.step.done++
		}
	}
	c.finishIfDone(i.step.job, now)
}

// finishIfDone completes the job when all its items are done.
func (c *Core) finishIfDone(j *job, now time.Duration) {
	if j.over() {
		return
	}
	for _, step := range j.steps {
		if step.done < len(step.items) {
			return
		}
	}
	j.completed, j.ended = true, now
	c.metrics.completed(now - j.accepted)
	c.logger.WithFields(logrus.Fields{"event": "job_completed", "job": j.def.ID, "queue": j.def.Queue.Name, "customer": j.def.Customer,
		"took_ms": (now - j.accepted).Milliseconds()}).Info("job completed")
	c.touch(j)
}

func (c *Core) itemFailed(w *worker, i *item, row infra.Ended, current bool, now time.Duration) {
	w.streak++
	if w.streak >= greyStreak {
		w.pausedTo = now + min(greyPause, firstGreyPause<<min(w.streak-greyStreak, maxGreyDoublings))
		c.logger.WithFields(logrus.Fields{"event": "worker_paused", "worker": w.entry.ID, "failed_in_a_row": w.streak}).Warn("worker fails what it starts")
	}
	i.failures++
	i.avoid, i.failedAt = w, now
	j := i.step.job
	c.logger.WithFields(logrus.Fields{"event": "run_failed", "item": row.Item.String(), "run": row.Run, "worker": w.entry.ID, "failures": i.failures}).Info("run failed")
	if current {
		c.release(i)
	}
	if j.over() || i.step.def.Lasting || j.def.Queue.MaxAttempts <= 0 || i.failures < j.def.Queue.MaxAttempts || i.state == itemDone {
		return
	}
	j.failed, j.ended = true, now
	c.logger.WithFields(logrus.Fields{"event": "job_failed", "job": j.def.ID, "queue": j.def.Queue.Name, "item": row.Item.String(), "failures": i.failures}).Warn("a work item failed too often")
	c.stopJob(j)
	c.touch(j)
}

// takeAbsent releases items that the worker certainly doesn't run: those whose start or stop it
// answered before the hold was sent, and those of earlier terms, whose late orders it refuses now.
func (c *Core) takeAbsent(w *worker, listed map[*item]bool, sent time.Duration) {
	for i := range w.items {
		if listed[i] {
			continue
		}
		answered := i.answered > 0 && i.answered < sent
		stopped := i.stopAnswered > 0 && i.stopAnswered < sent
		if !answered && !stopped && !i.inherited {
			continue
		}
		c.logger.WithFields(logrus.Fields{"event": "run_absent", "item": i.id().String(), "run": i.run, "worker": w.entry.ID, "inherited": i.inherited, "stopped": stopped}).Info("worker doesn't list the run")
		c.release(i)
	}
}

// stop orders the end of a placed item, whether or not it has started: a run that was stopped before
// it arrived doesn't start any more.
func (c *Core) stop(i *item) {
	i.stopping, i.stopSent = true, c.clock()
	c.orders = append(c.orders, Order{Kind: OrderStop, Worker: i.worker.ref(), Item: i.id(), Run: i.run})
	c.poke()
}

// stopJob stops all that runs of the job.
func (c *Core) stopJob(j *job) {
	for _, step := range j.steps {
		for _, i := range step.items {
			if i.state == itemPlaced && !i.stopping {
				c.stop(i)
			}
		}
	}
}

// StartResult takes the result of a start. uncertain is set when an earlier try had no answer.
func (c *Core) StartResult(order *Order, err error, uncertain bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	w, i := c.workers[order.Worker.ID], c.find(order)
	if w == nil || i == nil || i.worker != w || i.run != order.Run {
		return
	}
	kind := infra.KindOf(err)
	c.metrics.start(kind)
	if kind != "" {
		c.logger.WithFields(logrus.Fields{"event": "start_unsuccessful", "item": order.Item.String(), "run": order.Run, "worker": w.entry.ID,
			"kind": string(kind), "uncertain": uncertain}).WithError(err).Info("start had no success")
	}
	switch kind {
	case "", infra.Superseded:
		if i.answered == 0 {
			i.answered = now
		}
		w.nudge()
		return
	case infra.Fenced:
		c.deposed("start", w.entry.ID)
		return
	case infra.Reborn:
		c.end(w)
		return
	case infra.NoRoom:
		w.pausedTo = max(w.pausedTo, now+noRoomPause)
	case infra.Unhealthy, infra.Refused:
		w.pausedTo = max(w.pausedTo, now+unhealthyPause)
	}
	if uncertain || kind == infra.Unknown {
		if !i.listed && !i.stopping {
			c.stop(i)
		}
		return
	}
	c.release(i)
}

// NotSent notes that a start was not sent, so that the item waits again.
func (c *Core) NotSent(order *Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := c.find(order); i != nil && i.worker != nil && i.worker.entry.ID == order.Worker.ID && i.run == order.Run && i.answered == 0 && !i.stopping {
		c.release(i)
	}
}

// StopResult takes the result of a stop.
func (c *Core) StopResult(order *Order, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, i := c.workers[order.Worker.ID], c.find(order)
	if w == nil {
		return
	}
	switch infra.KindOf(err) {
	case infra.Fenced:
		c.deposed("stop", w.entry.ID)
		return
	case infra.Reborn:
		c.end(w)
		return
	}
	if i == nil || i.worker != w || i.run != order.Run {
		return
	}
	if err == nil {
		i.stopAnswered = c.clock()
		w.nudge()
	}
}

// repeatStops orders stops again that had no effect yet.
func (c *Core) repeatStops(now time.Duration) {
	for _, w := range c.workers {
		for i := range w.items {
			if i.stopping && i.stopAnswered == 0 && now-i.stopSent > stopRetry && w.failing == 0 {
				c.stop(i)
			}
		}
	}
}
