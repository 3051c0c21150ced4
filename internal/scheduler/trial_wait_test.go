package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/work"
)

// maxSuspectWait is the longest time that a suspect may wait while a worker has room for it, see
// docs/notes/0013-users-platform.md.
const maxSuspectWait = 3 * time.Second

// suspectWaits measures how long suspects wait while there is room for them.
type suspectWaits struct {
	*crashObserver
	// roomSince is, for each waiting suspect, since when a worker has had room for it.
	roomSince map[*item]time.Duration
	longest   time.Duration
	oldest    work.ItemID
}

// observe updates the waits. A new term counts from its start.
func (o *suspectWaits) observe() {
	core := o.leader().core
	waiting := map[*item]time.Duration{}
	for i := range core.suspects {
		if !core.waitsAsSuspect(i, o.wall()) || !core.hasRoomFor(i) {
			continue
		}
		since, known := o.roomSince[i]
		if !known {
			since = o.now
		}
		waiting[i] = since
		if wait := o.now - since; wait > o.longest {
			o.longest, o.oldest = wait, i.id()
		}
	}
	o.roomSince = waiting
}

// hasRoomFor reports whether a worker that may get work has room for the item.
func (c *Core) hasRoomFor(i *item) bool {
	for _, w := range c.workers {
		if c.isCandidate(w, c.clock()) && i.step.reservation().Fits(w.freeCapacity()) {
			return true
		}
	}
	return false
}

// simulateDeadlyQueue submits four wide jobs a second for 20 s to twelve workers. One job in five has an item that
// crashes its workers. It returns the longest wait of a suspect while there was room for it.
func simulateDeadlyQueue(s *sim, faults func(o *crashObserver) func()) *suspectWaits {
	o := &suspectWaits{crashObserver: newCrashObserver(s)}
	s.advance(time.Second)
	step := func() {}
	if faults != nil {
		step = faults(o.crashObserver)
	}
	o.faults = func() { step(); o.observe() }
	for n := range 80 {
		job := s.wideJob(n)
		if n%5 == s.rng.IntN(5) {
			o.submitDeadly(job)
		} else {
			s.submit(job)
		}
		o.run(250 * time.Millisecond)
	}
	step = func() {}
	o.run(10 * time.Second)
	return o
}

// Guards against suspects that wait while most of the workers' room is free: one by one on trial, the items of the
// jobs beside the crashing ones waited until long after the last crash. On deadlylate of vaalkant-ops up to 29 jobs
// were lost behind them.
func TestSuspectsDontWaitWhileRoomIsFree(t *testing.T) {
	runSeeds(t, 12, func(s *sim) {
		o := simulateDeadlyQueue(s, nil)
		assert.Assert(s.t, o.longest <= maxSuspectWait, "%s waited %s for a trial while there was room", o.oldest, o.longest)
		sound, failed := o.settle()
		s.t.Logf("longest wait %s", o.longest)
		assert.Assert(s.t, float64(failed) <= maxFailedSoundShare*float64(sound), "%d of %d sound jobs failed", failed, sound)
	})
}

// Guards against the same while workers carry out orders late or without a response, so that their runs stay
// unreported for seconds.
func TestSuspectsDontWaitBehindUnansweredStarts(t *testing.T) {
	runSeeds(t, 12, func(s *sim) {
		o := simulateDeadlyQueue(s, func(o *crashObserver) func() {
			o.lostResponseShare, o.delayedOrderShare = 0.05, 0.1
			return func() {}
		})
		assert.Assert(s.t, o.longest <= maxSuspectWait, "%s waited %s for a trial while there was room", o.oldest, o.longest)
	})
}
