package scheduler

import (
	"slices"
	"time"

	"turmericyoke/internal/infra"
)

// Some calls to workers have no response, although the worker is up and answers others. The end of a run is then
// noticed only after the time limit of the renewal that should have reported it. Such workers therefore get short
// renewals with a short time limit, and new work only if no other worker with the same advantages can take it. A worker
// that doesn't confirm a start in all attempts gets no new work for a while, and then another start.
const (
	// unresponsiveTime is how long a worker counts as unresponsive after a call without a response. It is several times
	// the interval between the calls to a worker with work items, so that a worker that leaves a tenth of its calls
	// unanswered stays unresponsive.
	unresponsiveTime = 10 * time.Second
	// unresponsiveRenewalWait is how long a lease renewal waits at an unresponsive worker for a run to end.
	unresponsiveRenewalWait = 200 * time.Millisecond
	// unresponsiveResponseTime is the time limit for the response of an unresponsive worker to a lease renewal, besides
	// the renewal's wait. It doubles with each consecutive failure after the first one, up to maxResponseTime: workers
	// behind a slow link need longer than the few milliseconds of others.
	unresponsiveResponseTime = 100 * time.Millisecond
	// minUnconfirmedPause is how long a worker gets no new work after it didn't confirm a start. The pause doubles, up
	// to maxUnconfirmedPause, with each further such start in a row.
	minUnconfirmedPause = time.Second
	maxUnconfirmedPause = 4 * time.Second
	// maxTimelyDelay is how late this process may be for a call without a response to count against the worker. A
	// process that is later may reach the time limit of a call although the response has arrived.
	maxTimelyDelay = 50 * time.Millisecond
)

// CallUnanswered notes that a call to the worker had no response.
func (c *Core) CallUnanswered(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.workers[id]; w != nil {
		c.noteUnanswered(w)
	}
}

// noteUnanswered notes that a call to the worker had no response.
func (c *Core) noteUnanswered(w *worker) {
	if c.delay <= maxTimelyDelay {
		w.unansweredAt = c.clock()
		c.noteZoneUnanswered(w)
	}
}

// noteResponse notes how long the response to a lease renewal took that followed a failed one and didn't wait at the
// worker. A long time shows a slow link, on which short time limits would make each call fail.
func (w *worker) noteResponse(took time.Duration) {
	if took > unresponsiveResponseTime {
		w.unansweredAt = 0
	}
}

// pauseUnconfirmed pauses a worker that hasn't confirmed a start. Starts that were sent before the pause don't make it
// longer.
func (w *worker) pauseUnconfirmed(now time.Duration) {
	if now < w.pausedUntil {
		return
	}
	w.unconfirmedPause = min(maxUnconfirmedPause, max(minUnconfirmedPause, 2*w.unconfirmedPause))
	w.pausedUntil = now + w.unconfirmedPause
	w.probeUntil = w.pausedUntil
}

// pauseUntil keeps new work from the worker until then.
func (w *worker) pauseUntil(until time.Duration) {
	w.pausedUntil = max(w.pausedUntil, until)
	w.probeUntil = 0
}

// Unresponsive reports whether the worker has recently left a call unanswered.
func (c *Core) Unresponsive(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	return w != nil && w.unresponsive(c.clock())
}

// unresponsive reports whether the worker has recently left a call unanswered.
func (w *worker) unresponsive(now time.Duration) bool {
	return w.unansweredAt > 0 && now-w.unansweredAt < unresponsiveTime
}

// setRenewalTimes sets how long the renewal may wait at the worker for a run to end, and its time limit.
func (w *worker) setRenewalTimes(request *infra.LeaseRenewal, now time.Duration) {
	request.ResponseTime = minResponseTime
	if w.failedRenewals > 0 {
		request.ResponseTime = maxResponseTime
	}
	if !w.unresponsive(now) {
		return
	}
	request.Wait = min(request.Wait, unresponsiveRenewalWait)
	request.ResponseTime = unresponsiveResponseTime
	for n := 1; n < w.failedRenewals && request.ResponseTime < maxResponseTime; n++ {
		request.ResponseTime *= 2
	}
}

// awaitsAbsence reports whether the worker has confirmed a stop since the last report was requested. Only a later report
// tells whether the run is there, and a worker that runs nothing else has no end to wait for.
func (w *worker) awaitsAbsence() bool {
	for i := range w.items {
		if i.stopConfirmedAt > 0 && i.stopConfirmedAt >= w.reportSentAt {
			return true
		}
	}
	return slices.ContainsFunc(w.lateStarts, func(s *lateStart) bool {
		return !s.refused && s.stopConfirmedAt > 0 && s.stopConfirmedAt >= w.reportSentAt
	})
}
