package move

import (
	"time"

	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/planner"
	"turmericyoke/internal/structs"
)

// input copies what the planner needs. Ok is false while the demand of a pool isn't known.
func (l *Loop) input() (in planner.Input, ok, reachable bool) {
	ok = true
	in.Now = l.deps.Clock()
	l.deps.Reader.Read(func(view fleet.View) {
		reachable = view.LogReachable
		in.Policy = view.Document.Policy
		longest := time.Duration(0)
		for _, pool := range view.Document.Pools {
			slots, known := l.demand.Slots(pool.Name)
			ok = ok && known
			in.Pools = append(in.Pools, plannerPool(pool, slots, headroom(view.Inventory, pool.Name)))
			longest = max(longest, pool.EffectiveMaxRunTime())
		}
		in.MoveTime = longest + assignTime
		l.arrive(view.Inventory, in.Now)
		in.Hosts = l.hosts(view)
	})
	return in, ok, reachable
}

// assignTime is the time that a platform takes to start the endpoint of another pool.
const assignTime = 30 * time.Second

// headroom returns the hosts above the minimum that maintenance of the pool needs: those that its
// waves stop at a time, and at least one for the waves that other pools' hosts brought along.
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

// arrive notes since when each host is in its pool.
func (l *Loop) arrive(state *inventory.State, now time.Time) {
	first := l.since == nil
	since := make(map[string]arrival, len(l.since))
	for _, host := range state.Hosts() {
		seen, known := l.since[host.Name]
		if !known || seen.pool != host.Pool {
			seen = arrival{pool: host.Pool, at: now}
		}
		if first {
			seen.at = time.Time{}
		}
		since[host.Name] = seen
	}
	l.since = since
}

func (l *Loop) hosts(view fleet.View) []planner.Host {
	slots := make(map[string]int, len(view.Document.Hosts))
	for i := range view.Document.Hosts {
		slots[view.Document.Hosts[i].Name] = view.Document.Hosts[i].Slots
	}
	state := view.Inventory.Hosts()
	hosts := make([]planner.Host, 0, len(state))
	for _, host := range state {
		hosts = append(hosts, planner.Host{
			Name: host.Name, Pool: host.Pool, Zone: host.Zone, Rack: host.Rack, Epoch: host.Epoch,
			Serving: host.Phase == inventory.PhaseServing, Granted: host.Phase == inventory.PhaseGranted,
			MoveTo: host.MoveTo, Home: host.DeclaredPool, Pinned: host.Pinned,
			Slots: slots[host.Name], InPoolSince: l.since[host.Name].at,
		})
	}
	return hosts
}
