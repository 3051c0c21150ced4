package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Stragglers answer workers on which everything stands still or takes many times as long, while their
// reports look sound. A run that takes far longer than predicted is stopped and starts elsewhere, and a
// worker with several of them gets no new work for a while.
const (
	// stragglerFactor times the predicted run time, and stragglerGrace more, is when a run is a
	// straggler: run times vary by 2.5 around their mean, and declared ones are off by half. A tighter
	// bound stops sound runs and costs more than it saves (docs/MEASUREMENTS.md).
	stragglerFactor = 4.0
	stragglerGrace  = 2 * time.Second
	// slowStragglers at once show that the worker is at fault, and not one item.
	slowStragglers = 2
	// stragglerPause is how long the worker gets no new work; it doubles while its runs go on to straggle.
	stragglerPause    = 2 * time.Second
	maxStragglerPause = 8 * time.Second
)

// stopStragglers stops runs that take far too long.
func (c *Core) stopStragglers(now time.Duration) {
	for _, w := range c.workers {
		if w.failing > 0 || w.entry.Draining {
			continue
		}
		stragglers := 0
		for i := range w.items {
			if !c.straggles(i, now) {
				continue
			}
			stragglers++
			i.avoid = w
			c.logger.WithFields(logrus.Fields{"event": "straggler_stopped", "item": i.id().String(), "run": i.run, "worker": w.entry.ID,
				"took_ms": (now - i.answered).Milliseconds(), "predicted_ms": c.runTime(i.step.job.def, i.step.def).Milliseconds()}).Info("run takes far too long; it starts elsewhere")
			c.stop(i)
		}
		if stragglers >= slowStragglers && now >= w.pausedTo {
			w.stragglerPause = min(maxStragglerPause, max(stragglerPause, 2*w.stragglerPause))
			w.pausedTo = now + w.stragglerPause
		}
	}
}

// straggles reports whether the run of a placed item takes far too long. A run that was a straggler on
// another worker before is left alone: then the item itself is long.
func (c *Core) straggles(i *item, now time.Duration) bool {
	if i.step.def.Lasting || i.step.def.Gang || i.stopping || i.answered == 0 || i.avoid != nil && i.avoid != i.worker {
		return false
	}
	limit := time.Duration(stragglerFactor*float64(c.runTime(i.step.job.def, i.step.def))) + stragglerGrace
	return now-i.answered > limit
}
