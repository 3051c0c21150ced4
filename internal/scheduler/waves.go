package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

const (
	// wavePrefix is the key prefix of wave records; the ID of the wave follows it.
	wavePrefix = "w/"
	// extraCordonedHosts is how many hosts of a wave are drained in advance, in addition to those that may go
	// down now.
	extraCordonedHosts = 2
	// assumedDownTime is how long a host counts as down after its maintenance order, even if the list of
	// hosts, which lags, still shows it up.
	assumedDownTime = 1500 * time.Millisecond
	// inheritedStopDelay is how long a new term waits before it stops lasting items with an availability
	// budget. Until then, workers may still list items as available that the previous term has stopped.
	inheritedStopDelay = 2 * time.Second
)

// wave is the state of a maintenance wave. Its maps have host IDs as keys.
type wave struct {
	infra.Wave
	// orderedAt holds the hosts whose maintenance order succeeded, with the time of the success. Hosts from
	// the records of earlier terms have the time at which the records were loaded.
	orderedAt map[string]time.Duration
	// inFlight holds the hosts to which an order is being sent.
	inFlight map[string]bool
	// orderedWorker holds, by host, the worker that the first order was to end; empty if the host had none.
	orderedWorker map[string]string
	// outcomeUnknown holds the hosts whose order had no response. The order may still be carried out, so these
	// hosts count as down until an order succeeds.
	outcomeUnknown map[string]bool
	// lateOrderUntil holds, by host, until when an order of an earlier term may still be carried out whose success isn't
	// recorded. Until then the host counts as down.
	lateOrderUntil map[string]time.Duration
	// cordoned holds the hosts that get no new work because of this wave.
	cordoned map[string]bool
	// retryAt holds when an unsuccessful order may be repeated.
	retryAt map[string]time.Duration
	// completed is set once the maintenance of all hosts has begun.
	completed bool
	// record is the number of the last record of the wave, see fleetState.records.
	record int64
	// publishedState is the last state that was published to operators.
	publishedState infra.WaveState
	// firstSeen is when this term first learned of the wave.
	firstSeen time.Duration
}

// waveRecord is the durable state of a wave.
type waveRecord struct {
	Ordered   []string `cbor:"1,keyasint,omitempty"`
	Completed bool     `cbor:"2,keyasint,omitempty"`
}

// WaveStateChange is a state of a wave to publish to operators.
type WaveStateChange struct {
	Wave  int64
	State infra.WaveState
}

// SetWaves adds or updates the waves that operators published.
func (c *Core) SetWaves(waves []infra.Wave) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, published := range waves {
		w := c.waveByID(published.ID)
		if len(w.Hosts) == 0 {
			c.logger.WithFields(logrus.Fields{"event": "wave_published", "wave": published.ID, "hosts": len(published.Hosts), "max_down": published.MaxDown,
				"within_ms": published.TimeLimit.Milliseconds()}).Info("operators published a maintenance wave")
		}
		w.Wave = published
	}
}

// waveByID returns the state of the wave, which it creates if there is none.
func (c *Core) waveByID(id int64) *wave {
	w := c.fleet.waves[id]
	if w == nil {
		w = &wave{orderedAt: map[string]time.Duration{}, inFlight: map[string]bool{}, orderedWorker: map[string]string{}, outcomeUnknown: map[string]bool{}, lateOrderUntil: map[string]time.Duration{}, cordoned: map[string]bool{}, retryAt: map[string]time.Duration{}, firstSeen: c.clock()}
		w.ID = id
		c.fleet.waves[id] = w
	}
	return w
}

// WaveStatePublished records that the state was published to operators.
func (c *Core) WaveStatePublished(change WaveStateChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.waves[change.Wave].publishedState = change.State
}

// planWave drains hosts of the wave and returns the maintenance orders for hosts that may go down now.
func (c *Core) planWave(w *wave, now time.Duration) []HostOrder {
	down, remaining := 0, 0
	var candidates, lateOrders []string
	var repeated []HostOrder
	for _, id := range w.Hosts {
		host, exists := c.fleet.hosts[id]
		orderedAt, ordered := w.orderedAt[id]
		switch {
		case len(c.fleet.hosts) == 0:
			remaining++
		case ordered:
			switch {
			case exists && host.State == infra.HostMaintenance || now-orderedAt < assumedDownTime:
				down++
			case w.cordoned[id] && host.State == infra.HostUp:
				c.uncordonAfterMaintenance(w, id)
			}
		case !exists:
			// The host has left the fleet.
		case w.inFlight[id], now < c.fleet.heldBackUntil[id]:
			// An order of this term is in flight, or an earlier term ordered the host recently. In both cases
			// the outcome isn't known.
			down++
			remaining++
			c.fleet.pendingMaintenance[id] = true
		case w.outcomeUnknown[id]:
			down++
			remaining++
			c.fleet.pendingMaintenance[id] = true
			if host.State == infra.HostUp && now >= w.retryAt[id] && c.drainHost(w, id) {
				repeated = append(repeated, HostOrder{Wave: w.ID, Host: id, Worker: w.orderedWorker[id]})
			}
		case now < w.lateOrderUntil[id]:
			down++
			remaining++
			c.fleet.pendingMaintenance[id] = true
			if host.State == infra.HostUp && now >= w.retryAt[id] && c.fleet.moves[id] == nil {
				lateOrders = append(lateOrders, id)
			}
		default:
			remaining++
			c.fleet.pendingMaintenance[id] = true
			if host.State == infra.HostMaintenance {
				// An earlier term ordered the host down, but its order isn't recorded.
				down++
			}
			if host.State == infra.HostUp && now >= w.retryAt[id] && c.fleet.moves[id] == nil {
				candidates = append(candidates, id)
			}
		}
	}
	if remaining == 0 {
		c.completeWave(w)
		return nil
	}
	if down <= w.MaxDown {
		// Each of these hosts may go down in any case. If they are too many, some of them refused the order.
		for _, id := range lateOrders {
			if c.drainHost(w, id) {
				repeated = append(repeated, HostOrder{Wave: w.ID, Host: id, Worker: c.fleet.hosts[id].WorkerID})
			}
		}
	}
	return append(repeated, c.drainHosts(w, candidates, w.MaxDown-down)...)
}

