package scheduler

import (
	"time"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

const (
	// maxHoldWait is how long a hold waits at a worker for an end. The lists of serving and lasting work
	// are wanted more often than ends come: their loads are figures for the last half second.
	maxHoldWait     = time.Second
	lastingHoldWait = 500 * time.Millisecond
	// idleHoldPause is the pause between holds of a worker on which nothing runs.
	idleHoldPause = 2 * time.Second
	// unconfirmedHoldPause is the pause between holds while ends wait to become durable: a worker lists them
	// again at once, and a slow log must not hide new ends for long.
	unconfirmedHoldPause = 80 * time.Millisecond
	// failedHoldPause times the failures in a row is the pause after a hold that failed, up to maxFailedHold.
	failedHoldPause    = 100 * time.Millisecond
	maxFailedHoldPause = time.Second
	// renewalSilenceLimit is the silence after which holds don't renew the lease any more, so that its
	// end stays known although the holds may arrive.
	renewalSilenceLimit = 600 * time.Millisecond
)

// HoldPlan says how a worker is to be asked next.
type HoldPlan struct {
	Worker  infra.WorkerRef
	Request infra.HoldRequest
	// Pause comes before the call; Wake ends it early.
	Pause time.Duration
	Wake  <-chan struct{}
	// Ended is set when the worker needn't be asked any more.
	Ended bool
}

// NextHold decides on the next hold of a worker, without the lease: that is made when it is sent.
func (c *Core) NextHold(id string) HoldPlan {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil || w.ended && len(w.items) == 0 {
		return HoldPlan{Ended: true}
	}
	hold := HoldPlan{Worker: w.ref(), Wake: w.wake}
	switch {
	case w.entry.Address == "":
		hold.Pause = idleHoldPause
	case w.failedHolds > 0:
		hold.Pause = min(time.Duration(w.failedHolds)*failedHoldPause, maxFailedHoldPause)
		hold.Wake = nil
	case !w.hasReported:
	case w.appliedEnd > w.durableEnd:
		// The ends must be durable before they are confirmed; the commit wakes the link.
		hold.Pause = unconfirmedHoldPause
	case len(w.items) == 0:
		hold.Pause = idleHoldPause
	}
	return hold
}

// BuildHoldRequest fills in the request of a hold that is sent now.
func (c *Core) BuildHoldRequest(id string, confirmed time.Duration) infra.HoldRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return infra.HoldRequest{Token: c.term}
	}
	now := c.clock()
	request := infra.HoldRequest{Token: c.term}
	if w.failedHolds == 0 && w.hasReported {
		// After a failure the worker may have started again, and numbers its ends anew.
		request.Seen = w.durableEnd
		if w.appliedEnd == w.durableEnd && len(w.items) > 0 {
			request.Wait = maxHoldWait
			if w.hasLasting() {
				request.Wait = lastingHoldWait
			}
		}
	}
	if len(w.items) > 0 && w.clockMs > 0 && now-w.lastReportAt < renewalSilenceLimit+maxHoldWait && w.failedHolds == 0 {
		request.LeaseEndMs = c.extendLease(w, now, confirmed)
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

// extendLease returns the end of a lease that begins now on the worker's clock, and notes until when what
// runs there may run on. It returns 0 when the term may not extend leases any more.
func (c *Core) extendLease(w *worker, now, confirmed time.Duration) int64 {
	if now-confirmed > LeaderLease || w.clockMs == 0 {
		return 0
	}
	elapsed := now - w.clockReadAt
	until := w.clockMs + (elapsed + c.options.Lease).Milliseconds()
	end := w.clockReadAt + time.Duration(float64(elapsed+c.options.Lease)/minClockRate) + leaseEndMargin
	w.leaseEnd = max(w.leaseEnd, end)
	return until
}

// StartLease returns the lease of a start that is sent now, or 0 when it must not be sent.
func (c *Core) StartLease(order *Order, confirmed time.Duration) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[order.Worker.ID]
	i := c.findItem(order.Item)
	if w == nil || w.ended || i == nil || i.worker != w || i.run != order.Run || i.stopping {
		return 0
	}
	return c.extendLease(w, c.clock(), confirmed)
}

// findItem returns the item with the ID, or nil.
func (c *Core) findItem(id work.ItemID) *item {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	step := j.stepAt(id.Occurrence, id.Step)
	if step == nil || id.Index >= len(step.items) {
		return nil
	}
	return step.items[id.Index]
}
