package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

const (
	// sizeHeadroom multiplies the load of a pool, since work items don't fill hosts to the last core.
	sizeHeadroom = 1.2
	// backlogDrainTime is the time in which a pool should work off its backlog: a short job may take 0.6 s
	// plus 1.5 times its run time (docs/MEASUREMENTS.md).
	backlogDrainTime = 700 * time.Millisecond
	// moveLeadMargin is added to the time of a move, for the delay until the list of workers shows the
	// moved host and its worker sends the first report.
	moveLeadMargin = 900 * time.Millisecond
	// forecastGrace is how long after its forecast start a peak is still expected.
	forecastGrace = 1500 * time.Millisecond
	// spareHosts is the number of hosts that a pool keeps besides those for lasting work, for work items
	// that must start on another host.
	spareHosts = 1
	// idleBeforeStandby is how long a host is idle before it moves to standby: a move costs about as much
	// as the work that a host does in that time.
	idleBeforeStandby = time.Second
	// trialDrainTime is the time in which the suspects that wait in a pool should have had their trials.
	trialDrainTime = 2 * time.Second
	// peakRiseTime is how long it takes until the offered load shows a peak in full: two time constants.
	peakRiseTime = 2 * loadTimeConstant
	// loadLogInterval is the interval at which the loads of the pools are logged.
	loadLogInterval = time.Second
	// moveSettleTime is how long a successful move counts although the list of hosts doesn't show it yet.
	moveSettleTime = 3 * time.Second
)

// planPoolSizes plans the moves of hosts between pools and to and from standby, and returns the orders for them.
func (c *Core) planPoolSizes(now time.Duration) []HostOrder {
	if c.config == nil || len(c.fleet.hosts) == 0 {
		return nil
	}
	c.peakTracker.observe(now)
	orders := c.reconcileMoves(now)
	standbyPool, standbyHosts := c.standbyHosts(now)
	workByPool := c.workByPool(now)
	loads := c.poolLoads(workByPool, now)
	c.logPoolLoads(loads, workByPool, len(standbyHosts), now)
	moves, vacate := planMoves(loads, standbyHosts, standbyPool, func(host string) bool { return c.mayEnterStandby(host, now) })
	c.setVacating(vacate)
	for _, m := range moves {
		host := c.fleet.hosts[m.host]
		c.logger.WithFields(logrus.Fields{"event": "host_move_decided", "host": m.host, "from": host.Pool, "to": m.pool}).Info("moving host to another pool")
		order := &moveOrder{pool: m.pool, worker: host.WorkerID, inFlight: true}
		if w := c.workers[host.WorkerID]; w != nil {
			w.cordoned, order.process = true, w.restarts
		}
		c.fleet.moves[m.host] = order
		orders = append(orders, HostOrder{Host: m.host, Pool: m.pool, Worker: host.WorkerID})
	}
	return orders
}

// setVacating marks the hosts as vacating, so that they get no new work, and clears the mark of all others.
func (c *Core) setVacating(hosts []string) {
	for _, w := range c.workers {
		w.vacating = false
	}
	for _, id := range hosts {
		if w := c.workers[c.fleet.hosts[id].WorkerID]; w != nil {
			w.vacating = true
		}
	}
}

// logPoolLoads logs the loads and hosts of the pools at most once per loadLogInterval.
func (c *Core) logPoolLoads(loads []poolLoad, workByPool map[string]poolWork, standby int, now time.Duration) {
	if now-c.fleet.loadsLoggedAt < loadLogInterval {
		return
	}
	c.fleet.loadsLoggedAt = now
	for i := range loads {
		l := &loads[i]
		pool := workByPool[l.name]
		c.logger.WithFields(logrus.Fields{"event": "pool_load", "pool": l.name, "hosts": l.hosts, "open": c.candidatesOf(l.name, &candidatePool{}, now).size(), "empty": len(l.emptyHosts),
			"target": l.currentTarget(), "expected": l.expectedTarget(), "least": l.minHosts, "need": int(l.currentLoad), "used": pool.usedCPUMilli / 1000, "offered": int(c.peakTracker.loadOf(l.name).loadAt(now)),
			"backlog": int(pool.placed + pool.waiting), "in_time": int(pool.placed + pool.inTimeWaiting), "standby": standby, "run_ratio": fmt.Sprintf("%.2f", c.statsOf(l.name).runTimeRatio)}).Info("load of a pool")
	}
}

// reconcileMoves drops the moves of hosts that left the list, those whose effect the list shows, and those
// that succeeded more than moveSettleTime ago. It returns the orders to repeat: those of moves with an unknown
// outcome whose host still has the worker that it had, in the pool that it had.
func (c *Core) reconcileMoves(now time.Duration) []HostOrder {
	var orders []HostOrder
	for id, m := range c.fleet.moves {
		host, exists := c.fleet.hosts[id]
		switch {
		case !exists || m.succeededAt > 0 && (host.Pool == m.pool && host.State == infra.HostUp || now-m.succeededAt > moveSettleTime):
			c.dropMove(id, m)
		case m.succeededAt == 0 && !m.inFlight && host.State == infra.HostUp && (host.WorkerID != m.worker || host.Pool == m.pool):
			// The move was carried out, or the worker has crashed. A repeated order would end what the next worker runs.
			if w := c.workers[m.worker]; w != nil && host.WorkerID != m.worker {
				c.endWorker(w)
			}
			c.dropMove(id, m)
		case m.succeededAt == 0 && !m.inFlight && now >= m.retryAt:
			m.inFlight = true
			orders = append(orders, HostOrder{Host: id, Pool: m.pool, Worker: m.worker})
		}
	}
	slices.SortFunc(orders, func(a, b HostOrder) int { return cmp.Compare(a.Host, b.Host) })
	return orders
}

