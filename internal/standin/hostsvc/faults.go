package hostsvc

import "time"

// faults are the active faults of the service. The faults of a host are in its simulatedHost.
type faults struct {
	down         bool
	delay        time.Duration
	listFrozenAt time.Time
	// lostResponses is the number of responses that are still to be lost, by method.
	lostResponses map[Method]int
	// stuckReboots holds the names of the hosts whose reboots don't end.
	stuckReboots map[string]bool
}

// Selector reports whether a fault applies to a host.
type Selector func(Host) bool

// ByName selects the host with the name.
func ByName(name string) Selector { return func(h Host) bool { return h.Name == name } }

// ByRack selects the hosts of a rack.
func ByRack(rack string) Selector { return func(h Host) bool { return h.Rack == rack } }

// ByZone selects the hosts of an availability zone.
func ByZone(zone string) Selector { return func(h Host) bool { return h.Zone == zone } }

// SetDead turns hosts off or on. Turning a host on increments its boot count.
func (s *Service) SetDead(selector Selector, dead bool) {
	s.updateHosts(selector, func(host *simulatedHost) {
		if host.dead && !dead {
			host.BootCount++
			host.rebootStuck = false
		}
		host.dead = dead
	})
}

// SetPartitioned separates hosts from the platform, or reconnects them: the list shows them as gone
// and calls don't reach them, but they continue to run.
func (s *Service) SetPartitioned(selector Selector, partitioned bool) {
	s.updateHosts(selector, func(host *simulatedHost) { host.partitioned = partitioned })
}

// SetRebootStuck makes the next reboots of the hosts hang until it is called with false. It doesn't
// affect a reboot that is already in progress when it is called with true.
func (s *Service) SetRebootStuck(selector Selector, stuck bool) {
	s.updateHosts(selector, func(host *simulatedHost) {
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

// SetDelay delays each call by the given time.
func (s *Service) SetDelay(delay time.Duration) { s.updateFaults(func(f *faults) { f.delay = delay }) }

// LoseResponses loses the next count responses of the method, whose calls take effect nevertheless.
func (s *Service) LoseResponses(method Method, count int) {
	s.updateFaults(func(f *faults) { f.lostResponses[method] = count })
}

// SetListFrozen makes List return its present result until it is called with false.
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

func (s *Service) updateHosts(selector Selector, update func(*simulatedHost)) {
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
