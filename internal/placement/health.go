package placement

import "time"

const (
	// minFailedJobs is the number of different jobs that fail on a worker before it may be quarantined.
	minFailedJobs = 3
	// minFailureRate is the part of starts that fail on a quarantined worker, at least.
	minFailureRate = 0.5
	// minRateOverPeers is how much more than its peers' a quarantined worker's starts fail.
	minRateOverPeers = 2.0
	// healthWindow is the time for which failures and successes count.
	healthWindow = 5 * time.Minute
	// firstQuarantine doubles with each failed retry, up to lastQuarantine.
	firstQuarantine = 30 * time.Second
	lastQuarantine  = 16 * time.Minute
	// unlimitedStarts is the limit of a healthy worker.
	unlimitedStarts = 1 << 20
	// maxTrackedJobs bounds the jobs whose failures are remembered.
	maxTrackedJobs = 4096
)

// Health tells workers that fail their starts from jobs that fail everywhere.
type Health struct {
	workers map[string]*workerHealth
	// failedOn lists the workers on which a job failed.
	failedOn map[string][]string
}

type workerHealth struct {
	windowStart time.Time
	// failedJobs are the different jobs whose failures count against the worker.
	failedJobs       map[string]bool
	succeeded        int
	quarantineLevel  int
	quarantinedUntil time.Time
	// suspendedUntil is the time until which the worker gets no starts because it doesn't answer.
	suspendedUntil time.Time
	// probing is set while a retry after a quarantine is under way.
	probing bool
}

// NewHealth returns a health without observations.
func NewHealth() *Health {
	return &Health{workers: map[string]*workerHealth{}, failedOn: map[string][]string{}}
}

func (h *Health) worker(name string, now time.Time) *workerHealth {
	w := h.workers[name]
	if w == nil {
		w = &workerHealth{windowStart: now, failedJobs: map[string]bool{}}
		h.workers[name] = w
	}
	if now.Sub(w.windowStart) > healthWindow && w.quarantineLevel == 0 {
		w.windowStart = now
		w.succeeded /= 2
		clear(w.failedJobs)
	}
	return w
}

// RecordSuccess notes that a job ran on the worker. It ends a quarantine.
func (h *Health) RecordSuccess(name string, now time.Time) {
	w := h.worker(name, now)
	w.succeeded++
	w.quarantineLevel = 0
	w.quarantinedUntil = time.Time{}
	w.probing = false
}

// RecordFailure notes that the worker failed the start of a job. A job that also fails on a worker that
// runs others is to blame itself: its failures no longer count against any worker.
func (h *Health) RecordFailure(name, job string, now time.Time) {
	w := h.worker(name, now)
	if w.probing {
		w.probing = false
		h.quarantine(w, now)
		return
	}
	others := h.failedOn[job]
	h.recordFailedOn(job, name)
	w.failedJobs[job] = true
	if h.mostlySucceeds(w) && len(others) > 0 {
		h.discardFailures(job)
		return
	}
	if h.failsMoreThanPeers(name, w) {
		h.quarantine(w, now)
	}
}

// mostlySucceeds reports whether more jobs ran on the worker than failed.
func (h *Health) mostlySucceeds(w *workerHealth) bool { return w.succeeded > len(w.failedJobs) }

func (h *Health) recordFailedOn(job, worker string) {
	if len(h.failedOn) >= maxTrackedJobs {
		clear(h.failedOn)
	}
	for _, known := range h.failedOn[job] {
		if known == worker {
			return
		}
	}
	h.failedOn[job] = append(h.failedOn[job], worker)
}

// discardFailures drops the job's failures from all workers, and lifts quarantines that rested on them.
func (h *Health) discardFailures(job string) {
	for _, name := range h.failedOn[job] {
		w := h.workers[name]
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

// failsMoreThanPeers reports whether the worker fails its starts more than its peers do.
func (h *Health) failsMoreThanPeers(name string, w *workerHealth) bool {
	if len(w.failedJobs) < minFailedJobs {
		return false
	}
	part := failureRate(len(w.failedJobs), w.succeeded)
	failed, succeeded := 0, 0
	for other, peer := range h.workers {
		if other != name && peer.quarantineLevel == 0 {
			failed += len(peer.failedJobs)
			succeeded += peer.succeeded
		}
	}
	return part >= minFailureRate && part >= minRateOverPeers*failureRate(failed, succeeded)
}

func failureRate(failed, succeeded int) float64 {
	if failed+succeeded == 0 {
		return 0
	}
	return float64(failed) / float64(failed+succeeded)
}

func (h *Health) quarantine(w *workerHealth, now time.Time) {
	span := min(firstQuarantine<<w.quarantineLevel, lastQuarantine)
	w.quarantineLevel = min(w.quarantineLevel+1, 10)
	w.quarantinedUntil = now.Add(span)
	w.succeeded = 0
}

// RecordStart notes a start on the worker. After a quarantine it is the one retry.
func (h *Health) RecordStart(name string, now time.Time) {
	if w := h.workers[name]; w != nil && w.quarantineLevel > 0 && !now.Before(w.quarantinedUntil) {
		w.probing = true
	}
}

// Suspend keeps starts from a worker that doesn't answer. It says nothing about its starts.
func (h *Health) Suspend(name string, now time.Time, span time.Duration) {
	h.worker(name, now).suspendedUntil = now.Add(span)
}

// MaxStarts returns the number of starts that the worker may get in this cycle: none in quarantine,
// one as a retry or while the worker has failed starts and not proven itself since.
func (h *Health) MaxStarts(name string, now time.Time) int {
	w := h.workers[name]
	switch {
	case w == nil:
		return unlimitedStarts
	case now.Before(w.quarantinedUntil) || now.Before(w.suspendedUntil) || w.probing:
		return 0
	case w.quarantineLevel > 0, len(w.failedJobs) > 0 && !h.mostlySucceeds(w):
		return 1
	}
	return unlimitedStarts
}

// Quarantined reports whether the worker gets no starts now.
func (h *Health) Quarantined(name string, now time.Time) bool {
	w := h.workers[name]
	return w != nil && (now.Before(w.quarantinedUntil) || w.probing)
}

// ClearProbe clears a retry whose attempt ended without saying anything about the worker.
func (h *Health) ClearProbe(name string) {
	if w := h.workers[name]; w != nil {
		w.probing = false
	}
}

// ForgetJob drops the memory of a job that has ended.
func (h *Health) ForgetJob(job string) { delete(h.failedOn, job) }
