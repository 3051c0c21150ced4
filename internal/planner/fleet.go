package planner

import (
	"math"
	"sort"
	"time"
)

// fleet is the distribution of hosts to pools in one step. Each planned move is applied to it at once.
type fleet struct {
	input  *Input
	pools  []*poolState
	byName map[string]*poolState
	// largestRack is the number of hosts in the rack with the most hosts.
	largestRack int
	hasSpare    bool
}

// poolState is a pool with its demand, its hosts and its floor.
type poolState struct {
	Pool
	demand demand
	// sampledFor is the age of the oldest sample.
	sampledFor time.Duration
	serving    []*Host
	// hostCount counts serving and granted hosts, and those that are moving into the pool.
	hostCount int
	// available counts only serving hosts, for the budget.
	available int
	// unavailableByZone counts the hosts that aren't serving.
	unavailableByZone map[string]int
	// hostsByZone and hostsByRack count serving hosts and those that are moving into the pool.
	hostsByZone map[string]int
	hostsByRack map[string]int
	// slotsPerHost is the mean number of slots of the fleet's hosts.
	slotsPerHost float64
	// floor is the number of hosts below which the pool shouldn't fall.
	floor int
}

func newFleet(input *Input, samples map[string][]Sample) *fleet {
	f := &fleet{input: input, byName: map[string]*poolState{}}
	for _, config := range input.Pools {
		p := &poolState{Pool: config, unavailableByZone: map[string]int{}, hostsByZone: map[string]int{}, hostsByRack: map[string]int{}}
		poolSamples := samples[config.Name]
		p.demand = newDemand(poolSamples, input)
		p.sampledFor = input.Now.Sub(poolSamples[0].At)
		f.pools = append(f.pools, p)
		f.byName[config.Name] = p
		f.hasSpare = f.hasSpare || config.Spare
	}
	f.countHosts()
	for _, p := range f.pools {
		p.floor = f.computeFloor(p)
	}
	return f
}

// countHosts counts the hosts of each pool, by zone and by rack.
func (f *fleet) countHosts() {
	hostsInRack := map[string]int{}
	totalSlots := 0
	for i := range f.input.Hosts {
		host := &f.input.Hosts[i]
		hostsInRack[host.Rack]++
		f.largestRack = max(f.largestRack, hostsInRack[host.Rack])
		totalSlots += host.Slots
		if to := f.byName[host.MoveTo]; to != nil {
			to.hostCount++
			to.hostsByZone[host.Zone]++
			to.hostsByRack[host.Rack]++
		}
		f.byName[host.Pool].addHost(host)
	}
	for _, p := range f.pools {
		p.slotsPerHost = float64(totalSlots) / float64(max(1, len(f.input.Hosts)))
	}
}

// addHost counts a host in the pool that it belongs to.
func (p *poolState) addHost(host *Host) {
	if host.Serving || host.Granted {
		p.hostCount++
	}
	if !host.Serving {
		p.unavailableByZone[host.Zone]++
		return
	}
	p.serving = append(p.serving, host)
	p.available++
	p.hostsByZone[host.Zone]++
	p.hostsByRack[host.Rack]++
}

// computeFloor returns the number of hosts that the pool needs for its baseline demand at the target
// utilisation, with buffers for random failures and for the loss of a rack. If there is a spare pool, it has
// the rack buffer of the whole fleet. Otherwise each pool has a buffer of as many hosts as it has in any one
// rack.
func (f *fleet) computeFloor(p *poolState) int {
	policy := f.input.Policy
	floor := int(math.Ceil(p.demand.baseline / (p.slotsPerHost * policy.TargetUtilisation)))
	floor += policy.FailureBuffer
	if policy.RackBuffer && p.Spare {
		floor += f.largestRack
	}
	if policy.RackBuffer && !f.hasSpare {
		floor += maxCount(p.hostsByRack)
	}
	return max(floor, p.MinAvailable+p.Headroom)
}

// maxCount returns the highest count, or 0 if there are none.
func maxCount(counts map[string]int) int {
	highest := 0
	for _, count := range counts {
		highest = max(highest, count)
	}
	return highest
}

