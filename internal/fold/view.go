package fold

import (
	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/structs"
)

// View returns the part of the state that gateways use. Later records don't modify the memory of the
// view, so the caller may encode it after releasing the lock on the state.
func (s *State) View() *structs.View {
	view := &structs.View{
		Offset: s.offset, ConfigVersion: s.version,
		Teams: s.doc.Teams, Keys: s.doc.Keys, Pools: s.doc.Pools,
		Endpoints: s.endpoints(),
		Gateways:  s.gateways(),
	}
	view.Unallocated = s.unallocated()
	view.SurrenderTargets = s.Escrow.SurrenderTargets()
	return view
}

func (s *State) endpoints() []structs.Endpoint {
	endpoints := make([]structs.Endpoint, 0, len(s.doc.Hosts))
	for i := range s.doc.Hosts {
		host := &s.doc.Hosts[i]
		endpoint := structs.Endpoint{
			Host: host.Name, Address: host.Address, Pool: host.Pool, Zone: host.Zone,
			Slots: host.Slots, Connections: host.Connections,
		}
		if entry, known := s.Inventory.Host(host.Name); known {
			endpoint.Pool = entry.Pool
			endpoint.Epoch = entry.Epoch
			endpoint.Leaving = entry.Phase != inventory.PhaseServing
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

func (s *State) gateways() []structs.GatewayEntry {
	members := s.Escrow.Members(v1.Role_ROLE_GATEWAY)
	entries := make([]structs.GatewayEntry, 0, len(members))
	for _, member := range members {
		entries = append(entries, member.GatewayEntry())
	}
	return entries
}

// unallocated returns the unallocated units of each team that has any.
func (s *State) unallocated() map[string]uint64 {
	units := make(map[string]uint64, len(s.doc.Teams))
	for i := range s.doc.Teams {
		team := s.doc.Teams[i].Name
		if free := s.Escrow.Unallocated(team); free > 0 {
			units[team] = free
		}
	}
	return units
}
