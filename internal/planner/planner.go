// Package planner computes moves of hosts between pools. It is pure: the same input and memory
// give the same plan, and the plan is checked against the newest state before it is proposed.
package planner

import (
	"time"

	"turmericyoke/internal/structs"
)

// Input is what one plan is computed from.
type Input struct {
	// Now is the time on any steady clock.
	Now time.Time
	// Pools and Hosts are sorted by name.
	Pools  []Pool
	Hosts  []Host
	Policy structs.Policy
	// MoveTime is how long a move takes from its proposal until the host serves in its new pool.
	MoveTime time.Duration
}

// Pool is a pool with the demand of this moment.
type Pool struct {
	Name         string
	Spare        bool
	MinAvailable int
	// Headroom is the number of hosts above MinAvailable that planned stops need to go on. A pool
	// with exactly MinAvailable hosts can't be maintained.
	Headroom int
	// MaxUnavailablePerZone bounds unavailable hosts in one zone; 0 means no bound.
	MaxUnavailablePerZone int
	// Demand is the number of slots that running and queued requests ask for.
	Demand float64
}

// Host is a host with where it stands.
type Host struct {
	Name, Pool, Zone, Rack string
	Epoch                  uint64
	// Serving is false for a granted, moving or failed host. A granted host still counts as one of
	// its pool's, since it is back within minutes.
	Serving bool
	Granted bool
	// MoveTo is the pool that a moving host goes to.
	MoveTo string
	Home   string
	Pinned bool
	Slots  int
	// InPoolSince is when the host was first seen in its pool.
	InPoolSince time.Time
}

// Move is one planned move.
type Move struct {
	Host   string
	Epoch  uint64
	From   string
	To     string
	Reason string
}

// Plan is the result of one step.
type Plan struct {
	Moves []Move
	// Pools says what the planner saw, by pool, in the order of the input.
	Pools []PoolPlan
}

// PoolPlan is what the planner saw of one pool.
type PoolPlan struct {
	Name string
	// Hosts counts serving and granted hosts, and those that are on their way into the pool.
	Hosts int
	// Floor is the number of hosts for the held demand at the target utilisation, with buffers.
	Floor int
	// Baseline is the lowest demand of the last minimum stay; the floor is computed from it.
	Baseline float64
	// SustainedPeak is the highest demand that lasted for at least the time of a move and the dwell time.
	SustainedPeak float64
	// Peak is the highest demand of the window, and Mean its mean.
	Peak, Mean float64
	// ShortPeaks is set when the peak asks for more than the pool has, but doesn't last long enough
	// for a move to help.
	ShortPeaks bool
}

// Memory is what one step hands to the next. The zero value is empty; losing it costs one window.
type Memory struct {
	// Samples are the demands of the window by pool, oldest first.
	Samples map[string][]Sample
	// PendingChanges are the pools that should get or give hosts.
	PendingChanges map[string]PendingChange
}

// Sample is the demand of a pool at one point in time.
type Sample struct {
	At     time.Time
	Demand float64
}

// DefaultMoveDwell and DefaultMinStay are used where the policy sets none: a move drains a host for
// up to a minute, so a need has to last longer and a host has to stay for several times that.
const (
	DefaultMoveDwell = time.Minute
	DefaultMinStay   = 10 * time.Minute
)

// DefaultMoveTime is the drain of the longest permitted run and the start of an endpoint.
const DefaultMoveTime = structs.DefaultMaxRunTime + 30*time.Second

func (input *Input) moveDwell() time.Duration {
	if input.Policy.MoveDwell == 0 {
		return DefaultMoveDwell
	}
	return input.Policy.MoveDwell.Duration()
}

func (input *Input) minStay() time.Duration {
	if input.Policy.MinStay == 0 {
		return DefaultMinStay
	}
	return input.Policy.MinStay.Duration()
}

func (input *Input) moveTime() time.Duration {
	if input.MoveTime == 0 {
		return DefaultMoveTime
	}
	return input.MoveTime
}

// horizon is the time for which a move pays off: a moved host stays for at least that long.
func (input *Input) horizon() time.Duration { return max(input.minStay(), input.reactionTime()) }

// reactionTime is how long demand has to last for a move to help.
func (input *Input) reactionTime() time.Duration { return input.moveDwell() + input.moveTime() }

// Step computes the moves of this moment and the memory for the next step.
func Step(input Input, memory Memory) (Plan, Memory) {
	next := Memory{Samples: updateSamples(&input, memory)}
	f := newFleet(&input, next.Samples)
	plan := Plan{Pools: f.poolPlans(), Moves: f.movePinnedHome()}
	if !f.hasEnoughSamples() {
		return plan, next
	}
	moves, changes := f.rebalance(memory.PendingChanges)
	plan.Moves = append(plan.Moves, moves...)
	next.PendingChanges = changes
	return plan, next
}
