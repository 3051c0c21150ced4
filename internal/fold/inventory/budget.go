package inventory

import (
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// usage counts the hosts of one pool against its availability budget.
type usage struct {
	hosts map[string]*Host
	// stopped holds the unavailable hosts.
	stopped map[string]*Host
	// zones counts unavailable hosts by availability zone.
	zones map[string]int
}

func newUsage() *usage {
	return &usage{hosts: map[string]*Host{}, stopped: map[string]*Host{}, zones: map[string]int{}}
}

func (u *usage) add(host *Host) {
	u.hosts[host.Name] = host
	if host.Phase != PhaseServing {
		u.stopped[host.Name] = host
		u.zones[host.Zone]++
	}
}

func (u *usage) remove(host *Host) {
	delete(u.hosts, host.Name)
	if host.Phase != PhaseServing {
		delete(u.stopped, host.Name)
		u.zones[host.Zone]--
	}
}

func (u *usage) available() int { return len(u.hosts) - len(u.stopped) }

// of returns the usage of the pool, which is empty for a pool without hosts.
func (s *State) of(pool string) *usage {
	used, known := s.usage[pool]
	if !known {
		used = newUsage()
		s.usage[pool] = used
	}
	return used
}

// update changes a host and keeps the index in line.
func (s *State) update(host *Host, change func()) {
	s.of(host.Pool).remove(host)
	change()
	s.of(host.Pool).add(host)
}

// checkBudget returns an error unless the budget of the host's pool permits that the host stops.
// Granted, moving and failed hosts count as unavailable.
func (s *State) checkBudget(host *Host) *fault.Error {
	pool := s.Pools[host.Pool]
	used := s.of(host.Pool)
	left := used.available() - 1
	if left < pool.MinAvailable {
		return fault.New(fault.BudgetExhausted, "pool %s: %d hosts would be available without %s: want at least %d",
			pool.Name, left, host.Name, pool.MinAvailable)
	}
	stopped := used.zones[host.Zone] + 1
	if pool.MaxUnavailablePerZone > 0 && stopped > pool.MaxUnavailablePerZone {
		return fault.New(fault.BudgetExhausted, "pool %s: %d hosts would be unavailable in zone %s with %s: want at most %d",
			pool.Name, stopped, host.Zone, host.Name, pool.MaxUnavailablePerZone)
	}
	return nil
}

// Budget is how far a pool is from its availability budget.
type Budget struct {
	Pool structs.Pool `json:"pool"`
	// Hosts is the number of hosts in the pool.
	Hosts int `json:"hosts"`
	// Unavailable is the number of granted, moving and failed hosts.
	Unavailable int `json:"unavailable"`
	// UnavailableByZone splits Unavailable by availability zone.
	UnavailableByZone map[string]int `json:"unavailableByZone"`
}

// Budget returns the budget of the pool and what is spent of it.
func (s *State) Budget(pool string) (Budget, bool) {
	declared, known := s.Pools[pool]
	if !known {
		return Budget{}, false
	}
	used := s.of(pool)
	zones := map[string]int{}
	for zone, count := range used.zones {
		if count > 0 {
			zones[zone] = count
		}
	}
	return Budget{Pool: declared, Hosts: len(used.hosts), Unavailable: len(used.stopped), UnavailableByZone: zones}, true
}

// PermitsStop reports whether one more host of the zone may stop.
func (b Budget) PermitsStop(zone string) bool {
	if b.Hosts-b.Unavailable-1 < b.Pool.MinAvailable {
		return false
	}
	bound := b.Pool.MaxUnavailablePerZone
	return bound == 0 || b.UnavailableByZone[zone] < bound
}

// AddUnavailable counts one more unavailable host of the zone.
func (b *Budget) AddUnavailable(zone string) {
	b.Unavailable++
	b.UnavailableByZone[zone]++
}
