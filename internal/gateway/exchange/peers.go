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
	// peerSilence is three of the longest exchange intervals: one lost exchange doesn't move slots.
	peerSilence = 3 * MaxInterval
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
	// slots and rights are what the peer reported as free, less what was forwarded since.
	slots  map[string]int
	rights map[string]int
	// barred holds what the peer refused since its last report.
	barred map[poolTeam]bool
	// sent counts the forwarded requests in progress that may wait in the peer's queue.
	sent map[poolTeam]int
}

// zoneReport is what another zone of the region reports.
type zoneReport struct {
	load    *v1.GatewayLoad
	heardAt time.Time
	slots   map[string]int
}

// Peers is the table of other gateways.
type Peers struct {
	self, zone string
	region     []string
	now        func() time.Time

	// elsewhere is rebuilt after each report and read for each pick of the queue.
	elsewhere atomic.Pointer[map[poolTeam]uint64]

	mu       sync.Mutex
	random   *rand.Rand
	snapshot *fleet.Snapshot
	peers    map[string]*peer
	zones    map[string]*zoneReport
	// remote are the joined gateways of the other zones of the region.
	remote map[string][]structs.GatewayEntry
	// local is what this gateway itself ran at the last exchange.
	local map[poolTeam]uint64
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
		local:    map[poolTeam]uint64{},
	}
	p.elsewhere.Store(&map[poolTeam]uint64{})
	return p
}

// Adopt takes the gateways of a new view.
func (p *Peers) Adopt(snapshot *fleet.Snapshot) {
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

// Heard takes the report of a peer, and returns whether it is a new one of a known process life.
func (p *Peers) Heard(load *v1.GatewayLoad) bool {
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
	p.zones[load.GetZone()] = &zoneReport{load: load, heardAt: p.now(), slots: freeSlots(load)}
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

// SetLocal takes what this gateway itself runs.
func (p *Peers) SetLocal(loads []queue.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.local)
	for _, load := range loads {
		p.local[poolTeam{load.Pool, load.Team}] = load.Running
	}
}

// rebuild sums the reports that are still in use.
func (p *Peers) rebuild() {
	sums := map[poolTeam]uint64{}
	for _, known := range p.peers {
		if p.audible(known) {
			addTeams(sums, known.load)
		}
	}
	for _, report := range p.zones {
		if p.now().Sub(report.heardAt) < zoneSilence {
			addTeams(sums, report.load)
		}
	}
	p.elsewhere.Store(&sums)
}

func addTeams(sums map[poolTeam]uint64, load *v1.GatewayLoad) {
	for _, team := range load.GetTeams() {
		sums[poolTeam{team.GetPool(), team.GetTeam()}] += min(team.GetRunning(), maxReported)
	}
}

// audible reports whether the peer was heard recently.
func (p *Peers) audible(known *peer) bool {
	return known.load != nil && p.now().Sub(known.heardAt) < peerSilence
}

// RunningElsewhere implements queue.Elsewhere.
func (p *Peers) RunningElsewhere(pool, team string) uint64 {
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
