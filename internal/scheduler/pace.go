package scheduler

import "time"

// Serving work is disturbed by what fills beside it, by amounts that change within seconds. Filling
// work stands still as soon as the reported tail comes near its target, well before the harm counts,
// and is let back step by step once the tail has been calm for a while.
const (
	// disturbedShare of its target is a tail that stops filling work, calmShare one that lets it back.
	disturbedShare = 0.75
	calmShare      = 0.5
	// calmFor is how long all serving items must be calm before each step up.
	calmFor = 1500 * time.Millisecond
	// paceStep is a step up, in percent.
	paceStep = 25
	// paceRepeat is the pause before an order is given again that should have had its effect.
	paceRepeat = time.Second
)

// pace decides on the pace of the filling items of a worker after its report.
func (c *Core) pace(w *worker, now time.Duration) {
	worst := 0.0
	for i := range w.items {
		if target := i.step.def.TailTarget; target > 0 && !i.step.def.Filling && i.listed {
			worst = max(worst, float64(i.load)/float64(target.Milliseconds()))
		}
	}
	if worst >= calmShare {
		w.calm = 0
	} else if w.calm == 0 {
		w.calm = now
	}
	raise := w.calm > 0 && now-w.calm >= calmFor
	if raise {
		w.calm = now
	}
	for i := range w.items {
		if !i.step.def.Filling || i.stopping || i.answered == 0 {
			continue
		}
		switch {
		case worst > disturbedShare && (i.pace > 0 || now-i.paceSent > paceRepeat):
			c.setPace(i, 0, now)
		case raise && i.pace < fullPace:
			c.setPace(i, min(fullPace, i.pace+paceStep), now)
		}
	}
}

func (c *Core) setPace(i *item, percent int, now time.Duration) {
	i.pace, i.paceSent = percent, now
	c.orders = append(c.orders, Order{Kind: OrderPace, Worker: i.worker.ref(), Item: i.id(), Run: i.run, Percent: percent})
	c.poke()
}
