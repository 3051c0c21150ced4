// Package rights is the holder's side of the escrow of team limits.
package rights

import "turmericyoke/internal/fault"

// Source gives out rights to run one request of a team.
type Source interface {
	// Acquire takes one right of the team. The right stays in use until release is called, once the
	// request has provably ended. Without a free right the error is of kind TeamLimit, without a
	// lease of kind LeaseLapsed.
	Acquire(team string) (release func(), err *fault.Error)
	// Free returns the rights of the team that aren't in use.
	Free(team string) uint64
	// LeaseHeld reports whether new work may be admitted.
	LeaseHeld() bool
}
