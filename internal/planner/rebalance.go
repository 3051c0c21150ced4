package planner

import (
	"fmt"
	"sort"
	"time"
)

// floorDeficitCost is the cost of each host by which a pool is below its floor. It exceeds any gain of a move
// between pools that are above their floors.
const floorDeficitCost = 1e6

// PendingChange is the direction in which the number of a pool's hosts should change.
type PendingChange struct {
	// Grow is true if the pool should gain hosts, and false if it should lose hosts.
	Grow bool
	// Since is the time since which Grow has been the same without interruption.
	Since time.Time
}

// rebalance plans moves towards the cheapest distribution of hosts, and returns them with the pending changes
// for the next step. The changes of both pools of a move must have been pending for the dwell time, so that
// demand which changes faster than hosts can be moved doesn't cause moves.
func (f *fleet) rebalance(previous map[string]PendingChange) ([]Move, map[string]PendingChange) {
	targets := f.targets()
	changes := f.pendingChanges(targets, previous)
	donors, receivers := f.donorsAndReceivers(targets, changes)
	var moves []Move
	for _, to := range receivers {
		for to.hostCount < targets[to.Name] {
			host := f.pickDonorHost(donors, targets, to)
			if host == nil {
				break
			}
			moves = append(moves, f.applyMove(host, to, f.moveReason(f.byName[host.Pool], to)))
		}
	}
	return moves, changes
}

// moveReason returns the reason that is logged with a move.
func (f *fleet) moveReason(from, to *poolState) string {
	return fmt.Sprintf("%s has %d hosts with a floor of %d, %s has %d with a floor of %d",
		to.Name, to.hostCount, to.floor, from.Name, from.hostCount, from.floor)
}

// targets returns the number of hosts of each pool in the cheapest distribution, where each move has to gain
// more than it costs. Costs are convex in the number of hosts, so repeating the best single move finds it.
func (f *fleet) targets() map[string]int {
	counts := make([]int, len(f.pools))
	gains := make([]float64, len(f.pools))
	losses := make([]float64, len(f.pools))
	update := func(i int) {
		gains[i], losses[i] = f.gainOfAdding(f.pools[i], counts[i]), f.lossOfRemoving(f.pools[i], counts[i])
	}
	for i, p := range f.pools {
		counts[i] = p.hostCount
		update(i)
	}
	for {
		from, to := f.bestPair(counts, gains, losses)
		if from == to || gains[to]-losses[from] <= f.input.Policy.MoveCost {
			break
		}
		counts[from]--
		counts[to]++
		update(from)
		update(to)
	}
	targets := make(map[string]int, len(f.pools))
	for i, p := range f.pools {
		targets[p.Name] = counts[i]
	}
	return targets
}

// bestPair returns the indexes of the pool that loses least by giving up a host and of the one that gains
// most by getting one. At equal losses, the spare pool is preferred to give one up.
func (f *fleet) bestPair(counts []int, gains, losses []float64) (from, to int) {
	from = -1
	for i, p := range f.pools {
		if gains[i] > gains[to] {
			to = i
		}
		if counts[i] == 0 {
			continue
		}
		if from < 0 || losses[i] < losses[from] || (losses[i] == losses[from] && p.Spare) {
			from = i
		}
	}
	return max(from, 0), to
}

// pendingChanges returns the pools that don't have their target number of hosts. A change in the same
// direction as in the previous step keeps its time.
func (f *fleet) pendingChanges(targets map[string]int, previous map[string]PendingChange) map[string]PendingChange {
	changes := map[string]PendingChange{}
	for _, p := range f.pools {
		if targets[p.Name] == p.hostCount {
			continue
		}
		change := PendingChange{Grow: targets[p.Name] > p.hostCount, Since: f.input.Now}
		if old, known := previous[p.Name]; known && old.Grow == change.Grow {
			change.Since = old.Since
		}
		changes[p.Name] = change
	}
	return changes
}

// donorsAndReceivers returns the pools whose change has been pending for the dwell time: the donors with the
// spare pool first, and the receivers with those furthest below their target first.
func (f *fleet) donorsAndReceivers(targets map[string]int, changes map[string]PendingChange) (donors, receivers []*poolState) {
	for _, p := range f.pools {
		change, known := changes[p.Name]
		if !known || f.input.Now.Sub(change.Since) < f.input.moveDwell() {
			continue
		}
		if change.Grow {
			receivers = append(receivers, p)
		} else {
			donors = append(donors, p)
		}
	}
	sort.SliceStable(donors, func(i, j int) bool { return donors[i].Spare && !donors[j].Spare })
	sort.SliceStable(receivers, func(i, j int) bool {
		return targets[receivers[i].Name]-receivers[i].hostCount > targets[receivers[j].Name]-receivers[j].hostCount
	})
	return donors, receivers
}

// pickDonorHost returns a host to move from the first donor above its target that has a suitable one, or nil.
func (f *fleet) pickDonorHost(donors []*poolState, targets map[string]int, to *poolState) *Host {
	for _, from := range donors {
		if from.hostCount <= targets[from.Name] {
			continue
		}
		if host := f.pickHost(from, to); host != nil {
			return host
		}
	}
	return nil
}

// gainOfAdding returns the cost that the pool saves over the horizon with n+1 instead of n hosts.
func (f *fleet) gainOfAdding(p *poolState, n int) float64 {
	gain := (f.hourlyCost(p, n) - f.hourlyCost(p, n+1)) * f.input.horizon().Hours()
	if n < p.floor {
		gain += floorDeficitCost
	}
	return gain
}

// lossOfRemoving returns the additional cost of the pool over the horizon with n-1 instead of n hosts.
func (f *fleet) lossOfRemoving(p *poolState, n int) float64 {
	loss := (f.hourlyCost(p, n-1) - f.hourlyCost(p, n)) * f.input.horizon().Hours()
	if n-1 < p.floor {
		loss += floorDeficitCost
	}
	return loss
}
