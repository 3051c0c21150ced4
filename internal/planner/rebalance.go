package planner

import (
	"fmt"
	"sort"
	"time"
)

// deficitWeight makes a host below the floor worth more than any gain between pools above theirs.
const deficitWeight = 1e6

// Wish is whether a pool should get or give hosts, and since when without a change.
type Wish struct {
	// Takes is set for a pool that should get hosts, and unset for one that should give.
	Takes bool
	Since time.Time
}

// rebalance moves hosts towards the cheapest split. Both pools of a move must have had their wish
// for the dwell time, so that demand which changes faster than hosts can move causes none.
func (f *fleet) rebalance(before map[string]Wish) ([]Move, map[string]Wish) {
	targets := f.targets()
	wishes := f.wishes(targets, before)
	givers, takers := f.sides(targets, wishes)
	var moves []Move
	for _, to := range takers {
		for to.hosts < targets[to.Name] {
			host := f.pickFrom(givers, targets, to)
			if host == nil {
				break
			}
			moves = append(moves, f.apply(host, to, f.reason(f.byName[host.Pool], to)))
		}
	}
	return moves, wishes
}

func (f *fleet) reason(from, to *pool) string {
	return fmt.Sprintf("%s has %d hosts with a floor of %d, %s has %d with a floor of %d",
		to.Name, to.hosts, to.floor, from.Name, from.hosts, from.floor)
}

// targets returns the number of hosts of each pool in the cheapest split that moves can pay for.
// Costs are convex in the number of hosts, so taking the best single move again and again finds it.
func (f *fleet) targets() map[string]int {
	counts := make([]int, len(f.pools))
	gains := make([]float64, len(f.pools))
	losses := make([]float64, len(f.pools))
	update := func(i int) { gains[i], losses[i] = f.gain(f.pools[i], counts[i]), f.loss(f.pools[i], counts[i]) }
	for i, p := range f.pools {
		counts[i] = p.hosts
		update(i)
	}
	for {
		from, to := f.bestPair(counts, gains, losses)
		if from == to || gains[to]-losses[from] <= f.in.Policy.MoveCost {
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

// bestPair returns the pool with the lowest loss and the one with the highest gain. At equal loss
// the spare pool gives first.
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

// wishes compares targets with hosts, and keeps the time of a wish that hasn't changed.
func (f *fleet) wishes(targets map[string]int, before map[string]Wish) map[string]Wish {
	wishes := map[string]Wish{}
	for _, p := range f.pools {
		if targets[p.Name] == p.hosts {
			continue
		}
		wish := Wish{Takes: targets[p.Name] > p.hosts, Since: f.in.Now}
		if old, known := before[p.Name]; known && old.Takes == wish.Takes {
			wish.Since = old.Since
		}
		wishes[p.Name] = wish
	}
	return wishes
}

// sides returns the pools whose wish has lasted: givers with the spare pool first, and takers with
// the one furthest below its target first.
func (f *fleet) sides(targets map[string]int, wishes map[string]Wish) (givers, takers []*pool) {
	for _, p := range f.pools {
		wish, known := wishes[p.Name]
		if !known || f.in.Now.Sub(wish.Since) < f.in.dwell() {
			continue
		}
		if wish.Takes {
			takers = append(takers, p)
		} else {
			givers = append(givers, p)
		}
	}
	sort.SliceStable(givers, func(i, j int) bool { return givers[i].Spare && !givers[j].Spare })
	sort.SliceStable(takers, func(i, j int) bool {
		return targets[takers[i].Name]-takers[i].hosts > targets[takers[j].Name]-takers[j].hosts
	})
	return givers, takers
}

func (f *fleet) pickFrom(givers []*pool, targets map[string]int, to *pool) *Host {
	for _, from := range givers {
		if from.hosts <= targets[from.Name] {
			continue
		}
		if host := f.pick(from, to); host != nil {
			return host
		}
	}
	return nil
}

// gain is what one more than n hosts saves the pool over the horizon.
func (f *fleet) gain(p *pool, n int) float64 {
	gain := (f.cost(p, n) - f.cost(p, n+1)) * f.in.horizon().Hours()
	if n < p.floor {
		gain += deficitWeight
	}
	return gain
}

// loss is what one less than n hosts costs the pool over the horizon.
func (f *fleet) loss(p *pool, n int) float64 {
	loss := (f.cost(p, n-1) - f.cost(p, n)) * f.in.horizon().Hours()
	if n-1 < p.floor {
		loss += deficitWeight
	}
	return loss
}
