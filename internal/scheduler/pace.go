package scheduler

import "time"

// Serving work is disturbed by what fills beside it, by amounts that change within seconds. Filling
// work stands still as soon as the reported tail comes near its target, well before the harm counts,
// and is let back step by step once the tail has been calm for a while.
const (
	// throttleThreshold of its target is a tail that stops filling work, calmShare one that lets it back.
	throttleThreshold = 0.75
	calmThreshold     = 0.5
	// calmDuration is how long all serving items must be calm before each step up.
	calmDuration = 1500 * time.Millisecond
	// paceIncrement is a step up, in percent.
	paceIncrement = 25
	// paceRepeatDelay is the pause before an order is given again that should have had its effect.
	paceRepeatDelay = time.Second
)

// adjustPace decides on the pace of the filling items of a worker after its report.
func (c *Core) adjustPace(w *worker, now time.Duration) {
	worst := 0.0
	for i := range w.items {
		if target := i.step.def.TailTarget; target > 0 && !i.step.def.Filling && i.listed {
			worst = max(worst, float64(i.load)/float64(target.Milliseconds()))
		}
	}
	if worst >= calmThreshold {
		w.calm = 0
	} else if w.calm == 0 {
		w.calm = now
	}
	raise := w.calm > 0 && now-w.calm >= calmDuration
	if raise {
		w.calm = now
	}
	for i := range w.items {
		if !i.step.def.Filling || i.stopping || i.answered == 0 {
			continue
		}
		switch {
		case worst > throttleThreshold && (i.pace > 0 || now-i.paceSent > paceRepeatDelay):
			c.setPace(i, 0, now)
		case raise && i.pace < fullPace:
			c.setPace(i, min(fullPace, i.pace+paceIncrement), now)
		}
	}
}

func (c *Core) setPace(i *item, percent int, now time.Duration) {
	i.pace, i.paceSent = percent, now
	c.orders = append(c.orders, Order{Kind: OrderPace, Worker: i.worker.ref(), Item: i.id(), Run: i.run, Percent: percent})
	c.poke()
}
