package placement

import "time"

const (
	// minFailedJobs is the number of different jobs that have to fail on a worker before it is quarantined.
	minFailedJobs = 3
	// minFailureRate is the lowest failure rate at which a worker is quarantined.
	minFailureRate = 0.5
	// minRateOverPeers is the lowest ratio of a worker's failure rate to that of its peers at which it is
	// quarantined.
	minRateOverPeers = 2.0
	// healthWindow is the time over which failures and successes are counted.
	healthWindow = 5 * time.Minute
	// firstQuarantine is the duration of the first quarantine. It doubles with each failed retry, up to
	// lastQuarantine.
	firstQuarantine = 30 * time.Second
	lastQuarantine  = 16 * time.Minute
	// unlimitedStarts is the value of MaxStarts for a healthy worker.
	unlimitedStarts = 1 << 20
	// maxTrackedJobs is the number of jobs with failures above which all of them are forgotten.
	maxTrackedJobs = 4096
)

// Health tracks failures to start jobs. It distinguishes faulty workers, which it quarantines, from faulty
// jobs, which fail on any worker.
type Health struct {
	workers map[string]*workerHealth
	// failedOn lists the workers on which a job failed.
	failedOn map[string][]string
}

type workerHealth struct {
	// windowStart is the start of the current healthWindow.
	windowStart time.Time
	// failedJobs are the different jobs whose failures count against the worker.
	failedJobs map[string]bool
	// succeeded is the number of successful starts. It is halved at the end of each window and reset by a
	// quarantine.
	succeeded int
	// quarantineLevel is the number of successive quarantines, at most 10. It is 0 if the worker isn't in
	// quarantine and awaits no retry.
	quarantineLevel  int
	quarantinedUntil time.Time
	// suspendedUntil is the time until which the worker gets no starts because it doesn't respond.
	suspendedUntil time.Time
	// retrying is set while the one retry after a quarantine is in progress.
	retrying bool
}

// NewHealth returns a Health without any recorded failures or successes.
func NewHealth() *Health {
	return &Health{workers: map[string]*workerHealth{}, failedOn: map[string][]string{}}
}

// worker returns the record of the worker, which it creates if needed. When the window has passed and the
// worker isn't quarantined, the failures are cleared and the successes halved.
func (h *Health) worker(worker string, now time.Time) *workerHealth {
	w := h.workers[worker]
	if w == nil {
		w = &workerHealth{windowStart: now, failedJobs: map[string]bool{}}
		h.workers[worker] = w
	}
	if now.Sub(w.windowStart) > healthWindow && w.quarantineLevel == 0 {
		w.windowStart = now
		w.succeeded /= 2
		clear(w.failedJobs)
	}
	return w
}

// RecordSuccess records that a job ran on the worker. It ends the worker's quarantine.
func (h *Health) RecordSuccess(worker string, now time.Time) {
	w := h.worker(worker, now)
	w.succeeded++
	w.quarantineLevel = 0
	w.quarantinedUntil = time.Time{}
	w.retrying = false
}

// RecordFailure records that a job failed to start on the worker. A failed retry begins the next quarantine.
// A job that has failed before, on this worker or another, and now fails on a worker where most starts succeed,
// is itself faulty: the failures counted so far are removed from all workers.
func (h *Health) RecordFailure(worker, job string, now time.Time) {
	w := h.worker(worker, now)
	if w.retrying {
		w.retrying = false
		h.quarantine(w, now)
		return
	}
	failedBefore := h.failedOn[job]
	h.recordFailedOn(job, worker)
	w.failedJobs[job] = true
	if h.mostlySucceeds(w) && len(failedBefore) > 0 {
		h.discardFailures(job)
		return
	}
	if h.failsMoreThanPeers(worker, w) {
		h.quarantine(w, now)
	}
}

// mostlySucceeds reports whether more starts succeeded on the worker than different jobs failed.
func (h *Health) mostlySucceeds(w *workerHealth) bool { return w.succeeded > len(w.failedJobs) }

