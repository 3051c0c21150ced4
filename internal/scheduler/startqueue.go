package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxQueuedStarts is the number of ordered starts to one availability zone that haven't been sent, beyond which no more
	// work items are placed there. The session sends a limited number at a time, and starts that wait there can't be
	// overtaken by more urgent ones: tens of thousands of small items may fit on a few workers. The limit is several times
	// what is sent between two planning cycles.
	maxQueuedStarts = 1024
	// pacedLogInterval is the shortest time between two log lines about a queue that is full.
	pacedLogInterval = time.Second
)

// startQueue counts the starts to one availability zone that were ordered and haven't been sent.
type startQueue struct {
	zone     string
	length   int
	loggedAt time.Duration
}

// isFull reports whether no more items should be placed on workers of the zone.
func (q *startQueue) isFull() bool { return q.length >= maxQueuedStarts }

// startQueueOf returns the queue of the zone.
func (c *Core) startQueueOf(zone string) *startQueue {
	queue := c.startQueues[zone]
	if queue == nil {
		queue = &startQueue{zone: zone}
		c.startQueues[zone] = queue
	}
	return queue
}

// enterStartQueue notes that the start of a placed item was ordered.
func (c *Core) enterStartQueue(i *item, now time.Duration) {
	queue := i.worker.startQueue
	i.startQueued = true
	queue.length++
	if queue.length == maxQueuedStarts {
		c.noteFullQueue(queue, now)
	}
}

// leaveStartQueue notes that the item's start is being sent, or won't be.
func (c *Core) leaveStartQueue(i *item) {
	if !i.startQueued {
		return
	}
	i.startQueued = false
	queue := i.worker.startQueue
	queue.length--
	if queue.length == maxQueuedStarts/2 {
		c.wakeUp()
	}
}

// setStartQueue sets the start queue of a worker whose zone may have changed.
func (c *Core) setStartQueue(w *worker) {
	w.evacuated = c.evacuations.covers(w.entry.Zone)
	former, queue := w.startQueue, c.startQueueOf(w.entry.Zone)
	if former == queue {
		return
	}
	w.startQueue = queue
	for i := range w.items {
		if i.startQueued {
			former.length--
			queue.length++
		}
	}
}

// noteFullQueue counts a queue that has become full, and logs it.
func (c *Core) noteFullQueue(queue *startQueue, now time.Duration) {
	c.metrics.startQueueFull()
	if queue.loggedAt > 0 && now-queue.loggedAt < pacedLogInterval {
		return
	}
	queue.loggedAt = now
	c.logger.WithFields(logrus.Fields{"event": "starts_paced", "zone": queue.zone, "queued": queue.length}).Info(
		"starts to the zone are ordered faster than they can be sent; further work items wait for their turn")
}

// checkStartQueues notes whether any worker of the pool is in a zone whose queue isn't full.
func (p *candidatePool) checkStartQueues() {
	p.startQueuesFull = true
	for _, w := range p.workers {
		if !w.startQueue.isFull() {
			p.startQueuesFull = false
			return
		}
	}
}
