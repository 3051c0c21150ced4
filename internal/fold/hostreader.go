package fold

import (
	"cmp"
	"slices"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/structs"
)

// memberRoles are the roles in which a process can join.
var memberRoles = []v1.Role{v1.Role_ROLE_GATEWAY, v1.Role_ROLE_CONTROLLER}

// hostReader gives the job reducers access to the state of hosts. It implements jobs.HostReader.
type hostReader struct{ state *State }

// IsServing reports whether the host takes new work in the pool.
func (r hostReader) IsServing(host, pool string) bool {
	entry, known := r.state.Inventory.Host(host)
	return known && entry.Pool == pool && entry.Phase == inventory.PhaseServing
}

// Capacities returns the distinct capacities of the pool's hosts in ascending order.
func (r hostReader) Capacities(pool string) []structs.Resources {
	var capacities []structs.Resources
	for i := range r.state.doc.Hosts {
		host := &r.state.doc.Hosts[i]
		if slices.Contains(capacities, host.Capacity) {
			continue
		}
		entry, known := r.state.Inventory.Host(host.Name)
		if known && entry.Pool == pool {
			capacities = append(capacities, host.Capacity)
		}
	}
	slices.SortFunc(capacities, compareResources)
	return capacities
}

func compareResources(left, right structs.Resources) int {
	return cmp.Or(
		cmp.Compare(left.CPUMilli, right.CPUMilli),
		cmp.Compare(left.MemoryMiB, right.MemoryMiB),
		cmp.Compare(left.Accelerators, right.Accelerators),
	)
}
