package scheduler

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// checkKeptWorkers compares the lists of workers that the core keeps with the states of all workers.
func checkKeptWorkers(t *testing.T, c *Core) {
	for _, w := range c.workers {
		_, toAck := c.workersToAck[w]
		assert.Assert(t, toAck || w.appliedEnd <= w.durableEnd, "run ends of worker %s aren't acknowledged", w.entry.ID)
		assert.Equal(t, w.reserved, slices.Contains(c.reserved, w))
		assert.Equal(t, w.wasReserved, slices.Contains(c.formerlyReserved, w))
	}
	all, listed := len(c.sortedWorkers()), 0
	for pool := range c.workersByPool {
		for _, w := range c.workersOf(pool) {
			assert.Equal(t, w.entry.Pool, pool)
			assert.Equal(t, c.workers[w.entry.ID], w)
			listed++
		}
	}
	assert.Equal(t, listed, all)
}

// Guards against run ends that are never acknowledged, and against reservations that don't end: the core passes only
// over the workers that it has noted.
func TestKeptWorkersMatchTheirStates(t *testing.T) {
	for seed := range uint64(3) {
		o := newCrashObserver(newSim(t, seed, 6))
		o.maxCrashDelay, o.failedRunShare, o.lostResponseShare, o.delayedOrderShare = 200*time.Millisecond, 0.1, 0.1, 0.05
		reserved := 0
		o.faults = func() {
			c := o.leader().core
			checkKeptWorkers(t, c)
			reserved += len(c.reserved)
		}
		o.submitJobs(true)
		o.takeOver()
		o.submitJobs(true)
		assert.Assert(t, o.crashCount > 0)
		assert.Assert(t, reserved > 0)
	}
}
