package planner

import (
	"math"
	"sort"
	"time"
)

// fleet is the placement that one step works on. Planned moves are counted in it at once.
type fleet struct {
	in     *Input
	pools  []*pool
	byName map[string]*pool
	// largestRack is the number of hosts on the largest rack.
	largestRack int
	hasSpare    bool
}

// pool is a pool with its hosts and the cost of having more or fewer.
type pool struct {
	Pool
	demand demand
	// covers is the time that the samples go back.
	covers  time.Duration
	serving []*Host
	// hosts counts serving and granted hosts and those on their way in.
	hosts int
	// available counts serving hosts only, for the budget.
	available int
	// down counts unavailable hosts by zone.
	down  map[string]int
	zones map[string]int
	racks map[string]int
	// slots is the mean number of slots of a host.
	slots float64
	floor int
}

func newFleet(in *Input, samples map[string][]Sample) *fleet {
	f := &fleet{in: in, byName: map[string]*pool{}}
	for _, declared := range in.Pools {
		p := &pool{Pool: declared, down: map[string]int{}, zones: map[string]int{}, racks: map[string]int{}}
		seen := samples[declared.Name]
		p.demand = newDemand(seen, in)
		p.covers = in.Now.Sub(seen[0].At)
		f.pools = append(f.pools, p)
		f.byName[declared.Name] = p
		f.hasSpare = f.hasSpare || declared.Spare
	}
	f.place()
	for _, p := range f.pools {
		p.floor = f.floorOf(p)
	}
	return f
}

// place counts the hosts in their pools, on racks and in zones.
func (f *fleet) place() {
	racks := map[string]int{}
	total := 0
	for i := range f.in.Hosts {
		host := &f.in.Hosts[i]
		racks[host.Rack]++
		f.largestRack = max(f.largestRack, racks[host.Rack])
		total += host.Slots
		if to := f.byName[host.MoveTo]; to != nil {
			to.hosts++
			to.zones[host.Zone]++
			to.racks[host.Rack]++
		}
		f.byName[host.Pool].count(host)
	}
	for _, p := range f.pools {
		p.slots = float64(total) / float64(max(1, len(f.in.Hosts)))
	}
}

func (p *pool) count(host *Host) {
	if host.Serving || host.Granted {
		p.hosts++
	}
	if !host.Serving {
		p.down[host.Zone]++
		return
	}
	p.serving = append(p.serving, host)
	p.available++
	p.zones[host.Zone]++
	p.racks[host.Rack]++
}

// floorOf returns the hosts that the pool needs for the demand that it has held, with buffers for random
// failures and for the loss of a rack. The spare pool holds the rack buffer of the fleet; without a
// spare pool, each pool holds what it would lose with its largest share of a rack.
func (f *fleet) floorOf(p *pool) int {
	policy := f.in.Policy
	need := int(math.Ceil(p.demand.held / (p.slots * policy.TargetUtilisation)))
	need += policy.FailureBuffer
	if policy.RackBuffer && p.Spare {
		need += f.largestRack
	}
	if policy.RackBuffer && !f.hasSpare {
		need += largest(p.racks)
	}
	return max(need, p.MinAvailable+p.Headroom)
}

func largest(counts map[string]int) int {
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	return most
}

// cost is the cost of an hour with n hosts: idle hosts, and demand that isn't met. Hosts of the
// spare pool aren't held for it, so they cost nothing while they are idle.
func (f *fleet) cost(p *pool, n int) float64 {
	capacity := float64(n) * p.slots
	cost := f.in.Policy.ShareNearness * p.demand.unmet(capacity)
	if !p.Spare {
		cost += f.in.Policy.BufferCost * p.demand.idle(capacity) / p.slots
	}
	return cost
}

func (f *fleet) report() []PoolPlan {
	plans := make([]PoolPlan, 0, len(f.pools))
	for _, p := range f.pools {
		capacity := float64(p.hosts) * p.slots
		plans = append(plans, PoolPlan{
			Name: p.Name, Hosts: p.hosts, Floor: p.floor,
			Held: p.demand.held, Lasting: p.demand.lasting, Peak: p.demand.whole.peak, Mean: p.demand.whole.mean,
			ShortPeaks: p.demand.whole.peak > capacity && p.demand.lasting < p.demand.whole.peak*shortPeak,
		})
	}
	return plans
}

// shortPeak is the part of the peak that has to last for the peak not to count as short.
const shortPeak = 0.5

// permits reports whether the pool's budget lets a host of the zone go.
func (p *pool) permits(zone string) bool {
	if p.available-1 < p.MinAvailable {
		return false
	}
	return p.MaxUnavailablePerZone == 0 || p.down[zone] < p.MaxUnavailablePerZone
}

// pick returns the host that leaves the spread over zones and racks of both pools best.
func (f *fleet) pick(from, to *pool) *Host {
	var candidates []*Host
	for _, host := range from.serving {
		stayed := f.in.Now.Sub(host.InPoolSince) >= f.in.stay()
		if !host.Pinned && stayed && from.permits(host.Zone) {
			candidates = append(candidates, host)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if x, y := to.zones[a.Zone]-from.zones[a.Zone], to.zones[b.Zone]-from.zones[b.Zone]; x != y {
			return x < y
		}
		if x, y := to.racks[a.Rack]-from.racks[a.Rack], to.racks[b.Rack]-from.racks[b.Rack]; x != y {
			return x < y
		}
		return a.Name < b.Name
	})
	return candidates[0]
}

// apply counts a planned move.
func (f *fleet) apply(host *Host, to *pool, reason string) Move {
	from := f.byName[host.Pool]
	move := Move{Host: host.Name, Epoch: host.Epoch, From: host.Pool, To: to.Name, Reason: reason}
	from.remove(host)
	to.hosts++
	to.zones[host.Zone]++
	to.racks[host.Rack]++
	return move
}

func (p *pool) remove(host *Host) {
	for i, other := range p.serving {
		if other == host {
			p.serving = append(p.serving[:i], p.serving[i+1:]...)
			break
		}
	}
	p.hosts--
	p.available--
	p.down[host.Zone]++
	p.zones[host.Zone]--
	p.racks[host.Rack]--
}

// sendHome plans the moves of pinned hosts that aren't in their declared pool.
func (f *fleet) sendHome() []Move {
	var moves []Move
	for i := range f.in.Hosts {
		host := &f.in.Hosts[i]
		home := f.byName[host.Home]
		if !host.Pinned || !host.Serving || home == nil || host.Pool == host.Home {
			continue
		}
		if f.byName[host.Pool].permits(host.Zone) {
			moves = append(moves, f.apply(host, home, "pinned to "+host.Home))
		}
	}
	return moves
}

// informed reports whether the samples cover one horizon. A planner that has just started would take
// whatever it sees first for the rule.
func (f *fleet) informed() bool {
	for _, p := range f.pools {
		if p.covers < f.in.horizon() {
			return false
		}
	}
	return true
}
