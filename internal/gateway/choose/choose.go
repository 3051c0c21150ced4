// Package choose takes a right and a place for a request when it leaves the queue.
package choose

import (
	"sync"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/endpoints"
	"turmericyoke/internal/gateway/pipe"
	"turmericyoke/internal/gateway/queue"
	"turmericyoke/internal/rights"
)

// Bounds of work from other availability zones, in percent of the slots that this gateway owns.
// Each gateway of a zone keeps them, so the zone as a whole does.
const (
	// SpillBusyPercent is the part of busy slots at which no further work from other zones is taken.
	SpillBusyPercent = 70
	// SpillSlotPercent bounds the slots that work from other zones has.
	SpillSlotPercent = 20
)

// maxHops bounds the gateways that pass a request on: one to a peer with a right, and one from
// there to a peer with a slot.
const maxHops = 2

// Peers picks gateways to forward to. Each method returns nil when none fits.
type Peers interface {
	// WithSlot picks a peer of the zone that reports a free slot of the pool.
	WithSlot(pool, team string) *pipe.Peer
	// WithRight picks a peer of the zone that reports a free right of the team, or else holds some.
	WithRight(team, pool string) *pipe.Peer
	// AboveShare picks a peer of the zone whose slots serve teams that are further above their
	// share than the team.
	AboveShare(pool, team string) *pipe.Peer
	// Spill picks a peer in another zone of the region that reports few busy slots of the pool.
	Spill(pool string) *pipe.Peer
}

// Slots are the slots of endpoints that this gateway owns.
type Slots interface {
	// Take takes a free slot of the pool on another host than avoid, or returns nil.
	Take(pool, avoid string) pipe.Slot
	// Room returns the slots of the pool.
	Room(pool string) endpoints.SlotCounts
}

// Chooser places requests. It implements queue.Placer.
type Chooser struct {
	slots  Slots
	rights rights.Source
	peers  Peers

	mu sync.Mutex
	// crossed counts the running requests from other zones, by pool.
	crossed map[string]int
}

// New returns a chooser.
func New(slots Slots, source rights.Source, peers Peers) *Chooser {
	return &Chooser{slots: slots, rights: source, peers: peers, crossed: map[string]int{}}
}

// Place implements queue.Placer.
func (c *Chooser) Place(r *pipe.Request) queue.PlaceResult {
	r.Placement = pipe.Placement{}
	if r.Forwarded && r.RightHeld {
		return c.placeSlot(r)
	}
	use, err := c.rights.Acquire(r.Team)
	if err != nil {
		return c.placeWithoutRight(r, err)
	}
	if slot := c.slots.Take(r.PoolName, r.Avoid); slot != nil {
		r.Placement = pipe.Placement{Slot: slot, Right: &use}
		return queue.Placed
	}
	if peer := c.peerWithSlot(r); peer != nil {
		r.Placement = pipe.Placement{Peer: peer, Right: &use}
		return queue.Placed
	}
	use.Release()
	return c.placeWithoutSlot(r)
}

// placeSlot takes a slot for a request whose right the sender keeps.
func (c *Chooser) placeSlot(r *pipe.Request) queue.PlaceResult {
	if r.CrossedZone && !c.admitCrossed(r.PoolName) {
		return queue.NoSlot
	}
	slot := c.slots.Take(r.PoolName, r.Avoid)
	if slot == nil {
		c.endCrossed(r)
		return queue.NoSlot
	}
	r.Placement = pipe.Placement{Slot: slot}
	return queue.Placed
}

// admitCrossed counts one more request from another zone if the bounds permit it.
func (c *Chooser) admitCrossed(pool string) bool {
	room := c.slots.Room(pool)
	c.mu.Lock()
	defer c.mu.Unlock()
	busy := room.Owned - room.Free
	if busy*100 >= room.Owned*SpillBusyPercent || (c.crossed[pool]+1)*100 > room.Owned*SpillSlotPercent {
		return false
	}
	c.crossed[pool]++
	return true
}

func (c *Chooser) endCrossed(r *pipe.Request) {
	if !r.CrossedZone || !r.Forwarded {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crossed[r.PoolName]--
}

// Ended notes that a placed request no longer runs.
func (c *Chooser) Ended(r *pipe.Request) { c.endCrossed(r) }

// peerWithSlot picks a peer for a request whose right this gateway keeps: of the own zone first,
// then of another one. A request that another zone sent isn't passed on.
func (c *Chooser) peerWithSlot(r *pipe.Request) *pipe.Peer {
	if r.Hops >= maxHops || r.CrossedZone {
		return nil
	}
	peer := c.peers.WithSlot(r.PoolName, r.Team)
	if peer == nil {
		peer = c.peers.Spill(r.PoolName)
	}
	if peer != nil {
		peer.RightHeld = true
	}
	return peer
}

// placeWithoutRight forwards r to a gateway that has a right. Only the gateway that accepted r does so.
func (c *Chooser) placeWithoutRight(r *pipe.Request, err *fault.Error) queue.PlaceResult {
	if r.Hops == 0 {
		if peer := c.peers.WithRight(r.Team, r.PoolName); peer != nil {
			r.Placement = pipe.Placement{Peer: peer}
			return queue.Placed
		}
	}
	if err.Kind == fault.LeaseLapsed {
		return queue.NoLease
	}
	return queue.NoRight
}

// placeWithoutSlot forwards r to a gateway whose slots serve teams that are further above their share.
func (c *Chooser) placeWithoutSlot(r *pipe.Request) queue.PlaceResult {
	if r.Hops == 0 {
		if peer := c.peers.AboveShare(r.PoolName, r.Team); peer != nil {
			r.Placement = pipe.Placement{Peer: peer}
			return queue.Placed
		}
	}
	if r.Avoid != "" {
		return queue.NoOtherEndpoint
	}
	return queue.NoSlot
}
