package scheduler

import (
	"cmp"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

const (
	// hostOrderPrefix is the prefix of the log keys that hold the time of the last order to each host.
	hostOrderPrefix = "h/"
	// maxClockSkew is the assumed difference between the clocks of two processes when a term reads the
	// time of an earlier term's order: the platform's clocks are close to real time, but its fault drills
	// step them by 2 s.
	maxClockSkew = 2 * time.Second
	// hostOrderRetryDelay is the pause before an order to a host that failed is sent again.
	hostOrderRetryDelay = 500 * time.Millisecond
	// hostListLag is how long a worker process may run work before the list of hosts shows it.
	hostListLag = 1500 * time.Millisecond
)

// fleetState is what the core knows of the hosts and the maintenance waves.
type fleetState struct {
	// hosts is the platform's list of hosts, by ID, and hostsListedAt is when it was requested.
	hosts         map[string]infra.Host
	hostsListedAt time.Duration
	// byWorker maps the IDs of workers to the IDs of their hosts.
	byWorker map[string]string
	waves    map[int64]*wave
	// pendingMaintenance holds the IDs of the hosts that still have to go down in a wave.
	pendingMaintenance map[string]bool
	// moves holds the orders to move hosts, by host, until the list of hosts shows their effect, or until they
	// fail or expire.
	moves map[string]*moveOrder
	// loadsLoggedAt is when the loads of the pools were last logged.
	loadsLoggedAt time.Duration
	// heldBackUntil holds, by host, until when a host gets no orders because an earlier term ordered it
	// recently.
	heldBackUntil map[string]time.Duration
	// lateMoveUntil holds, by host, until when a move without a response may still be carried out. It does nothing as long
	// as the host is in the pool of that move.
	lateMoveUntil map[string]time.Duration
	// idleSince holds, by host, when an idle host became idle.
	idleSince map[string]time.Duration
	// records is the number of records of waves and host orders of this term, and durableRecords that of those that are
	// durable. durableChanged is closed, and replaced, when more of them are.
	records, durableRecords int64
	durableChanged          chan struct{}
	// orderRecords holds, by host, the number of the record of the last order.
	orderRecords map[string]int64
}

// noteDurable records that the first records of this term are durable, as many as given.
func (f *fleetState) noteDurable(records int64) {
	if records == f.durableRecords {
		return
	}
	f.durableRecords = records
	close(f.durableChanged)
	f.durableChanged = make(chan struct{})
}

// moveOrder is an order to move a host to a pool.
type moveOrder struct {
	pool string
	// worker is the ID of the worker that the host had when the move was planned; empty if it had none.
	worker string
	// process is worker.restarts of that worker at that time.
	process int
	// succeededAt is when the order succeeded; 0 while its outcome is unknown.
	succeededAt time.Duration
	// inFlight is set while a call to the platform is in progress; retryAt is when the next call may be made.
	inFlight bool
	retryAt  time.Duration
}

func newFleetState() fleetState {
	return fleetState{hosts: map[string]infra.Host{}, byWorker: map[string]string{}, waves: map[int64]*wave{}, pendingMaintenance: map[string]bool{},
		moves: map[string]*moveOrder{}, idleSince: map[string]time.Duration{}, lateMoveUntil: map[string]time.Duration{}, heldBackUntil: map[string]time.Duration{},
		durableChanged: make(chan struct{}), orderRecords: map[string]int64{}}
}

// awaitsMaintenance reports whether the worker's host still has to go down in a wave.
func (f *fleetState) awaitsMaintenance(workerID string) bool {
	return f.pendingMaintenance[f.byWorker[workerID]]
}

// HostOrder is an order to the platform to take a host down for maintenance, or to move it to a pool.
type HostOrder struct {
	Host string
	// Wave is the wave to which the maintenance belongs; 0 for a move.
	Wave int64
	// Pool is the pool to which the host moves; empty for maintenance.
	Pool string
	// Worker is the ID of the worker that the host had when the order was first planned, and that ends with it; empty if
	// the host had none. The host may have another one by the time of the response.
	Worker string
}

// LoadHostRecords restores the progress of waves and the times of the last orders to hosts from the
// records that earlier terms left in the log.
func (c *Core) LoadHostRecords(records []infra.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range records {
		if host, ok := strings.CutPrefix(record.Key, hostOrderPrefix); ok && record.Value != nil {
			var body hostOrderRecord
			sinceOrder := time.Duration(0)
			if err := cbor.Unmarshal(record.Value, &body); err != nil {
				c.logger.WithFields(logrus.Fields{"event": "host_record_skipped", "key": record.Key}).WithError(err).Error("can't decode the record of a host order; the host gets no orders for the full delay")
			} else {
				// The difference is limited before the subtractions, since it is that of any two times.
				sinceOrder = max(0, max(0, c.wallClock().Sub(time.UnixMilli(body.AtMs)))-maxClockSkew)
			}
			c.fleet.heldBackUntil[host] = c.clock() + max(0, c.options.HostOrderDelay-sinceOrder)
			if body.Wave > 0 {
				c.waveByID(body.Wave).lateOrderUntil[host] = c.clock() + max(0, maxCallDelay-sinceOrder)
			}
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
			c.logger.WithFields(logrus.Fields{"event": "wave_record_skipped", "key": record.Key}).WithError(err).Error("can't decode the record of a wave; skipping it")
			continue
		}
		w := c.waveByID(id)
		w.completed = body.Completed
		for _, host := range body.Ordered {
			w.orderedAt[host] = c.clock()
		}
	}
}

// SetHosts replaces the list of hosts by one that was requested from the platform at requestedAt.
func (c *Core) SetHosts(hosts []infra.Host, requestedAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteNewWorkers(hosts)
	c.fleet.hostsListedAt = requestedAt
	clear(c.fleet.hosts)
	clear(c.fleet.byWorker)
	for _, host := range hosts {
		c.fleet.hosts[host.ID] = host
		if host.WorkerID != "" {
			c.fleet.byWorker[host.WorkerID] = host.ID
			if w := c.workers[host.WorkerID]; w != nil {
				w.host = host.ID
			}
		}
	}
	c.endUnlistedWorkers(requestedAt)
}

// noteNewWorkers notes the workers that have certainly started after this term: the previous list showed another worker
// or none on their hosts, and would have shown one that ran when the term began.
func (c *Core) noteNewWorkers(hosts []infra.Host) {
	if c.fleet.hostsListedAt-c.startedAt < hostListLag {
		return
	}
	for _, host := range hosts {
		if previous, listed := c.fleet.hosts[host.ID]; listed && host.WorkerID != "" && previous.WorkerID != host.WorkerID {
			c.noteSettled(host.WorkerID)
		}
	}
}

// endUnlistedWorkers ends the unreachable workers that no host lists any more: a host that crashed or was
// replaced lists another worker or none, while a host that is only unreachable still lists its worker.
// Otherwise the items of a crashed worker would wait until its lease has lapsed.
func (c *Core) endUnlistedWorkers(requestedAt time.Duration) {
	if len(c.fleet.hosts) == 0 {
		return
	}
	for _, w := range c.sortedWorkers() {
		id := w.entry.ID
		if c.fleet.byWorker[id] != "" || w.ended || w.hasReported && len(w.items) == 0 || (w.failedRenewals == 0 && w.entry.Address != "") {
			continue
		}
		if c.wouldBeListed(w, requestedAt) {
			c.logger.WithFields(logrus.Fields{"event": "worker_ended", "worker": id, "items": len(w.items), "silent_ms": (requestedAt - w.lastReportAt).Milliseconds()}).Warn("no host lists the worker any more; ending the worker")
			c.noteSettled(id)
			c.endReturningWorker(w)
		}
	}
}

// wouldBeListed reports whether a list of hosts that was requested at requestedAt certainly shows the worker if it still
// runs: it has been there for hostListLag, as this term has seen or by its start time.
func (c *Core) wouldBeListed(w *worker, requestedAt time.Duration) bool {
	if requestedAt-w.restartSeenAt <= hostListLag {
		return false
	}
	if requestedAt-min(w.firstPlacement(), max(c.startedAt, w.addedAt)) > hostListLag {
		return true
	}
	requestedUnixMs := c.wallClock().Add(requestedAt - c.clock()).UnixMilli()
	// A worker that was known from the records of its items before it was listed has no start time but that of its entry.
	startedUnixMs := cmp.Or(w.startedUnixMs, w.entry.StartUnixMs)
	return startedUnixMs > 0 && requestedUnixMs-startedUnixMs > (hostListLag+maxClockSkew).Milliseconds()
}

// firstPlacement returns when the first of the worker's current items was placed.
func (w *worker) firstPlacement() time.Duration {
	oldest := time.Duration(math.MaxInt64)
	for i := range w.items {
		oldest = min(oldest, i.placedAt)
	}
	return oldest
}

// ObserveLoads follows the peaks of the pools without planning anything. It takes the place of PlanHosts while
// orders to hosts can't be sent.
func (c *Core) ObserveLoads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peakTracker.observe(c.clock())
}