// dropMove drops the move of a host. The host's next worker may have the ID of the earlier one, which was cordoned.
func (c *Core) dropMove(id string, m *moveOrder) {
	delete(c.fleet.moves, id)
	if w := c.workers[m.worker]; w != nil && c.fleet.hosts[id].WorkerID == m.worker && !c.drainingForWave(id) {
		w.cordoned = false
	}
}

// standbyHosts returns the name of the standby pool (the first one by name) and the movable hosts in standby.
func (c *Core) standbyHosts(now time.Duration) (string, []string) {
	pool := ""
	for name, p := range c.config.Pools {
		if p.Standby && (pool == "" || name < pool) {
			pool = name
		}
	}
	var hosts []string
	for id, host := range c.fleet.hosts {
		if c.inStandby(host) && c.movable(id, now) {
			hosts = append(hosts, id)
		}
	}
	// Hosts with a late move are taken last of all. Hosts that still have to go down in a maintenance wave are taken last: maintenance of a host in
	// standby interrupts no work.
	slices.SortFunc(hosts, func(a, b string) int {
		return cmp.Or(compareBool(c.hasLateMove(a, now), c.hasLateMove(b, now)), compareBool(c.fleet.pendingMaintenance[a], c.fleet.pendingMaintenance[b]), cmp.Compare(a, b))
	})
	return pool, hosts
}

// hasLateMove reports whether a move of the host that had no response may still be carried out. It would move the host
// back if it has been moved to another pool since, and end what runs there: such hosts move after the others.
func (c *Core) hasLateMove(id string, now time.Duration) bool { return now < c.fleet.lateMoveUntil[id] }

// inStandby reports whether the host is in a standby pool and up.
func (c *Core) inStandby(host infra.Host) bool {
	return c.config.Pools[host.Pool].Standby && host.State == infra.HostUp
}

// movable reports whether the host is in no evacuated zone and orders reach it, no order to it is in progress, and no earlier
// term ordered it recently.
func (c *Core) movable(id string, now time.Duration) bool {
	host := c.fleet.hosts[id]
	return c.fleet.moves[id] == nil && !c.inUnusableZone(host) && !c.maintenanceInFlight(id) && now >= c.fleet.heldBackUntil[id]
}

// maintenanceInFlight reports whether an order to take the host down for maintenance is in flight.
func (c *Core) maintenanceInFlight(host string) bool {
	for _, w := range c.fleet.waves {
		if w.inFlight[host] {
			return true
		}
	}
	return false
}

// drainingForWave reports whether the host is being drained for the maintenance of a wave.
func (c *Core) drainingForWave(host string) bool {
	for _, w := range c.fleet.waves {
		if !w.completed && w.cordoned[host] && c.fleet.pendingMaintenance[host] {
			return true
		}
	}
	return false
}

// mayEnterStandby reports whether the host has been idle long enough to move to standby, and no peak is rising.
func (c *Core) mayEnterStandby(host string, now time.Duration) bool {
	since, idle := c.fleet.idleSince[host]
	// Before the first peak nothing is known of the load, and hosts stay where operators put them. The
	// offered load doesn't show immediately how many hosts a new peak takes, and a host that is moving can't
	// serve it.
	return idle && now-since >= idleBeforeStandby && c.peakTracker.lastPeakStart > 0 && now-c.peakTracker.lastPeakStart >= peakRiseTime
}

// poolLoads returns the loads and hosts of all pools except the standby pools.
func (c *Core) poolLoads(workByPool map[string]poolWork, now time.Duration) []poolLoad {
	byName := map[string]*poolLoad{}
	for name, p := range c.config.Pools {
		if !p.Standby {
			byName[name] = &poolLoad{name: name}
		}
	}
	cores := map[string]float64{}
	for id, host := range c.fleet.hosts {
		pool := host.Pool
		moving := c.fleet.moves[id]
		if moving != nil {
			pool = moving.pool
		}
		load := byName[pool]
		// A host that is down for maintenance, or soon will be, doesn't count: it runs nothing until it is back.
		unavailable := host.State == infra.HostDown || host.State == infra.HostMaintenance || c.drainingForWave(id) || c.inLostZone(host)
		if load == nil || unavailable || c.isEvacuatedHost(id, host, load) {
			continue
		}
		load.hosts++
		cores[pool] += float64(host.Capacity.CPUMilli) / 1000
		c.classifyHost(id, host, load, now)
	}
	for name, load := range byName {
		c.computeDemand(load, workByPool[name], cores[name], now)
	}
	loads := make([]poolLoad, 0, len(byName))
	for _, load := range byName {
		slices.SortFunc(load.emptyHosts, func(a, b string) int {
			return cmp.Or(compareBool(c.hasLateMove(a, now), c.hasLateMove(b, now)), cmp.Compare(c.fleet.idleSince[a], c.fleet.idleSince[b]), cmp.Compare(a, b))
		})
		slices.SortFunc(load.busyHosts, func(a, b string) int {
			return cmp.Or(compareBool(c.hasLateMove(a, now), c.hasLateMove(b, now)), cmp.Compare(c.itemsOn(a), c.itemsOn(b)), cmp.Compare(a, b))
		})
		loads = append(loads, *load)
	}
	return loads
}

