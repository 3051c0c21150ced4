// Package rights implements the holder's side of the escrow of team limits. A right is one unit of a team's
// limit that a holder, which is one incarnation of a gateway, may use for one request at a time. Holders move
// rights among one another by records of the log, and reclaim the rights of holders that are lost.
package rights

import (
	"sync/atomic"

	"turmericyoke/internal/fault"
)

// Source provides the rights with which requests are admitted.
type Source interface {
	// Acquire takes one right of the team for one request. The error is of kind TeamLimit if no right is
	// free, LeaseLapsed if the lease isn't valid, and ShuttingDown while the gateway leaves.
	Acquire(team string) (AcquiredRight, *fault.Error)
	// Free returns the number of rights of the team that Acquire could take now.
	Free(team string) uint64
	// LeaseHeld reports whether the lease is valid, so that new work may be admitted.
	LeaseHeld() bool
}

// AcquiredRight is a right of any Source that one request uses.
type AcquiredRight struct {
	// Release returns the right, and must only be called once the request has provably ended. Further calls do
	// nothing.
	Release func()
	// StillUsable is called by Usable; nil means that the right can't be lost.
	StillUsable func() bool
}

// Usable reports whether the request may start now; see Right.Usable.
func (u AcquiredRight) Usable() bool { return u.StillUsable == nil || u.StillUsable() }

// Right is one unit of a team's limit that a request of this gateway uses.
type Right struct {
	holder      *Holder
	incarnation *incarnation
	account     *account
	released    atomic.Bool
}

// Usable reports whether the request may start now. The dispatcher calls it directly before it sends the
// request: if the process was paused after AcquireRight, its lease may have expired and its rights may belong
// to other holders.
func (r *Right) Usable() bool { return r.holder.usable(r.incarnation) }

// Release returns the right, and must only be called once the request has provably ended. Further calls do
// nothing.
func (r *Right) Release() {
	if r.released.CompareAndSwap(false, true) {
		r.account.release()
	}
}

// AcquireRight takes one right of the team. Its errors are those of Acquire.
func (h *Holder) AcquireRight(team string) (*Right, *fault.Error) {
	if h.leaving.Load() {
		return nil, fault.New(fault.ShuttingDown, "the gateway is leaving")
	}
	current := h.current.Load()
	if !h.usable(current) {
		return nil, fault.New(fault.LeaseLapsed, "the lease of %s has lapsed", h.cfg.Name)
	}
	teamAccount := current.account(team)
	if teamAccount == nil {
		return nil, fault.New(fault.TeamLimit, "team %q isn't in the document", team)
	}
	if !teamAccount.acquire() {
		return nil, fault.New(fault.TeamLimit, "no right of team %s is free here", team)
	}
	return &Right{holder: h, incarnation: current, account: teamAccount}, nil
}

// usable reports whether rights of the incarnation may be used. The lease is read first: endIncarnation stops
// the lease before it replaces the incarnation, so if the incarnation is still current, the valid lease that
// was read belongs to it.
func (h *Holder) usable(inc *incarnation) bool { return h.lease.Valid() && h.current.Load() == inc }

// Acquire implements Source.
func (h *Holder) Acquire(team string) (AcquiredRight, *fault.Error) {
	right, err := h.AcquireRight(team)
	if err != nil {
		return AcquiredRight{}, err
	}
	return AcquiredRight{Release: right.Release, StillUsable: right.Usable}, nil
}

// Free implements Source. Without a valid lease it returns 0.
func (h *Holder) Free(team string) uint64 {
	current := h.current.Load()
	if h.leaving.Load() || !h.usable(current) {
		return 0
	}
	if teamAccount := current.account(team); teamAccount != nil {
		return teamAccount.freeUnits()
	}
	return 0
}

// LeaseHeld implements Source.
func (h *Holder) LeaseHeld() bool { return h.lease.Valid() }
