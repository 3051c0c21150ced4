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
	// sizeHeadroom is added to the load of a pool: items don't fill hosts to the last core.
	sizeHeadroom = 1.2
	// backlogDrainTime is in how much time a pool should have done what waits: short jobs may take 0.6 s and
	// half of their run time longer than that (docs/MEASUREMENTS.md).
	backlogDrainTime = 700 * time.Millisecond
	// moveLeadMargin is added to the time of a move for the list of workers and the first hold.
	moveLeadMargin = 900 * time.Millisecond
	// forecastGrace is how long after its forecast a peak is still waited for.
	forecastGrace = 1500 * time.Millisecond
	// spareHosts are kept besides the hosts with lasting work, for items that must start elsewhere.
	spareHosts = 1
	// idleBeforeStandby is how long a host is idle before it rests: a move costs about what a host does in that time.
	idleBeforeStandby = time.Second
	// peakRiseTime is how long it takes until the load of a peak shows in full: two time constants of its rate.
	peakRiseTime = 2 * loadTimeConstant
	// loadLogInterval is how often the load of the pools is logged.
	loadLogInterval = time.Second
	// moveSettleTime is how long a move that succeeded counts although the list doesn't show it yet.
	moveSettleTime = 3 * time.Second
)

// planPoolSizes decides on moves between pools.
func (c *Core) planPoolSizes(now time.Duration) []HostOrder {
	if c.config == nil || len(c.hosts.hosts) == 0 {
		return nil
	}
	c.turns.observe(now)
	orders := c.reconcileMoves(now)
	standbyPool, standby := c.standbyHosts()
	loads := c.poolLoads(now)
	c.logPoolLoads(loads, len(standby), now)
	moves, vacate := planMoves(loads, standby, standbyPool, func(host string) bool { return c.mayEnterStandby(host, now) })
	c.setVacating(vacate)
	for _, m := range moves {
		host := c.hosts.hosts[m.host]
		c.logger.WithFields(logrus.Fields{"event": "host_move_decided", "host": m.host, "from": host.Pool, "to": m.pool}).Info("host changes its pool")
		if w := c.workers[host.WorkerID]; w != nil {
			w.cordoned = true
		}
		c.hosts.moves[m.host] = &moveOrder{pool: m.pool, inFlight: true}
		orders = append(orders, HostOrder{Host: m.host, Pool: m.pool})
	}
	return orders
}

// setVacating keeps new work from the hosts, and lets it back to all others.
func (c *Core) setVacating(hosts []string) {
	for _, w := range c.workers {
		w.vacating = false
	}
	for _, id := range hosts {
		if w := c.workers[c.hosts.hosts[id].WorkerID]; w != nil {
			w.vacating = true
		}
	}
}

// logPoolLoads logs the state of the pools once in loadLogInterval.
func (c *Core) logPoolLoads(loads []poolLoad, standby int, now time.Duration) {
	if now-c.hosts.loadsLoggedAt < loadLogInterval {
		return
	}
	c.hosts.loadsLoggedAt = now
	open := c.schedulableWorkers(now)
	for i := range loads {
		l := &loads[i]
		c.logger.WithFields(logrus.Fields{"event": "pool_load", "pool": l.name, "hosts": l.hosts, "open": len(open[l.name]), "empty": len(l.emptyHosts),
			"target": l.currentTarget(), "expected": l.expectedTarget(), "least": l.minHosts, "need": int(l.currentLoad), "used": int(c.usedCores(l.name)), "offered": int(c.turns.loadOf(l.name).loadAt(now)),
			"backlog": int(c.backlog(l.name, now, anyJob)), "in_time": int(c.backlog(l.name, now, c.canMeetDeadline(now))), "standby": standby, "run_ratio": fmt.Sprintf("%.2f", c.statsOf(l.name).runTimeRatio)}).Info("load of a pool")
	}
}

// usedCores are those that placed work takes in the pool.
func (c *Core) usedCores(pool string) float64 {
	milli := int64(0)
	for _, w := range c.workers {
		if w.entry.Pool == pool && !w.gone {
			milli += w.used.CPUMilli
		}
	}
	return float64(milli) / 1000
}

// reconcileMoves forgets moves that the list shows or that settled, and repeats those without an outcome.
func (c *Core) reconcileMoves(now time.Duration) []HostOrder {
	var orders []HostOrder
	for id, m := range c.hosts.moves {
		host, exists := c.hosts.hosts[id]
		switch {
		case !exists || m.succeededAt > 0 && (host.Pool == m.pool && host.State == infra.HostUp || now-m.succeededAt > moveSettleTime):
			delete(c.hosts.moves, id)
		case m.succeededAt == 0 && !m.inFlight && now >= m.retryAt:
			m.inFlight = true
			orders = append(orders, HostOrder{Host: id, Pool: m.pool})
		}
	}
	return orders
}

