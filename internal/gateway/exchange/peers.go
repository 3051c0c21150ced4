// Package exchange sends reports of this gateway's running requests and free slots and rights to the
// other gateways, keeps the table of their reports, and picks gateways to forward requests to.
package exchange

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/gateway/queue"
	"turmericyoke/internal/structs"
)

// Timeouts after which the last report of a gateway or zone is no longer used.
const (
	// A peer times out after reportTimeoutIntervals of its report intervals, so that one lost exchange
	// doesn't reassign its slots. With less than minReportTimeout a short pause of either process would
	// reassign them; maxReportTimeout bounds the time in which the slots of a lost gateway are unused.
	reportTimeoutIntervals = 4
	minReportTimeout       = 1500 * time.Millisecond
	maxReportTimeout       = 3 * MaxInterval
	// zoneReportTimeout is the time of five exchanges with another zone.
	zoneReportTimeout = 5 * otherZoneInterval
)

// poolTeam identifies one team in one pool.
type poolTeam struct{ pool, team string }

// peerState is what is known of another gateway of the zone. The lock of Peers guards it.
type peerState struct {
	gateway    structs.GatewayEntry
	report     *v1.GatewayLoad
	reportedAt time.Time
	// reportInterval is the time between the last two reports.
	reportInterval time.Duration
	// freeSlots by pool and freeRights by team are the numbers that the peer last reported as free, less those
	// that requests forwarded since then are expected to use.
	freeSlots  map[string]int
	freeRights map[string]int
	// refusedTeams holds the teams, by pool, of which the peer has refused a request since its last report.
	refusedTeams map[poolTeam]bool
	// running is the smoothed number of running requests that the peer reports.
	running map[poolTeam]float64
	// forwardedToQueue counts the forwarded requests in progress that may wait in the peer's queue.
	forwardedToQueue map[poolTeam]int
}

// zoneState is what is known of another zone of the region. Its fields correspond to those of peerState.
type zoneState struct {
	report     *v1.GatewayLoad
	reportedAt time.Time
	freeSlots  map[string]int
	running    map[poolTeam]float64
}

// Peers is the table of the other gateways. Its methods are safe for concurrent use.
type Peers struct {
	self, zone string
	otherZones []string
	now        func() time.Time

	// runningElsewhere sums the running requests of all other gateways. It is replaced after each report
	// and read without a lock, since the queue reads it each time that it chooses a team.
	runningElsewhere atomic.Pointer[map[poolTeam]float64]

	mu       sync.Mutex
	random   *rand.Rand
	snapshot *fleet.Snapshot
	peers    map[string]*peerState
	zones    map[string]*zoneState
	// zoneGateways holds the joined gateways of each other zone of the region.
	zoneGateways map[string][]structs.GatewayEntry
	// localRunning is the number of requests that this gateway itself ran at its last report.
	localRunning map[poolTeam]float64
	// draining is set once this gateway is leaving.
	draining bool
}

// NewPeers returns an empty table. otherZones lists the other availability zones of the region, in the
// order in which they are tried. seed determines the random choices among gateways.
func NewPeers(self, zone string, otherZones []string, seed uint64, now func() time.Time) *Peers {
	p := &Peers{
		self: self, zone: zone, otherZones: otherZones, now: now,
		random:       rand.New(rand.NewPCG(seed, seed)),
		snapshot:     fleet.NewSnapshot(&structs.View{}, time.Time{}),
		peers:        map[string]*peerState{},
		zones:        map[string]*zoneState{},
		zoneGateways: map[string][]structs.GatewayEntry{},
		localRunning: map[poolTeam]float64{},
	}
	p.runningElsewhere.Store(&map[poolTeam]float64{})
	return p
}

// ApplySnapshot replaces the gateways by those of a new view, and keeps the reports of those
// that are still listed.
func (p *Peers) ApplySnapshot(snapshot *fleet.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshot = snapshot
	previous := p.peers
	p.peers = map[string]*peerState{}
	clear(p.zoneGateways)
	for _, gateway := range snapshot.View.Gateways {
		switch {
		case gateway.Suspected || gateway.Name == p.self:
		case gateway.Zone == p.zone:
			p.peers[gateway.Name] = updatePeer(previous[gateway.Name], gateway)
		case slices.Contains(p.otherZones, gateway.Zone):
			p.zoneGateways[gateway.Zone] = append(p.zoneGateways[gateway.Zone], gateway)
		}
	}
	p.sumRunning()
}

// updatePeer returns the state for gateway: the previous state, or an empty one if the gateway is new or
// has restarted.
func updatePeer(previous *peerState, gateway structs.GatewayEntry) *peerState {
	if previous == nil || previous.gateway.Incarnation != gateway.Incarnation {
		previous = &peerState{forwardedToQueue: map[poolTeam]int{}}
	}
	updated := *previous
	updated.gateway = gateway
	return &updated
}

// ApplyReport records the report of another gateway, and returns whether it was accepted. A peer of the zone
// must be listed with this incarnation, and its report must be newer than its last one. The same holds for the gateway
// that reports for another zone of the region.
func (p *Peers) ApplyReport(report *v1.GatewayLoad) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if report.GetZone() != p.zone {
		return p.applyZoneReport(report)
	}
	peer, ok := p.peers[report.GetGateway()]
	if !ok || peer.gateway.Incarnation != report.GetIncarnation() {
		return false
	}
	if peer.report != nil && report.GetSeq() <= peer.report.GetSeq() {
		return false
	}
	peer.running = smoothRunning(peer.running, report)
	peer.reportInterval = maxReportTimeout
	if peer.report != nil {
		peer.reportInterval = p.now().Sub(peer.reportedAt)
	}
	peer.report = report
	peer.reportedAt = p.now()
	peer.freeSlots = freeSlots(report)
	peer.freeRights = freeRights(report)
	peer.refusedTeams = map[poolTeam]bool{}
	p.sumRunning()
	return true
}

