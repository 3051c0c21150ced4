package rights

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/boottime"
	"turmericyoke/internal/lease"
	"turmericyoke/internal/structs"
)

// Proposer sends a record, with its envelope, to a controller, which appends it to the log. After an error it
// is unknown whether the record was appended.
type Proposer interface {
	Propose(ctx context.Context, record *v1.Record) (*v1.ProposeResponse, error)
}

// Peers requests vows from other gateways of the zone.
type Peers interface {
	// RequestVow returns the member's vow against the holder, or nil if the member refuses.
	RequestVow(ctx context.Context, member structs.GatewayEntry, holder lease.Ref) (*v1.Vow, error)
}

// Config holds the identity of a holder and its dependencies.
type Config struct {
	Name    string
	Zone    string
	Address string
	// Proposer and Peers are only called from Run.
	Proposer Proposer
	Peers    Peers
	// Waiting returns, by team, the number of this gateway's requests that wait for a right. It is nil if the
	// gateway doesn't know the number.
	Waiting func() map[string]uint64
	// Now reads a monotonic clock.
	Now func() time.Time
	// BootClock also advances while the host is suspended. It is nil if the host is never suspended.
	BootClock boottime.Clock
	Logger    *logrus.Entry
}

// Holder holds the rights of one gateway and moves them by records of the log. It is safe for concurrent use.
type Holder struct {
	cfg   Config
	lease *lease.Manager
	// current is replaced when the holder has to join again.
	current atomic.Pointer[incarnation]
	// leaving is set once Leave was called.
	leaving atomic.Bool
	// left is closed when a leaving holder is no longer in the fleet: its Leave was accepted, it was suspected,
	// or it had not joined.
	left     chan struct{}
	leftOnce sync.Once

	mu sync.Mutex
	// view is the newest view of the fleet.
	view *structs.View
	// viewFreshAt is when the view was last known to include the head of the log.
	viewFreshAt time.Time
	// clockCorrection is added to the wall clock from which incarnations are made. It is raised when the fold
	// rejects an incarnation as lower than an earlier one.
	clockCorrection time.Duration
	// members are the members of the zone, and membersOffset is the offset of the view that first showed them.
	membersOffset int64
	members       []lease.Ref
	// lastProposedAt is when the last new record was proposed.
	lastProposedAt time.Time
	// lastGaveRights is set if the last planned record gave rights away.
	lastGaveRights bool
	plans          planState
	reclaims       reclaimState
}

// New returns a holder without rights. It joins the fleet when Run or Step is called.
func New(cfg Config) *Holder {
	h := &Holder{
		cfg: cfg, lease: lease.NewManager(cfg.Now, cfg.BootClock),
		left:  make(chan struct{}),
		plans: newPlanState(), reclaims: newReclaimState(),
	}
	h.current.Store(newIncarnation(h.nextRef("")))
	return h
}

// nextRef returns the reference of a new incarnation that follows the previous one.
func (h *Holder) nextRef(previous string) lease.Ref {
	return lease.Ref{Name: h.cfg.Name, Incarnation: structs.NewIncarnation(h.cfg.Now().Add(h.clockCorrection), previous)}
}

// Incarnation returns the current incarnation. It changes when the holder has to join again.
func (h *Holder) Incarnation() string { return h.current.Load().ref.Incarnation }

// RecordRenewal records that the peer renewed the lease in its response to a message of this gateway. The time
// sentAt must have been read from the holder's clock before the message was sent.
func (h *Holder) RecordRenewal(peer, incarnation string, sentAt time.Time) {
	h.lease.RecordRenewal(lease.Ref{Name: peer, Incarnation: incarnation}, sentAt)
}

// RecordReport records that a report of another gateway of the zone has arrived.
func (h *Holder) RecordReport(holder, incarnation string) {
	h.lease.RecordReport(lease.Ref{Name: holder, Incarnation: incarnation})
}

// MayRenew reports whether this gateway may renew the lease of the holder.
func (h *Holder) MayRenew(holder, incarnation string) bool {
	return h.lease.MayRenew(lease.Ref{Name: holder, Incarnation: incarnation})
}

// Vow handles a request for a vow against the holder. It returns nil if this gateway refuses.
func (h *Holder) Vow(holder, incarnation string) *v1.Vow {
	self, vowed := h.lease.Vow(lease.Ref{Name: holder, Incarnation: incarnation})
	if !vowed {
		return nil
	}
	return &v1.Vow{Member: self.Name, Incarnation: self.Incarnation}
}

// UpdateView applies a view of the fleet, which at freshAt was known to include the head of the log. A view
// with a lower offset than the last one is ignored.
func (h *Holder) UpdateView(view *structs.View, freshAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.view != nil && view.Offset < h.view.Offset {
		return
	}
	if freshAt.After(h.viewFreshAt) {
		h.viewFreshAt = freshAt
	}
	if h.view != nil && view.Offset == h.view.Offset {
		return
	}
	h.view = view
	h.plans.holdersByTeam = nil
	h.reclaims.observe(view, h.cfg.Now())
	current := h.current.Load()
	entry := findEntry(view, current.ref)
	switch {
	case entry != nil && !entry.Suspected:
		h.applyEntry(current, entry)
	case current.joined:
		h.endIncarnation(current)
	}
}

// UpdateFreshness records that at freshAt the last view was known to include the head of the log.
func (h *Holder) UpdateFreshness(freshAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if freshAt.After(h.viewFreshAt) {
		h.viewFreshAt = freshAt
	}
}

// findEntry returns the view's entry of the incarnation, or nil if there is none.
func findEntry(view *structs.View, ref lease.Ref) *structs.GatewayEntry {
	for i := range view.Gateways {
		if view.Gateways[i].Name == ref.Name && view.Gateways[i].Incarnation == ref.Incarnation {
			return &view.Gateways[i]
		}
	}
	return nil
}

// applyEntry updates the incarnation to its entry in the view. h.mu must be held.
func (h *Holder) applyEntry(current *incarnation, entry *structs.GatewayEntry) {
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
	var outgoing map[string]uint64
	if current.pending != nil {
		outgoing = current.pending.outgoing
	}
	h.plans.observeGranted(entry.Rights, h.cfg.Now())
	current.setRights(teams, entry.Rights, outgoing)
	h.updateMembers(current.ref)
}

// updateMembers updates the members of the zone to the view. h.mu must be held.
func (h *Holder) updateMembers(self lease.Ref) {
	if h.reclaims.leaveProposed {
		return
	}
	members := zoneMembers(h.view, h.cfg.Zone)
	if !slices.Equal(members, h.members) {
		h.members, h.membersOffset = members, h.view.Offset
	}
	h.lease.SetMembers(self, members, func(ref lease.Ref) bool { return findEntry(h.view, ref) != nil })
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

// endIncarnation ends an incarnation that was suspected or superseded. Its lease ends, its running requests
// finish on rights that other holders reclaim later, and the holder joins again without rights. The lease is
// stopped before the incarnation is replaced; usable depends on that order. h.mu must be held.
func (h *Holder) endIncarnation(current *incarnation) {
	h.lease.Stop()
	if h.leaving.Load() {
		h.leftOnce.Do(func() { close(h.left) })
		return
	}
	next := newIncarnation(h.nextRef(current.ref.Incarnation))
	h.members, h.membersOffset = nil, 0
	h.plans = newPlanState()
	h.current.Store(next)
	h.cfg.Logger.WithField("event", "holder_replaced").WithField("incarnation", current.ref.Incarnation).WithField("next", next.ref.Incarnation).
		WithField("running", current.totalUsed()).Warn("holder was suspected and joins again")
}
