package scheduler

import (
	"time"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/work"
)

const (
	// maxRenewalWait is how long a lease renewal waits at a worker for a run to end: it is a long poll, which
	// the platform calls a hold. lastingRenewalWait applies to workers with lasting items: their reports are
	// needed more often than runs end there, since the reported loads cover the last half second.
	maxRenewalWait     = time.Second
	lastingRenewalWait = 500 * time.Millisecond
	// idleRenewalPause is the pause between the lease renewals of a worker without placed items or without an
	// address.
	idleRenewalPause = 2 * time.Second
	// unackedEndPause is the pause between lease renewals while reported run ends wait to become durable. The
	// worker responds to such renewals immediately, since it still lists the unacknowledged ends. The pause is
	// short so that new ends are seen soon even if the log is slow.
	unackedEndPause = 80 * time.Millisecond
	// failedRenewalPause times the number of consecutive failures is the pause after a failed lease renewal, up
	// to maxFailedRenewalPause. The first failure of a worker that has reported counts as none: a single call may go
	// without a response.
	failedRenewalPause    = 100 * time.Millisecond
	maxFailedRenewalPause = time.Second
	// minResponseTime is the time limit for the response to a lease renewal, besides the wait at the worker, which
	// responds within a few milliseconds. After a failure it is maxResponseTime: on a link with a longer queue each
	// renewal would fail otherwise, with a new connection for the next one, until the lease has lapsed.
	minResponseTime = 400 * time.Millisecond
	maxResponseTime = 800 * time.Millisecond
	// renewalSilenceLimit bounds how long a worker may be silent, beyond maxRenewalWait, before its lease is
	// no longer extended. Renewals that reach the worker while their responses are lost would otherwise keep
	// moving the end of the lease, and with it the time at which the worker's items may start elsewhere.
	renewalSilenceLimit = 600 * time.Millisecond
)

// RenewalPlan describes the next lease renewal of a worker.
type RenewalPlan struct {
	Worker  infra.WorkerRef
	Request infra.LeaseRenewal
	// Pause is the pause before the call; a value from Wake ends it early.
	Pause time.Duration
	Wake  <-chan struct{}
	// Ended is set when the worker needs no more lease renewals.
	Ended bool
}

// NextRenewal returns the plan for the next lease renewal of a worker. BuildRenewal makes the request,
// including the end of the lease, right before it is sent.
func (c *Core) NextRenewal(id string) RenewalPlan {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil || w.ended && len(w.items) == 0 {
		return RenewalPlan{Ended: true}
	}
	// The plan includes what the core has been woken for so far, for example the start of a run. A value that is left
	// would end the next pause at once.
	periodic.Drain(w.wake)
	plan := RenewalPlan{Worker: w.ref(), Wake: w.wake}
	w.renewalAddress = w.entry.Address
	switch {
	case w.entry.Address == "":
		plan.Pause = idleRenewalPause
	case w.failedRenewals > 0:
		failures := w.failedRenewals
		if w.hasReported {
			failures--
		}
		plan.Pause = min(time.Duration(failures)*failedRenewalPause, maxFailedRenewalPause)
		plan.Wake = nil
	case !w.hasReported:
	case w.appliedEnd > w.durableEnd:
		// Ends are acknowledged to the worker only once they are durable; Committed then ends the pause early.
		plan.Pause = unackedEndPause
	case !c.needsWatch(w):
		plan.Pause = idleRenewalPause
	}
	return plan
}

// BuildRenewal returns the request of a lease renewal that is sent now. confirmedAt is when the last confirmed
// append of this term was sent.
func (c *Core) BuildRenewal(id string, confirmedAt time.Duration) infra.LeaseRenewal {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return infra.LeaseRenewal{Token: c.term, ResponseTime: minResponseTime}
	}
	now := c.clock()
	request := infra.LeaseRenewal{Token: c.term}
	w.sentAck = 0
	if w.failedRenewals == 0 && !w.renewalInterrupted && w.hasReported {
		// After a failed renewal the worker may have restarted and may number its ends from 1 again, so that
		// acknowledging ends by number isn't safe. For the same reason each end is acknowledged once only.
		if w.durableEnd > w.ackedEnd {
			request.AckedEnd, w.sentAck = w.durableEnd, w.durableEnd
		}
		if w.appliedEnd == w.durableEnd && c.needsWatch(w) && !w.awaitsAbsence() {
			request.Wait = maxRenewalWait
			if w.hasLasting() {
				request.Wait = lastingRenewalWait
			}
			request.Wait = min(request.Wait, c.maxTrialWait(w, now))
		}
	}
	if len(w.items) > 0 && w.clockMs > 0 && now-w.lastReportAt < renewalSilenceLimit+maxRenewalWait && w.failedRenewals == 0 {
		request.LeaseEndMs = c.extendLease(w, now, confirmedAt)
	}
	w.setRenewalTimes(&request, now)
	return request
}

// needsWatch reports whether the worker has runs whose ends should be seen soon, or late starts, so that a restart should.
func (c *Core) needsWatch(w *worker) bool {
	return len(w.items) > 0 || w.hasStrayRuns() || c.hasOpenLateStarts(w)
}

// maxTrialWait returns how long a lease renewal of the worker may wait so that the end of a trial is seen soon. While
// suspects wait, workers also respond soon so that all their runs are known and a trial can begin.
func (c *Core) maxTrialWait(w *worker, now time.Duration) time.Duration {
	switch {
	case w.trial != nil && w.trial.hasUnconfirmedStart():
		return unconfirmedTrialWait
	case w.trial != nil:
		return w.trial.remaining(now) + trialReportMargin
	case w.reserved || c.jobsOnHoldByPool[w.entry.Pool] > 0:
		return trialTime
	}
	return maxRenewalWait
}

// extendLease returns the end, on the worker's clock, of a lease that begins now. It moves w.leaseEnd to
// the latest time at which that lease lapses if the worker's clock is slow. It returns 0 if the last
// confirmed append of this term, sent at confirmedAt, is too long ago to extend leases.
func (c *Core) extendLease(w *worker, now, confirmedAt time.Duration) int64 {
	if now-confirmedAt > LeaderLease || w.clockMs == 0 {
		return 0
	}
	elapsed := now - w.clockReadAt
	leaseEndMs := w.clockMs + (elapsed + c.options.Lease).Milliseconds()
	end := w.clockReadAt + time.Duration(float64(elapsed+c.options.Lease)/minClockRate) + leaseEndMargin
	w.leaseEnd = max(w.leaseEnd, end)
	return leaseEndMs
}

// LeaseForStart returns the lease end for a start that is sent now, or 0 if the start must not be sent, for example
// because the worker's capacity shrank since the start was planned.
// confirmedAt is when the last confirmed append of this term was sent.
func (c *Core) LeaseForStart(order *Order, confirmedAt time.Duration) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.itemToStart(order)
	if i == nil {
		return 0
	}
	w, now := i.worker, c.clock()
	if w.leaves() || w.inLostZone || !w.withinCapacity() {
		return 0
	}
	if !c.mayRelyOnCapacity(w, now) || c.mayRunAsStray(i, now) || order.Ticket != "" && now >= order.TicketValidUntil {
		return 0
	}
	leaseEndMs := c.extendLease(w, now, confirmedAt)
	if leaseEndMs > 0 {
		i.startSent, i.startInFlight = true, true
		c.leaveStartQueue(i)
	}
	return leaseEndMs
}

// findItem returns the item with the ID, or nil if there is none.
func (c *Core) findItem(id work.ItemID) *item {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.itemAt(id.Occurrence, id.Step, id.Index)
}
