package hostsvc

import "time"

// faults are the switches of the service. Those of a host are kept with it.
type faults struct {
	down     bool
	slow     time.Duration
	frozenAt time.Time
	// lost counts the answers that are still to be lost, by method.
	lost map[Method]int
	// stuck names the hosts whose next reboot never ends.
	stuck map[string]bool
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
func (s *Service) SetDead(match Selector, dead bool) {
	s.each(match, func(m *machine) {
		if m.dead && !dead {
			m.BootCount++
			m.stuck = false
		}
		m.dead = dead
	})
}

// SetPartitioned separates hosts from the platform: the list shows them as gone and no call reaches
// them, but they go on running.
func (s *Service) SetPartitioned(match Selector, cutOff bool) {
	s.each(match, func(m *machine) { m.cutOff = cutOff })
}

// SetRebootStuck makes the next reboots of hosts never end, until it is released.
func (s *Service) SetRebootStuck(match Selector, stuck bool) {
	s.each(match, func(m *machine) {
		if s.faults.stuck == nil {
			s.faults.stuck = map[string]bool{}
		}
		s.faults.stuck[m.Name] = stuck
		if !stuck {
			m.stuck = false
		}
	})
}

// SetDown makes the service itself unreachable.
func (s *Service) SetDown(down bool) { s.set(func(f *faults) { f.down = down }) }

// SetSlow delays each call.
func (s *Service) SetSlow(delay time.Duration) { s.set(func(f *faults) { f.slow = delay }) }

// LoseResponses drops the next answers of a method after the call took effect.
func (s *Service) LoseResponses(method Method, count int) {
	s.set(func(f *faults) { f.lost[method] = count })
}

// SetListFrozen makes List return what it returns now until it is released.
func (s *Service) SetListFrozen(frozen bool) {
	at := time.Time{}
	if frozen {
		at = s.options.Now().Add(-s.options.ListLag)
	}
	s.set(func(f *faults) { f.frozenAt = at })
}

func (s *Service) set(change func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

func (s *Service) each(match Selector, change func(*machine)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.names() {
		m := s.machines[name]
		if !match(m.Host) {
			continue
		}
		change(m)
		s.refresh(m)
	}
}