// recordFailedOn adds the worker to those on which the job failed.
func (h *Health) recordFailedOn(job, worker string) {
	if len(h.failedOn) >= maxTrackedJobs {
		clear(h.failedOn)
	}
	for _, recorded := range h.failedOn[job] {
		if recorded == worker {
			return
		}
	}
	h.failedOn[job] = append(h.failedOn[job], worker)
}

// discardFailures removes the job's failures from all workers. It ends a first quarantine for which too few
// failures remain.
func (h *Health) discardFailures(job string) {
	for _, worker := range h.failedOn[job] {
		w := h.workers[worker]
		if w == nil {
			continue
		}
		delete(w.failedJobs, job)
		if w.quarantineLevel == 1 && len(w.failedJobs) < minFailedJobs {
			w.quarantineLevel = 0
			w.quarantinedUntil = time.Time{}
		}
	}
}

// failsMoreThanPeers reports whether the worker's failure rate justifies a quarantine: enough different jobs
// failed, and the rate is high both by itself and compared with that of workers that aren't quarantined.
func (h *Health) failsMoreThanPeers(worker string, w *workerHealth) bool {
	if len(w.failedJobs) < minFailedJobs {
		return false
	}
	rate := failureRate(len(w.failedJobs), w.succeeded)
	failed, succeeded := 0, 0
	for other, peer := range h.workers {
		if other != worker && peer.quarantineLevel == 0 {
			failed += len(peer.failedJobs)
			succeeded += peer.succeeded
		}
	}
	return rate >= minFailureRate && rate >= minRateOverPeers*failureRate(failed, succeeded)
}

func failureRate(failed, succeeded int) float64 {
	if failed+succeeded == 0 {
		return 0
	}
	return float64(failed) / float64(failed+succeeded)
}

// quarantine begins a quarantine of the worker, twice as long as the previous one.
func (h *Health) quarantine(w *workerHealth, now time.Time) {
	duration := min(firstQuarantine<<w.quarantineLevel, lastQuarantine)
	w.quarantineLevel = min(w.quarantineLevel+1, 10)
	w.quarantinedUntil = now.Add(duration)
	w.succeeded = 0
}

// RecordStart records that a job is being started on the worker. The first start after a quarantine is the one
// retry that the worker gets.
func (h *Health) RecordStart(worker string, now time.Time) {
	if w := h.workers[worker]; w != nil && w.quarantineLevel > 0 && !now.Before(w.quarantinedUntil) {
		w.retrying = true
	}
}

// Suspend prevents starts for the duration on a worker that doesn't respond. This doesn't count as a failure.
func (h *Health) Suspend(worker string, now time.Time, duration time.Duration) {
	h.worker(worker, now).suspendedUntil = now.Add(duration)
}

// MaxStarts returns the number of jobs that may start on the worker in this cycle: none while it is
// quarantined, suspended or in a retry; one as the retry after a quarantine, or while it has failures but no
// more successes than failures; otherwise as many as fit.
func (h *Health) MaxStarts(worker string, now time.Time) int {
	w := h.workers[worker]
	switch {
	case w == nil:
		return unlimitedStarts
	case now.Before(w.quarantinedUntil) || now.Before(w.suspendedUntil) || w.retrying:
		return 0
	case w.quarantineLevel > 0, len(w.failedJobs) > 0 && !h.mostlySucceeds(w):
		return 1
	}
	return unlimitedStarts
}

// Quarantined reports whether the worker is in quarantine or its retry is in progress.
func (h *Health) Quarantined(worker string, now time.Time) bool {
	w := h.workers[worker]
	return w != nil && (now.Before(w.quarantinedUntil) || w.retrying)
}

// ClearRetry ends a retry without a result, when its attempt ended for a reason unrelated to the worker. The
// worker may then get another retry.
func (h *Health) ClearRetry(worker string) {
	if w := h.workers[worker]; w != nil {
		w.retrying = false
	}
}

// ForgetJob forgets on which workers a job failed, once the job has ended.
func (h *Health) ForgetJob(job string) { delete(h.failedOn, job) }
