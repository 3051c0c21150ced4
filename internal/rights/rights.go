// Package rights is the holder's side of the escrow of team limits.
package rights

import (
	"sync/atomic"

	"turmericyoke/internal/fault"
)

// Source gives out rights to run one request of a team.
type Source interface {
	// Acquire takes one right of the team. Without a free right the error is of kind TeamLimit,
	// without a lease of kind LeaseLapsed.
	Acquire(team string) (Use, *fault.Error)
	// Free returns the rights of the team that aren't in use.
	Free(team string) uint64
	// LeaseHeld reports whether new work may be admitted.
	LeaseHeld() bool
}

// Use is the use of one right by one request.
type Use struct {
	// Release ends the use, once the request has provably ended. It may be called more than once.
	Release func()
	// StillUsable backs Usable; nil means that the right can't be lost.
	StillUsable func() bool
}

// Usable reports whether the request may start now; see Right.Usable.
func (u Use) Usable() bool { return u.StillUsable == nil || u.StillUsable() }

// Right is one unit in use by one request.
type Right struct {
	holder   *Holder
	life     *life
	account  *account
	released atomic.Bool
}

// Usable reports whether the request may start now. The dispatcher asks directly before it sends
// the request: a process that was paused since Take may have lost its lease, and its rights may
// belong to others by now.
func (r *Right) Usable() bool { return r.holder.usable(r.life) }

// Release ends the use of the right, once the request has provably ended. Later calls do nothing.
func (r *Right) Release() {
	if r.released.CompareAndSwap(false, true) {
		r.account.release()
	}
}

// Take takes one right of the team. Errors are those of Acquire.
func (h *Holder) Take(team string) (*Right, *fault.Error) {
	if h.leaving.Load() {
		return nil, fault.New(fault.ShuttingDown, "the gateway is leaving")
	}
	current := h.life.Load()
	if !h.usable(current) {
		return nil, fault.New(fault.LeaseLapsed, "the lease of %s has lapsed", h.cfg.Name)
	}
	held := current.account(team)
	if held == nil {
		return nil, fault.New(fault.TeamLimit, "team %q isn't in the document", team)
	}
	if !held.take() {
		return nil, fault.New(fault.TeamLimit, "no right of team %s is free here", team)
	}
	return &Right{holder: h, life: current, account: held}, nil
}

// usable reports whether rights of the life may be used. The lease is read first: it is stopped
// before the life is replaced, so a valid lease before an unreplaced life belongs to that life.
func (h *Holder) usable(l *life) bool { return h.keeper.Valid() && h.life.Load() == l }

// Acquire implements Source.
func (h *Holder) Acquire(team string) (Use, *fault.Error) {
	right, err := h.Take(team)
	if err != nil {
		return Use{}, err
	}
	return Use{Release: right.Release, StillUsable: right.Usable}, nil
}

// Free implements Source. Without a lease nothing is free.
func (h *Holder) Free(team string) uint64 {
	current := h.life.Load()
	if h.leaving.Load() || !h.usable(current) {
		return 0
	}
	if held := current.account(team); held != nil {
		return held.free()
	}
	return 0
}

// LeaseHeld implements Source.
func (h *Holder) LeaseHeld() bool { return h.keeper.Valid() }
