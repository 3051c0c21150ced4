package scheduler

import (
	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

// logLoss logs the first failed lease renewal of a worker. The end of a worker by an order to its host is no loss, and
// would hide the losses among as many warnings as there are moves.
func (c *Core) logLoss(w *worker, err error) {
	logger := c.logger.WithFields(logrus.Fields{"worker": w.entry.ID, "kind": string(infra.KindOf(err)), "items": len(w.items)})
	if c.endIsOrdered(w) {
		logger.WithFields(logrus.Fields{"event": "worker_ended_by_order", "host": w.host}).Info("worker ended: its host was ordered to move or to go down for maintenance")
		return
	}
	logger.WithField("event", "worker_lost").WithError(err).Warn("lease renewal of the worker failed; it gets no new work until one succeeds")
}

// endIsOrdered reports whether the present process of the worker ends by an order to its host, one that succeeded or may
// have been carried out.
func (c *Core) endIsOrdered(w *worker) bool {
	if m := c.fleet.moves[w.host]; m != nil && m.worker == w.entry.ID && m.process == w.restarts {
		return true
	}
	for _, wave := range c.fleet.waves {
		if wave.orderedWorker[w.host] != w.entry.ID {
			continue
		}
		orderedAt, ordered := wave.orderedAt[w.host]
		if wave.inFlight[w.host] || wave.outcomeUnknown[w.host] || ordered && c.clock()-orderedAt < assumedDownTime {
			return true
		}
	}
	return false
}