// applyZoneReport records the report that a gateway of another zone sent for its whole zone.
func (p *Peers) applyZoneReport(report *v1.GatewayLoad) bool {
	isSender := func(gateway structs.GatewayEntry) bool {
		return gateway.Name == report.GetGateway() && gateway.Incarnation == report.GetIncarnation()
	}
	if !slices.ContainsFunc(p.zoneGateways[report.GetZone()], isSender) {
		return false
	}
	zone, ok := p.zones[report.GetZone()]
	if !ok {
		zone = &zoneState{}
		p.zones[report.GetZone()] = zone
	}
	if last := zone.report; last.GetGateway() == report.GetGateway() && last.GetIncarnation() == report.GetIncarnation() && report.GetSeq() <= last.GetSeq() {
		return false
	}
	zone.running = smoothRunning(zone.running, report)
	zone.report, zone.reportedAt, zone.freeSlots = report, p.now(), freeSlots(report)
	p.sumRunning()
	return true
}

// freeSlots returns the free slots by pool.
func freeSlots(report *v1.GatewayLoad) map[string]int {
	slots := make(map[string]int, len(report.GetPools()))
	for _, pool := range report.GetPools() {
		slots[pool.GetPool()] = int(min(pool.GetFreeSlots(), maxReportedCount))
	}
	return slots
}

// freeRights returns the free rights by team.
func freeRights(report *v1.GatewayLoad) map[string]int {
	rights := make(map[string]int, len(report.GetRights()))
	for _, right := range report.GetRights() {
		rights[right.GetTeam()] = int(min(right.GetFree(), maxReportedCount))
	}
	return rights
}

// maxReportedCount caps each reported number, so that a faulty report can't overflow sums.
const maxReportedCount = 1 << 30

// SetLocalRunning sets the requests that this gateway itself runs.
func (p *Peers) SetLocalRunning(loads []queue.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.localRunning)
	for _, load := range loads {
		p.localRunning[poolTeam{load.Pool, load.Team}] = float64(load.Running)
	}
}

// sumRunning replaces runningElsewhere by the sum of all reports that have not timed out.
func (p *Peers) sumRunning() {
	sums := map[poolTeam]float64{}
	for _, peer := range p.peers {
		if p.hasRecentReport(peer) {
			addRunning(sums, peer.running)
		}
	}
	for _, zone := range p.zones {
		if p.now().Sub(zone.reportedAt) < zoneReportTimeout {
			addRunning(sums, zone.running)
		}
	}
	p.runningElsewhere.Store(&sums)
}

// addRunning adds the counts of running to sums.
func addRunning(sums, running map[poolTeam]float64) {
	for key, count := range running {
		sums[key] += count
	}
}

// newestReportWeight is the weight of the newest report in the smoothed counts. Requests are shorter than
// the interval between reports, so a count is soon outdated. If all gateways acted on the newest count
// alone, they would all serve the same team at once, and all stop serving it after the next exchange.
const newestReportWeight = 0.5

// minSmoothedRunning is the smoothed count at or below which a team is dropped from the counts.
const minSmoothedRunning = 0.05

// smoothRunning returns the smoothed counts after a new report. If previous is nil, the report is the
// first one and its counts are used unsmoothed.
func smoothRunning(previous map[poolTeam]float64, report *v1.GatewayLoad) map[poolTeam]float64 {
	smoothed := make(map[poolTeam]float64, len(report.GetTeams()))
	weight := newestReportWeight
	if previous == nil {
		weight = 1
	}
	for key, count := range previous {
		if remaining := count * (1 - weight); remaining > minSmoothedRunning {
			smoothed[key] = remaining
		}
	}
	for _, team := range report.GetTeams() {
		smoothed[poolTeam{team.GetPool(), team.GetTeam()}] += weight * float64(min(team.GetRunning(), maxReportedCount))
	}
	return smoothed
}

// hasRecentReport reports whether the last report of the peer has not timed out.
func (p *Peers) hasRecentReport(peer *peerState) bool {
	timeout := min(max(reportTimeoutIntervals*peer.reportInterval, minReportTimeout), maxReportTimeout)
	return peer.report != nil && p.now().Sub(peer.reportedAt) < timeout
}

// RunningElsewhere implements queue.FleetUsage.
func (p *Peers) RunningElsewhere(pool, team string) float64 {
	return (*p.runningElsewhere.Load())[poolTeam{pool, team}]
}

// SetDraining records that this gateway is leaving, so that it no longer owns slots.
func (p *Peers) SetDraining() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
}

// Members returns the gateways of the zone that own slots: this one and the peers with a recent report,
// except those that are leaving. If there are none, this gateway owns all slots even while it is leaving.
func (p *Peers) Members() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sumRunning()
	var members []string
	for name, peer := range p.peers {
		if p.hasRecentReport(peer) && !peer.report.GetDraining() {
			members = append(members, name)
		}
	}
	if !p.draining || len(members) == 0 {
		members = append(members, p.self)
	}
	return members
}
