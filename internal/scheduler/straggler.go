package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Straggler detection covers workers on which runs make no progress or take many times as long as usual,
// while the worker's reports look healthy. A run that takes far longer than predicted is stopped and starts on
// another worker, and a worker with several stragglers gets no new work for a while.
const (
	// A run is a straggler after stragglerFactor times its predicted run time plus stragglerGrace: run
	// times vary by a factor of 2.5 around their mean, and declared ones are off by half. A tighter limit
	// stops healthy runs, and costs more than it saves (docs/MEASUREMENTS.md).
	stragglerFactor = 4.0
	stragglerGrace  = 2 * time.Second
	// maxReportAge is how old the last report of a worker may be: the time that a renewal may take. Its runs may have ended
	// since an older one, as after a time in which this process was suspended.
	maxReportAge = maxRenewalWait + maxResponseTime
	// slowWorkerStragglers is the number of simultaneous stragglers that shows that the worker is at fault,
	// rather than an item.
	slowWorkerStragglers = 2
	// minStragglerPause is how long such a worker gets no new work at first. The pause doubles, up to
	// maxStragglerPause, while the worker's runs keep straggling.
	minStragglerPause = 2 * time.Second
	maxStragglerPause = 8 * time.Second
)

// stopStraggler stops the run of the placed item if it is a straggler, and reports whether it is.
func (c *Core) stopStraggler(i *item, now time.Duration) bool {
	if !c.isStraggler(i, now) {
		return false
	}
	i.avoidedWorker = i.worker
	c.runTimes.observe(i, now)
	c.logger.WithFields(logrus.Fields{"event": "straggler_stopped", "item": i.id().String(), "run": i.run, "worker": i.worker.entry.ID,
		"took_ms": (now - i.startConfirmedAt).Milliseconds(), "predicted_ms": c.predictRunTime(i.step.job.def, i.step.def).Milliseconds()}).Info("run takes far longer than predicted; stopping it to start it on another worker")
	c.orderStop(i)
	return true
}

// pauseForStragglers pauses the worker if several of its runs are stragglers.
func (w *worker) pauseForStragglers(stragglers int, now time.Duration) {
	if stragglers >= slowWorkerStragglers && now >= w.pausedUntil {
		w.lastStragglerPause = min(maxStragglerPause, max(minStragglerPause, 2*w.lastStragglerPause))
		w.pauseUntil(now + w.lastStragglerPause)
	}
}

// isStraggler reports whether the run of a placed item takes far too long. It is false for an item that was
// a straggler, or failed, on another worker before: such an item may take long on any worker.
func (c *Core) isStraggler(i *item, now time.Duration) bool {
	if i.step.def.Lasting || i.step.def.Gang || i.stopping || i.startConfirmedAt == 0 || i.avoidedWorker != nil && i.avoidedWorker != i.worker {
		return false
	}
	if now-i.startConfirmedAt <= stragglerGrace || now-i.worker.lastReportAt > maxReportAge {
		return false
	}
	return now-i.startConfirmedAt > c.stragglerLimit(i)
}
