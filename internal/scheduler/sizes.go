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
	// drainTime is in how much time a pool should have done what waits: short jobs may take 0.6 s and
	// half of their run time longer than that (docs/MEASUREMENTS.md).
	drainTime = 700 * time.Millisecond
	// leadMargin is added to the time of a move for the list of workers and the first hold.
	leadMargin = 900 * time.Millisecond
	// peakSpread is how long after its forecast a peak is still waited for.
	peakSpread = 1500 * time.Millisecond
	// spareHosts are kept besides the hosts with lasting work, for items that must start elsewhere.
	spareHosts = 1
	// restAfter is how long a host is idle before it rests: a move costs about what a host does in that time.
	restAfter = time.Second
	// peakRise is how long it takes until the load of a peak shows in full: two time constants of its rate.
	peakRise = 2 * rateWindow
	// loadLogInterval is how often the load of the pools is logged.
	loadLogInterval = time.Second
	// settleTime is how long a move that succeeded counts although the list doesn't show it yet.
	settleTime = 3 * time.Second
)

// planSizes decides on moves between pools.
func (c *Core) planSizes(now time.Duration) []HostOrder {
	if c.config == nil || len(c.hosts.hosts) == 0 {
		return nil
	}
	c.turns.observe(now)
	orders := c.repeatMoves(now)
	standbyPool, standby := c.standbyHosts()
	loads := c.loads(now)
	c.logLoads(loads, len(standby), now)
	moves, vacate := planMoves(loads, standby, standbyPool, func(host string) bool { return c.mayRest(host, now) })
	c.vacate(vacate)
	for _, m := range moves {
		host := c.hosts.hosts[m.host]
		c.logger.WithFields(logrus.Fields{"event": "host_move_decided", "host": m.host, "from": host.Pool, "to": m.pool}).Info("host changes its pool")
		if w := c.workers[host.WorkerID]; w != nil {
			w.cordoned = true
		}
		c.hosts.moves[m.host] = &move{pool: m.pool, inFlight: true}
		orders = append(orders, HostOrder{Host: m.host, Pool: m.pool})
	}
	return orders
}

// vacate keeps new work from the hosts, and lets it back to all others.
func (c *Core) vacate(hosts []string) {
	for _, w := range c.workers {
		w.vacating = false
	}
	for _, id := range hosts {
		if w := c.workers[c.hosts.hosts[id].WorkerID]; w != nil {
			w.vacating = true
		}
	}
}

