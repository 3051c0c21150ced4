package move

import (
	"time"

	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/planner"
	"turmericyoke/internal/structs"
)

// plannerInput copies the planner's input from the state. DemandKnown is false while the demand of any
// pool is unknown.
func (l *Loop) plannerInput() (input planner.Input, demandKnown, logReachable bool) {
	demandKnown = true
	input.Now = l.deps.Clock()
	l.deps.Reader.Read(func(view fleet.View) {
		logReachable = view.LogReachable
		input.Policy = view.Document.Policy
		maxRunTime := time.Duration(0)
		for _, pool := range view.Document.Pools {
			slots, known := l.demand.Slots(pool.Name)
			demandKnown = demandKnown && known
			input.Pools = append(input.Pools, plannerPool(pool, slots, headroom(view.Inventory, pool.Name)))
			maxRunTime = max(maxRunTime, pool.EffectiveMaxRunTime())
		}
		input.MoveTime = maxRunTime + assignDuration
		l.recordArrivals(view.Inventory, input.Now)
		input.Hosts = l.plannerHosts(view)
	})
	return input, demandKnown, logReachable
}

// assignDuration is the time that the platform takes to start the endpoint of the new pool.
const assignDuration = 30 * time.Second

// headroom returns the number of hosts above the minimum that maintenance of the pool needs: the number that
// its waves stop in parallel, and at least one, since moved hosts may still belong to waves of their former
// pools.
func headroom(state *inventory.State, pool string) int {
	hosts := 1
	for _, wave := range state.Waves {
		active := wave.Phase == inventory.WaveRunning || wave.Phase == inventory.WavePaused
		if active && wave.Spec.Pool == pool {
			hosts = max(hosts, wave.Spec.MaxParallel)
		}
	}
	return hosts
}

func plannerPool(pool structs.Pool, slots float64, headroom int) planner.Pool {
	return planner.Pool{
		Name: pool.Name, Spare: pool.Spare, MinAvailable: pool.MinAvailable, Headroom: headroom,
		MaxUnavailablePerZone: pool.MaxUnavailablePerZone, Demand: slots,
	}
}

// recordArrivals records when each host was first seen in its current pool. Hosts seen in the first call get
// the zero time.
func (l *Loop) recordArrivals(state *inventory.State, now time.Time) {
	firstCall := l.arrivals == nil
	arrivals := make(map[string]arrival, len(l.arrivals))
	for _, host := range state.Hosts() {
		current, known := l.arrivals[host.Name]
		if !known || current.pool != host.Pool {
			current = arrival{pool: host.Pool, firstSeen: now}
		}
		if firstCall {
			current.firstSeen = time.Time{}
		}
		arrivals[host.Name] = current
	}
	l.arrivals = arrivals
}

// plannerHosts converts all hosts of the view for the planner.
func (l *Loop) plannerHosts(view fleet.View) []planner.Host {
	slots := make(map[string]int, len(view.Document.Hosts))
	for i := range view.Document.Hosts {
		slots[view.Document.Hosts[i].Name] = view.Document.Hosts[i].Slots
	}
	inventoryHosts := view.Inventory.Hosts()
	hosts := make([]planner.Host, 0, len(inventoryHosts))
	for _, host := range inventoryHosts {
		hosts = append(hosts, planner.Host{
			Name: host.Name, Pool: host.Pool, Zone: host.Zone, Rack: host.Rack, Epoch: host.Epoch,
			Serving: host.Phase == inventory.PhaseServing, Granted: host.Phase == inventory.PhaseGranted,
			MoveTo: host.MoveTo, Home: host.DeclaredPool, Pinned: host.Pinned,
			Slots: slots[host.Name], InPoolSince: l.arrivals[host.Name].firstSeen,
		})
	}
	return hosts
}
