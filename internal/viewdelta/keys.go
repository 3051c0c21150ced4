package viewdelta

import (
	"maps"
	"slices"

	"turmericyoke/internal/structs"
)

func teamKey(t *structs.Team) string            { return t.Name }
func apiKeyKey(k *structs.Key) string           { return k.ID }
func poolKey(p *structs.Pool) string            { return p.Name }
func endpointKey(e *structs.Endpoint) string    { return e.Host }
func gatewayKey(g *structs.GatewayEntry) string { return g.Name + "/" + g.Incarnation }
func rightsKey(h *structs.GatewayRights) string {
	return h.Gateway + "/" + h.Incarnation + "/" + h.Team
}
func unitsKey(u *structs.TeamUnits) string { return u.Team }

func withoutRights(gateways []structs.GatewayEntry) []structs.GatewayEntry {
	entries := slices.Clone(gateways)
	for i := range entries {
		entries[i].Rights = nil
	}
	return entries
}

func gatewayRights(gateways []structs.GatewayEntry) []structs.GatewayRights {
	var held []structs.GatewayRights
	for _, gateway := range gateways {
		for _, team := range slices.Sorted(maps.Keys(gateway.Rights)) {
			held = append(held, structs.GatewayRights{
				Gateway: gateway.Name, Incarnation: gateway.Incarnation, Team: team, Units: gateway.Rights[team],
			})
		}
	}
	return held
}

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
