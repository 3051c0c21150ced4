// Package endpoints tracks the endpoints of the gateway's availability zone, the request slots that
// the gateway owns on each of them, and which endpoints are leaving and take no new requests.
package endpoints

import (
	"slices"
	"sync"
	"time"

	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/gateway/pipe"
	"turmericyoke/internal/structs"
)

// busyPause is how long no new request is sent to an endpoint that answered "busy" although this
// gateway counted a free slot there: another gateway is still using that slot.
const busyPause = 50 * time.Millisecond

// unreachablePause is how long no new request is sent to an endpoint that didn't accept a connection in time.
const unreachablePause = time.Second

// Limits are the limits of connections to endpoints.
type Limits struct {
	// ConnectTimeout is the longest time to open a connection.
	ConnectTimeout time.Duration
	// HeaderBytes is the maximum size of a response header.
	HeaderBytes int
	// ResponseBytes is the maximum size of a response body.
	ResponseBytes int
}

// Config configures a Table.
type Config struct {
	// Self and Zone name the gateway and its availability zone.
	Self, Zone string
	Limits     Limits
	Dial       DialFunc
	Now        func() time.Time
	// OnSlotFreed is called, with no lock of the table held, when the pool may have a free slot.
	OnSlotFreed func(pool string)
}

// Table is the endpoint table of one gateway. Its methods are safe for concurrent use.
type Table struct {
	self, zone  string
	limits      Limits
	dial        DialFunc
	now         func() time.Time
	onSlotFreed func(pool string)

	mu sync.Mutex
	// members are the gateways of the zone that own slots, sorted by name.
	members []string
	byHost  map[string]*endpointState
	byPool  map[string][]*endpointState
	leaving leavingEpochs
	// scanStart advances with each scan for a free slot, so that endpoints with equally many free
	// slots are chosen in turn.
	scanStart int
}

// endpointState is the state of one endpoint at this gateway.
type endpointState struct {
	structs.Endpoint
	// owned is the number of slots that this gateway owns, and busy the number of slots that it uses.
	// When slots are reassigned to other gateways, busy exceeds owned until enough requests have ended.
	owned, busy int
	// idle holds unused slots for reuse, with their open connections.
	idle []*endpointSlot
	// pausedUntil is when the endpoint may receive new requests again.
	pausedUntil time.Time
	// removed is set when the view no longer lists the endpoint, or lists it with other properties.
	removed bool
}

// New returns a table without endpoints, in which the gateway is the only member of its zone.
func New(config Config) *Table {
	return &Table{
		self: config.Self, zone: config.Zone, limits: config.Limits,
		dial: config.Dial, now: config.Now, onSlotFreed: config.OnSlotFreed,
		members: []string{config.Self},
		byHost:  map[string]*endpointState{},
		byPool:  map[string][]*endpointState{},
		leaving: leavingEpochs{},
	}
}

// ApplySnapshot replaces the endpoints by those of a new view, and keeps the state of unchanged ones.
func (t *Table) ApplySnapshot(snapshot *fleet.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.byHost
	t.byHost = make(map[string]*endpointState, len(previous))
	t.byPool = make(map[string][]*endpointState, len(t.byPool))
	epochs := map[string]uint64{}
	for _, endpoint := range snapshot.View.Endpoints {
		epochs[endpoint.Host] = endpoint.Epoch
		if endpoint.Leaving {
			t.leaving.add(endpoint.Host, endpoint.Epoch)
		}
		if endpoint.Zone == t.zone {
			t.addEndpoint(previous[endpoint.Host], endpoint)
		}
	}
	for host, old := range previous {
		if t.byHost[host] != old {
			old.markRemoved()
		}
	}
	t.leaving.prune(epochs)
}

// addEndpoint adds endpoint to the table. It keeps the previous state, which counts the slots in use,
// unless the address, pool, host epoch or number of slots has changed.
func (t *Table) addEndpoint(previous *endpointState, endpoint structs.Endpoint) {
	current := previous
	if previous == nil || previous.Address != endpoint.Address || previous.Pool != endpoint.Pool || previous.Epoch != endpoint.Epoch || previous.Slots != endpoint.Slots {
		// Slots read the endpoint of a state without a lock, so a state that is kept must not be changed.
		current = &endpointState{Endpoint: endpoint, owned: ownedSlots(t.members, t.self, endpoint.Host, endpoint.Slots)}
	}
	t.byHost[endpoint.Host] = current
	t.byPool[endpoint.Pool] = append(t.byPool[endpoint.Pool], current)
}

// markRemoved closes the idle connections. Slots in use are closed when they are released.
func (e *endpointState) markRemoved() {
	e.removed = true
	e.closeIdle(0)
}

// closeIdle closes idle slots until at most keep are left.
func (e *endpointState) closeIdle(keep int) {
	for len(e.idle) > max(keep, 0) {
		last := len(e.idle) - 1
		e.idle[last].client.CloseIdleConnections()
		e.idle = e.idle[:last]
	}
}