// PlanHosts cordons and drains the hosts that are next in a wave, and plans the sizes of the pools. It
// returns the orders to hosts, and the states of waves to publish. An order may be sent once HostOrderRecorded. That a wave
// has completed is published once it is recorded, since a later term would take the wave up again.
func (c *Core) PlanHosts() ([]HostOrder, []WaveStateChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	var orders []HostOrder
	var changes []WaveStateChange
	clear(c.fleet.pendingMaintenance)
	for _, w := range c.fleet.waves {
		if len(w.Hosts) == 0 {
			continue
		}
		if !w.completed {
			orders = append(orders, c.planWave(w, now)...)
		}
		state := infra.WaveRunning
		if w.completed && w.record <= c.fleet.durableRecords {
			state = infra.WaveCompleted
		}
		if w.publishedState != state {
			changes = append(changes, WaveStateChange{Wave: w.ID, State: state})
		}
	}
	for _, order := range orders {
		w := c.fleet.waves[order.Wave]
		w.inFlight[order.Host], w.orderedWorker[order.Host] = true, order.Worker
	}
	orders = append(orders, c.planPoolSizes(now)...)
	for _, order := range orders {
		c.recordHostOrder(order)
	}
	return orders, changes
}

// itemsOn returns the number of work items that are placed on the host.
func (c *Core) itemsOn(host string) int {
	w := c.workers[c.fleet.hosts[host].WorkerID]
	if w == nil {
		return 0
	}
	return len(w.items)
}

