package viewdelta

import (
	"maps"
	"slices"

	"turmericyoke/internal/structs"
)

// The following functions return the key of an object. Keys are unique within a list.

func teamKey(t *structs.Team) string            { return t.Name }
func apiKeyKey(k *structs.Key) string           { return k.ID }
func poolKey(p *structs.Pool) string            { return p.Name }
func endpointKey(e *structs.Endpoint) string    { return e.Host }
func gatewayKey(g *structs.GatewayEntry) string { return g.Name + "/" + g.Incarnation }
func rightsKey(r *structs.GatewayRights) string {
	return r.Gateway + "/" + r.Incarnation + "/" + r.Team
}
func unitsKey(u *structs.TeamUnits) string { return u.Team }

// withoutRights returns copies of the gateways without their rights, which a delta has in a list of
// their own.
func withoutRights(gateways []structs.GatewayEntry) []structs.GatewayEntry {
	entries := slices.Clone(gateways)
	for i := range entries {
		entries[i].Rights = nil
	}
	return entries
}

// gatewayRights lists the rights of all gateways, one entry per gateway and team.
func gatewayRights(gateways []structs.GatewayEntry) []structs.GatewayRights {
	var rights []structs.GatewayRights
	for _, gateway := range gateways {
		for _, team := range slices.Sorted(maps.Keys(gateway.Rights)) {
			rights = append(rights, structs.GatewayRights{
				Gateway: gateway.Name, Incarnation: gateway.Incarnation, Team: team, Units: gateway.Rights[team],
			})
		}
	}
	return rights
}

// unitsByTeam lists the unallocated units and surrender targets, one entry per team, in order of team.
func unitsByTeam(view *structs.View) []structs.TeamUnits {
	byTeam := map[string]structs.TeamUnits{}
	for team, units := range view.Unallocated {
		byTeam[team] = structs.TeamUnits{Team: team, Unallocated: &units}
	}
	for team, target := range view.SurrenderTargets {
		entry := byTeam[team]
		entry.Team, entry.SurrenderTarget = team, &target
		byTeam[team] = entry
	}
	list := make([]structs.TeamUnits, 0, len(byTeam))
	for _, team := range slices.Sorted(maps.Keys(byTeam)) {
		list = append(list, byTeam[team])
	}
	return list
}
