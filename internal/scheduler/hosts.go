package scheduler

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

const (
	// hostPrefix is the prefix of the keys under which the last order to each host is kept.
	hostPrefix = "h/"
	// clockSkew is by how much the clocks of two processes may differ when an order of an earlier term
	// is dated; the platform's clocks are close to true time, and its drills step them by 2 s.
	clockSkew = 2 * time.Second
	// orderPause is the pause after an order to a host that had no effect.
	orderPause = 500 * time.Millisecond
	// hostListLag is how long a worker may run work before the list of hosts shows it.
	hostListLag = 1500 * time.Millisecond
)

// hostState is what the core knows of hosts and waves.
type hostState struct {
	hosts map[string]infra.Host
	// byWorker maps the ID of a worker to its host.
	byWorker map[string]string
	waves    map[int64]*wave
	// pending holds the hosts that a wave still has to take down.
	pending map[string]bool
	// moves are orders to move, by host, until the list shows their effect or they are given up.
	moves       map[string]*move
	loadsLogged time.Duration
	// heldBack is until when hosts get no orders since an earlier term ordered them lately.
	heldBack map[string]time.Duration
	// idleSince is since when nothing runs on a host.
	idleSince map[string]time.Duration
}

// move is an order to move a host.
type move struct {
	pool string
	// done is when the order succeeded; 0 while its outcome is open.
	done time.Duration
	// inFlight is set while a call is under way, retryAt is when the next may be made.
	inFlight bool
	retryAt  time.Duration
}

func newHostState() hostState {
	return hostState{hosts: map[string]infra.Host{}, byWorker: map[string]string{}, waves: map[int64]*wave{}, pending: map[string]bool{},
		moves: map[string]*move{}, idleSince: map[string]time.Duration{}, heldBack: map[string]time.Duration{}}
}

// due reports whether the worker's host is still to go down in a wave.
func (h *hostState) due(workerID string) bool { return h.pending[h.byWorker[workerID]] }

// HostOrder is an order to take a host down for its upkeep, or to move it.
type HostOrder struct {
	Host string
	// Wave is the wave of an upkeep; 0 for a move.
	Wave int64
	// Pool is where a move goes; empty for an upkeep.
	Pool string
}

// LoadWaves takes the progress of waves that earlier terms left in the log.
func (c *Core) LoadWaves(records []infra.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range records {
		if host, ok := strings.CutPrefix(record.Key, hostPrefix); ok && record.Value != nil {
			var body hostOrderRecord
			hold := c.options.HostOrderDelay
			if err := cbor.Unmarshal(record.Value, &body); err != nil {
				c.logger.WithFields(logrus.Fields{"event": "host_record_skipped", "key": record.Key}).WithError(err).Error("record of an order to a host can't be read")
			} else {
				hold = min(hold, time.UnixMilli(body.AtMs).Sub(c.wall())+c.options.HostOrderDelay+clockSkew)
			}
			c.hosts.heldBack[host] = c.clock() + hold
			continue
		}
		name, ok := strings.CutPrefix(record.Key, wavePrefix)
		if !ok || record.Value == nil {
			continue
		}
		id, err := strconv.ParseInt(name, 10, 64)
		var body waveRecord
		if err == nil {
			err = cbor.Unmarshal(record.Value, &body)
		}
		if err != nil {
			c.logger.WithFields(logrus.Fields{"event": "wave_record_skipped", "key": record.Key}).WithError(err).Error("record of a wave can't be read")
			continue
		}
		w := c.waveByID(id)
		w.completed = body.Completed
		for _, host := range body.Ordered {
			w.orderedAt[host] = c.clock()
		}
	}
}

// SetHosts takes the list of hosts that was asked for at the given time.
func (c *Core) SetHosts(hosts []infra.Host, asked time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.hosts.hosts)
	clear(c.hosts.byWorker)
	for _, host := range hosts {
		c.hosts.hosts[host.ID] = host
		if host.WorkerID != "" {
			c.hosts.byWorker[host.WorkerID] = host.ID
		}
	}
	c.endUnlisted(asked)
}

