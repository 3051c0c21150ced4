package scheduler

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

const (
	// evacuatedReason is the reason for the rejection of jobs of a pool whose workers are all in evacuated zones.
	evacuatedReason = "evacuated"
	// evacuationRetryAfter is the retry delay of these jobs. Evacuations last much longer than the shortest retry delay of
	// 1 s, and callers should still find the capacity soon after one ends.
	evacuationRetryAfter = 5 * time.Second
	// evacuationLogInterval is the interval of the log lines about lasting items that remain in an evacuated zone. A move
	// takes about a second, so that healthy evacuations need few lines.
	evacuationLogInterval = 5 * time.Second
)

// zoneEvacuations holds the evacuations in force, by availability zone.
type zoneEvacuations map[string]*zoneEvacuation

// zoneEvacuation is the evacuation of an availability zone.
type zoneEvacuation struct {
	// begunAt is when this term learned of the evacuation.
	begunAt time.Duration
	// nextLogAt is when remaining lasting items are logged again.
	nextLogAt time.Duration
	// unknownLogged is set once it was logged that the zone has neither workers nor hosts.
	unknownLogged bool
	// left counts what remains in the zone.
	left evacuationRest
}

// evacuationRest counts the work items that remain in an evacuated zone.
type evacuationRest struct {
	// workers are those in the zone, and short the items there that don't last, which may end there.
	workers, short int
	// lasting are the lasting items, of which stopping are being moved, and overBudget and withoutRoom can't be for now.
	lasting, stopping, overBudget, withoutRoom int
}

// covers reports whether the zone is evacuated.
func (z zoneEvacuations) covers(zone string) bool { return z[zone] != nil }

// SetEvacuations replaces the set of evacuated zones. Starts that haven't been sent to workers of these zones are dropped,
// and their items wait again.
func (c *Core) SetEvacuations(zones []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	changed := false
	for _, zone := range zones {
		if !c.evacuations.covers(zone) {
			c.evacuations[zone] = &zoneEvacuation{begunAt: now, nextLogAt: now + evacuationLogInterval}
			changed = true
			c.logger.WithFields(logrus.Fields{"event": "zone_evacuation_begun", "zone": zone}).Info("operators requested the evacuation of the zone; nothing more starts there")
		}
	}
	for zone, evacuation := range c.evacuations {
		if !slices.Contains(zones, zone) {
			delete(c.evacuations, zone)
			changed = true
			c.logger.WithFields(logrus.Fields{"event": "zone_evacuation_ended", "zone": zone, "took_ms": (now - evacuation.begunAt).Milliseconds(),
				"lasting": evacuation.left.lasting}).Info("the evacuation of the zone has ended; its workers may get work again")
		}
	}
	if !changed {
		return
	}
	for _, w := range c.sortedWorkers() {
		w.evacuated = c.evacuations.covers(w.entry.Zone)
	}
	c.dropEvacuatedStarts()
	// The cached sums include the workers of zones that are evacuated now, or lack those of others.
	c.supply.expiresAt = now
	c.nextWorkerCheck = now
	c.metrics.evacuationsObserved(c.evacuations)
	c.wakeUp()
}

// dropEvacuatedStarts releases the items on evacuated workers whose starts wait to be sent. They are released before the
// other members of their gangs are stopped, since a stop of a start that was never sent would take a call to its worker.
func (c *Core) dropEvacuatedStarts() {
	var dropped []*item
	for _, w := range c.sortedWorkers() {
		if !w.evacuated {
			continue
		}
		for _, i := range w.sortedItems(func(i *item) bool { return i.startQueued && !i.startSent && !i.stopping }) {
			i.takeUndecidedCrash(i.run)
			c.release(i)
			dropped = append(dropped, i)
		}
	}
	for _, i := range dropped {
		c.stopOtherMembers(i)
	}
	if len(dropped) > 0 {
		c.logger.WithFields(logrus.Fields{"event": "evacuated_starts_dropped", "items": len(dropped)}).Info("starts in evacuated zones that hadn't been sent were dropped")
	}
}

