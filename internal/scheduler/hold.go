package scheduler

import (
	"time"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
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
	// failedHold times the failures in a row is the pause after a hold that failed, up to maxFailedHold.
	failedHold    = 100 * time.Millisecond
	maxFailedHold = time.Second
	// leaseRenewalStops is the silence after which holds don't renew the lease any more, so that its
	// end stays known although the holds may arrive.
	leaseRenewalStops = 600 * time.Millisecond
)

// Hold says how a worker is to be asked next.
type Hold struct {
	Worker  infra.WorkerRef
	Request infra.LeaseRenewal
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
		hold.Pause = min(time.Duration(w.failing)*failedHold, maxFailedHold)
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
func (c *Core) HoldNow(id string, confirmed time.Duration) infra.LeaseRenewal {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return infra.LeaseRenewal{FencingToken: c.term}
	}
	now := c.clock()
	request := infra.LeaseRenewal{FencingToken: c.term}
	if w.failing == 0 && w.known {
		// After a failure the worker may have started again, and numbers its ends anew.
		request.AckedEnd = w.seen
		if w.handled == w.seen && len(w.items) > 0 {
			request.Wait = holdWait
			if w.hasLasting() {
				request.Wait = servingHoldWait
			}
		}
	}
	if len(w.items) > 0 && w.clockMs > 0 && now-w.contact < leaseRenewalStops+holdWait && w.failing == 0 {
		request.LeaseEndMs = c.extend(w, now, confirmed)
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
	i := c.find(order.Item)
	if w == nil || w.gone || i == nil || i.worker != w || i.run != order.Run || i.stopping {
		return 0
	}
	return c.extend(w, c.clock(), confirmed)
}

// find returns the item with the ID, or nil.
func (c *Core) find(id work.ItemID) *item {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	step := j.stepOf(id.Occurrence, id.Step)
	if step == nil || id.Index >= len(step.items) {
		return nil
	}
	return step.items[id.Index]
}
