package exchange

import (
	"cmp"
	"slices"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/structs"
)

// gatewaysWithHigherNames returns the gateways of the zone with a higher name, in order.
func (p *Peers) gatewaysWithHigherNames() []structs.GatewayEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []structs.GatewayEntry
	for name, known := range p.peers {
		if name > p.self {
			list = append(list, known.entry)
		}
	}
	slices.SortFunc(list, func(a, b structs.GatewayEntry) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// onePerOtherZone draws one gateway of each other zone of the region.
func (p *Peers) onePerOtherZone() []structs.GatewayEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []structs.GatewayEntry
	for _, zone := range p.otherZones {
		if gateways := p.zoneGateways[zone]; len(gateways) > 0 {
			list = append(list, gateways[p.random.IntN(len(gateways))])
		}
	}
	return list
}

// addPeerReports adds the reports of the zone's audible peers to load.
func (p *Peers) addPeerReports(load *v1.GatewayLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	teams := map[poolTeam]*v1.TeamLoad{}
	for _, team := range load.Teams {
		teams[poolTeam{team.Pool, team.Team}] = team
	}
	pools := map[string]*v1.PoolLoad{}
	for _, pool := range load.Pools {
		pools[pool.Pool] = pool
	}
	for _, known := range p.peers {
		if p.heardRecently(known) {
			addTeamLoads(teams, load, known.load)
			addPoolLoads(pools, load, known.load)
			load.RefusedTotal += known.load.GetRefusedTotal()
		}
	}
}

func addTeamLoads(teams map[poolTeam]*v1.TeamLoad, sum, load *v1.GatewayLoad) {
	for _, team := range load.GetTeams() {
		subject := poolTeam{team.GetPool(), team.GetTeam()}
		total, ok := teams[subject]
		if !ok {
			total = &v1.TeamLoad{Pool: subject.pool, Team: subject.team}
			teams[subject] = total
			sum.Teams = append(sum.Teams, total)
		}
		total.Running += team.GetRunning()
		total.Queued += team.GetQueued()
	}
}

func addPoolLoads(pools map[string]*v1.PoolLoad, sum, load *v1.GatewayLoad) {
	for _, pool := range load.GetPools() {
		total, ok := pools[pool.GetPool()]
		if !ok {
			total = &v1.PoolLoad{Pool: pool.GetPool()}
			pools[pool.GetPool()] = total
			sum.Pools = append(sum.Pools, total)
		}
		total.FreeSlots += pool.GetFreeSlots()
		total.OwnedSlots += pool.GetOwnedSlots()
	}
}