// drainHosts drains as many candidates as may go down now or soon: hosts of evacuated zones first, then cordoned ones,
// then those with the fewest items. It returns the maintenance orders for at most mayGoDown hosts on which nothing runs.
func (c *Core) drainHosts(w *wave, candidates []string, mayGoDown int) []HostOrder {
	slices.SortStableFunc(candidates, func(a, b string) int {
		return cmp.Or(c.compareEvacuated(a, b), compareBool(!w.cordoned[a], !w.cordoned[b]), cmp.Compare(c.itemsOn(a), c.itemsOn(b)), cmp.Compare(a, b))
	})
	var orders []HostOrder
	for n, id := range candidates {
		if n >= max(0, mayGoDown)+extraCordonedHosts {
			break
		}
		if c.drainHost(w, id) && len(orders) < mayGoDown {
			orders = append(orders, HostOrder{Wave: w.ID, Host: id, Worker: c.fleet.hosts[id].WorkerID})
		}
	}
	return orders
}

// drainHost cordons the host's worker, stops its lasting items as far as their availability budgets allow,
// and reports whether nothing runs on the host.
func (c *Core) drainHost(w *wave, id string) bool {
	host := c.fleet.hosts[id]
	if host.WorkerID == "" {
		// A standby host is off and runs nothing.
		return true
	}
	worker := c.workers[host.WorkerID]
	if worker == nil || !worker.hasReported {
		// It isn't known what the worker runs.
		return false
	}
	w.cordoned[id], worker.cordoned = true, true
	c.evictLasting(worker)
	return len(worker.items) == 0
}

// uncordonAfterMaintenance lifts the cordon of the host's worker. While the outcome of the order was unknown, the worker
// may be one that joined after the maintenance.
func (c *Core) uncordonAfterMaintenance(w *wave, id string) {
	delete(w.cordoned, id)
	if worker := c.workers[c.fleet.hosts[id].WorkerID]; worker != nil && c.fleet.moves[id] == nil && !c.drainingForWave(id) {
		worker.cordoned = false
	}
}

// evictLasting stops the lasting items of a cordoned worker as far as their availability budgets allow, so
// that they start on other workers.
func (c *Core) evictLasting(w *worker) {
	for _, i := range w.sortedItems(func(i *item) bool { return i.step.def.Lasting && !i.stopping && i.startConfirmedAt > 0 }) {
		if c.mayStop(i) {
			c.logger.WithFields(logrus.Fields{"event": "lasting_item_moved", "item": i.id().String(), "worker": w.entry.ID}).Info("stopping a lasting work item so that it starts on another host; its host is to go down for maintenance")
			c.orderStop(i)
		}
	}
}

// mayStop reports whether the availability budget of the item's step allows stopping the item now. The items on draining
// workers are to be stopped before all others: they count as unavailable unless the item itself is one of them.
func (c *Core) mayStop(i *item) bool {
	if i.step.def.MayMiss <= 0 {
		return true
	}
	if c.term > 1 && c.clock()-c.startedAt < inheritedStopDelay {
		return false
	}
	unavailable := 0
	for _, other := range i.step.items {
		if other == i {
			continue
		}
		if other.state != itemPlaced || !other.available || other.stopping || other.worker.failedRenewals > 0 || other.worker.ended ||
			other.worker.entry.Draining && !i.worker.entry.Draining {
			unavailable++
		}
	}
	return unavailable+1 <= i.step.def.MayMiss
}

// completeWave marks the wave as completed and uncordons its workers.
func (c *Core) completeWave(w *wave) {
	w.completed = true
	c.logger.WithFields(logrus.Fields{"event": "wave_completed", "wave": w.ID, "hosts": len(w.orderedAt), "took_ms": (c.clock() - w.firstSeen).Milliseconds()}).Info("wave completed: the maintenance of all its hosts has begun")
	for _, id := range slices.Collect(maps.Keys(w.cordoned)) {
		c.uncordonAfterMaintenance(w, id)
	}
	c.recordWave(w)
}

// recordWave adds the wave's record to the next batch.
func (c *Core) recordWave(w *wave) {
	record := waveRecord{Completed: w.completed}
	for host := range w.orderedAt {
		record.Ordered = append(record.Ordered, host)
	}
	slices.Sort(record.Ordered)
	value, err := recordEncoding.Marshal(record)
	if err != nil {
		c.logger.WithFields(logrus.Fields{"event": "wave_unencodable", "wave": w.ID}).WithError(err).Error("record of a wave can't be encoded; its progress isn't recorded")
		return
	}
	w.record = c.addFleetRecord(infra.Record{Key: wavePrefix + strconv.FormatInt(w.ID, 10), Value: value})
}