// classifyHost counts a host with lasting work in minHosts, updates since when the host is idle, and lists
// it as empty or busy if it may move.
func (c *Core) classifyHost(id string, host infra.Host, load *poolLoad, now time.Duration) {
	w := c.workers[host.WorkerID]
	if w != nil && w.hasLasting() {
		load.minHosts++
	}
	if w == nil || len(w.items) > 0 || host.State != infra.HostUp {
		delete(c.fleet.idleSince, id)
		if w != nil && host.State == infra.HostUp && !w.hasLasting() && c.movable(id, now) {
			load.busyHosts = append(load.busyHosts, id)
		}
		return
	}
	if _, idle := c.fleet.idleSince[id]; !idle {
		c.fleet.idleSince[id] = now
	}
	if w.hasReported && w.failedRenewals == 0 && !w.entry.Draining && c.movable(id, now) {
		load.emptyHosts = append(load.emptyHosts, id)
	}
}

// computeDemand sets minHosts, the loads and coresPerHost of the pool. cores is the sum over the pool's hosts.
func (c *Core) computeDemand(load *poolLoad, pool poolWork, cores float64, now time.Duration) {
	load.minHosts = max(load.minHosts, pool.lastingHosts) + spareHosts + pool.lastingWaiting
	load.trialHosts = c.hostsForTrials(load.name)
	lastingCores := float64(pool.lastingCPUMilli) / 1000
	backlogLoad := min((pool.placed+pool.inTimeWaiting)/backlogDrainTime.Seconds(), float64(pool.usableCPUMilli)/1000)
	load.currentLoad = sizeHeadroom*max(c.peakTracker.loadOf(load.name).loadAt(now), backlogLoad) + lastingCores
	load.expectedLoad = sizeHeadroom*c.forecastPeakLoad(load.name, now) + lastingCores
	if load.hosts > 0 {
		load.coresPerHost = cores / float64(load.hosts)
		return
	}
	load.coresPerHost = c.meanHostCores()
}

// hostsForTrials returns the number of hosts that the waiting suspects of the pool need to have their trials within
// trialDrainTime. Half of the hosts of a pool take other work.
func (c *Core) hostsForTrials(pool string) int {
	return int(math.Ceil(2 * float64(c.jobsOnHoldByPool[pool]) * maxTrialTime.Seconds() / trialDrainTime.Seconds()))
}

// meanHostCores returns the mean number of cores of all hosts of the fleet.
func (c *Core) meanHostCores() float64 {
	var sum work.Resources
	for _, host := range c.fleet.hosts {
		sum = sum.Plus(host.Capacity)
	}
	return float64(sum.CPUMilli) / 1000 / float64(max(1, len(c.fleet.hosts)))
}

// forecastPeakLoad returns the load of the peak that is expected to begin in the pool soon, divided by the
// number of pools in which it may begin; 0 when none is expected.
func (c *Core) forecastPeakLoad(pool string, now time.Duration) float64 {
	start, candidates := c.peakTracker.nextPeak()
	if len(candidates) == 0 || !slices.Contains(candidates, pool) {
		return 0
	}
	if now < start-c.options.HostMoveTime-moveLeadMargin || now > start+forecastGrace {
		return 0
	}
	return c.peakTracker.expectedPeakLoad(pool) / float64(len(candidates))
}

// applyMoveResult applies the result of an order to move a host.
func (c *Core) applyMoveResult(order HostOrder, err error) {
	now := c.clock()
	m := c.fleet.moves[order.Host]
	worker := c.workers[order.Worker]
	kind := infra.KindOf(err)
	c.logger.WithFields(logrus.Fields{"event": "host_moved", "host": order.Host, "worker": order.Worker, "to": order.Pool, "kind": string(kind)}).WithError(err).Info("attempted to move host")
	if m == nil {
		return
	}
	m.inFlight = false
	switch kind {
	case "":
		m.succeededAt = now
		delete(c.fleet.idleSince, order.Host)
		if worker != nil && worker.restarts == m.process {
			c.endWorker(worker)
		}
	case infra.Fenced:
		c.markFenced("move", order.Host)
	case infra.Unknown:
		// The host may have moved, or may still move. The order is repeated until its outcome is known.
		m.retryAt = now + hostOrderRetryDelay
		c.fleet.lateMoveUntil[order.Host] = now + maxCallDelay
	default:
		c.dropMove(order.Host, m)
	}
}
