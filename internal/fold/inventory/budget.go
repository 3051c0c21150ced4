package inventory

import (
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// poolUsage indexes the hosts of one pool, so that its availability budget is checked without a scan of the
// fleet.
type poolUsage struct {
	// hosts holds all hosts of the pool by name.
	hosts map[string]*Host
	// unavailable holds the granted, moving and failed hosts by name.
	unavailable map[string]*Host
	// unavailableByZone counts unavailable hosts by availability zone.
	unavailableByZone map[string]int
}

func newPoolUsage() *poolUsage {
	return &poolUsage{hosts: map[string]*Host{}, unavailable: map[string]*Host{}, unavailableByZone: map[string]int{}}
}

func (u *poolUsage) add(host *Host) {
	u.hosts[host.Name] = host
	if host.Phase != PhaseServing {
		u.unavailable[host.Name] = host
		u.unavailableByZone[host.Zone]++
	}
}

func (u *poolUsage) remove(host *Host) {
	delete(u.hosts, host.Name)
	if host.Phase != PhaseServing {
		delete(u.unavailable, host.Name)
		u.unavailableByZone[host.Zone]--
	}
}

func (u *poolUsage) available() int { return len(u.hosts) - len(u.unavailable) }

// usageOf returns the usage of the pool. For a pool that has none yet, it adds an empty one.
func (s *State) usageOf(pool string) *poolUsage {
	usage, known := s.usageByPool[pool]
	if !known {
		usage = newPoolUsage()
		s.usageByPool[pool] = usage
	}
	return usage
}

// updateHost applies a change to a host and updates the usage of the pool that it leaves and the one that it
// is in afterwards, which may be the same.
func (s *State) updateHost(host *Host, change func()) {
	s.usageOf(host.Pool).remove(host)
	change()
	s.usageOf(host.Pool).add(host)
}

// checkBudget returns an error if stopping the host would exceed the availability budget of its pool. Granted,
// moving and failed hosts count as unavailable.
func (s *State) checkBudget(host *Host) *fault.Error {
	pool := s.Pools[host.Pool]
	usage := s.usageOf(host.Pool)
	available := usage.available() - 1
	if available < pool.MinAvailable {
		return fault.New(fault.BudgetExhausted, "pool %s: %d hosts would be available without %s: want at least %d",
			pool.Name, available, host.Name, pool.MinAvailable)
	}
	unavailable := usage.unavailableByZone[host.Zone] + 1
	if pool.MaxUnavailablePerZone > 0 && unavailable > pool.MaxUnavailablePerZone {
		return fault.New(fault.BudgetExhausted, "pool %s: %d hosts would be unavailable in zone %s with %s: want at most %d",
			pool.Name, unavailable, host.Zone, host.Name, pool.MaxUnavailablePerZone)
	}
	return nil
}

// Budget is the availability budget of a pool and its current use.
type Budget struct {
	Pool structs.Pool `json:"pool"`
	// Hosts is the number of hosts in the pool.
	Hosts int `json:"hosts"`
	// Unavailable is the number of granted, moving and failed hosts.
	Unavailable int `json:"unavailable"`
	// UnavailableByZone counts unavailable hosts by availability zone.
	UnavailableByZone map[string]int `json:"unavailableByZone"`
}

// Budget returns the availability budget of the pool and its current use, or false for an undeclared pool.
func (s *State) Budget(pool string) (Budget, bool) {
	declared, known := s.Pools[pool]
	if !known {
		return Budget{}, false
	}
	usage := s.usageOf(pool)
	byZone := map[string]int{}
	for zone, count := range usage.unavailableByZone {
		if count > 0 {
			byZone[zone] = count
		}
	}
	return Budget{Pool: declared, Hosts: len(usage.hosts), Unavailable: len(usage.unavailable), UnavailableByZone: byZone}, true
}

// PermitsStop reports whether the budget permits that one more host of the zone becomes unavailable.
func (b Budget) PermitsStop(zone string) bool {
	if b.Hosts-b.Unavailable-1 < b.Pool.MinAvailable {
		return false
	}
	limit := b.Pool.MaxUnavailablePerZone
	return limit == 0 || b.UnavailableByZone[zone] < limit
}

// AddUnavailable counts one more unavailable host of the zone.
func (b *Budget) AddUnavailable(zone string) {
	b.Unavailable++
	b.UnavailableByZone[zone]++
}
