// Package planner computes moves of hosts between pools. Step is a pure function: the same input and memory
// always give the same plan. The moves of a plan are checked against the newest state before they are
// proposed.
package planner

import (
	"time"

	"turmericyoke/internal/structs"
)

// Input is the state from which one plan is computed, in addition to Memory.
type Input struct {
	// Now is the current time on a monotonic clock, whose origin doesn't matter.
	Now time.Time
	// Pools and Hosts are sorted by name.
	Pools  []Pool
	Hosts  []Host
	Policy structs.Policy
	// MoveTime is how long a move takes from its proposal until the host serves in its new pool.
	MoveTime time.Duration
}

// Pool is a pool with its current demand.
type Pool struct {
	Name         string
	Spare        bool
	MinAvailable int
	// Headroom is the number of hosts above MinAvailable that planned maintenance needs to progress. The
	// hosts of a pool with exactly MinAvailable hosts can't be stopped for maintenance.
	Headroom int
	// MaxUnavailablePerZone limits the unavailable hosts in one zone; 0 means no limit.
	MaxUnavailablePerZone int
	// Demand is the number of slots that running and queued requests ask for.
	Demand float64
}

// Host is a host with its location and state.
type Host struct {
	Name, Pool, Zone, Rack string
	Epoch                  uint64
	// Serving is false for a granted, moving or failed host. A granted host, which is stopped for planned
	// maintenance, still counts as one of its pool's hosts, since it is back within minutes.
	Serving bool
	Granted bool
	// MoveTo is the destination pool of a moving host.
	MoveTo string
	// Home is the pool in which the document declares the host. A pinned host is moved back to it.
	Home   string
	Pinned bool
	Slots  int
	// InPoolSince is when the host was first seen in its current pool.
	InPoolSince time.Time
}

// Move is one planned move of a host.
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
	// Pools holds the figures on which the moves are based, in the order of Input.Pools.
	Pools []PoolPlan
}

// PoolPlan holds the planner's figures for one pool.
type PoolPlan struct {
	Name string
	// Hosts counts serving and granted hosts, and those that are moving into the pool.
	Hosts int
	// Floor is the number of hosts that the baseline needs at the target utilisation, with buffers, but at least
	// MinAvailable plus Headroom.
	Floor int
	// Baseline is the lowest demand within the last horizon; the floor is computed from it.
	Baseline float64
	// SustainedPeak is the highest demand that lasted for at least the dwell time and the time of a move.
	SustainedPeak float64
	// Peak and Mean are the highest and the mean demand of the window.
	Peak, Mean float64
	// ShortPeaks is set when the peak exceeds the pool's capacity, but doesn't last long enough for a move to
	// help.
	ShortPeaks bool
}

// Memory is the state that one step passes to the next. The zero value is empty. After a loss of the memory,
// the window of samples has to be collected again.
type Memory struct {
	// Samples are the demands of each pool within the window, oldest first.
	Samples map[string][]Sample
	// PendingChanges holds the pools that should gain or lose hosts, by name.
	PendingChanges map[string]PendingChange
}

// Sample is the demand of a pool at one time.
type Sample struct {
	At     time.Time
	Demand float64
}

// DefaultMoveDwell and DefaultMinStay apply where the policy sets none. A move drains a host for up to a
// minute, so the need for it has to last longer, and the host has to stay for several times as long.
const (
	DefaultMoveDwell = time.Minute
	DefaultMinStay   = 10 * time.Minute
)

// DefaultMoveTime is the time to drain the longest permitted run and to start an endpoint.
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

// horizon is the time over which a move has to pay off. It is at least the minimum stay of a moved host.
func (input *Input) horizon() time.Duration { return max(input.minStay(), input.reactionTime()) }

// reactionTime is how long a change of demand has to last for a move to help: the dwell time and the time of
// the move.
func (input *Input) reactionTime() time.Duration { return input.moveDwell() + input.moveTime() }

// Step computes the moves to make now, and the memory for the next step. Until the samples cover one horizon,
// it only returns pinned hosts to their declared pools.
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
