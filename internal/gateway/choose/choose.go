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
	// SpillMaxBusyPercent is the part of busy slots at which no further work from other zones is taken.
	SpillMaxBusyPercent = 70
	// SpillMaxSlotPercent bounds the slots that work from other zones has.
	SpillMaxSlotPercent = 20
)

// maxHops bounds the gateways that pass a request on: one to a peer with a right, and one from
// there to a peer with a slot.
const maxHops = 2

// Peers picks gateways to forward to. Each method returns nil when none fits.
type Peers interface {
	// PickWithFreeSlot picks a peer of the zone that reports a free slot of the pool.
	PickWithFreeSlot(pool, team string) *pipe.Peer
	// PickWithRight picks a peer of the zone that reports a free right of the team, or else holds some.
	PickWithRight(team, pool string) *pipe.Peer
	// PickAboveShare picks a peer of the zone whose slots serve teams that are further above their
	// share than the team.
	PickAboveShare(pool, team string) *pipe.Peer
	// PickForSpill picks a peer in another zone of the region that reports few busy slots of the pool.
	PickForSpill(pool string) *pipe.Peer
}

// Slots are the slots of endpoints that this gateway owns.
type Slots interface {
	// TakeSlot takes a free slot of the pool on another host than avoid, or returns nil.
	TakeSlot(pool, avoid string) pipe.Slot
	// SlotCounts returns the slots of the pool.
	SlotCounts(pool string) endpoints.Room
}

// Placer places requests. It implements queue.Placer.
type Placer struct {
	slots  Slots
	rights rights.Source
	peers  Peers

	mu sync.Mutex
	// crossed counts the running requests from other zones, by pool.
	crossed map[string]int
}

// New returns a chooser.
func New(slots Slots, source rights.Source, peers Peers) *Placer {
	return &Placer{slots: slots, rights: source, peers: peers, crossed: map[string]int{}}
}

// Place implements queue.Placer.
func (c *Placer) Place(r *pipe.Request) queue.Verdict {
	r.Placement = pipe.Placement{}
	if r.Forwarded && r.RightHeld {
		return c.placeSlot(r)
	}
	use, err := c.rights.Acquire(r.Team)
	if err != nil {
		return c.placeWithoutRight(r, err)
	}
	if slot := c.slots.TakeSlot(r.PoolName, r.ExcludedHost); slot != nil {
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
func (c *Placer) placeSlot(r *pipe.Request) queue.Verdict {
	if r.CrossedZone && !c.admitCrossed(r.PoolName) {
		return queue.NoSlot
	}
	slot := c.slots.TakeSlot(r.PoolName, r.ExcludedHost)
	if slot == nil {
		c.endCrossed(r)
		return queue.NoSlot
	}
	r.Placement = pipe.Placement{Slot: slot}
	return queue.Placed
}

// admitCrossed counts one more request from another zone if the bounds permit it.
func (c *Placer) admitCrossed(pool string) bool {
	room := c.slots.SlotCounts(pool)
	c.mu.Lock()
	defer c.mu.Unlock()
	busy := room.Owned - room.Free
	if busy*100 >= room.Owned*SpillMaxBusyPercent || (c.crossed[pool]+1)*100 > room.Owned*SpillMaxSlotPercent {
		return false
	}
	c.crossed[pool]++
	return true
}

func (c *Placer) endCrossed(r *pipe.Request) {
	if !r.CrossedZone || !r.Forwarded {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crossed[r.PoolName]--
}

// Ended notes that a placed request no longer runs.
func (c *Placer) Ended(r *pipe.Request) { c.endCrossed(r) }

// peerWithSlot picks a peer for a request whose right this gateway keeps: of the own zone first,
// then of another one. A request that another zone sent isn't passed on.
func (c *Placer) peerWithSlot(r *pipe.Request) *pipe.Peer {
	if r.Hops >= maxHops || r.CrossedZone {
		return nil
	}
	peer := c.peers.PickWithFreeSlot(r.PoolName, r.Team)
	if peer == nil {
		peer = c.peers.PickForSpill(r.PoolName)
	}
	if peer != nil {
		peer.RightHeld = true
	}
	return peer
}

// placeWithoutRight forwards r to a gateway that has a right. Only the gateway that accepted r does so.
func (c *Placer) placeWithoutRight(r *pipe.Request, err *fault.Error) queue.Verdict {
	if r.Hops == 0 {
		if peer := c.peers.PickWithRight(r.Team, r.PoolName); peer != nil {
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
func (c *Placer) placeWithoutSlot(r *pipe.Request) queue.Verdict {
	if r.Hops == 0 {
		if peer := c.peers.PickAboveShare(r.PoolName, r.Team); peer != nil {
			r.Placement = pipe.Placement{Peer: peer}
			return queue.Placed
		}
	}
	if r.ExcludedHost != "" {
		return queue.NoOther
	}
	return queue.NoSlot
}
