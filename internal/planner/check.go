package planner

import (
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold/inventory"
)

// Check returns an error if the newest state forbids a move that was planned from an older state. The fold
// makes the same checks when it reads the proposal; checking before saves the append of a proposal that it
// would reject.
func Check(state *inventory.State, move Move) *fault.Error {
	host, known := state.Host(move.Host)
	if !known {
		return fault.New(fault.HostUnknown, "host %q isn't declared in the document", move.Host)
	}
	if host.Epoch != move.Epoch {
		return fault.New(fault.HostEpochStale, "host %s has epoch %d, but the move was planned for epoch %d", host.Name, host.Epoch, move.Epoch)
	}
	if host.Phase != inventory.PhaseServing || host.Pool != move.From {
		return fault.New(fault.HostBusy, "host %s can't be moved: it is %s in pool %s", host.Name, host.Phase, host.Pool)
	}
	if host.Pinned && move.To != host.DeclaredPool {
		return fault.New(fault.HostBusy, "host %s can't be moved: it is pinned to pool %s", host.Name, host.DeclaredPool)
	}
	budget, _ := state.Budget(host.Pool)
	if _, declared := state.Budget(move.To); !declared {
		return fault.New(fault.PoolUnknown, "pool %q isn't declared in the document", move.To)
	}
	if !budget.PermitsStop(host.Zone) {
		return fault.New(fault.BudgetExhausted, "the budget of pool %s doesn't permit moving host %s", host.Pool, host.Name)
	}
	return nil
}
