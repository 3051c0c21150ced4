package scheduler

import "time"

// maxListAge is how old the list of workers may be for starts on workers that don't refuse what exceeds their
// capacity. The platform still allows a capacity that has shrunk until 3 s after the list shows the change (contactMs);
// the rest is for the start's way to the worker.
const maxListAge = 2500 * time.Millisecond

// WorkersListed records that a successful read of the list of workers was requested at requestedAt. The caller then
// passes the changes to UpdateWorkers.
func (c *Core) WorkersListed(requestedAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workersListedAt = requestedAt
}

// mayRelyOnCapacity reports whether the worker's capacity is known well enough for a start: the list of workers is
// recent, or the worker itself refuses what doesn't fit.
func (c *Core) mayRelyOnCapacity(w *worker, now time.Duration) bool {
	if c.workersListedAt == 0 || now-c.workersListedAt <= maxListAge {
		return true
	}
	return c.config != nil && c.config.Pools[w.entry.Pool].AdmissionControl
}
