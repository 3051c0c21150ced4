package exchange

import (
	"cmp"
	"slices"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/structs"
)

// gatewaysWithHigherNames returns the gateways of the zone whose names are higher than this one's, by name.
func (p *Peers) gatewaysWithHigherNames() []structs.GatewayEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var gateways []structs.GatewayEntry
	for name, peer := range p.peers {
		if name > p.self {
			gateways = append(gateways, peer.gateway)
		}
	}
	slices.SortFunc(gateways, func(a, b structs.GatewayEntry) int { return cmp.Compare(a.Name, b.Name) })
	return gateways
}

// onePerOtherZone chooses one gateway at random in each other zone of the region.
func (p *Peers) onePerOtherZone() []structs.GatewayEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []structs.GatewayEntry
	for _, zone := range p.otherZones {
		if gateways := p.zoneGateways[zone]; len(gateways) > 0 {
			chosen = append(chosen, gateways[p.random.IntN(len(gateways))])
		}
	}
	return chosen
}

// addPeerReports adds the counts that the peers of the zone have recently reported to report.
func (p *Peers) addPeerReports(report *v1.GatewayLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	teams := map[poolTeam]*v1.TeamLoad{}
	for _, team := range report.Teams {
		teams[poolTeam{team.Pool, team.Team}] = team
	}
	pools := map[string]*v1.PoolLoad{}
	for _, pool := range report.Pools {
		pools[pool.Pool] = pool
	}
	for _, peer := range p.peers {
		if p.hasRecentReport(peer) {
			addTeamLoads(teams, report, peer.report)
			addPoolLoads(pools, report, peer.report)
			report.RefusedTotal += peer.report.GetRefusedTotal()
		}
	}
}

// addTeamLoads adds the team counts of report to sum. teams indexes sum.Teams.
func addTeamLoads(teams map[poolTeam]*v1.TeamLoad, sum, report *v1.GatewayLoad) {
	for _, team := range report.GetTeams() {
		key := poolTeam{team.GetPool(), team.GetTeam()}
		total, ok := teams[key]
		if !ok {
			total = &v1.TeamLoad{Pool: key.pool, Team: key.team}
			teams[key] = total
			sum.Teams = append(sum.Teams, total)
		}
		total.Running += team.GetRunning()
		total.Queued += team.GetQueued()
	}
}

// addPoolLoads adds the slot counts of report to sum. pools indexes sum.Pools.
func addPoolLoads(pools map[string]*v1.PoolLoad, sum, report *v1.GatewayLoad) {
	for _, pool := range report.GetPools() {
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
