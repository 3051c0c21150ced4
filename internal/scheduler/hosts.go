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
	// hostOrderPrefix is the prefix of the keys under which the last order to each host is kept.
	hostOrderPrefix = "h/"
	// maxClockSkew is by how much the clocks of two processes may differ when an order of an earlier term
	// is dated; the platform's clocks are close to true time, and its drills step them by 2 s.
	maxClockSkew = 2 * time.Second
	// hostOrderRetryDelay is the pause after an order to a host that had no effect.
	hostOrderRetryDelay = 500 * time.Millisecond
	// hostListLag is how long a worker may run work before the list of hosts shows it.
	hostListLag = 1500 * time.Millisecond
)

// fleetState is what the core knows of hosts and waves.
type fleetState struct {
	hosts map[string]infra.Host
	// byWorker maps the ID of a worker to its host.
	byWorker map[string]string
	waves    map[int64]*wave
	// pendingMaintenance holds the hosts that a wave still has to take down.
	pendingMaintenance map[string]bool
	// moves are orders to move, by host, until the list shows their effect or they are given up.
	moves         map[string]*moveOrder
	loadsLoggedAt time.Duration
	// heldBackUntil is until when hosts get no orders since an earlier term ordered them lately.
	heldBackUntil map[string]time.Duration
	// idleSince is since when nothing runs on a host.
	idleSince map[string]time.Duration
}

// moveOrder is an order to move a host.
type moveOrder struct {
	pool string
	// succeededAt is when the order succeeded; 0 while its outcome is open.
	succeededAt time.Duration
	// inFlight is set while a call is under way, retryAt is when the next may be made.
	inFlight bool
	retryAt  time.Duration
}

func newFleetState() fleetState {
	return fleetState{hosts: map[string]infra.Host{}, byWorker: map[string]string{}, waves: map[int64]*wave{}, pendingMaintenance: map[string]bool{},
		moves: map[string]*moveOrder{}, idleSince: map[string]time.Duration{}, heldBackUntil: map[string]time.Duration{}}
}

// awaitsMaintenance reports whether the worker's host is still to go down in a wave.
func (h *fleetState) awaitsMaintenance(workerID string) bool {
	return h.pendingMaintenance[h.byWorker[workerID]]
}

// HostOrder is an order to take a host down for its upkeep, or to move it.
type HostOrder struct {
	Host string
	// Wave is the wave of an upkeep; 0 for a move.
	Wave int64
	// Pool is where a move goes; empty for an upkeep.
	Pool string
}

// LoadHostRecords takes the progress of waves that earlier terms left in the log.
func (c *Core) LoadHostRecords(records []infra.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range records {
		if host, ok := strings.CutPrefix(record.Key, hostOrderPrefix); ok && record.Value != nil {
			var body hostOrderRecord
			hold := c.options.HostOrderDelay
			if err := cbor.Unmarshal(record.Value, &body); err != nil {
				c.logger.WithFields(logrus.Fields{"event": "host_record_skipped", "key": record.Key}).WithError(err).Error("record of an order to a host can't be read")
			} else {
				hold = min(hold, time.UnixMilli(body.AtMs).Sub(c.wall())+c.options.HostOrderDelay+maxClockSkew)
			}
			c.hosts.heldBackUntil[host] = c.clock() + hold
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
		w := c.wave(id)
		w.completed = body.Completed
		for _, host := range body.Ordered {
			w.ordered[host] = c.clock()
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
	c.endUnlistedWorkers(asked)
}

// endUnlistedWorkers ends workers that aren't the current life of any host: a host that crashed or was
// replaced has another worker or none, while one that is only cut off still lists its worker.
// Without this, the work of a crashed worker waits until its lease has lapsed.
func (c *Core) endUnlistedWorkers(asked time.Duration) {
	if len(c.hosts.hosts) == 0 {
		return
	}
	for id, w := range c.workers {
		if c.hosts.byWorker[id] != "" || w.gone || w.known && len(w.items) == 0 || (w.failing == 0 && w.entry.Address != "") {
			continue
		}
		if asked-min(w.firstPlacement(), max(c.started, w.added)) > hostListLag {
			c.logger.WithFields(logrus.Fields{"event": "worker_ended", "worker": id, "items": len(w.items), "silent_ms": (asked - w.contact).Milliseconds()}).Warn("no host lists the worker any more")
			c.end(w)
		}
	}
}

// firstPlacement is when the first of the worker's items was placed.
func (w *worker) firstPlacement() time.Duration {
	oldest := time.Duration(math.MaxInt64)
	for i := range w.items {
		oldest = min(oldest, i.placed)
	}
	return oldest
}

// PlanHosts empties hosts that are due, and returns the orders for those that are empty and the news
// of waves.
func (c *Core) PlanHosts() ([]HostOrder, []WaveNews) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	var orders []HostOrder
	var news []WaveNews
	clear(c.hosts.pendingMaintenance)
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
		if w.shown != state {
			news = append(news, WaveNews{Wave: w.ID, State: state})
		}
	}
	for _, order := range orders {
		c.hosts.waves[order.Wave].inFlight[order.Host] = true
	}
	orders = append(orders, c.planPoolSizes(now)...)
	for _, order := range orders {
		c.recordHostOrder(order.Host)
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

// recordHostOrder adds an order to a host to the next batch.
func (c *Core) recordHostOrder(host string) {
	value, err := cbor.Marshal(hostOrderRecord{AtMs: c.wall().UnixMilli()})
	if err != nil {
		c.logger.WithFields(logrus.Fields{"event": "host_order_unencodable", "host": host}).WithError(err).Error("order to a host can't be encoded")
		return
	}
	c.records = append(c.records, infra.Record{Key: hostOrderPrefix + host, Value: value})
	c.poke()
}

// HostOrderResult takes the result of an order to a host.
func (c *Core) HostOrderResult(order HostOrder, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if order.Pool != "" {
		c.moveResult(order, err)
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
		w.ordered[order.Host] = now
		delete(w.uncertain, order.Host)
		if worker != nil {
			c.end(worker)
		}
		c.touchWave(w)
	case infra.Fenced:
		c.deposed("upkeep", order.Host)
	default:
		// The order is repeated with the same effect; until then the host stays empty.
		w.retryAt[order.Host] = now + hostOrderRetryDelay
		w.uncertain[order.Host] = w.uncertain[order.Host] || infra.KindOf(err) == infra.Unknown
	}
}
