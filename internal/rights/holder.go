package rights

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/lease"
	"turmericyoke/internal/structs"
)

// Proposer sends a record, with its envelope, to a controller. An error leaves the outcome unknown.
type Proposer interface {
	Propose(ctx context.Context, record *v1.Record) (*v1.ProposeResponse, error)
}

// Peers asks other gateways of the zone for vows.
type Peers interface {
	// RequestVow returns the member's vow against the holder, or nil when it refuses.
	RequestVow(ctx context.Context, member structs.GatewayEntry, holder lease.Ref) (*v1.Vow, error)
}

// Config is what a holder needs.
type Config struct {
	Name    string
	Zone    string
	Address string
	// Proposer and Peers are only called from Run.
	Proposer Proposer
	Peers    Peers
	// Waiting returns the number of requests of each team that wait for a right here; nil when that
	// isn't known.
	Waiting func() map[string]uint64
	// Now is a monotonic clock.
	Now    func() time.Time
	Logger *logrus.Entry
}

// Holder holds the rights of one gateway. It is safe for concurrent use.
type Holder struct {
	cfg    Config
	keeper *lease.Keeper
	life   atomic.Pointer[life]
	// leaving is set once the gateway shuts down.
	leaving atomic.Bool
	// gone is closed once the holder has left the fleet.
	gone     chan struct{}
	goneOnce sync.Once

	mu   sync.Mutex
	view *structs.View
	// freshAt is when the view was last known to include the head of the log.
	freshAt time.Time
	// skew is added to the wall clock for incarnations, after the fold rejected one as too low.
	skew time.Duration
	// ackOffset is the offset of the view that brought the current members of the zone, and members
	// are these.
	ackOffset int64
	members   []lease.Ref
	// lastNew is when the last new record was proposed, and gaveLast whether it gave rights away.
	lastNew  time.Time
	gaveLast bool
	plans    planMemory
	reclaims reclaimMemory
}

// New returns a holder without rights. It joins the fleet when Run or Step is called.
func New(cfg Config) *Holder {
	h := &Holder{
		cfg: cfg, keeper: lease.NewKeeper(cfg.Now),
		gone:  make(chan struct{}),
		plans: newPlanMemory(), reclaims: newReclaimMemory(),
	}
	h.life.Store(newLife(h.nextRef("")))
	return h
}

func (h *Holder) nextRef(previous string) lease.Ref {
	return lease.Ref{Name: h.cfg.Name, Incarnation: structs.NewIncarnation(h.cfg.Now().Add(h.skew), previous)}
}

// Incarnation returns the current incarnation; it changes when the holder has to join again.
func (h *Holder) Incarnation() string { return h.life.Load().ref.Incarnation }

// Renewed notes that the peer renewed the lease, in answer to a message of this gateway sent at
// sentAt, which must have been read from the holder's clock before the message was sent.
func (h *Holder) Renewed(peer, incarnation string, sentAt time.Time) {
	h.keeper.Renewed(lease.Ref{Name: peer, Incarnation: incarnation}, sentAt)
}

// Heard notes a report of another gateway of the zone.
func (h *Holder) Heard(holder, incarnation string) {
	h.keeper.Heard(lease.Ref{Name: holder, Incarnation: incarnation})
}

// MayRenew reports whether this gateway may renew the lease of the holder.
func (h *Holder) MayRenew(holder, incarnation string) bool {
	return h.keeper.MayRenew(lease.Ref{Name: holder, Incarnation: incarnation})
}

// Vow answers a request for a vow; nil refuses it.
func (h *Holder) Vow(holder, incarnation string) *v1.Vow {
	self, vowed := h.keeper.Vow(lease.Ref{Name: holder, Incarnation: incarnation})
	if !vowed {
		return nil
	}
	return &v1.Vow{Member: self.Name, Incarnation: self.Incarnation}
}

// UpdateView takes in a view of the fleet. FreshAt is when it was known to include the head of the
// log. A view older than the last one is ignored.
func (h *Holder) UpdateView(view *structs.View, freshAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.view != nil && view.Offset < h.view.Offset {
		return
	}
	if freshAt.After(h.freshAt) {
		h.freshAt = freshAt
	}
	if h.view != nil && view.Offset == h.view.Offset {
		return
	}
	h.view = view
	h.plans.shares = nil
	h.reclaims.observe(view, h.cfg.Now())
	current := h.life.Load()
	entry := findEntry(view, current.ref)
	switch {
	case entry != nil && !entry.Suspected:
		h.adopt(current, entry)
	case current.joined:
		h.endLife(current)
	}
}

// UpdateFreshness notes that the last view was known to be current at the moment.
func (h *Holder) UpdateFreshness(moment time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if moment.After(h.freshAt) {
		h.freshAt = moment
	}
}

func findEntry(view *structs.View, ref lease.Ref) *structs.GatewayEntry {
	for i := range view.Gateways {
		if view.Gateways[i].Name == ref.Name && view.Gateways[i].Incarnation == ref.Incarnation {
			return &view.Gateways[i]
		}
	}
	return nil
}

// adopt needs the lock. It takes over what the fold says about the life.
func (h *Holder) adopt(current *life, entry *structs.GatewayEntry) {
	if !current.joined {
		current.joined = true
		h.cfg.Logger.WithField("event", "holder_joined").WithField("incarnation", current.ref.Incarnation).WithField("offset", h.view.Offset).Info("holder joined")
	}
	if current.pending != nil && entry.LastSeq >= current.pending.record.GetSeq() {
		current.pending = nil
	}
	current.seq = max(current.seq, entry.LastSeq)
	teams := make([]string, 0, len(h.view.Teams))
	for _, team := range h.view.Teams {
		teams = append(teams, team.Name)
	}
	var leaving map[string]uint64
	if current.pending != nil {
		leaving = current.pending.out
	}
	h.plans.observe(entry.Rights, h.cfg.Now())
	current.setRights(teams, entry.Rights, leaving)
	h.setMembers(current.ref)
}

// setMembers needs the lock.
func (h *Holder) setMembers(self lease.Ref) {
	if h.reclaims.left {
		return
	}
	members := zoneMembers(h.view, h.cfg.Zone)
	if !slices.Equal(members, h.members) {
		h.members, h.ackOffset = members, h.view.Offset
	}
	h.keeper.SetMembers(self, members, func(ref lease.Ref) bool { return findEntry(h.view, ref) != nil })
}

// zoneMembers returns the gateways of the zone that aren't suspected.
func zoneMembers(view *structs.View, zone string) []lease.Ref {
	var members []lease.Ref
	for _, gateway := range view.Gateways {
		if gateway.Zone == zone && !gateway.Suspected {
			members = append(members, lease.Ref{Name: gateway.Name, Incarnation: gateway.Incarnation})
		}
	}
	return members
}

// endLife needs the lock. The life was suspected or replaced: its lease ends, its requests run to
// their end on rights that others reclaim, and the holder joins again without rights. The lease is
// stopped before the life is replaced; see usable.
func (h *Holder) endLife(current *life) {
	h.keeper.Stop()
	if h.leaving.Load() {
		h.goneOnce.Do(func() { close(h.gone) })
		return
	}
	next := newLife(h.nextRef(current.ref.Incarnation))
	h.members, h.ackOffset = nil, 0
	h.plans = newPlanMemory()
	h.life.Store(next)
	h.cfg.Logger.WithField("event", "holder_replaced").WithField("incarnation", current.ref.Incarnation).WithField("next", next.ref.Incarnation).
		WithField("running", current.used()).Warn("holder was suspected and joins again")
}