// SetMembers sets the gateways of the zone that own slots, and recomputes which slots this gateway owns.
func (t *Table) SetMembers(members []string) {
	sorted := slices.Sorted(slices.Values(members))
	t.mu.Lock()
	if slices.Equal(sorted, t.members) {
		t.mu.Unlock()
		return
	}
	t.members = sorted
	for _, e := range t.byHost {
		e.owned = ownedSlots(sorted, t.self, e.Host, e.Slots)
		e.closeIdle(e.owned - e.busy)
	}
	pools := make([]string, 0, len(t.byPool))
	for pool := range t.byPool {
		pools = append(pools, pool)
	}
	t.mu.Unlock()
	for _, pool := range pools {
		t.onSlotFreed(pool)
	}
}

// usable reports whether the endpoint takes new requests, that is, whether it isn't known to be leaving.
func (t *Table) usable(e *endpointState) bool {
	return !t.leaving.isLeaving(e.Host, e.Epoch)
}

// TakeSlot reserves a slot of the pool on the endpoint with the most free slots, except on excludedHost.
// It returns nil if no slot is free.
func (t *Table) TakeSlot(pool, excludedHost string) pipe.Slot {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := t.mostFreeEndpoint(pool, excludedHost)
	if best == nil {
		return nil
	}
	best.busy++
	if lastIdle := len(best.idle) - 1; lastIdle >= 0 {
		slot := best.idle[lastIdle]
		best.idle = best.idle[:lastIdle]
		return slot
	}
	return newEndpointSlot(t, best)
}

// mostFreeEndpoint returns the usable endpoint of the pool with the most free slots, except on excludedHost.
// It returns nil if no slot is free.
func (t *Table) mostFreeEndpoint(pool, excludedHost string) *endpointState {
	entries := t.byPool[pool]
	now := t.now()
	t.scanStart++
	var best *endpointState
	mostFree := 0
	for i := range entries {
		e := entries[(i+t.scanStart)%len(entries)]
		free := e.owned - e.busy
		if free > mostFree && e.Host != excludedHost && t.usable(e) && !now.Before(e.pausedUntil) {
			best, mostFree = e, free
		}
	}
	return best
}

// release ends the reservation of a slot, and keeps its connection if this gateway may still use the slot.
func (t *Table) release(slot *endpointSlot) {
	t.mu.Lock()
	e := slot.endpoint
	e.busy--
	reuse := !e.removed && e.busy+len(e.idle) < e.owned
	if reuse {
		e.idle = append(e.idle, slot)
	}
	pool := e.Pool
	t.mu.Unlock()
	if !reuse {
		slot.client.CloseIdleConnections()
	}
	t.onSlotFreed(pool)
}

// RecordCondition records the condition in which a request on the slot found the endpoint.
func (t *Table) RecordCondition(slot pipe.Slot, condition Condition) {
	s, ok := slot.(*endpointSlot)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch condition {
	case ConditionLeaving:
		t.leaving.add(s.endpoint.Host, s.endpoint.Epoch)
	case ConditionBusy:
		s.endpoint.pausedUntil = t.now().Add(busyPause)
	case ConditionUnreachable:
		s.endpoint.pausedUntil = t.now().Add(unreachablePause)
	}
}

// Condition is the state of an endpoint as seen by a request that was sent to it.
type Condition uint8

// Conditions in which an endpoint takes no new requests.
const (
	// ConditionLeaving means that the endpoint takes no new requests until its host epoch increases.
	ConditionLeaving Condition = iota
	// ConditionBusy means that the endpoint's slots are all in use, by this and other gateways.
	ConditionBusy
	// ConditionUnreachable means that the endpoint didn't accept a connection in time.
	ConditionUnreachable
)

// SlotCounts counts the slots of this gateway in one pool.
type SlotCounts struct {
	// Owned is the number of slots that this gateway owns on usable endpoints, and Free the number of
	// those that are not in use.
	Owned, Free int
}

// SlotCounts returns the slot counts of the pool.
func (t *Table) SlotCounts(pool string) SlotCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slotCountsLocked(pool)
}

// slotCountsLocked returns the slot counts of the pool. The caller must hold the lock.
func (t *Table) slotCountsLocked(pool string) SlotCounts {
	var counts SlotCounts
	for _, e := range t.byPool[pool] {
		if t.usable(e) {
			counts.Owned += e.owned
			counts.Free += max(e.owned-e.busy, 0)
		}
	}
	return counts
}

// EachPool calls visit, without a lock held, for each pool that has endpoints in the zone.
func (t *Table) EachPool(visit func(pool string, counts SlotCounts)) {
	t.mu.Lock()
	countsByPool := make(map[string]SlotCounts, len(t.byPool))
	for pool := range t.byPool {
		countsByPool[pool] = t.slotCountsLocked(pool)
	}
	t.mu.Unlock()
	for pool, counts := range countsByPool {
		visit(pool, counts)
	}
}

// UsableEndpoints returns the number of endpoints of the pool in the zone that take new requests, without
// the one on excludedHost.
func (t *Table) UsableEndpoints(pool, excludedHost string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, e := range t.byPool[pool] {
		if e.Host != excludedHost && t.usable(e) {
			count++
		}
	}
	return count
}
