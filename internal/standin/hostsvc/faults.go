package hostsvc

import "time"

// faults are the switches of the service. Those of a host are kept with it.
type faults struct {
	down         bool
	delay        time.Duration
	listFrozenAt time.Time
	// lostResponses counts the answers that are still to be lost, by method.
	lostResponses map[Method]int
	// stuckReboots names the hosts whose next reboot never ends.
	stuckReboots map[string]bool
}

// Selector selects hosts for a fault.
type Selector func(Host) bool

// ByName selects one host.
func ByName(name string) Selector { return func(h Host) bool { return h.Name == name } }

// ByRack selects the hosts of a rack.
func ByRack(rack string) Selector { return func(h Host) bool { return h.Rack == rack } }

// ByZone selects the hosts of an availability zone.
func ByZone(zone string) Selector { return func(h Host) bool { return h.Zone == zone } }

// SetDead turns hosts off, or on again. A host that is turned on has booted once more.
func (s *Service) SetDead(selector Selector, dead bool) {
	s.updateHosts(selector, func(host *hostRecord) {
		if host.dead && !dead {
			host.BootCount++
			host.rebootStuck = false
		}
		host.dead = dead
	})
}

// SetPartitioned separates hosts from the platform: the list shows them as gone and no call reaches
// them, but they go on running.
func (s *Service) SetPartitioned(selector Selector, partitioned bool) {
	s.updateHosts(selector, func(host *hostRecord) { host.partitioned = partitioned })
}

// SetRebootStuck makes the next reboots of hosts never end, until it is released.
func (s *Service) SetRebootStuck(selector Selector, stuck bool) {
	s.updateHosts(selector, func(host *hostRecord) {
		if s.faults.stuckReboots == nil {
			s.faults.stuckReboots = map[string]bool{}
		}
		s.faults.stuckReboots[host.Name] = stuck
		if !stuck {
			host.rebootStuck = false
		}
	})
}

// SetDown makes the service itself unreachable.
func (s *Service) SetDown(down bool) { s.updateFaults(func(f *faults) { f.down = down }) }

// SetSlow delays each call.
func (s *Service) SetSlow(delay time.Duration) { s.updateFaults(func(f *faults) { f.delay = delay }) }

// LoseResponses drops the next answers of a method after the call took effect.
func (s *Service) LoseResponses(method Method, count int) {
	s.updateFaults(func(f *faults) { f.lostResponses[method] = count })
}

// SetListFrozen makes List return what it returns now until it is released.
func (s *Service) SetListFrozen(frozen bool) {
	frozenAt := time.Time{}
	if frozen {
		frozenAt = s.options.Now().Add(-s.options.ListLag)
	}
	s.updateFaults(func(f *faults) { f.listFrozenAt = frozenAt })
}

func (s *Service) updateFaults(update func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.faults)
}

func (s *Service) updateHosts(selector Selector, update func(*hostRecord)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.hostNames() {
		host := s.hosts[name]
		if !selector(host.Host) {
			continue
		}
		update(host)
		s.refresh(host)
	}
}
