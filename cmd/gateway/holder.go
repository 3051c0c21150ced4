package main

import (
	"context"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/exchange"
	"turmericyoke/internal/rights"
)

// holder is the gateway's part in the escrow of limits: rights, lease and membership.
type holder interface {
	rights.Source
	exchange.Lease
	exchange.Pending
	// Run joins, renews the lease and claims rights until ctx ends.
	Run(ctx context.Context) error
	// Leave returns all rights and leaves the zone.
	Leave(ctx context.Context) error
}

// newHolder returns the holder of the process.
func newHolder() holder { return closedHolder{} }

// closedHolder never has a lease, so the gateway admits nothing. It stands here until the lease and
// rights packages are wired in.
type closedHolder struct{}

// Acquire implements rights.Source.
func (closedHolder) Acquire(string) (func(), *fault.Error) {
	return nil, fault.New(fault.LeaseLapsed, "the gateway has no lease")
}

// Free implements rights.Source.
func (closedHolder) Free(string) uint64 { return 0 }

// LeaseHeld implements rights.Source.
func (closedHolder) LeaseHeld() bool { return false }

// Heard implements exchange.Lease.
func (closedHolder) Heard(string, string) {}

// Renewed implements exchange.Lease.
func (closedHolder) Renewed(string, string, time.Time) {}

// MayRenew implements exchange.Lease.
func (closedHolder) MayRenew(string, string) bool { return false }

// Vow implements exchange.Lease.
func (closedHolder) Vow(string, string) *v1.Vow { return nil }

// Copy implements exchange.Pending.
func (closedHolder) Copy(string) *v1.RefusalBatch { return nil }

// Keep implements exchange.Pending.
func (closedHolder) Keep(*v1.RefusalBatch) {}

// Run implements holder.
func (closedHolder) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Leave implements holder.
func (closedHolder) Leave(context.Context) error { return nil }
