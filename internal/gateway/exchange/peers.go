// Package exchange tells the other gateways what this one runs and has free, and keeps the table
// of what they report.
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

// Silences after which reports aren't used any more.
const (
	// A peer may miss silentGaps of its usual reports, so that one lost exchange doesn't move slots.
	// minSilence keeps a pause of the process from moving them, and maxSilence bounds the time for
	// which the slots of a lost gateway are idle.
	reportTimeoutIntervals = 4
	minReportTimeout       = 1500 * time.Millisecond
	maxReportTimeout       = 3 * MaxInterval
	// zoneReportTimeout is five exchanges with another zone.
	zoneReportTimeout = 5 * otherZoneInterval
)

// poolTeam names one team in one pool.
type poolTeam struct{ pool, team string }

// peerState is another gateway of the zone. The lock of the table guards it.
type peerState struct {
	entry   structs.GatewayEntry
	load    *v1.GatewayLoad
	heardAt time.Time
	// reportInterval is the time between the last two reports.
	reportInterval time.Duration
	// freeSlots and rights are what the peer reported as free, less what was forwarded since.
	freeSlots  map[string]int
	freeRights map[string]int
	// refusedTeams holds what the peer refused since its last report.
	refusedTeams map[poolTeam]bool
	// running is the smoothed number of running requests.
	running map[poolTeam]float64
	// sentToWait counts the forwarded requests in progress that may wait in the peer's queue.
	sentToWait map[poolTeam]int
}

// zoneReport is what another zone of the region reports.
type zoneReport struct {
	load      *v1.GatewayLoad
	heardAt   time.Time
	freeSlots map[string]int
	running   map[poolTeam]float64
}

// Peers is the table of other gateways.
type Peers struct {
	self, zone string
	otherZones []string
	now        func() time.Time

	// runningElsewhere is rebuilt after each report and read for each pick of the queue.
	runningElsewhere atomic.Pointer[map[poolTeam]float64]

	mu          sync.Mutex
	random      *rand.Rand
	snapshot    *fleet.Snapshot
	peers       map[string]*peerState
	zoneReports map[string]*zoneReport
	// zoneGateways are the joined gateways of the other zones of the region.
	zoneGateways map[string][]structs.GatewayEntry
	// localRunning is what this gateway itself ran at the last exchange.
	localRunning map[poolTeam]float64
	// draining is set while this gateway leaves.
	draining bool
}

// NewPeers returns an empty table. region lists the other availability zones of the region.
func NewPeers(self, zone string, region []string, seed uint64, now func() time.Time) *Peers {
	p := &Peers{
		self: self, zone: zone, otherZones: region, now: now,
		random:       rand.New(rand.NewPCG(seed, seed)),
		snapshot:     fleet.NewSnapshot(&structs.View{}, time.Time{}),
		peers:        map[string]*peerState{},
		zoneReports:  map[string]*zoneReport{},
		zoneGateways: map[string][]structs.GatewayEntry{},
		localRunning: map[poolTeam]float64{},
	}
	p.runningElsewhere.Store(&map[poolTeam]float64{})
	return p
}

// ApplySnapshot takes the gateways of a new view.
func (p *Peers) ApplySnapshot(snapshot *fleet.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshot = snapshot
	before := p.peers
	p.peers = map[string]*peerState{}
	clear(p.zoneGateways)
	for _, entry := range snapshot.View.Gateways {
		switch {
		case entry.Suspected || entry.Name == p.self:
		case entry.Zone == p.zone:
			p.peers[entry.Name] = updatePeer(before[entry.Name], entry)
		case slices.Contains(p.otherZones, entry.Zone):
			p.zoneGateways[entry.Zone] = append(p.zoneGateways[entry.Zone], entry)
		}
	}
	p.sumRunning()
}

// updatePeer returns the peer for entry, with its last report unless it has restarted.
func updatePeer(old *peerState, entry structs.GatewayEntry) *peerState {
	if old == nil || old.entry.Incarnation != entry.Incarnation {
		old = &peerState{sentToWait: map[poolTeam]int{}}
	}
	next := *old
	next.entry = entry
	return &next
}

// ApplyReport takes the report of a peer, and returns whether it is a new one of a known process life.
func (p *Peers) ApplyReport(load *v1.GatewayLoad) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if load.GetZone() != p.zone {
		return p.applyZoneReport(load)
	}
	known, ok := p.peers[load.GetGateway()]
	if !ok || known.entry.Incarnation != load.GetIncarnation() {
		return false
	}
	if known.load != nil && load.GetSeq() <= known.load.GetSeq() {
		return false
	}
	known.running = smoothRunning(known.running, load)
	known.reportInterval = maxReportTimeout
	if known.load != nil {
		known.reportInterval = p.now().Sub(known.heardAt)
	}
	known.load = load
	known.heardAt = p.now()
	known.freeSlots = freeSlots(load)
	known.freeRights = freeRights(load)
	known.refusedTeams = map[poolTeam]bool{}
	p.sumRunning()
	return true
}

