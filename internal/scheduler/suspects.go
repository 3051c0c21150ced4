package scheduler

import (
	"cmp"
	"time"

	"github.com/sirupsen/logrus"
)

// suspectsObserveInterval is the interval at which the waiting suspects are counted and logged.
const suspectsObserveInterval = time.Second

// suspectQueue describes the suspects of a pool that wait.
type suspectQueue struct {
	waiting int
	// oldest is the one that has waited longest.
	oldest *item
}

// add adds a waiting suspect.
func (q *suspectQueue) add(i *item) {
	q.waiting++
	if q.oldest == nil || i.waitedLonger(q.oldest) {
		q.oldest = i
	}
}

// waitsAsSuspect reports whether the item is a suspect that may start but has no worker.
func (c *Core) waitsAsSuspect(i *item, wallTime time.Time) bool {
	return i.state == itemWaiting && !i.givenUp && !c.isHeld(i) && i.suspect() && i.step.job.stepReady(i.step, wallTime)
}

// waitedLonger reports whether the item has waited longer than the other. The IDs decide between items that were released
// together.
func (i *item) waitedLonger(other *item) bool {
	return cmp.Or(cmp.Compare(i.waitingSince, other.waitingSince), i.id().Compare(other.id())) < 0
}

// suspectQueues returns the queues of all pools that have waiting suspects. It forgets the items that aren't
// suspects any more.
func (c *Core) suspectQueues() map[string]*suspectQueue {
	queues := map[string]*suspectQueue{}
	wallTime := c.wallClock()
	for i := range c.suspects {
		if i.step.job.finished() || i.state == itemDone || !i.suspect() {
			delete(c.suspects, i)
			continue
		}
		if !c.waitsAsSuspect(i, wallTime) {
			continue
		}
		pool := c.poolOf(i.step.job)
		if queues[pool] == nil {
			queues[pool] = &suspectQueue{}
		}
		queues[pool].add(i)
	}
	return queues
}

// workerStates counts the workers of a pool by what keeps them from starting a suspect.
type workerStates struct {
	// closed workers get no work, or none but trials, and onTrial ones have a suspect on trial. Those in pending have starts
	// that no report shows yet, those in full lack room, and open ones could start the suspect. Reserved workers
	// are also counted among the others.
	closed, onTrial, pending, reserved, full, open int
}

// workerStates counts the workers of the pool by what keeps them from starting the item.
func (c *Core) workerStates(pool string, i *item, now time.Duration) workerStates {
	var n workerStates
	for _, w := range c.workers {
		if w.entry.Pool == pool && w.reserved {
			n.reserved++
		}
		switch {
		case w.entry.Pool != pool || w.ended:
		case w.trial != nil:
			n.onTrial++
		case !c.isCandidate(w, now):
			n.closed++
		case w.pendingStarts(now) > 0:
			n.pending++
		case !i.step.reservation().Fits(w.freeCapacity()):
			n.full++
		default:
			n.open++
		}
	}
	return n
}

// observeSuspects records and logs how many suspects wait, how long, and for what.
func (c *Core) observeSuspects(now time.Duration) {
	if now < c.nextSuspectsObservation {
		return
	}
	c.nextSuspectsObservation = now + suspectsObserveInterval
	waiting, trials, longest := 0, 0, time.Duration(0)
	for _, w := range c.workers {
		if w.trial != nil {
			trials++
		}
	}
	for pool, queue := range c.suspectQueues() {
		age := now - queue.oldest.waitingSince
		waiting, longest = waiting+queue.waiting, max(longest, age)
		n := c.workerStates(pool, queue.oldest, now)
		c.logger.WithFields(logrus.Fields{"event": "suspects_waiting", "pool": pool, "waiting": queue.waiting, "oldest": queue.oldest.id().String(), "oldest_ms": age.Milliseconds(),
			"on_trial": n.onTrial, "pending": n.pending, "reserved": n.reserved, "full": n.full, "closed": n.closed, "open": n.open}).Info("work items that may have crashed workers wait for a trial")
	}
	c.metrics.suspectsObserved(waiting, trials, longest)
}
