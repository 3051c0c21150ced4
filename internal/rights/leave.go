package rights

import (
	"context"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

// Leave gives all rights back and takes the holder out of the fleet. It admits nothing from then
// on, and returns once the fold has accepted the Leave or ctx ends; a holder that didn't leave is
// reclaimed by the others. Run must be running.
func (h *Holder) Leave(ctx context.Context) error {
	h.leaving.Store(true)
	select {
	case <-h.gone:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.LogUnavailable, ctx.Err(), "holder didn't leave: its rights stay allotted until they are reclaimed")
	}
}

// leave needs the lock. It returns what is unused, and leaves once nothing is held.
func (h *Holder) leave(current *life) (*v1.Record, map[string]uint64) {
	out := map[string]uint64{}
	held := false
	for team, a := range *current.accounts.Load() {
		if given := a.give(a.sampleHeld()); given > 0 {
			out[team] = given
		}
		held = held || a.sampleHeld() > 0
	}
	switch {
	case len(out) > 0:
		return returnRecord(out), out
	case held || current.used() > 0:
		return nil, nil
	}
	// From here on the fold may count this gateway as gone, so it must answer nobody.
	h.reclaims.left = true
	h.keeper.Stop()
	return &v1.Record{Payload: &v1.Record_Leave{Leave: &v1.Leave{}}}, nil
}

// leaveAnswered needs the lock. A Leave is rejected when another holder transferred rights here in
// the meantime; they are returned first. A proposer that is unknown has left with an earlier copy.
func (h *Holder) leaveAnswered(response *v1.ProposeResponse) {
	if response.GetAccepted() || fault.Kind(response.GetKind()) == fault.ProposerUnknown {
		h.goneOnce.Do(func() { close(h.gone) })
		return
	}
	h.reclaims.left = false
}

func (a *account) sampleHeld() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}
