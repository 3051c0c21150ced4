// Package wave runs maintenance waves: it asks for grants, carries granted hosts through their
// planned stop, and pauses a wave that can't go on.
package wave

import (
	"sort"

	"turmericyoke/internal/fold/inventory"
)

// Candidate is a host that a wave may stop next.
type Candidate struct {
	Wave string
	Host inventory.Host
}

// Choose returns the hosts that the wave may stop now, best first, at most as many as it has room
// for, without those that skip names. It is pure; the fold checks each grant again. All candidates
// are in one availability zone, and each is on the rack with the fewest hosts stopped so far.
func Choose(state *inventory.State, wave *inventory.Wave, skip func(host string) bool) []Candidate {
	room := wave.StopsAllowed()
	if room == 0 || wave.Pending == 0 {
		return nil
	}
	plan := newStopPlan(state, wave, skip)
	var best []Candidate
	for _, zone := range plan.zonesToTry() {
		chosen := plan.chooseInZone(zone, room)
		if len(chosen) > len(best) {
			best = chosen
		}
		if len(best) == room {
			break
		}
	}
	return best
}

// stopPlan is one choice over an unchanged state.
type stopPlan struct {
	state *inventory.State
	wave  *inventory.Wave
	// pending holds the hosts that serve and are due, by zone and then rack, sorted by name.
	pending       map[string]map[string][]inventory.Host
	pendingByZone map[string]int
	// stoppedByRack counts the wave's stopped hosts by rack.
	stoppedByRack map[string]int
	currentZone   string
}

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

func (p *stopPlan) addPending(host inventory.Host) {
	racks := p.pending[host.Zone]
	if racks == nil {
		racks = map[string][]inventory.Host{}
		p.pending[host.Zone] = racks
	}
	racks[host.Rack] = append(racks[host.Rack], host)
	p.pendingByZone[host.Zone]++
}

// zonesToTry returns the zone in which hosts are stopped now, or all zones, the one with most to do first.
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

// chooseInZone takes hosts of the zone, one rack after the other, while rack and budgets permit.
func (p *stopPlan) chooseInZone(zone string, room int) []Candidate {
	racks := p.racksInZone(zone)
	budgets := map[string]*inventory.Budget{}
	var chosen []Candidate
	for round := 0; round < p.wave.Spec.MaxPerRack; round++ {
		for _, rack := range racks {
			if p.stoppedByRack[rack] > round || len(chosen) == room {
				continue
			}
			if host, found := p.takeHost(budgets, p.pending[zone][rack], chosen); found {
				chosen = append(chosen, Candidate{Wave: p.wave.Spec.Name, Host: host})
			}
		}
	}
	return chosen
}

func (p *stopPlan) racksInZone(zone string) []string {
	racks := make([]string, 0, len(p.pending[zone]))
	for rack := range p.pending[zone] {
		racks = append(racks, rack)
	}
	sort.Strings(racks)
	return racks
}

// takeHost returns the first host of the rack that isn't chosen and whose pool's budget permits it.
func (p *stopPlan) takeHost(budgets map[string]*inventory.Budget, hosts []inventory.Host, chosen []Candidate) (inventory.Host, bool) {
	for _, host := range hosts {
		if isChosen(chosen, host.Name) {
			continue
		}
		budget := budgets[host.Pool]
		if budget == nil {
			fresh, _ := p.state.Budget(host.Pool)
			budget = &fresh
			budgets[host.Pool] = budget
		}
		if budget.PermitsStop(host.Zone) {
			budget.AddUnavailable(host.Zone)
			return host, true
		}
	}
	return inventory.Host{}, false
}

func isChosen(chosen []Candidate, name string) bool {
	for _, candidate := range chosen {
		if candidate.Host.Name == name {
			return true
		}
	}
	return false
}
