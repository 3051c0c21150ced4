package fold

import (
	"cmp"
	"slices"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/structs"
)

// memberRoles are the roles of joined processes.
var memberRoles = []v1.Role{v1.Role_ROLE_GATEWAY, v1.Role_ROLE_CONTROLLER}

// hostQueries answers the job reducer's questions about hosts.
type hostQueries struct{ state *State }

// Serving reports whether the host takes new work in the pool.
func (f hostQueries) Serving(host, pool string) bool {
	entry, known := f.state.Inventory.Host(host)
	return known && entry.Pool == pool && entry.Phase == inventory.PhaseServing
}

// Capacities returns the distinct worker capacities of the hosts that belong to the pool.
func (f hostQueries) Capacities(pool string) []structs.Resources {
	var found []structs.Resources
	for i := range f.state.doc.Hosts {
		host := &f.state.doc.Hosts[i]
		if slices.Contains(found, host.Capacity) {
			continue
		}
		entry, known := f.state.Inventory.Host(host.Name)
		if known && entry.Pool == pool {
			found = append(found, host.Capacity)
		}
	}
	slices.SortFunc(found, compareResources)
	return found
}

func compareResources(left, right structs.Resources) int {
	return cmp.Or(
		cmp.Compare(left.CPUMilli, right.CPUMilli),
		cmp.Compare(left.MemoryMiB, right.MemoryMiB),
		cmp.Compare(left.Accelerators, right.Accelerators),
	)
}
