// Package wave runs maintenance waves: it proposes grants to stop hosts, takes the granted hosts through
// their planned stop, and pauses a wave that can't go on.
package wave

import (
	"sort"

	"turmericyoke/internal/fold/inventory"
)

// Candidate is a host that the named wave may stop next.
type Candidate struct {
	Wave string
	Host inventory.Host
}

// Choose returns the hosts that the wave may stop now, best first, at most as many as its limits allow. Hosts
// for which skip returns true are left out. All candidates are in one availability zone, and each is on the
// rack with the fewest stopped hosts so far. Choose doesn't change the state, and the fold checks each grant
// again.
func Choose(state *inventory.State, wave *inventory.Wave, skip func(host string) bool) []Candidate {
	maxStops := wave.StopsAllowed()
	if maxStops == 0 || wave.Pending == 0 {
		return nil
	}
	plan := newStopPlan(state, wave, skip)
	var best []Candidate
	for _, zone := range plan.zonesToTry() {
		chosen := plan.chooseInZone(zone, maxStops)
		if len(chosen) > len(best) {
			best = chosen
		}
		if len(best) == maxStops {
			break
		}
	}
	return best
}

// stopPlan chooses the hosts that a wave stops next. The state must not change while it is in use.
type stopPlan struct {
	state *inventory.State
	wave  *inventory.Wave
	// pending holds the wave's pending hosts that serve, by zone and then by rack, sorted by name.
	pending map[string]map[string][]inventory.Host
	// pendingByZone is the number of pending hosts by zone.
	pendingByZone map[string]int
	// stoppedByRack is the number of the wave's stopped hosts by rack.
	stoppedByRack map[string]int
	// currentZone is the zone in which the wave has stopped hosts, or "" if it has none.
	currentZone string
}

// newStopPlan collects the pending and the stopped hosts of the wave.
func newStopPlan(state *inventory.State, wave *inventory.Wave, skip func(host string) bool) *stopPlan {
	p := &stopPlan{
		state: state, wave: wave, pendingByZone: map[string]int{}, stoppedByRack: map[string]int{},
		pending: map[string]map[string][]inventory.Host{},
	}
	for _, name := range wave.Stopped {
		host, _ := state.Host(name)
		p.currentZone = host.Zone
		p.stoppedByRack[host.Rack]++
	}
	for name, step := range wave.Hosts {
		host, _ := state.Host(name)
		if step == inventory.StepPending && host.Phase == inventory.PhaseServing && !skip(name) {
			p.addPending(host)
		}
	}
	for _, racks := range p.pending {
		for _, hosts := range racks {
			sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
		}
	}
	return p
}

// addPending adds a pending host to its zone and rack.
func (p *stopPlan) addPending(host inventory.Host) {
	racks := p.pending[host.Zone]
	if racks == nil {
		racks = map[string][]inventory.Host{}
		p.pending[host.Zone] = racks
	}
	racks[host.Rack] = append(racks[host.Rack], host)
	p.pendingByZone[host.Zone]++
}

// zonesToTry returns the zone in which the wave has stopped hosts. If there is none, it returns all zones
// with pending hosts, those with the most pending hosts first.
func (p *stopPlan) zonesToTry() []string {
	if p.currentZone != "" {
		return []string{p.currentZone}
	}
	zones := make([]string, 0, len(p.pendingByZone))
	for zone := range p.pendingByZone {
		zones = append(zones, zone)
	}
	sort.Slice(zones, func(i, j int) bool {
		if p.pendingByZone[zones[i]] != p.pendingByZone[zones[j]] {
			return p.pendingByZone[zones[i]] > p.pendingByZone[zones[j]]
		}
		return zones[i] < zones[j]
	})
	return zones
}

// chooseInZone returns at most maxStops hosts of the zone. It takes one host of each rack in turn, as long as
// the limit of the rack and the budgets of the pools permit.
func (p *stopPlan) chooseInZone(zone string, maxStops int) []Candidate {
	racks := p.racksInZone(zone)
	budgets := map[string]*inventory.Budget{}
	var chosen []Candidate
	for round := 0; round < p.wave.Spec.MaxPerRack; round++ {
		for _, rack := range racks {
			if p.stoppedByRack[rack] > round || len(chosen) == maxStops {
				continue
			}
			if host, found := p.takeHost(budgets, p.pending[zone][rack], chosen); found {
				chosen = append(chosen, Candidate{Wave: p.wave.Spec.Name, Host: host})
			}
		}
	}
	return chosen
}

// racksInZone returns the racks of the zone that have pending hosts, in order of name.
func (p *stopPlan) racksInZone(zone string) []string {
	racks := make([]string, 0, len(p.pending[zone]))
	for rack := range p.pending[zone] {
		racks = append(racks, rack)
	}
	sort.Strings(racks)
	return racks
}

// takeHost returns the first of the rack's hosts that isn't chosen yet and whose pool's budget permits a
// stop, and counts it in that budget. The budgets are working copies, filled as pools are first met.
func (p *stopPlan) takeHost(budgets map[string]*inventory.Budget, hosts []inventory.Host, chosen []Candidate) (inventory.Host, bool) {
	for _, host := range hosts {
		if isChosen(chosen, host.Name) {
			continue
		}
		budget := budgets[host.Pool]
		if budget == nil {
			current, _ := p.state.Budget(host.Pool)
			budget = &current
			budgets[host.Pool] = budget
		}
		if budget.PermitsStop(host.Zone) {
			budget.AddUnavailable(host.Zone)
			return host, true
		}
	}
	return inventory.Host{}, false
}

// isChosen reports whether the named host is among the chosen ones.
func isChosen(chosen []Candidate, name string) bool {
	for _, candidate := range chosen {
		if candidate.Host.Name == name {
			return true
		}
	}
	return false
}