// hostOrderRecord is the record of the last order to a host. Until HostOrderDelay has passed, the platform may
// still regard the term that gave the order as the host's controller, and later terms give the host no order.
type hostOrderRecord struct {
	AtMs int64 `cbor:"1,keyasint"`
	// Wave is that of HostOrder.
	Wave int64 `cbor:"2,keyasint,omitempty"`
}

// recordHostOrder adds the record of an order to a host, given now, to the next batch.
func (c *Core) recordHostOrder(order HostOrder) {
	value, err := recordEncoding.Marshal(hostOrderRecord{AtMs: c.wallClock().UnixMilli(), Wave: order.Wave})
	if err != nil {
		c.logger.WithFields(logrus.Fields{"event": "host_order_unencodable", "host": order.Host}).WithError(err).Error("can't encode the record of a host order; the order stays unrecorded")
		return
	}
	c.fleet.orderRecords[order.Host] = c.addFleetRecord(infra.Record{Key: hostOrderPrefix + order.Host, Value: value})
}

// addFleetRecord adds a record of a wave or a host order to the next batch, and returns its number.
func (c *Core) addFleetRecord(record infra.Record) int64 {
	c.pendingRecords = append(c.pendingRecords, record)
	c.fleet.records++
	c.wakeUp()
	return c.fleet.records
}

// HostOrderRecorded reports whether the last order to the host is durable, so that a later term knows of it. Otherwise
// changed is closed when more records are.
func (c *Core) HostOrderRecorded(host string) (recorded bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fleet.orderRecords[host] <= c.fleet.durableRecords, c.fleet.durableChanged
}

// ApplyHostOrderResult applies the result of an order to a host.
func (c *Core) ApplyHostOrderResult(order HostOrder, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if order.Pool != "" {
		c.applyMoveResult(order, err)
		return
	}
	w := c.fleet.waves[order.Wave]
	now := c.clock()
	delete(w.inFlight, order.Host)
	c.logger.WithFields(logrus.Fields{"event": "host_ordered_down", "wave": order.Wave, "host": order.Host, "worker": order.Worker,
		"kind": string(infra.KindOf(err))}).WithError(err).Info("attempted to take host down for maintenance")
	switch infra.KindOf(err) {
	case "":
		w.orderedAt[order.Host] = now
		delete(w.outcomeUnknown, order.Host)
		if worker := c.workers[order.Worker]; worker != nil {
			c.endWorker(worker)
		}
		c.recordWave(w)
	case infra.Fenced:
		c.markFenced("upkeep", order.Host)
	default:
		// The order is repeated, which does no harm if the first one was carried out. The host stays cordoned
		// until an order succeeds.
		w.retryAt[order.Host] = now + hostOrderRetryDelay
		w.outcomeUnknown[order.Host] = w.outcomeUnknown[order.Host] || infra.KindOf(err) == infra.Unknown
	}
}
