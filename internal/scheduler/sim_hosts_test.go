package scheduler

import (
	"fmt"
	"testing"
	"time"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

const (
	// simUpkeep is how long a simulated host is down for its upkeep.
	simUpkeep = 2 * time.Second
	// simTurns is the platform's bound for holders that take turns at one host.
	simTurns = 3 * time.Second
	// simNotice is how long a lasting item may be away before it counts as away whatever the cause.
	simNotice = 4500 * time.Millisecond
	// simStartup is how long a lasting item runs before it is at work.
	simStartup = 300 * time.Millisecond
	// simOrderConfirmed is how old a term's confirmation may be for an order to a host, as sessions have it.
	simOrderConfirmed = time.Second
)

// simHost is the upkeep of a simulated host.
type simHost struct {
	downUntil time.Duration
	token     int64
	lastTerm  int64
	ordered   time.Duration
	done      map[int64]bool
}

// simLasting is what a caller sees of a lasting work item.
type simLasting struct {
	// endedByOrder is set from an order that ended the item until it runs again.
	endedByOrder bool
	// seen is when it ran last.
	seen time.Duration
}

func (s *sim) host(id string) *simHost {
	h := s.hosts[id]
	if h == nil {
		h = &simHost{done: map[int64]bool{}}
		s.hosts[id] = h
	}
	return h
}

// listHosts is the platform's list.
func (s *sim) listHosts() []infra.Host {
	var hosts []infra.Host
	for _, w := range s.workers {
		if w.up {
			hosts = append(hosts, infra.Host{ID: w.host, Pool: simPool, State: infra.HostUp, WorkerID: w.entry.ID, Capacity: w.entry.Capacity})
		}
	}
	for id, h := range s.hosts {
		if h.downUntil > s.now {
			hosts = append(hosts, infra.Host{ID: id, Pool: simPool, State: infra.HostMaintenance})
		}
	}
	return hosts
}

// tendHosts does what a session does with the orders to hosts.
func (s *sim) tendHosts(d *simScheduler) {
	if len(s.waves) == 0 {
		return
	}
	d.core.SetWaves(s.waves)
	orders, _ := d.core.PlanHosts()
	for _, order := range orders {
		d.core.HostOrdered(order, s.orderHost(d, order))
	}
}

// orderHost carries out an upkeep and checks what must never happen.
func (s *sim) orderHost(d *simScheduler, order HostOrder) error {
	refuse := func(kind infra.ErrorKind) error { return &infra.Error{Kind: kind, Op: "upkeep"} }
	h := s.host(order.Host)
	switch {
	case s.now-d.confirmed > simOrderConfirmed:
		return refuse(infra.Refused)
	case d.term < h.token:
		return refuse(infra.Fenced)
	case h.done[order.Wave]:
		return nil
	}
	if h.lastTerm > 0 && h.lastTerm != d.term && s.now-h.ordered < simTurns {
		s.t.Fatalf("%s: term %d orders %s %s after term %d", s.now, d.term, order.Host, s.now-h.ordered, h.lastTerm)
	}
	h.token, h.lastTerm, h.ordered = d.term, d.term, s.now
	down := 0
	for _, other := range s.hosts {
		if other.downUntil > s.now {
			down++
		}
	}
	if down >= s.waves[0].MaxDown {
		s.t.Fatalf("%s: %s goes down while %d are", s.now, order.Host, down)
	}
	for _, w := range s.workers {
		if !w.up || w.host != order.Host {
			continue
		}
		for id, r := range w.running {
			s.endedByOrder(id, r, "upkeep")
		}
		w.up = false
	}
	h.downUntil, h.done[order.Wave] = s.now+simUpkeep, true
	if s.rng.Float64() < s.lostShare {
		return refuse(infra.Unknown)
	}
	return nil
}

// endedByOrder checks the availability budget when an order ends a lasting item that is at work.
func (s *sim) endedByOrder(id work.ItemID, r *simRun, by string) {
	step := s.stepOf(id)
	if !step.Lasting || s.cancelled[id.Job] || s.now-r.began < simStartup {
		return
	}
	away := 0
	for index := range step.Count {
		other := work.ItemID{Job: id.Job, Step: id.Step, Index: index}
		state := s.lasting[other]
		if other == id || state == nil || s.runs(other) {
			continue
		}
		if state.endedByOrder || s.now-state.seen > simNotice {
			away++
		}
	}
	if away >= step.MayMiss {
		s.t.Fatalf("%s: %s ends %s while %d others are away and %d may be", s.now, by, id, away, step.MayMiss)
	}
	s.lasting[id].endedByOrder = true
}

// runs reports whether a worker that is up runs the item.
func (s *sim) runs(id work.ItemID) bool {
	for _, w := range s.workers {
		if w.up && w.running[id] != nil {
			return true
		}
	}
	return false
}

// watchLasting follows the lasting items, and brings hosts back from their upkeep.
func (s *sim) watchLasting() {
	for _, w := range s.workers {
		for id, r := range w.running {
			if w.up && r.lasting {
				s.lasting[id] = &simLasting{seen: s.now}
			}
		}
	}
	for id, h := range s.hosts {
		if h.downUntil > 0 && s.now >= h.downUntil {
			h.downUntil = 0
			s.addWorker(id)
		}
	}
}

// lastingJob makes a job whose items run until it is cancelled, one of which may be away.
func (s *sim) lastingJob(n int) *work.Job {
	return &work.Job{ID: fmt.Sprintf("%016x", 0xa000+n), Queue: s.config.Queues[0], Customer: "clips", Spec: "spec",
		Steps: []work.Step{{Count: 4, Need: work.Resources{CPUMilli: 800, MemoryMiB: 256}, Lasting: true, MaxPerHost: 1, MayMiss: 1}}}
}

// playWaves hands lasting and other jobs in, has a wave of upkeep of all hosts, and lets the faults happen.
func playWaves(t *testing.T, setUp func(s *sim), fault func(s *sim, second int)) {
	playFleets(t, 8, func(s *sim) {
		setUp(s)
		s.run(time.Second)
		for n := range 3 {
			s.submit(s.lastingJob(n))
		}
		s.run(2 * time.Second)
		wave := infra.Wave{ID: 1, MaxDown: 2, TimeLimit: 25 * time.Second}
		for _, w := range s.workers {
			wave.Hosts = append(wave.Hosts, w.host)
		}
		s.waves = []infra.Wave{wave}
		for second := range 24 {
			fault(s, second)
			s.submit(s.randomJob(second + 1))
			s.run(time.Second)
		}
		s.logDown = false
		s.run(40 * time.Second)
		s.checkWaveEnded(wave)
	})
}

// checkWaveEnded checks that all hosts had their upkeep, and that all lasting items run again.
func (s *sim) checkWaveEnded(wave infra.Wave) {
	for id := range s.lasting {
		if !s.runs(id) {
			s.t.Fatalf("lasting item %s doesn't run long after the faults", id)
		}
	}
	for _, host := range wave.Hosts {
		if !s.host(host).done[wave.ID] {
			s.t.Fatalf("%s had no upkeep long after the faults", host)
		}
	}
}

// Guards against a wave that takes down more lasting work than may be away, on a calm day.
func TestWaveAmongLastingWork(t *testing.T) {
	playWaves(t, noFaults, func(*sim, int) {})
}

// Guards against a new term that stops lasting work or takes hosts down without knowing what its
// predecessor stopped and ordered, or takes turns with it at one host.
func TestWaveWhileTheSchedulerIsKilled(t *testing.T) {
	playWaves(t, func(s *sim) { s.lostShare = 0.05 }, func(s *sim, second int) {
		if second%3 == 2 {
			s.leader().over = true
			s.run(time.Duration(s.rng.IntN(1500)) * time.Millisecond)
			s.takeOver()
		}
	})
}

// Guards against the same when the log refuses the scheduler first, so that its last orders have no record.
func TestWaveWhileTheLogRefusesTheScheduler(t *testing.T) {
	playWaves(t, noFaults, func(s *sim, second int) {
		if second%4 == 0 {
			s.run(time.Duration(s.rng.IntN(100)) * simTick)
			s.logDown = true
		} else if second%4 == 2 {
			s.takeOver()
			s.logDown = false
		}
	})
}
