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
	silentGaps = 4
	minSilence = 1500 * time.Millisecond
	maxSilence = 3 * MaxInterval
	// zoneSilence is five exchanges with another zone.
	zoneSilence = 5 * zoneInterval
)

// poolTeam names one team in one pool.
type poolTeam struct{ pool, team string }

// peer is another gateway of the zone. The lock of the table guards it.
type peer struct {
	entry   structs.GatewayEntry
	load    *v1.GatewayLoad
	heardAt time.Time
	// gap is the time between the last two reports.
	gap time.Duration
	// slots and rights are what the peer reported as free, less what was forwarded since.
	slots  map[string]int
	rights map[string]int
	// barred holds what the peer refused since its last report.
	barred map[poolTeam]bool
	// running is the smoothed number of running requests.
	running map[poolTeam]float64
	// sent counts the forwarded requests in progress that may wait in the peer's queue.
	sent map[poolTeam]int
}

// zoneReport is what another zone of the region reports.
type zoneReport struct {
	load    *v1.GatewayLoad
	heardAt time.Time
	slots   map[string]int
	running map[poolTeam]float64
}

// Peers is the table of other gateways.
type Peers struct {
	self, zone string
	region     []string
	now        func() time.Time

	// elsewhere is rebuilt after each report and read for each pick of the queue.
	elsewhere atomic.Pointer[map[poolTeam]float64]

	mu       sync.Mutex
	random   *rand.Rand
	snapshot *fleet.Snapshot
	peers    map[string]*peer
	zones    map[string]*zoneReport
	// remote are the joined gateways of the other zones of the region.
	remote map[string][]structs.GatewayEntry
	// local is what this gateway itself ran at the last exchange.
	local map[poolTeam]float64
	// draining is set while this gateway leaves.
	draining bool
}

// NewPeers returns an empty table. region lists the other availability zones of the region.
func NewPeers(self, zone string, region []string, seed uint64, now func() time.Time) *Peers {
	p := &Peers{
		self: self, zone: zone, region: region, now: now,
		random:   rand.New(rand.NewPCG(seed, seed)),
		snapshot: fleet.NewSnapshot(&structs.View{}, time.Time{}),
		peers:    map[string]*peer{},
		zones:    map[string]*zoneReport{},
		remote:   map[string][]structs.GatewayEntry{},
		local:    map[poolTeam]float64{},
	}
	p.elsewhere.Store(&map[poolTeam]float64{})
	return p
}

// ApplySnapshot takes the gateways of a new view.
func (p *Peers) ApplySnapshot(snapshot *fleet.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshot = snapshot
	before := p.peers
	p.peers = map[string]*peer{}
	clear(p.remote)
	for _, entry := range snapshot.View.Gateways {
		switch {
		case entry.Suspected || entry.Name == p.self:
		case entry.Zone == p.zone:
			p.peers[entry.Name] = keepPeer(before[entry.Name], entry)
		case slices.Contains(p.region, entry.Zone):
			p.remote[entry.Zone] = append(p.remote[entry.Zone], entry)
		}
	}
	p.rebuild()
}

// keepPeer returns the peer for entry, with its last report unless it has restarted.
func keepPeer(old *peer, entry structs.GatewayEntry) *peer {
	if old == nil || old.entry.Incarnation != entry.Incarnation {
		old = &peer{sent: map[poolTeam]int{}}
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
		return p.heardZone(load)
	}
	known, ok := p.peers[load.GetGateway()]
	if !ok || known.entry.Incarnation != load.GetIncarnation() {
		return false
	}
	if known.load != nil && load.GetSeq() <= known.load.GetSeq() {
		return false
	}
	known.running = smooth(known.running, load)
	known.gap = maxSilence
	if known.load != nil {
		known.gap = p.now().Sub(known.heardAt)
	}
	known.load = load
	known.heardAt = p.now()
	known.slots = freeSlots(load)
	known.rights = freeRights(load)
	known.barred = map[poolTeam]bool{}
	p.rebuild()
	return true
}

func (p *Peers) heardZone(load *v1.GatewayLoad) bool {
	if !slices.Contains(p.region, load.GetZone()) {
		return false
	}
	report, ok := p.zones[load.GetZone()]
	if !ok {
		report = &zoneReport{}
		p.zones[load.GetZone()] = report
	}
	report.running = smooth(report.running, load)
	report.load, report.heardAt, report.slots = load, p.now(), freeSlots(load)
	p.rebuild()
	return true
}

func freeSlots(load *v1.GatewayLoad) map[string]int {
	slots := make(map[string]int, len(load.GetPools()))
	for _, pool := range load.GetPools() {
		slots[pool.GetPool()] = int(min(pool.GetFreeSlots(), maxReported))
	}
	return slots
}

func freeRights(load *v1.GatewayLoad) map[string]int {
	rights := make(map[string]int, len(load.GetRights()))
	for _, right := range load.GetRights() {
		rights[right.GetTeam()] = int(min(right.GetFree(), maxReported))
	}
	return rights
}

// maxReported bounds reported numbers, so that a faulty report can't overflow sums.
const maxReported = 1 << 30

// SetLocalRunning takes what this gateway itself runs.
func (p *Peers) SetLocalRunning(loads []queue.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.local)
	for _, load := range loads {
		p.local[poolTeam{load.Pool, load.Team}] = float64(load.Running)
	}
}

// rebuild sums the reports that are still in use.
func (p *Peers) rebuild() {
	sums := map[poolTeam]float64{}
	for _, known := range p.peers {
		if p.audible(known) {
			addTeams(sums, known.running)
		}
	}
	for _, report := range p.zones {
		if p.now().Sub(report.heardAt) < zoneSilence {
			addTeams(sums, report.running)
		}
	}
	p.elsewhere.Store(&sums)
}

func addTeams(sums, running map[poolTeam]float64) {
	for subject, count := range running {
		sums[subject] += count
	}
}

// newestWeight is the weight of the newest report in the smoothed counts. Requests are shorter than
// the interval of the exchange; if all gateways acted on the newest count alone, they would all
// serve the same team at once, and all turn away from it after the next exchange.
const newestWeight = 0.5

// forgotten is the smoothed count below which a team isn't kept.
const forgotten = 0.05

// smooth returns the smoothed counts after a new report; the first one, with before nil, counts as it is.
func smooth(before map[poolTeam]float64, load *v1.GatewayLoad) map[poolTeam]float64 {
	after := make(map[poolTeam]float64, len(load.GetTeams()))
	weight := newestWeight
	if before == nil {
		weight = 1
	}
	for subject, count := range before {
		if rest := count * (1 - weight); rest > forgotten {
			after[subject] = rest
		}
	}
	for _, team := range load.GetTeams() {
		after[poolTeam{team.GetPool(), team.GetTeam()}] += weight * float64(min(team.GetRunning(), maxReported))
	}
	return after
}

// audible reports whether the peer was heard recently.
func (p *Peers) audible(known *peer) bool {
	silence := min(max(silentGaps*known.gap, minSilence), maxSilence)
	return known.load != nil && p.now().Sub(known.heardAt) < silence
}

// RunningElsewhere implements queue.Elsewhere.
func (p *Peers) RunningElsewhere(pool, team string) float64 {
	return (*p.elsewhere.Load())[poolTeam{pool, team}]
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
	p.rebuild()
	var members []string
	for name, known := range p.peers {
		if p.audible(known) && !known.load.GetDraining() {
			members = append(members, name)
		}
	}
	if !p.draining || len(members) == 0 {
		members = append(members, p.self)
	}
	return members
}
