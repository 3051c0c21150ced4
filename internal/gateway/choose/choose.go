// Package choose places requests: it acquires the right of the team and a slot of an endpoint, or picks another
// gateway to forward the request to.
package choose

import (
	"sync"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/endpoints"
	"turmericyoke/internal/gateway/pipe"
	"turmericyoke/internal/gateway/queue"
	"turmericyoke/internal/rights"
)

// Limits on spill, that is, on requests that other availability zones forward because no slot is free there.
// They are in percent of the slots of a pool that this gateway owns. Each gateway of a zone enforces them, so
// they hold for the zone as a whole.
const (
	// SpillMaxBusyPercent is the percentage of busy slots at which the gateway stops accepting requests from
	// other zones.
	SpillMaxBusyPercent = 70
	// SpillMaxSlotPercent is the largest percentage of slots that may run requests from other zones.
	SpillMaxSlotPercent = 20
)

// maxHops is the largest number of times that a request is forwarded: to a peer with a right, and from there to
// a peer with a slot.
const maxHops = 2

// Peers picks gateways to forward requests to. Each method returns nil if no gateway is suitable.
type Peers interface {
	// PickWithFreeSlot picks a peer of the zone that reports a free slot of the pool. It picks none if another
	// gateway has waiting requests of a team that is further below its share than the given one.
	PickWithFreeSlot(pool, team string) *pipe.Peer
	// PickWithRight picks a peer of the zone that reports a free right of the team. If there is none and this
	// gateway holds no right of the team, it picks one that holds rights of the team, where the request can wait
	// until one becomes free.
	PickWithRight(team, pool string) *pipe.Peer
	// PickAboveShare picks a peer of the zone that has a free right of the team, and on whose slots other teams
	// run requests that are further above their shares than this team.
	PickAboveShare(pool, team string) *pipe.Peer
	// PickForSpill picks a gateway of another zone of the region that reports less than SpillMaxBusyPercent of its
	// slots of the pool as busy.
	PickForSpill(pool string) *pipe.Peer
}

// Slots manages the endpoint slots that this gateway owns.
type Slots interface {
	// TakeSlot takes a free slot of the pool on any host but excludedHost. It returns nil if there is none.
	TakeSlot(pool, excludedHost string) pipe.Slot
	// SlotCounts returns the numbers of owned and free slots of the pool.
	SlotCounts(pool string) endpoints.SlotCounts
}

// Placer implements queue.Placer.
type Placer struct {
	slots  Slots
	rights rights.Source
	peers  Peers

	mu sync.Mutex
	// runningFromOtherZones counts the running requests from other zones by pool.
	runningFromOtherZones map[string]int
}

// New returns a placer.
func New(slots Slots, source rights.Source, peers Peers) *Placer {
	return &Placer{slots: slots, rights: source, peers: peers, runningFromOtherZones: map[string]int{}}
}

// Place implements queue.Placer. A forwarded request whose right the forwarding gateway keeps only needs a slot.
// Other requests need a right first, and then a slot of this gateway or of a peer.
func (p *Placer) Place(r *pipe.Request) queue.PlaceResult {
	r.Placement = pipe.Placement{}
	if r.Forwarded && r.RightHeld {
		return p.placeWithHeldRight(r)
	}
	right, err := p.rights.Acquire(r.Team)
	if err != nil {
		return p.placeWithoutRight(r, err)
	}
	if slot := p.slots.TakeSlot(r.PoolName, r.ExcludedHost); slot != nil {
		r.Placement = pipe.Placement{Slot: slot, Right: &right}
		return queue.Placed
	}
	if peer := p.peerWithSlot(r); peer != nil {
		r.Placement = pipe.Placement{Peer: peer, Right: &right}
		return queue.Placed
	}
	right.Release()
	return p.placeWithoutSlot(r)
}

// placeWithHeldRight takes a slot for a request whose right the forwarding gateway keeps.
func (p *Placer) placeWithHeldRight(r *pipe.Request) queue.PlaceResult {
	if r.CrossedZone && !p.admitFromOtherZone(r.PoolName) {
		return queue.NoSlot
	}
	slot := p.slots.TakeSlot(r.PoolName, r.ExcludedHost)
	if slot == nil {
		p.countEndedFromOtherZone(r)
		return queue.NoSlot
	}
	r.Placement = pipe.Placement{Slot: slot}
	return queue.Placed
}

// admitFromOtherZone adds a request to the count of requests from other zones, or returns false if a limit
// doesn't permit one more.
func (p *Placer) admitFromOtherZone(pool string) bool {
	counts := p.slots.SlotCounts(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	busy := counts.Owned - counts.Free
	if busy*100 >= counts.Owned*SpillMaxBusyPercent || (p.runningFromOtherZones[pool]+1)*100 > counts.Owned*SpillMaxSlotPercent {
		return false
	}
	p.runningFromOtherZones[pool]++
	return true
}

// countEndedFromOtherZone removes r from the count of requests from other zones, if it is one of them.
func (p *Placer) countEndedFromOtherZone(r *pipe.Request) {
	if !r.CrossedZone || !r.Forwarded {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runningFromOtherZones[r.PoolName]--
}

// AttemptEnded must be called when the attempt to run a placed request has ended.
func (p *Placer) AttemptEnded(r *pipe.Request) { p.countEndedFromOtherZone(r) }

// peerWithSlot picks a gateway with a free slot for a request whose right this gateway keeps: a peer of the
// zone, or else a gateway of another zone. A request that came from another zone isn't forwarded again.
func (p *Placer) peerWithSlot(r *pipe.Request) *pipe.Peer {
	if r.Hops >= maxHops || r.CrossedZone {
		return nil
	}
	peer := p.peers.PickWithFreeSlot(r.PoolName, r.Team)
	if peer == nil {
		peer = p.peers.PickForSpill(r.PoolName)
	}
	if peer != nil {
		peer.RightHeld = true
	}
	return peer
}

// placeWithoutRight places r on a peer that has a right of the team. Only the gateway that accepted r from the
// caller does so. err is the reason that this gateway has no right.
func (p *Placer) placeWithoutRight(r *pipe.Request, err *fault.Error) queue.PlaceResult {
	if r.Hops == 0 {
		if peer := p.peers.PickWithRight(r.Team, r.PoolName); peer != nil {
			r.Placement = pipe.Placement{Peer: peer}
			return queue.Placed
		}
	}
	if err.Kind == fault.LeaseLapsed {
		return queue.NoLease
	}
	return queue.NoRight
}

// placeWithoutSlot places r on a peer whose slots run teams that are further above their shares. Only the
// gateway that accepted r from the caller does so.
func (p *Placer) placeWithoutSlot(r *pipe.Request) queue.PlaceResult {
	if r.Hops == 0 {
		if peer := p.peers.PickAboveShare(r.PoolName, r.Team); peer != nil {
			r.Placement = pipe.Placement{Peer: peer}
			return queue.Placed
		}
	}
	if r.ExcludedHost != "" {
		return queue.NoOtherEndpoint
	}
	return queue.NoSlot
}
