package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

const (
	// simMaintenanceTime is how long a simulated host is down for maintenance.
	simMaintenanceTime = 2 * time.Second
	// simHolderChangeGap is the shortest time that the platform allows between the orders of two terms to
	// the same host.
	simHolderChangeGap = 3 * time.Second
	// simUnavailableAfter is how long a lasting item may stop running before it counts as unavailable whatever
	// the cause. An item that an order ended counts as unavailable immediately.
	simUnavailableAfter = 4500 * time.Millisecond
	// simStartupTime is how long a lasting item runs before it is available.
	simStartupTime = 300 * time.Millisecond
	// simMaxConfirmationAge is how long after its last confirmed append a term may order hosts, as in sessions.
	simMaxConfirmationAge = time.Second
)

// simHost is the maintenance state of a simulated host.
type simHost struct {
	downUntil    time.Duration
	highestToken int64
	// lastTerm is the term that gave the last order, at orderedAt.
	lastTerm       int64
	orderedAt      time.Duration
	completedWaves map[int64]bool
}

// simLastingItem is what a caller sees of a lasting work item.
type simLastingItem struct {
	// endedByOrder is set when an order ends the item, until the item runs again.
	endedByOrder bool
	// lastRunning is when the item last ran.
	lastRunning time.Duration
}

// host returns the maintenance state of the host, and adds it if there is none.
func (s *sim) host(id string) *simHost {
	h := s.hosts[id]
	if h == nil {
		h = &simHost{completedWaves: map[int64]bool{}}
		s.hosts[id] = h
	}
	return h
}

// listHosts returns the platform's list of hosts.
func (s *sim) listHosts() []infra.Host {
	var hosts []infra.Host
	for _, w := range s.workers {
		if w.up || s.staleLists {
			hosts = append(hosts, infra.Host{ID: w.host, Pool: simPool, State: infra.HostUp, WorkerID: w.entry.ID, Capacity: w.entry.Capacity})
		} else if w.restartAt > 0 {
			hosts = append(hosts, infra.Host{ID: w.host, Pool: simPool, State: infra.HostDown})
		}
	}
	for id, h := range s.hosts {
		if h.downUntil > s.now {
			hosts = append(hosts, infra.Host{ID: id, Pool: simPool, State: infra.HostMaintenance})
		}
	}
	return hosts
}

// planHosts does what a session does with the waves: it passes them to the core, whose orders sendHostOrders sends.
func (s *sim) planHosts(scheduler *simScheduler) {
	if len(s.waves) == 0 {
		return
	}
	scheduler.core.SetWaves(s.waves)
	orders, _ := scheduler.core.PlanHosts()
	scheduler.hostOrders = append(scheduler.hostOrders, orders...)
}

// sendHostOrders sends the orders to hosts that are recorded.
func (s *sim) sendHostOrders(scheduler *simScheduler) {
	scheduler.hostOrders = slices.DeleteFunc(scheduler.hostOrders, func(order HostOrder) bool {
		recorded, _ := scheduler.core.HostOrderRecorded(order.Host)
		switch {
		case !recorded:
		case s.delayedHostOrderShare > 0 && s.rng.Float64() < s.delayedHostOrderShare:
			s.after(time.Duration(s.rng.Int64N(int64(maxCallDelay))), func() { _ = s.executeHostOrder(scheduler, order, true) }) // Nobody waits for it.
			scheduler.core.ApplyHostOrderResult(order, &infra.Error{Kind: infra.Unknown, Op: "upkeep"})
		default:
			scheduler.core.ApplyHostOrderResult(order, s.executeHostOrder(scheduler, order, false))
		}
		return recorded
	})
}

// executeHostOrder takes a host down for maintenance. It checks that the order doesn't follow an order of
// another term within simHolderChangeGap, and that the wave doesn't take down more hosts than it may. An order that is
// carried out late was held up, and only has to keep to the limit of the wave.
func (s *sim) executeHostOrder(scheduler *simScheduler, order HostOrder, late bool) error {
	refuse := func(kind infra.ErrorKind) error { return &infra.Error{Kind: kind, Op: "upkeep"} }
	h := s.host(order.Host)
	switch {
	case !late && s.now-scheduler.confirmedAt > simMaxConfirmationAge:
		return refuse(infra.Refused)
	case scheduler.term < h.highestToken:
		return refuse(infra.Fenced)
	case h.completedWaves[order.Wave]:
		return nil
	}
	if !late && h.lastTerm > 0 && h.lastTerm != scheduler.term && s.now-h.orderedAt < simHolderChangeGap {
		s.t.Fatalf("%s: term %d orders %s only %s after term %d", s.now, scheduler.term, order.Host, s.now-h.orderedAt, h.lastTerm)
	}
	h.highestToken, h.lastTerm, h.orderedAt = scheduler.term, scheduler.term, s.now
	down := 0
	for _, other := range s.hosts {
		if other.downUntil > s.now {
			down++
		}
	}
	if down >= s.waves[0].MaxDown {
		s.t.Fatalf("%s: %s goes down while %d hosts are down", s.now, order.Host, down)
	}
	for _, w := range s.workers {
		if !w.up || w.host != order.Host {
			continue
		}
		for id, r := range w.running {
			if !late {
				s.checkAvailabilityBudget(id, r, "maintenance")
			}
		}
		w.up = false
	}
	h.downUntil, h.completedWaves[order.Wave] = s.now+simMaintenanceTime, true
	if s.rng.Float64() < s.lostResponseShare {
		return refuse(infra.Unknown)
	}
	return nil
}