// standbyHosts returns the standby pool and its hosts that may be taken.
func (c *Core) standbyHosts() (string, []string) {
	pool := ""
	for name, p := range c.config.Pools {
		if p.Standby && (pool == "" || name < pool) {
			pool = name
		}
	}
	var hosts []string
	for id, host := range c.hosts.hosts {
		if c.inStandby(host) && c.movable(id) {
			hosts = append(hosts, id)
		}
	}
	// Hosts that a wave still wants are taken last: in standby their upkeep disturbs nobody.
	slices.SortFunc(hosts, func(a, b string) int {
		return cmp.Or(compareBool(c.hosts.pendingMaintenance[a], c.hosts.pendingMaintenance[b]), cmp.Compare(a, b))
	})
	return pool, hosts
}

// inStandby reports whether the host rests.
func (c *Core) inStandby(host infra.Host) bool {
	return c.config.Pools[host.Pool].Standby && host.State == infra.HostUp
}

// movable reports whether no order to the host is under way or was given lately by an earlier term.
func (c *Core) movable(id string) bool {
	return c.hosts.moves[id] == nil && !c.maintenanceInFlight(id) && c.clock() >= c.hosts.heldBackUntil[id]
}

// maintenanceInFlight reports whether an order for the host's upkeep is under way.
func (c *Core) maintenanceInFlight(host string) bool {
	for _, w := range c.hosts.waves {
		if w.inFlight[host] {
			return true
		}
	}
	return false
}

// emptyingForWave reports whether the host is being emptied for its upkeep.
func (c *Core) emptyingForWave(host string) bool {
	for _, w := range c.hosts.waves {
		if !w.completed && w.cordoned[host] && c.hosts.pendingMaintenance[host] {
			return true
		}
	}
	return false
}

// mayEnterStandby reports whether the host was idle long enough to rest.
func (c *Core) mayEnterStandby(host string, now time.Duration) bool {
	since, idle := c.hosts.idleSince[host]
	// Before the first peak nothing is known of the load, and hosts stay where operators put them. A
	// peak that has just begun doesn't show yet how many it takes, and a host on its way is lost to it.
	return idle && now-since >= idleBeforeStandby && c.turns.lastPeakStart > 0 && now-c.turns.lastPeakStart >= peakRiseTime
}

// poolLoads describes the pools that run work.
func (c *Core) poolLoads(now time.Duration) []poolLoad {
	byName := map[string]*poolLoad{}
	for name, p := range c.config.Pools {
		if !p.Standby {
			byName[name] = &poolLoad{name: name}
		}
	}
	cores := map[string]float64{}
	for id, host := range c.hosts.hosts {
		pool := host.Pool
		moving := c.hosts.moves[id]
		if moving != nil {
			pool = moving.pool
		}
		load := byName[pool]
		// A host that is away for its upkeep, or is about to be, carries nothing until it is back.
		away := host.State == infra.HostDown || host.State == infra.HostUpkeep || c.emptyingForWave(id)
		if load == nil || away {
			continue
		}
		load.hosts++
		cores[pool] += float64(host.Capacity.CPUMilli) / 1000
		c.classifyHost(id, host, load, now)
	}
	for name, load := range byName {
		c.computeDemand(load, cores[name], now)
	}
	loads := make([]poolLoad, 0, len(byName))
	for _, load := range byName {
		slices.SortFunc(load.emptyHosts, func(a, b string) int {
			return cmp.Or(cmp.Compare(c.hosts.idleSince[a], c.hosts.idleSince[b]), cmp.Compare(a, b))
		})
		slices.SortFunc(load.busyHosts, func(a, b string) int { return cmp.Or(cmp.Compare(c.itemsOn(a), c.itemsOn(b)), cmp.Compare(a, b)) })
		loads = append(loads, *load)
	}
	return loads
}

// classifyHost follows since when a host is idle, and lists it as empty when it may move.
func (c *Core) classifyHost(id string, host infra.Host, load *poolLoad, now time.Duration) {
	w := c.workers[host.WorkerID]
	if w != nil && w.hasLasting() {
		load.minHosts++
	}
	if w == nil || len(w.items) > 0 || host.State != infra.HostUp {
		delete(c.hosts.idleSince, id)
		if w != nil && host.State == infra.HostUp && !w.hasLasting() && c.movable(id) {
			load.busyHosts = append(load.busyHosts, id)
		}
		return
	}
	if _, idle := c.hosts.idleSince[id]; !idle {
		c.hosts.idleSince[id] = now
	}
	if w.known && w.failing == 0 && !w.entry.Draining && c.movable(id) {
		load.emptyHosts = append(load.emptyHosts, id)
	}
}

