package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"
)

// maxListAge is how old the list of workers may be for starts on workers that don't refuse what exceeds their
// capacity. The platform still allows a capacity that has shrunk until 3 s after the list shows the change (contactMs);
// the rest is for the start's way to the worker.
const maxListAge = 2500 * time.Millisecond

const (
	// maxListGap is how far two reads of the list may be apart before the store counts as having been down.
	maxListGap = time.Second
	// listSettleTime is how long after an outage of the store entries may be those from before it. The platform
	// says that workers write again within about two seconds.
	listSettleTime = 2 * time.Second
)

// WorkersListed records that a successful read of the list of workers was requested at requestedAt. Its changes must
// have been passed to UpdateWorkers.
func (c *Core) WorkersListed(requestedAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listReadAt > 0 && requestedAt-c.listReadAt > maxListGap {
		c.listSettledAt = requestedAt + listSettleTime
		c.logger.WithFields(logrus.Fields{"event": "list_outdated", "gap_ms": (requestedAt - c.listReadAt).Milliseconds()}).Warn("list of workers couldn't be read for a while; its entries count as outdated until the workers have written again")
	}
	c.listReadAt = requestedAt
	if requestedAt >= c.listSettledAt {
		c.workersListedAt = requestedAt
	}
}

// mayRelyOnCapacity reports whether the worker's capacity is known well enough for a start: the list of workers is
// recent, or the worker itself refuses what doesn't fit.
func (c *Core) mayRelyOnCapacity(w *worker, now time.Duration) bool {
	if c.workersListedAt == 0 || now-c.workersListedAt <= maxListAge {
		return true
	}
	return c.config != nil && c.config.Pools[w.entry.Pool].AdmissionControl
}
