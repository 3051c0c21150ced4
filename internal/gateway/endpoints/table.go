// Package endpoints holds the endpoints of the gateway's availability zone, the slots that the
// gateway owns on them, and which of them are leaving.
package endpoints

import (
	"slices"
	"sync"
	"time"

	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/gateway/pipe"
	"turmericyoke/internal/structs"
)

// busyPause keeps new work from an endpoint that answered "busy" although this gateway thought
// that it had a free slot there: another gateway still uses the slot.
const busyPause = 50 * time.Millisecond

// unreachablePause keeps new work from an endpoint that didn't accept a connection in time.
const unreachablePause = time.Second

// Limits bound connections to endpoints.
type Limits struct {
	// ConnectTimeout bounds the wait for a new connection.
	ConnectTimeout time.Duration
	// HeaderBytes bounds the header of an answer.
	HeaderBytes int
	// AnswerBytes bounds the body of an answer.
	AnswerBytes int
}

// Config is what a table needs.
type Config struct {
	// Self and Zone name the gateway and its availability zone.
	Self, Zone string
	Limits     Limits
	Dial       DialFunc
	Now        func() time.Time
	// OnSlotFreed is called without locks when a slot of the pool became free.
	OnSlotFreed func(pool string)
}

// Table is the endpoint table. All methods may be called concurrently.
type Table struct {
	self, zone  string
	limits      Limits
	dial        DialFunc
	now         func() time.Time
	onSlotFreed func(pool string)

	mu      sync.Mutex
	members []string
	byHost  map[string]*endpointState
	byPool  map[string][]*endpointState
	leaving leavingEpochs
	// scanStart rotates the endpoint that a scan starts at, so that equally free endpoints take turns.
	scanStart int
}

// endpointState is one endpoint.
type endpointState struct {
	structs.Endpoint
	// owned is the number of slots that this gateway owns, and busy how many of them are in use.
	// busy may exceed owned for a while after a change of owners.
	owned, busy int
	idle        []*endpointSlot
	pausedUntil time.Time
	// removed is set when the view no longer has the endpoint in this form.
	removed bool
}

// New returns a table in which the gateway is the only member of its zone.
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

// ApplySnapshot takes the endpoints of a new view.
func (t *Table) ApplySnapshot(snapshot *fleet.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.byHost
	t.byHost = make(map[string]*endpointState, len(before))
	t.byPool = make(map[string][]*endpointState, len(t.byPool))
	epochs := map[string]uint64{}
	for _, endpoint := range snapshot.View.Endpoints {
		epochs[endpoint.Host] = endpoint.Epoch
		if endpoint.Leaving {
			t.leaving.add(endpoint.Host, endpoint.Epoch)
		}
		if endpoint.Zone == t.zone {
			t.addEndpoint(before[endpoint.Host], endpoint)
		}
	}
	for host, old := range before {
		if t.byHost[host] != old {
			old.markRemoved()
		}
	}
	t.leaving.prune(epochs)
}

// addEndpoint adds endpoint, with the slots in use of its old entry when it is still the same.
func (t *Table) addEndpoint(old *endpointState, endpoint structs.Endpoint) {
	current := old
	if old == nil || old.Address != endpoint.Address || old.Pool != endpoint.Pool || old.Epoch != endpoint.Epoch || old.Slots != endpoint.Slots {
		// Lanes read the entry without a lock, so a kept entry isn't written to.
		current = &endpointState{Endpoint: endpoint, owned: ownedSlots(t.members, t.self, endpoint.Host, endpoint.Slots)}
	}
	t.byHost[endpoint.Host] = current
	t.byPool[endpoint.Pool] = append(t.byPool[endpoint.Pool], current)
}

func (e *endpointState) markRemoved() {
	e.removed = true
	e.closeIdle(0)
}