func (p *Peers) applyZoneReport(load *v1.GatewayLoad) bool {
	if !slices.Contains(p.otherZones, load.GetZone()) {
		return false
	}
	report, ok := p.zoneReports[load.GetZone()]
	if !ok {
		report = &zoneReport{}
		p.zoneReports[load.GetZone()] = report
	}
	report.running = smoothRunning(report.running, load)
	report.load, report.heardAt, report.freeSlots = load, p.now(), freeSlots(load)
	p.sumRunning()
	return true
}

func freeSlots(load *v1.GatewayLoad) map[string]int {
	slots := make(map[string]int, len(load.GetPools()))
	for _, pool := range load.GetPools() {
		slots[pool.GetPool()] = int(min(pool.GetFreeSlots(), maxReportedCount))
	}
	return slots
}

func freeRights(load *v1.GatewayLoad) map[string]int {
	rights := make(map[string]int, len(load.GetRights()))
	for _, right := range load.GetRights() {
		rights[right.GetTeam()] = int(min(right.GetFree(), maxReportedCount))
	}
	return rights
}

// maxReportedCount bounds reported numbers, so that a faulty report can't overflow sums.
const maxReportedCount = 1 << 30

// SetLocalRunning takes what this gateway itself runs.
func (p *Peers) SetLocalRunning(loads []queue.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.localRunning)
	for _, load := range loads {
		p.localRunning[poolTeam{load.Pool, load.Team}] = float64(load.Running)
	}
}

// sumRunning sums the reports that are still in use.
func (p *Peers) sumRunning() {
	sums := map[poolTeam]float64{}
	for _, known := range p.peers {
		if p.heardRecently(known) {
			addRunning(sums, known.running)
		}
	}
	for _, report := range p.zoneReports {
		if p.now().Sub(report.heardAt) < zoneReportTimeout {
			addRunning(sums, report.running)
		}
	}
	p.runningElsewhere.Store(&sums)
}

func addRunning(sums, running map[poolTeam]float64) {
	for subject, count := range running {
		sums[subject] += count
	}
}

// newestReportWeight is the weight of the newest report in the smoothed counts. Requests are shorter than
// the interval of the exchange; if all gateways acted on the newest count alone, they would all
// serve the same team at once, and all turn away from it after the next exchange.
const newestReportWeight = 0.5

// minSmoothedRunning is the smoothed count below which a team isn't kept.
const minSmoothedRunning = 0.05

// smoothRunning returns the smoothed counts after a new report; the first one, with before nil, counts as it is.
func smoothRunning(before map[poolTeam]float64, load *v1.GatewayLoad) map[poolTeam]float64 {
	after := make(map[poolTeam]float64, len(load.GetTeams()))
	weight := newestReportWeight
	if before == nil {
		weight = 1
	}
	for subject, count := range before {
		if rest := count * (1 - weight); rest > minSmoothedRunning {
			after[subject] = rest
		}
	}
	for _, team := range load.GetTeams() {
		after[poolTeam{team.GetPool(), team.GetTeam()}] += weight * float64(min(team.GetRunning(), maxReportedCount))
	}
	return after
}

// heardRecently reports whether the peer was heard recently.
func (p *Peers) heardRecently(known *peerState) bool {
	silence := min(max(reportTimeoutIntervals*known.reportInterval, minReportTimeout), maxReportTimeout)
	return known.load != nil && p.now().Sub(known.heardAt) < silence
}

// RunningElsewhere implements queue.Elsewhere.
func (p *Peers) RunningElsewhere(pool, team string) float64 {
	return (*p.runningElsewhere.Load())[poolTeam{pool, team}]
}

// SetDraining notes that this gateway leaves, so that it owns no slots any more.
func (p *Peers) SetDraining() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
}

// Members returns the gateways of the zone that own slots: those heard recently that don't leave,
// and this one. A gateway that hears nobody owns all slots, also while it leaves.
func (p *Peers) Members() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sumRunning()
	var members []string
	for name, known := range p.peers {
		if p.heardRecently(known) && !known.load.GetDraining() {
			members = append(members, name)
		}
	}
	if !p.draining || len(members) == 0 {
		members = append(members, p.self)
	}
	return members
}
