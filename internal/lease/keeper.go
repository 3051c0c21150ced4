package lease

import (
	"sync"
	"sync/atomic"
	"time"
)

// renewBefore is the rest of a lease at which a heartbeat goes to the log. Zone peers answer every
// second at most, so a lease with less than this rest isn't being renewed by them.
const renewBefore = Span / 2

// Keeper is the lease and the vows of one running gateway. It is safe for concurrent use.
type Keeper struct {
	now  func() time.Time
	base time.Time
	// until is the end of the lease in nanoseconds after base; it is read for each request.
	until atomic.Int64

	mu    sync.Mutex
	self  Ref
	lease *Lease
	vows  *Vows
	// silent is set while the gateway must not answer: before it has read its own Join, and from
	// when it proposes to leave.
	silent bool
}

// NewKeeper returns a keeper without a lease. The clock must be monotonic.
func NewKeeper(now func() time.Time) *Keeper {
	return &Keeper{now: now, base: now(), lease: New(Ref{}), vows: NewVows(), silent: true}
}

// SetMembers takes in the members of the zone from a view that includes the Join of self. A new
// incarnation of self starts without a lease.
func (k *Keeper) SetMembers(self Ref, members []Ref, known func(Ref) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if self != k.self {
		k.self, k.lease = self, New(self)
	}
	k.silent = false
	k.lease.SetMembers(members)
	k.vows.SetMembers(members, k.now())
	k.vows.Forget(known)
	k.refresh()
}

// Stop ends the lease, and this gateway answers nobody until SetMembers is called again.
func (k *Keeper) Stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent = true
	k.self, k.lease = Ref{}, New(Ref{})
	k.refresh()
}

// refresh needs the lock.
func (k *Keeper) refresh() {
	k.until.Store(int64(k.lease.Until(k.now()).Sub(k.base)))
}

// Renewed notes an answer that renews the lease, to a request of the incarnation self sent at sentAt.
func (k *Keeper) Renewed(member Ref, sentAt time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.Answered(member, sentAt)
	k.vows.Heard(member, k.now())
	k.refresh()
}

// HeartbeatRead notes that a heartbeat of the incarnation, sent at sentAt, was accepted.
func (k *Keeper) HeartbeatRead(incarnation string, sentAt time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if incarnation == k.self.Incarnation {
		k.lease.HeartbeatRead(sentAt)
		k.refresh()
	}
}

// Heard notes a report of a member.
func (k *Keeper) Heard(member Ref) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.vows.Heard(member, k.now())
}

// MayRenew reports whether this gateway may answer the holder.
func (k *Keeper) MayRenew(holder Ref) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.silent && k.vows.MayRenew(holder)
}

// Vow promises never to renew the holder again and returns the promising incarnation; false when
// this gateway heard the holder within Silence or isn't a member itself.
func (k *Keeper) Vow(holder Ref) (Ref, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.silent || holder == k.self || !k.vows.Vow(holder, k.now()) {
		return Ref{}, false
	}
	return k.self, true
}

// SilentFor returns how long the member has not been heard; false for a process that is no member.
func (k *Keeper) SilentFor(member Ref) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.vows.SilentFor(member, k.now())
}

// Valid reports whether work may be admitted.
func (k *Keeper) Valid() bool {
	return k.until.Load() > int64(k.now().Sub(k.base))
}

// NeedsHeartbeat reports whether the lease is about to end, or has ended, without answers that
// renew it. It also extends the lease of a gateway that is a quorum by itself.
func (k *Keeper) NeedsHeartbeat() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh()
	return !k.silent && k.until.Load()-int64(k.now().Sub(k.base)) < int64(renewBefore)
}