// closeIdle closes idle lanes until at most keep are left.
func (e *endpointState) closeIdle(keep int) {
	for len(e.idle) > max(keep, 0) {
		last := len(e.idle) - 1
		e.idle[last].client.CloseIdleConnections()
		e.idle = e.idle[:last]
	}
}

// SetMembers sets the gateways of the zone that own slots.
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

func (t *Table) usable(e *endpointState) bool {
	return !t.leaving.isLeaving(e.Host, e.Epoch)
}

// Take takes a free slot of the pool, on the endpoint with the most of them, other than on the
// host avoid. It returns nil when there is none.
func (t *Table) Take(pool, avoid string) pipe.Slot {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := t.mostFree(pool, avoid)
	if best == nil {
		return nil
	}
	best.busy++
	if last := len(best.idle) - 1; last >= 0 {
		l := best.idle[last]
		best.idle = best.idle[:last]
		return l
	}
	return newEndpointSlot(t, best)
}

func (t *Table) mostFree(pool, avoid string) *endpointState {
	entries := t.byPool[pool]
	now := t.now()
	t.scanStart++
	var best *endpointState
	most := 0
	for i := range entries {
		e := entries[(i+t.scanStart)%len(entries)]
		free := e.owned - e.busy
		if free > most && e.Host != avoid && t.usable(e) && !now.Before(e.pausedUntil) {
			best, most = e, free
		}
	}
	return best
}

func (t *Table) release(l *endpointSlot) {
	t.mu.Lock()
	e := l.endpoint
	e.busy--
	keep := !e.removed && e.busy+len(e.idle) < e.owned
	if keep {
		e.idle = append(e.idle, l)
	}
	pool := e.Pool
	t.mu.Unlock()
	if !keep {
		l.client.CloseIdleConnections()
	}
	t.onSlotFreed(pool)
}

// Learn notes what an attempt on the slot showed about its endpoint.
func (t *Table) Learn(slot pipe.Slot, lesson Condition) {
	l, ok := slot.(*endpointSlot)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch lesson {
	case ConditionLeaving:
		t.leaving.add(l.endpoint.Host, l.endpoint.Epoch)
	case ConditionBusy:
		l.endpoint.pausedUntil = t.now().Add(busyPause)
	case ConditionUnreachable:
		l.endpoint.pausedUntil = t.now().Add(unreachablePause)
	}
}

// Condition is what an attempt showed about an endpoint.
type Condition uint8

// Lessons from attempts.
const (
	// ConditionLeaving is an endpoint that takes no new work until its host epoch rises.
	ConditionLeaving Condition = iota
	// ConditionBusy is an endpoint whose slots others use.
	ConditionBusy
	// ConditionUnreachable is an endpoint that accepts no connection in time.
	ConditionUnreachable
)

// SlotCounts is what this gateway has in one pool.
type SlotCounts struct {
	// Owned counts the slots of usable endpoints that this gateway owns, and Free those not in use.
	Owned, Free int
}

// Room returns the slots of the pool.
func (t *Table) Room(pool string) SlotCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slotCounts(pool)
}

func (t *Table) slotCounts(pool string) SlotCounts {
	var room SlotCounts
	for _, e := range t.byPool[pool] {
		if t.usable(e) {
			room.Owned += e.owned
			room.Free += max(e.owned-e.busy, 0)
		}
	}
	return room
}

// EachPool calls visit with each pool that has endpoints in the zone.
func (t *Table) EachPool(visit func(pool string, room SlotCounts)) {
	t.mu.Lock()
	rooms := make(map[string]SlotCounts, len(t.byPool))
	for pool := range t.byPool {
		rooms[pool] = t.slotCounts(pool)
	}
	t.mu.Unlock()
	for pool, room := range rooms {
		visit(pool, room)
	}
}

// Usable returns the number of endpoints of the pool in the zone that take new work, besides the host avoid.
func (t *Table) Usable(pool, avoid string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, e := range t.byPool[pool] {
		if e.Host != avoid && t.usable(e) {
			count++
		}
	}
	return count
}
