package lease

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"turmericyoke/internal/boottime"
)

// heartbeatThreshold is the remaining time of a lease below which a heartbeat is sent to the log. Zone peers
// respond at least once a second, so a lease with less time left isn't being renewed by them.
const heartbeatThreshold = Duration / 2

// minSuspension is the shortest suspension of the host that ends a lease. Shorter ones are covered by the margin of
// MinSilence over Duration.
const minSuspension = 100 * time.Millisecond

// Manager combines the lease and the vows of a running gateway. It is safe for concurrent use.
type Manager struct {
	now       func() time.Time
	clockBase time.Time
	// bootClock advances while the host is suspended, unlike now. It is nil if the host is never suspended.
	bootClock boottime.Clock
	// bootOffset is by how much bootClock was ahead of now when the lease was last checked, in nanoseconds.
	bootOffset atomic.Int64
	// expiresAt is when the lease expires, in nanoseconds after clockBase. It is read for each request, and
	// therefore atomic.
	expiresAt atomic.Int64

	mu    sync.Mutex
	self  Ref
	lease *Lease
	vows  *Vows
	// resumedAt is when a suspension of the host was last noticed.
	resumedAt time.Time
	// stopped is set while the gateway must neither renew other leases nor vow: before it has read its own
	// Join, and from the moment when it proposes to leave.
	stopped bool
}

// NewManager returns a Manager without a valid lease. now must be monotonic. bootClock is nil if the host is never
// suspended.
func NewManager(now func() time.Time, bootClock boottime.Clock) *Manager {
	m := &Manager{now: now, clockBase: now(), bootClock: bootClock, lease: New(Ref{}), vows: NewVows(), stopped: true}
	m.bootOffset.Store(int64(m.readBootOffset()))
	return m
}

// readBootOffset returns by how much the boot clock is ahead of the monotonic one, whose start differs.
func (m *Manager) readBootOffset() time.Duration {
	if m.bootClock == nil {
		return 0
	}
	return m.bootClock() - m.now().Sub(m.clockBase)
}

// wasSuspended reports whether the host has been suspended since endAfterSuspension was last called.
func (m *Manager) wasSuspended() bool {
	return m.readBootOffset()-time.Duration(m.bootOffset.Load()) >= minSuspension
}

// endAfterSuspension ends the lease if the host was suspended: the lease went on expiring for the others, which may have
// vowed against the holder. Only the responses to requests that are sent from now on renew it. m.mu must be held.
func (m *Manager) endAfterSuspension() {
	if !m.wasSuspended() {
		return
	}
	offset := m.readBootOffset()
	m.resumedAt = m.now()
	members := m.lease.members
	m.lease = New(m.self)
	m.lease.SetMembers(members)
	// Valid doesn't hold m.mu: the lease has to end before the suspension counts as handled.
	m.updateExpiry()
	m.bootOffset.Store(int64(offset))
}

// SetMembers replaces the members of the zone. They must come from a view that includes the Join of self. The
// lease of a new incarnation of self starts as not valid. Vows against incarnations for which known returns
// false are dropped.
func (m *Manager) SetMembers(self Ref, members []Ref, known func(Ref) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if self != m.self {
		m.self, m.lease = self, New(self)
	}
	m.stopped = false
	m.lease.SetMembers(members)
	m.vows.SetMembers(members, m.now())
	m.vows.DropUnknown(known)
	m.updateExpiry()
}

// Stop ends the lease. Until SetMembers is called again, the gateway neither renews other leases nor vows.
func (m *Manager) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.self, m.lease = Ref{}, New(Ref{})
	m.updateExpiry()
}

// updateExpiry stores when the lease expires, 0 if it isn't valid. m.mu must be held.
func (m *Manager) updateExpiry() {
	m.expiresAt.Store(int64(max(0, m.lease.ExpiresAt(m.now()).Sub(m.clockBase))))
}

// RecordRenewal records that the member renewed the lease in its response to a request of the current
// incarnation that was sent at sentAt.
func (m *Manager) RecordRenewal(member Ref, sentAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endAfterSuspension()
	if !sentAt.Before(m.resumedAt) {
		m.lease.RecordRenewal(member, sentAt)
	}
	m.vows.RecordReport(member, m.now())
	m.updateExpiry()
}

// RecordHeartbeat records that the fold accepted a heartbeat which the incarnation sent at sentAt. A heartbeat
// of an earlier incarnation is ignored.
func (m *Manager) RecordHeartbeat(incarnation string, sentAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endAfterSuspension()
	if incarnation == m.self.Incarnation && !sentAt.Before(m.resumedAt) {
		m.lease.RecordHeartbeat(sentAt)
		m.updateExpiry()
	}
}

// RecordReport records that a report of the member has arrived.
func (m *Manager) RecordReport(member Ref) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vows.RecordReport(member, m.now())
}

// MayRenew reports whether this gateway may renew the lease of the holder.
func (m *Manager) MayRenew(holder Ref) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.stopped && m.vows.MayRenew(holder)
}

// Vow promises never to renew the lease of the holder again, and returns the own incarnation. It returns
// false, without a promise, if either isn't a member, if the holder is this gateway, or if this gateway heard
// the holder within MinSilence and hasn't vowed against it before.
func (m *Manager) Vow(holder Ref) (Ref, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || holder == m.self || !m.vows.Vow(holder, m.now()) {
		return Ref{}, false
	}
	return m.self, true
}

// SilentFor returns how long the member has not been heard, and false if it isn't a member of the zone.
func (m *Manager) SilentFor(member Ref) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.vows.SilentFor(member, m.now())
}

// Valid reports whether the lease is valid, so that work may be admitted.
func (m *Manager) Valid() bool {
	return !m.wasSuspended() && m.expiresAt.Load() > int64(m.now().Sub(m.clockBase))
}

// NeedsHeartbeat reports whether the lease has expired or will soon, since responses of zone peers don't
// renew it. It also extends the lease of a gateway that is a quorum by itself.
func (m *Manager) NeedsHeartbeat() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endAfterSuspension()
	m.updateExpiry()
	return !m.stopped && slices.Contains(m.lease.members, m.self) && m.expiresAt.Load()-int64(m.now().Sub(m.clockBase)) < int64(heartbeatThreshold)
}
