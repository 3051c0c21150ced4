package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

const (
	// unhealthyPause keeps new work from a worker that turned an order away, noRoomPause from one
	// that said it has no room.
	unhealthyPause = time.Second
	noRoomPause    = 200 * time.Millisecond
	// stopRetry is the pause before a stop is ordered again.
	stopRetry = 400 * time.Millisecond
)

// stop orders the end of a placed item, whether or not it has started: a run that was stopped before
// it arrived doesn't start any more.
func (c *Core) stop(i *item) {
	i.stopping, i.stopSent = true, c.clock()
	c.orders = append(c.orders, Order{Kind: OrderStop, Worker: i.worker.ref(), Item: i.id(), Run: i.run})
	c.poke()
}

// stopJob stops all that runs of the job.
func (c *Core) stopJob(j *job) {
	for _, step := range j.steps {
		for _, i := range step.items {
			if i.state == itemPlaced && !i.stopping {
				c.stop(i)
			}
		}
	}
}

// StartResult takes the result of a start. uncertain is set when an earlier try had no answer.
func (c *Core) StartResult(order *Order, err error, uncertain bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	w, i := c.workers[order.Worker.ID], c.find(order.Item)
	if w == nil || i == nil || i.worker != w || i.run != order.Run {
		return
	}
	kind := infra.KindOf(err)
	c.metrics.start(kind)
	if kind != "" {
		c.logger.WithFields(logrus.Fields{"event": "start_unsuccessful", "item": order.Item.String(), "run": order.Run, "worker": w.entry.ID,
			"kind": string(kind), "uncertain": uncertain}).WithError(err).Info("start had no success")
	}
	switch kind {
	case "", infra.Superseded:
		if i.answered == 0 {
			i.answered = now
		}
		w.nudge()
		return
	case infra.Fenced:
		c.deposed("start", w.entry.ID)
		return
	case infra.WorkerReplaced:
		c.end(w)
		return
	case infra.NoCapacity:
		w.pausedTo = max(w.pausedTo, now+noRoomPause)
	case infra.Unavailable, infra.Refused:
		w.pausedTo = max(w.pausedTo, now+unhealthyPause)
	}
	if uncertain || kind == infra.Unknown {
		if !i.listed && !i.stopping {
			c.stop(i)
		}
		return
	}
	c.release(i)
}

// NotSent notes that a start was not sent, so that the item waits again.
func (c *Core) NotSent(order *Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := c.find(order.Item); i != nil && i.worker != nil && i.worker.entry.ID == order.Worker.ID && i.run == order.Run && i.answered == 0 && !i.stopping {
		c.release(i)
	}
}

// StopResult takes the result of a stop.
func (c *Core) StopResult(order *Order, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, i := c.workers[order.Worker.ID], c.find(order.Item)
	if w == nil {
		return
	}
	switch infra.KindOf(err) {
	case infra.Fenced:
		c.deposed("stop", w.entry.ID)
		return
	case infra.WorkerReplaced:
		c.end(w)
		return
	}
	if i == nil || i.worker != w || i.run != order.Run {
		return
	}
	if err == nil {
		i.stopAnswered = c.clock()
		w.nudge()
	}
}

// repeatStops orders stops again that had no effect yet.
func (c *Core) repeatStops(now time.Duration) {
	for _, w := range c.workers {
		for i := range w.items {
			if i.stopping && i.stopAnswered == 0 && now-i.stopSent > stopRetry && w.failing == 0 {
				c.stop(i)
			}
		}
	}
}