// logLoads logs the state of the pools once in loadLogInterval.
func (c *Core) logLoads(loads []poolLoad, standby int, now time.Duration) {
	if now-c.hosts.loadsLogged < loadLogInterval {
		return
	}
	c.hosts.loadsLogged = now
	open := c.openWorkers(now)
	for i := range loads {
		l := &loads[i]
		c.logger.WithFields(logrus.Fields{"event": "pool_load", "pool": l.name, "hosts": l.hosts, "open": len(open[l.name]), "empty": len(l.empty),
			"target": l.present(), "expected": l.future(), "least": l.least, "need": int(l.need), "used": int(c.usedCores(l.name)), "offered": int(c.turns.pool(l.name).now(now)),
			"backlog": int(c.backlog(l.name, now, anyJob)), "in_time": int(c.backlog(l.name, now, c.inTime(now))), "standby": standby, "run_ratio": fmt.Sprintf("%.2f", c.pool(l.name).ratio)}).Info("load of a pool")
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

// repeatMoves forgets moves that the list shows or that settled, and repeats those without an outcome.
func (c *Core) repeatMoves(now time.Duration) []HostOrder {
	var orders []HostOrder
	for id, m := range c.hosts.moves {
		host, exists := c.hosts.hosts[id]
		switch {
		case !exists || m.done > 0 && (host.Pool == m.pool && host.State == infra.HostUp || now-m.done > settleTime):
			delete(c.hosts.moves, id)
		case m.done == 0 && !m.inFlight && now >= m.retryAt:
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
		return cmp.Or(falseFirst(c.hosts.pending[a], c.hosts.pending[b]), cmp.Compare(a, b))
	})
	return pool, hosts
}

// inStandby reports whether the host rests.
func (c *Core) inStandby(host infra.Host) bool {
	return c.config.Pools[host.Pool].Standby && host.State == infra.HostUp
}

// movable reports whether no order to the host is under way or was given lately by an earlier term.
func (c *Core) movable(id string) bool {
	return c.hosts.moves[id] == nil && !c.inUpkeep(id) && c.clock() >= c.hosts.heldBack[id]
}

// inUpkeep reports whether an order for the host's upkeep is under way.
func (c *Core) inUpkeep(host string) bool {
	for _, w := range c.hosts.waves {
		if w.inFlight[host] {
			return true
		}
	}
	return false
}

// leavesForWave reports whether the host is being emptied for its upkeep.
func (c *Core) leavesForWave(host string) bool {
	for _, w := range c.hosts.waves {
		if !w.completed && w.cordoned[host] && c.hosts.pending[host] {
			return true
		}
	}
	return false
}

// mayRest reports whether the host was idle long enough to rest.
func (c *Core) mayRest(host string, now time.Duration) bool {
	since, idle := c.hosts.idleSince[host]
	// Before the first peak nothing is known of the load, and hosts stay where operators put them. A
	// peak that has just begun doesn't show yet how many it takes, and a host on its way is lost to it.
	return idle && now-since >= restAfter && c.turns.lastPeak > 0 && now-c.turns.lastPeak >= peakRise
}

// loads describes the pools that run work.
func (c *Core) loads(now time.Duration) []poolLoad {
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
		away := host.State == infra.HostDown || host.State == infra.HostMaintenance || c.leavesForWave(id)
		if load == nil || away {
			continue
		}
		load.hosts++
		cores[pool] += float64(host.Capacity.CPUMilli) / 1000
		c.noteIdle(id, host, load, now)
	}
	for name, load := range byName {
		c.fillLoad(load, cores[name], now)
	}
	loads := make([]poolLoad, 0, len(byName))
	for _, load := range byName {
		slices.SortFunc(load.empty, func(a, b string) int {
			return cmp.Or(cmp.Compare(c.hosts.idleSince[a], c.hosts.idleSince[b]), cmp.Compare(a, b))
		})
		slices.SortFunc(load.busy, func(a, b string) int { return cmp.Or(cmp.Compare(c.itemsOn(a), c.itemsOn(b)), cmp.Compare(a, b)) })
		loads = append(loads, *load)
	}
	return loads
}

// noteIdle follows since when a host is idle, and lists it as empty when it may move.
func (c *Core) noteIdle(id string, host infra.Host, load *poolLoad, now time.Duration) {
	w := c.workers[host.WorkerID]
	if w != nil && w.hasLasting() {
		load.least++
	}
	if w == nil || len(w.items) > 0 || host.State != infra.HostUp {
		delete(c.hosts.idleSince, id)
		if w != nil && host.State == infra.HostUp && !w.hasLasting() && c.movable(id) {
			load.busy = append(load.busy, id)
		}
		return
	}
	if _, idle := c.hosts.idleSince[id]; !idle {
		c.hosts.idleSince[id] = now
	}
	if w.known && w.failing == 0 && !w.entry.Draining && c.movable(id) {
		load.empty = append(load.empty, id)
	}
}

// fillLoad sets what the pool needs.
func (c *Core) fillLoad(load *poolLoad, cores float64, now time.Duration) {
	spread, waiting := c.lastingHosts(load.name)
	load.least = max(load.least, spread) + spareHosts + waiting
	milli := int64(0)
	for _, w := range c.workers {
		if w.entry.Pool == load.name {
			milli += w.lastingMilli()
		}
	}
	lasting := float64(milli) / 1000
	waits := min(c.backlog(load.name, now, c.inTime(now))/drainTime.Seconds(), c.usable(load.name, now))
	load.need = sizeHeadroom*max(c.turns.pool(load.name).now(now), waits) + lasting
	load.expected = sizeHeadroom*c.forecast(load.name, now) + lasting
	if load.hosts > 0 {
		load.coresPerHost = cores / float64(load.hosts)
		return
	}
	load.coresPerHost = c.meanCores()
}

// usable is how many cores the jobs that can be in time are able to use at once: the steps of a job
// run one after the other, so that much of a backlog can't use hosts yet.
func (c *Core) usable(pool string, now time.Duration) float64 {
	inTime := c.inTime(now)
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

// lastingHosts returns how many hosts the lasting work of the pool needs at least by its bounds for one
// host, and how many items of one of its steps wait for a host at most.
func (c *Core) lastingHosts(pool string) (spread, waiting int) {
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

// meanCores is the mean of all hosts.
func (c *Core) meanCores() float64 {
	var sum work.Resources
	for _, host := range c.hosts.hosts {
		sum = sum.Plus(host.Capacity)
	}
	return float64(sum.CPUMilli) / 1000 / float64(max(1, len(c.hosts.hosts)))
}

// forecast is the load that a peak will bring which is about to begin in the pool.
func (c *Core) forecast(pool string, now time.Duration) float64 {
	at, candidates := c.turns.next()
	if len(candidates) == 0 || !slices.Contains(candidates, pool) {
		return 0
	}
	if now < at-c.options.MoveTime-leadMargin || now > at+peakSpread {
		return 0
	}
	return c.turns.expected(pool) / float64(len(candidates))
}

// moveOrdered takes the result of an order to move a host.
func (c *Core) moveOrdered(order HostOrder, err error) {
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
		m.done = now
		delete(c.hosts.idleSince, order.Host)
		if worker != nil {
			c.end(worker)
		}
	case infra.Fenced:
		c.deposed("move", order.Host)
	case infra.Unknown:
		// The host may have moved already, or may do so later: the order is repeated until it is known.
		m.retryAt = now + orderPause
	default:
		delete(c.hosts.moves, order.Host)
		if worker != nil {
			worker.cordoned = false
		}
	}
}
