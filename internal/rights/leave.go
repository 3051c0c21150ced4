package rights

import (
	"context"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

// Leave returns all rights and takes the holder out of the fleet. From then on the holder admits no requests.
// Leave returns when the fold has accepted the Leave record or ctx ends. If the holder couldn't leave, the
// other holders reclaim its rights. Run must be running.
func (h *Holder) Leave(ctx context.Context) error {
	h.leaving.Store(true)
	select {
	case <-h.left:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.LogUnavailable, ctx.Err(), "holder didn't leave: its rights stay allotted until they are reclaimed")
	}
}

// leaveRecord returns the next record of a leaving holder: a Return of the rights that aren't in use, or a
// Leave once it holds none and none is in use. It returns no record while requests still run. h.mu must be
// held.
func (h *Holder) leaveRecord(current *incarnation) (*v1.Record, map[string]uint64) {
	outgoing := map[string]uint64{}
	held := false
	for team, a := range *current.accounts.Load() {
		if units := a.withdraw(a.heldUnits()); units > 0 {
			outgoing[team] = units
		}
		held = held || a.heldUnits() > 0
	}
	switch {
	case len(outgoing) > 0:
		return newReturnRecord(outgoing), outgoing
	case held || current.totalUsed() > 0:
		return nil, nil
	}
	// From here on the fold may already have removed this gateway from the members of the zone, so it must
	// neither renew leases nor vow.
	h.reclaims.leaveProposed = true
	h.lease.Stop()
	return &v1.Record{Payload: &v1.Record_Leave{Leave: &v1.Leave{}}}, nil
}

// applyLeaveVerdict applies the verdict on a Leave. The Leave is rejected if another holder transferred
// rights to this one in the meantime; these are returned first. If the proposer is unknown, an earlier copy
// of the Leave was accepted. h.mu must be held.
func (h *Holder) applyLeaveVerdict(response *v1.ProposeResponse) {
	if response.GetAccepted() || fault.Kind(response.GetKind()) == fault.ProposerUnknown {
		h.leftOnce.Do(func() { close(h.left) })
		return
	}
	h.reclaims.leaveProposed = false
}

// heldUnits returns the number of rights in the account.
func (a *account) heldUnits() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}