// endUnlisted ends workers that aren't the current life of any host: a host that crashed or was
// replaced has another worker or none, while one that is only cut off still lists its worker.
// Without this, the work of a crashed worker waits until its lease has lapsed.
func (c *Core) endUnlisted(asked time.Duration) {
	if len(c.hosts.hosts) == 0 {
		return
	}
	for id, w := range c.workers {
		if c.hosts.byWorker[id] != "" || w.ended || w.hasReported && len(w.items) == 0 || (w.failedHolds == 0 && w.entry.Address != "") {
			continue
		}
		if asked-min(w.oldestPlacement(), max(c.startedAt, w.addedAt)) > hostListLag {
			c.logger.WithFields(logrus.Fields{"event": "worker_ended", "worker": id, "items": len(w.items), "silent_ms": (asked - w.lastReportAt).Milliseconds()}).Warn("no host lists the worker any more")
			c.endWorker(w)
		}
	}
}

// oldestPlacement is when the first of the worker's items was placed.
func (w *worker) oldestPlacement() time.Duration {
	oldest := time.Duration(math.MaxInt64)
	for i := range w.items {
		oldest = min(oldest, i.placedAt)
	}
	return oldest
}

// PlanHosts empties hosts that are due, and returns the orders for those that are empty and the news
// of waves.
func (c *Core) PlanHosts() ([]HostOrder, []WaveStateChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	var orders []HostOrder
	var news []WaveStateChange
	clear(c.hosts.pending)
	for _, w := range c.hosts.waves {
		if len(w.Hosts) == 0 {
			continue
		}
		if !w.completed {
			orders = append(orders, c.planWave(w, now)...)
		}
		state := infra.WaveRunning
		if w.completed {
			state = infra.WaveCompleted
		}
		if w.publishedState != state {
			news = append(news, WaveStateChange{Wave: w.ID, State: state})
		}
	}
	for _, order := range orders {
		c.hosts.waves[order.Wave].inFlight[order.Host] = true
	}
	orders = append(orders, c.planSizes(now)...)
	for _, order := range orders {
		c.recordOrder(order.Host)
	}
	return orders, news
}

func (c *Core) itemsOn(host string) int {
	w := c.workers[c.hosts.hosts[host].WorkerID]
	if w == nil {
		return 0
	}
	return len(w.items)
}

// hostOrderRecord is kept of the last order to a host, so that a later term leaves the host alone
// while this one's holder may count as its holder.
type hostOrderRecord struct {
	AtMs int64 `cbor:"1,keyasint"`
}

// recordOrder adds an order to a host to the next batch.
func (c *Core) recordOrder(host string) {
	value, err := cbor.Marshal(hostOrderRecord{AtMs: c.wall().UnixMilli()})
	if err != nil {
		c.logger.WithFields(logrus.Fields{"event": "host_order_unencodable", "host": host}).WithError(err).Error("order to a host can't be encoded")
		return
	}
	c.extraRecords = append(c.extraRecords, infra.Record{Key: hostPrefix + host, Value: value})
	c.wakeUp()
}

// HostOrdered takes the result of an order to a host.
func (c *Core) HostOrdered(order HostOrder, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if order.Pool != "" {
		c.moveOrdered(order, err)
		return
	}
	w := c.hosts.waves[order.Wave]
	now := c.clock()
	delete(w.inFlight, order.Host)
	host := c.hosts.hosts[order.Host]
	worker := c.workers[host.WorkerID]
	c.logger.WithFields(logrus.Fields{"event": "host_ordered_down", "wave": order.Wave, "host": order.Host, "worker": host.WorkerID,
		"kind": string(infra.KindOf(err))}).WithError(err).Info("host was ordered down for its upkeep")
	switch infra.KindOf(err) {
	case "":
		w.orderedAt[order.Host] = now
		delete(w.outcomeUnknown, order.Host)
		if worker != nil {
			c.endWorker(worker)
		}
		c.recordWave(w)
	case infra.Fenced:
		c.markFenced("upkeep", order.Host)
	default:
		// The order is repeated with the same effect; until then the host stays empty.
		w.retryAt[order.Host] = now + orderPause
		w.outcomeUnknown[order.Host] = w.outcomeUnknown[order.Host] || infra.KindOf(err) == infra.Unknown
	}
}
