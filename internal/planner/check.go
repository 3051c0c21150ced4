package planner

import (
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold/inventory"
)

// Check returns an error when the newest state forbids a move that was planned from an older one.
// The fold checks again when it reads the proposal; this check saves the append.
func Check(state *inventory.State, move Move) *fault.Error {
	host, known := state.Host(move.Host)
	if !known {
		return fault.New(fault.HostUnknown, "host %q isn't declared", move.Host)
	}
	if host.Epoch != move.Epoch {
		return fault.New(fault.HostEpochStale, "host %s has epoch %d, not %d", host.Name, host.Epoch, move.Epoch)
	}
	if host.Phase != inventory.PhaseServing || host.Pool != move.From {
		return fault.New(fault.HostBusy, "host %s is %s in pool %s", host.Name, host.Phase, host.Pool)
	}
	if host.Pinned && move.To != host.DeclaredPool {
		return fault.New(fault.HostBusy, "host %s is pinned to pool %s", host.Name, host.DeclaredPool)
	}
	budget, _ := state.Budget(host.Pool)
	if _, declared := state.Budget(move.To); !declared {
		return fault.New(fault.PoolUnknown, "pool %q isn't declared", move.To)
	}
	if !budget.PermitsStop(host.Zone) {
		return fault.New(fault.BudgetExhausted, "the budget of pool %s doesn't permit that host %s moves", host.Pool, host.Name)
	}
	return nil
}