// checkAvailabilityBudget checks that the step's availability budget lets an order end an available lasting
// item, and records that an order ended it.
func (s *sim) checkAvailabilityBudget(id work.ItemID, r *simRun, cause string) {
	step := s.stepOf(id)
	if !step.Lasting || s.cancelled[id.Job] || s.now-r.startedAt < simStartupTime {
		return
	}
	unavailable := 0
	for index := range step.Count {
		other := work.ItemID{Job: id.Job, Step: id.Step, Index: index}
		state := s.lastingItems[other]
		if other == id || state == nil || s.isRunning(other) {
			continue
		}
		if state.endedByOrder || s.now-state.lastRunning > simUnavailableAfter {
			unavailable++
		}
	}
	if unavailable >= step.MayMiss {
		s.t.Fatalf("%s: %s ends %s while %d other items are unavailable; at most %d items may be unavailable", s.now, cause, id, unavailable, step.MayMiss)
	}
	s.lastingItems[id].endedByOrder = true
}

// isRunning reports whether a worker that is up runs the item.
func (s *sim) isRunning(id work.ItemID) bool {
	for _, w := range s.workers {
		if w.up && w.running[id] != nil {
			return true
		}
	}
	return false
}

// trackLastingItems records which lasting items run, and brings hosts back up after their maintenance.
func (s *sim) trackLastingItems() {
	for _, w := range s.workers {
		for id, r := range w.running {
			if w.up && r.lasting {
				s.lastingItems[id] = &simLastingItem{lastRunning: s.now}
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		h := s.hosts[id]
		if h.downUntil > 0 && s.now >= h.downUntil {
			h.downUntil = 0
			s.addWorker(id)
		}
	}
}

// lastingJob returns a job whose items run until it is cancelled. One of them may be unavailable.
func (s *sim) lastingJob(n int) *work.Job {
	return &work.Job{ID: fmt.Sprintf("%016x", 0xa000+n), Queue: s.config.Queues[0], Customer: "clips", Spec: "spec",
		Steps: []work.Step{{Count: 4, Need: work.Resources{CPUMilli: 800, MemoryMiB: 256}, Lasting: true, MaxPerHost: 1, MayMiss: 1}}}
}

// simulateWave submits lasting and other jobs, publishes a maintenance wave of all hosts, and calls fault once
// per second. After 40 s without further faults it checks that the wave is done.
func simulateWave(t *testing.T, setUp func(s *sim), fault func(s *sim, second int)) {
	runSeeds(t, 8, func(s *sim) {
		setUp(s)
		s.advance(time.Second)
		for n := range 3 {
			s.submit(s.lastingJob(n))
		}
		s.advance(2 * time.Second)
		wave := infra.Wave{ID: 1, MaxDown: 2, TimeLimit: 25 * time.Second}
		for _, w := range s.workers {
			wave.Hosts = append(wave.Hosts, w.host)
		}
		s.waves = []infra.Wave{wave}
		for second := range 24 {
			fault(s, second)
			s.submit(s.randomJob(second + 1))
			s.advance(time.Second)
		}
		s.logDown = false
		s.advance(40 * time.Second)
		s.checkWaveEnded(wave)
	})
}

// checkWaveEnded checks that all hosts of the wave went through maintenance, and that all lasting items run.
func (s *sim) checkWaveEnded(wave infra.Wave) {
	for id := range s.lastingItems {
		if !s.isRunning(id) {
			s.t.Fatalf("lasting item %s doesn't run although the faults ended long ago", id)
		}
	}
	for _, host := range wave.Hosts {
		if !s.host(host).completedWaves[wave.ID] {
			s.t.Fatalf("%s wasn't taken down for maintenance although the faults ended long ago", host)
		}
	}
}

// Guards against a wave that makes more lasting items unavailable than allowed, even without faults.
func TestWaveAmongLastingWork(t *testing.T) {
	simulateWave(t, defaultSetUp, func(*sim, int) {})
}

// Guards against a new term that stops lasting items or takes hosts down without counting those that the
// previous term stopped or took down, or that orders a host too soon after the previous term did.
func TestWaveWhileTheSchedulerIsKilled(t *testing.T) {
	simulateWave(t, func(s *sim) { s.lostResponseShare = 0.05 }, func(s *sim, second int) {
		if second%3 == 2 {
			s.leader().ended = true
			s.advance(time.Duration(s.rng.IntN(1500)) * time.Millisecond)
			s.takeOver()
		}
	})
}

// Guards against a wave that takes down more hosts than it may because an order of an earlier term is carried out seconds
// late.
func TestWaveWithLateOrdersWhileTheSchedulerIsKilled(t *testing.T) {
	simulateWave(t, func(s *sim) { s.delayedHostOrderShare = 0.3 }, func(s *sim, second int) {
		if second%7 == 6 {
			s.leader().ended = true
			s.advance(time.Duration(s.rng.IntN(1500)) * time.Millisecond)
			s.takeOver()
		}
	})
}

// Guards against the same faults as TestWaveWhileTheSchedulerIsKilled when the log takes no records before the
// change of term, so that the last orders aren't recorded.
func TestWaveWhileTheLogRefusesTheScheduler(t *testing.T) {
	simulateWave(t, defaultSetUp, func(s *sim, second int) {
		if second%4 == 0 {
			s.advance(time.Duration(s.rng.IntN(100)) * simTickTime)
			s.logDown = true
		} else if second%4 == 2 {
			s.takeOver()
			s.logDown = false
		}
	})
}