// isEvacuated reports whether the pool has listed workers and all of them are in evacuated zones.
func (c *Core) isEvacuated(pool string) bool {
	listed := 0
	for _, w := range c.workerLists.byPool[pool] {
		if !w.listed || w.ended {
			continue
		}
		if !w.evacuated {
			return false
		}
		listed++
	}
	return listed > 0
}

// isEvacuatedHost reports whether the host is in an evacuated zone, so that its pool can't count on it. If lasting work runs
// there, the pool needs another host in its place.
func (c *Core) isEvacuatedHost(id string, host infra.Host, load *poolLoad) bool {
	if !c.evacuations.covers(host.Zone) {
		return false
	}
	// After the evacuation the host is idle from then on.
	delete(c.fleet.idleSince, id)
	if w := c.workers[host.WorkerID]; w != nil && w.hasLasting() {
		load.minHosts++
	}
	return true
}

// compareEvacuated sorts hosts of evacuated zones before others.
func (c *Core) compareEvacuated(a, b string) int {
	return compareBool(!c.evacuations.covers(c.fleet.hosts[a].Zone), !c.evacuations.covers(c.fleet.hosts[b].Zone))
}

// moveFromEvacuatedZones stops lasting items on evacuated workers, as far as their availability budgets and the room on
// other workers allow, and records what remains there.
func (c *Core) moveFromEvacuatedZones(now time.Duration) {
	if len(c.evacuations) == 0 {
		return
	}
	for _, evacuation := range c.evacuations {
		evacuation.left = evacuationRest{}
	}
	rooms := map[string]*evacuationRoom{}
	// The items that are being stopped start elsewhere next: what they need isn't free for others.
	for _, w := range c.sortedWorkers() {
		if w.evacuated && w.hasLasting() {
			for _, i := range w.sortedItems(func(i *item) bool { return i.step.def.Lasting && i.stopping && !i.step.job.finished() }) {
				c.evacuationRoomOf(rooms, i, now).reserve(i)
			}
		}
	}
	for _, w := range c.sortedWorkers() {
		if evacuation := c.evacuations[w.entry.Zone]; evacuation != nil {
			c.moveFromEvacuatedWorker(w, &evacuation.left, rooms, now)
		}
	}
	for zone, evacuation := range c.evacuations {
		c.logEvacuation(zone, evacuation, now)
	}
	c.metrics.evacuationsObserved(c.evacuations)
}

// moveFromEvacuatedWorker is moveFromEvacuatedZones for one worker.
func (c *Core) moveFromEvacuatedWorker(w *worker, left *evacuationRest, rooms map[string]*evacuationRoom, now time.Duration) {
	if !w.ended {
		left.workers++
	}
	left.short += len(w.items) - w.lastingItems
	left.lasting += w.lastingItems
	if !w.hasLasting() {
		return
	}
	for _, i := range w.sortedItems(func(i *item) bool { return i.step.def.Lasting }) {
		switch {
		case i.stopping:
			left.stopping++
		case i.startConfirmedAt == 0 || w.failedRenewals > 0 || i.step.job.finished():
		case !c.mayStop(i):
			left.overBudget++
		case !c.evacuationRoomOf(rooms, i, now).reserve(i):
			left.withoutRoom++
		default:
			left.stopping++
			c.logger.WithFields(logrus.Fields{"event": "lasting_item_evacuated", "item": i.id().String(), "worker": w.entry.ID, "zone": w.entry.Zone}).Info(
				"stopping a lasting work item so that it starts in another zone; its zone is evacuated")
			c.orderStop(i)
		}
	}
}

// logEvacuation logs the lasting items that remain in an evacuated zone, and a zone of which nothing is known.
func (c *Core) logEvacuation(zone string, evacuation *zoneEvacuation, now time.Duration) {
	if now < evacuation.nextLogAt {
		return
	}
	evacuation.nextLogAt = now + evacuationLogInterval
	left := evacuation.left
	switch {
	case left.lasting > 0:
		c.logger.WithFields(logrus.Fields{"event": "zone_evacuation_pending", "zone": zone, "since_ms": (now - evacuation.begunAt).Milliseconds(), "workers": left.workers, "short": left.short,
			"lasting": left.lasting, "stopping": left.stopping, "over_budget": left.overBudget, "without_room": left.withoutRoom}).Info("lasting work items remain in an evacuated zone")
	case left.workers == 0 && !evacuation.unknownLogged && !c.hasHostIn(zone):
		evacuation.unknownLogged = true
		c.logger.WithFields(logrus.Fields{"event": "zone_evacuation_unknown", "zone": zone}).Warn("operators requested the evacuation of a zone that has neither workers nor hosts")
	}
}