// hourlyCost returns the cost of running the pool with n hosts for an hour: that of idle hosts, and that of
// unmet demand. Idle hosts of the spare pool cost nothing, since they are available to the other pools.
func (f *fleet) hourlyCost(p *poolState, n int) float64 {
	capacity := float64(n) * p.slotsPerHost
	cost := f.input.Policy.ShareNearness * p.demand.unmet(capacity)
	if !p.Spare {
		cost += f.input.Policy.BufferCost * p.demand.idle(capacity) / p.slotsPerHost
	}
	return cost
}

// poolPlans returns the figures of each pool for the plan.
func (f *fleet) poolPlans() []PoolPlan {
	plans := make([]PoolPlan, 0, len(f.pools))
	for _, p := range f.pools {
		capacity := float64(p.hostCount) * p.slotsPerHost
		plans = append(plans, PoolPlan{
			Name: p.Name, Hosts: p.hostCount, Floor: p.floor,
			Baseline: p.demand.baseline, SustainedPeak: p.demand.sustainedPeak, Peak: p.demand.window.peak, Mean: p.demand.window.mean,
			ShortPeaks: p.demand.window.peak > capacity && p.demand.sustainedPeak < p.demand.window.peak*minSustainedFraction,
		})
	}
	return plans
}

// minSustainedFraction is the fraction of the peak that the sustained peak has to reach; otherwise the peak
// counts as short.
const minSustainedFraction = 0.5

// permits reports whether the pool's disruption budget permits moving a host of the zone away.
func (p *poolState) permits(zone string) bool {
	if p.available-1 < p.MinAvailable {
		return false
	}
	return p.MaxUnavailablePerZone == 0 || p.unavailableByZone[zone] < p.MaxUnavailablePerZone
}

// pickHost returns the host whose move leaves both pools spread most evenly over zones, and then over racks,
// or nil if no host may be moved.
func (f *fleet) pickHost(from, to *poolState) *Host {
	var candidates []*Host
	for _, host := range from.serving {
		stayedLongEnough := f.input.Now.Sub(host.InPoolSince) >= f.input.minStay()
		if !host.Pinned && stayedLongEnough && from.permits(host.Zone) {
			candidates = append(candidates, host)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if x, y := to.hostsByZone[a.Zone]-from.hostsByZone[a.Zone], to.hostsByZone[b.Zone]-from.hostsByZone[b.Zone]; x != y {
			return x < y
		}
		if x, y := to.hostsByRack[a.Rack]-from.hostsByRack[a.Rack], to.hostsByRack[b.Rack]-from.hostsByRack[b.Rack]; x != y {
			return x < y
		}
		return a.Name < b.Name
	})
	return candidates[0]
}

// applyMove applies a planned move to the fleet and returns it.
func (f *fleet) applyMove(host *Host, to *poolState, reason string) Move {
	from := f.byName[host.Pool]
	move := Move{Host: host.Name, Epoch: host.Epoch, From: host.Pool, To: to.Name, Reason: reason}
	from.removeHost(host)
	to.hostCount++
	to.hostsByZone[host.Zone]++
	to.hostsByRack[host.Rack]++
	return move
}

// removeHost counts a serving host of the pool as moving away.
func (p *poolState) removeHost(host *Host) {
	for i, other := range p.serving {
		if other == host {
			p.serving = append(p.serving[:i], p.serving[i+1:]...)
			break
		}
	}
	p.hostCount--
	p.available--
	p.unavailableByZone[host.Zone]++
	p.hostsByZone[host.Zone]--
	p.hostsByRack[host.Rack]--
}

// movePinnedHome plans moves of pinned hosts that aren't in their declared pool back to it.
func (f *fleet) movePinnedHome() []Move {
	var moves []Move
	for i := range f.input.Hosts {
		host := &f.input.Hosts[i]
		home := f.byName[host.Home]
		if !host.Pinned || !host.Serving || home == nil || host.Pool == host.Home {
			continue
		}
		if f.byName[host.Pool].permits(host.Zone) {
			moves = append(moves, f.applyMove(host, home, "pinned to "+host.Home))
		}
	}
	return moves
}

// hasEnoughSamples reports whether the samples of all pools cover one horizon. Without this condition, a
// planner that has just started would take the first demand that it sees as typical.
func (f *fleet) hasEnoughSamples() bool {
	for _, p := range f.pools {
		if p.sampledFor < f.input.horizon() {
			return false
		}
	}
	return true
}