// computeDemand sets what the pool needs.
func (c *Core) computeDemand(load *poolLoad, cores float64, now time.Duration) {
	spread, waiting := c.hostsForLasting(load.name)
	load.minHosts = max(load.minHosts, spread) + spareHosts + waiting
	milli := int64(0)
	for _, w := range c.workers {
		if w.entry.Pool == load.name {
			milli += w.lastingMilli()
		}
	}
	lasting := float64(milli) / 1000
	waits := min(c.backlog(load.name, now, c.canMeetDeadline(now))/backlogDrainTime.Seconds(), c.usableCores(load.name, now))
	load.currentLoad = sizeHeadroom*max(c.turns.loadOf(load.name).loadAt(now), waits) + lasting
	load.expectedLoad = sizeHeadroom*c.forecastPeakLoad(load.name, now) + lasting
	if load.hosts > 0 {
		load.coresPerHost = cores / float64(load.hosts)
		return
	}
	load.coresPerHost = c.meanHostCores()
}

// usableCores is how many cores the jobs that can be in time are able to use at once: the steps of a job
// run one after the other, so that much of a backlog can't use hosts yet.
func (c *Core) usableCores(pool string, now time.Duration) float64 {
	inTime := c.canMeetDeadline(now)
	milli := int64(0)
	for j := range c.active {
		if j.over() || j.def.Queue.Pool != pool || j.def.Recurrence.Times > 0 || !inTime(j) {
			continue
		}
		widest := int64(0)
		for _, step := range j.steps {
			if !step.def.Lasting {
				widest = max(widest, int64(len(step.items)-step.done)*step.def.Need.CPUMilli)
			}
		}
		milli += widest
	}
	return float64(milli) / 1000
}

// hostsForLasting returns how many hosts the lasting work of the pool needs at least by its bounds for one
// host, and how many items of one of its steps wait for a host at most.
func (c *Core) hostsForLasting(pool string) (spread, waiting int) {
	for j := range c.active {
		if j.over() || c.poolOf(j) != pool {
			continue
		}
		for _, step := range j.steps {
			if !step.def.Lasting {
				continue
			}
			waiting = max(waiting, step.count(itemWaiting))
			if step.def.MaxPerHost > 0 {
				spread = max(spread, int(math.Ceil(float64(step.def.Count)/float64(step.def.MaxPerHost))))
			}
		}
	}
	return spread, waiting
}

// meanHostCores is the mean of all hosts.
func (c *Core) meanHostCores() float64 {
	var sum work.Resources
	for _, host := range c.hosts.hosts {
		sum = sum.Plus(host.Capacity)
	}
	return float64(sum.CPUMilli) / 1000 / float64(max(1, len(c.hosts.hosts)))
}

// forecastPeakLoad is the load that a peak will bring which is about to begin in the pool.
func (c *Core) forecastPeakLoad(pool string, now time.Duration) float64 {
	at, candidates := c.turns.nextPeak()
	if len(candidates) == 0 || !slices.Contains(candidates, pool) {
		return 0
	}
	if now < at-c.options.MoveTime-moveLeadMargin || now > at+forecastGrace {
		return 0
	}
	return c.turns.expectedPeakLoad(pool) / float64(len(candidates))
}

// moveResult takes the result of an order to move a host.
func (c *Core) moveResult(order HostOrder, err error) {
	now := c.clock()
	m := c.hosts.moves[order.Host]
	host := c.hosts.hosts[order.Host]
	worker := c.workers[host.WorkerID]
	kind := infra.KindOf(err)
	c.logger.WithFields(logrus.Fields{"event": "host_moved", "host": order.Host, "worker": host.WorkerID, "to": order.Pool, "kind": string(kind)}).WithError(err).Info("host was ordered to move")
	if m == nil {
		return
	}
	m.inFlight = false
	switch kind {
	case "":
		m.succeededAt = now
		delete(c.hosts.idleSince, order.Host)
		if worker != nil {
			c.end(worker)
		}
	case infra.Fenced:
		c.deposed("move", order.Host)
	case infra.Unknown:
		// The host may have moved already, or may do so later: the order is repeated until it is known.
		m.retryAt = now + hostOrderRetryDelay
	default:
		delete(c.hosts.moves, order.Host)
		if worker != nil {
			worker.cordoned = false
		}
	}
}