// hasHostIn reports whether a host is in the zone.
func (c *Core) hasHostIn(zone string) bool {
	for _, host := range c.fleet.hosts {
		if host.Zone == zone {
			return true
		}
	}
	return false
}

// evacuationRoom is the free capacity of a pool's candidates, from which items that move out of evacuated zones take theirs.
type evacuationRoom struct {
	candidates []*worker
	free       []work.Resources
	claims     map[roomClaim]int
}

// roomClaim identifies the items of a step that are to start on a worker.
type roomClaim struct {
	step *stepInstance
	w    *worker
}

// evacuationRoomOf returns the room in the pool of the item, and computes it if it isn't in rooms.
func (c *Core) evacuationRoomOf(rooms map[string]*evacuationRoom, i *item, now time.Duration) *evacuationRoom {
	pool := c.poolOf(i.step.job)
	if rooms[pool] == nil {
		room := &evacuationRoom{claims: map[roomClaim]int{}}
		for _, w := range c.workerLists.byPool[pool] {
			if c.isCandidate(w, now) {
				room.candidates, room.free = append(room.candidates, w), append(room.free, w.freeCapacity())
			}
		}
		rooms[pool] = room
	}
	return rooms[pool]
}

// reserve takes room for the item, or for its whole gang, which starts anew as a whole. It reports whether there is any; if
// not, some members of the gang may have taken room, which is lost for this check only.
func (r *evacuationRoom) reserve(i *item) bool {
	if !i.step.def.Gang {
		return r.reserveItem(i.step)
	}
	for range i.step.items {
		if !r.reserveItem(i.step) {
			return false
		}
	}
	return true
}

func (r *evacuationRoom) reserveItem(step *stepInstance) bool {
	need := step.reservation()
	for n, w := range r.candidates {
		claim := roomClaim{step, w}
		if !need.Fits(r.free[n]) || !w.satisfies(step) || step.def.MaxPerHost > 0 && step.countOnWorker(w)+r.claims[claim] >= step.def.MaxPerHost {
			continue
		}
		r.free[n] = r.free[n].Minus(need)
		r.claims[claim]++
		return true
	}
	return false
}

// evacuationMetrics tell operators how far evacuations are.
type evacuationMetrics struct {
	zones prometheus.Gauge
	items *prometheus.GaugeVec
}

func newEvacuationMetrics(registry prometheus.Registerer) evacuationMetrics {
	m := evacuationMetrics{
		zones: prometheus.NewGauge(prometheus.GaugeOpts{Name: "scheduler_evacuated_zones", Help: "Availability zones that operators requested to evacuate."}),
		items: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "scheduler_evacuated_items", Help: "Work items that remain in evacuated zones, by state."}, []string{"state"}),
	}
	registry.MustRegister(m.zones, m.items)
	return m
}

// evacuationsObserved records the evacuations in force and the items that remain in their zones.
func (m *Metrics) evacuationsObserved(evacuations zoneEvacuations) {
	if m == nil {
		return
	}
	var sum evacuationRest
	for _, evacuation := range evacuations {
		left := evacuation.left
		sum.short, sum.stopping, sum.overBudget, sum.withoutRoom = sum.short+left.short, sum.stopping+left.stopping, sum.overBudget+left.overBudget, sum.withoutRoom+left.withoutRoom
		sum.lasting += left.lasting
	}
	m.evacuations.zones.Set(float64(len(evacuations)))
	for state, n := range map[string]int{"short": sum.short, "lasting": sum.lasting, "stopping": sum.stopping, "over_budget": sum.overBudget, "without_room": sum.withoutRoom} {
		m.evacuations.items.WithLabelValues(state).Set(float64(n))
	}
}
