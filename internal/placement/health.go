package placement

import "time"

const (
	// suspectJobs is the number of different jobs that fail on a worker before it may be quarantined.
	suspectJobs = 3
	// failingPart is the part of starts that fail on a quarantined worker, at least.
	failingPart = 0.5
	// peerFactor is how much more than its peers' a quarantined worker's starts fail.
	peerFactor = 2.0
	// healthWindow is the time for which failures and successes count.
	healthWindow = 5 * time.Minute
	// firstQuarantine doubles with each failed retry, up to lastQuarantine.
	firstQuarantine = 30 * time.Second
	lastQuarantine  = 16 * time.Minute
	// unlimited is the limit of a healthy worker.
	unlimited = 1 << 20
	// maxJobFailures bounds the jobs whose failures are remembered.
	maxJobFailures = 4096
)

// Health tells workers that fail their starts from jobs that fail everywhere.
type Health struct {
	workers map[string]*workerHealth
	// jobs lists the workers on which a job failed.
	jobs map[string][]string
}

type workerHealth struct {
	windowStart time.Time
	// failed are the different jobs whose failures count against the worker.
	failed    map[string]bool
	succeeded int
	level     int
	until     time.Time
	// suspended is the time until which the worker gets no starts because it doesn't answer.
	suspended time.Time
	// probing is set while a retry after a quarantine is under way.
	probing bool
}

// NewHealth returns a health without observations.
func NewHealth() *Health {
	return &Health{workers: map[string]*workerHealth{}, jobs: map[string][]string{}}
}

func (h *Health) worker(name string, now time.Time) *workerHealth {
	w := h.workers[name]
	if w == nil {
		w = &workerHealth{windowStart: now, failed: map[string]bool{}}
		h.workers[name] = w
	}
	if now.Sub(w.windowStart) > healthWindow && w.level == 0 {
		w.windowStart = now
		w.succeeded /= 2
		clear(w.failed)
	}
	return w
}

// RecordSuccess notes that a job ran on the worker. It ends a quarantine.
func (h *Health) RecordSuccess(name string, now time.Time) {
	w := h.worker(name, now)
	w.succeeded++
	w.level = 0
	w.until = time.Time{}
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
	others := h.jobs[job]
	h.remember(job, name)
	w.failed[job] = true
	if h.proven(w) && len(others) > 0 {
		h.acquit(job)
		return
	}
	if h.failing(name, w) {
		h.quarantine(w, now)
	}
}

// proven reports whether more jobs ran on the worker than failed.
func (h *Health) proven(w *workerHealth) bool { return w.succeeded > len(w.failed) }

func (h *Health) remember(job, worker string) {
	if len(h.jobs) >= maxJobFailures {
		clear(h.jobs)
	}
	for _, known := range h.jobs[job] {
		if known == worker {
			return
		}
	}
	h.jobs[job] = append(h.jobs[job], worker)
}

// acquit drops the job's failures from all workers, and lifts quarantines that rested on them.
func (h *Health) acquit(job string) {
	for _, name := range h.jobs[job] {
		w := h.workers[name]
		if w == nil {
			continue
		}
		delete(w.failed, job)
		if w.level == 1 && len(w.failed) < suspectJobs {
			w.level = 0
			w.until = time.Time{}
		}
	}
}

// failing reports whether the worker fails its starts more than its peers do.
func (h *Health) failing(name string, w *workerHealth) bool {
	if len(w.failed) < suspectJobs {
		return false
	}
	part := failedPart(len(w.failed), w.succeeded)
	failed, succeeded := 0, 0
	for other, peer := range h.workers {
		if other != name && peer.level == 0 {
			failed += len(peer.failed)
			succeeded += peer.succeeded
		}
	}
	return part >= failingPart && part >= peerFactor*failedPart(failed, succeeded)
}

func failedPart(failed, succeeded int) float64 {
	if failed+succeeded == 0 {
		return 0
	}
	return float64(failed) / float64(failed+succeeded)
}

func (h *Health) quarantine(w *workerHealth, now time.Time) {
	span := min(firstQuarantine<<w.level, lastQuarantine)
	w.level = min(w.level+1, 10)
	w.until = now.Add(span)
	w.succeeded = 0
}

// RecordStart notes a start on the worker. After a quarantine it is the one retry.
func (h *Health) RecordStart(name string, now time.Time) {
	if w := h.workers[name]; w != nil && w.level > 0 && !now.Before(w.until) {
		w.probing = true
	}
}

// Suspend keeps starts from a worker that doesn't answer. It says nothing about its starts.
func (h *Health) Suspend(name string, now time.Time, span time.Duration) {
	h.worker(name, now).suspended = now.Add(span)
}

// Limit returns the number of starts that the worker may get in this cycle: none in quarantine,
// one as a retry or while the worker has failed starts and not proven itself since.
func (h *Health) Limit(name string, now time.Time) int {
	w := h.workers[name]
	switch {
	case w == nil:
		return unlimited
	case now.Before(w.until) || now.Before(w.suspended) || w.probing:
		return 0
	case w.level > 0, len(w.failed) > 0 && !h.proven(w):
		return 1
	}
	return unlimited
}

// Quarantined reports whether the worker gets no starts now.
func (h *Health) Quarantined(name string, now time.Time) bool {
	w := h.workers[name]
	return w != nil && (now.Before(w.until) || w.probing)
}

// ClearProbe clears a retry whose attempt ended without saying anything about the worker.
func (h *Health) ClearProbe(name string) {
	if w := h.workers[name]; w != nil {
		w.probing = false
	}
}

// ForgetJob drops the memory of a job that has ended.
func (h *Health) ForgetJob(job string) { delete(h.jobs, job) }
