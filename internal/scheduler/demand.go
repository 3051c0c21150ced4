package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"turmericyoke/internal/work"
)

// The load pattern that these figures answer: the queues peak in turn, each for some seconds, in which
// a pool is asked for several times what it holds, and then for almost nothing. A host takes a second
// or two to change its pool, so that hosts must leave before the peak is seen. The offered load tells
// of a peak that has begun; the turns of earlier peaks tell of the next one.
const (
	// rateWindow is the time constant of the offered load: a few jobs of a queue at its peak.
	rateWindow = time.Second
	// highShare of its highest load begins a peak of a pool, lowShare ends it.
	highShare, lowShare = 0.5, 0.25
	// minPeakRate is the least load, in cores, that counts as a peak: about that of one host.
	minPeakRate = 48.0
	// keptIntervals is how many times between peaks the forecast looks back on.
	keptIntervals = 4
	// maxInterval is the longest time between peaks that is taken for a turn.
	maxInterval = 60 * time.Second
)

// offered is the load that callers offer to a pool.
type offered struct {
	// rate is in cores: core-seconds of submitted work a second, as of at.
	rate float64
	at   time.Duration
	// highest is the highest rate so far; high is set during a peak.
	highest float64
	high    bool
	// lastPeak is when the last peak began; 0 before the first.
	lastPeak time.Duration
}

// add counts submitted work in core-seconds.
func (o *offered) add(work float64, now time.Duration) {
	o.rate = o.now(now) + work/rateWindow.Seconds()
	o.at = now
}

// now is the rate at the given time.
func (o *offered) now(now time.Duration) float64 {
	return o.rate * math.Exp(-(now-o.at).Seconds()/rateWindow.Seconds())
}

// turns follows the peaks of all pools.
type turns struct {
	pools     map[string]*offered
	lastPeak  time.Duration
	intervals []time.Duration
}

func newTurns() turns { return turns{pools: map[string]*offered{}} }

func (t *turns) pool(name string) *offered {
	o := t.pools[name]
	if o == nil {
		o = &offered{}
		t.pools[name] = o
	}
	return o
}

// observe notes peaks that begin or end.
func (t *turns) observe(now time.Duration) {
	for _, o := range t.pools {
		rate := o.now(now)
		o.highest = max(o.highest, rate)
		switch {
		case !o.high && rate > minPeakRate && rate >= highShare*o.highest:
			o.high, o.lastPeak = true, now
			if interval := now - t.lastPeak; t.lastPeak > 0 && interval < maxInterval {
				t.intervals = append(t.intervals, interval)
				t.intervals = t.intervals[max(0, len(t.intervals)-keptIntervals):]
			}
			t.lastPeak = now
		case o.high && rate < lowShare*o.highest:
			o.high = false
		}
	}
}

// next forecasts when the next peak begins and in which pools it may be: those whose last peak is the
// longest ago, and all that had none yet. It returns no pools when nothing is known of turns.
func (t *turns) next() (time.Duration, []string) {
	if len(t.intervals) == 0 {
		return 0, nil
	}
	sorted := slices.Sorted(slices.Values(t.intervals))
	at := t.lastPeak + sorted[len(sorted)/2]
	var candidates []string
	oldest := time.Duration(math.MaxInt64)
	for name, o := range t.pools {
		if o.high {
			continue
		}
		if o.lastPeak < oldest {
			oldest, candidates = o.lastPeak, nil
		}
		if o.lastPeak == oldest {
			candidates = append(candidates, name)
		}
	}
	slices.Sort(candidates)
	return at, candidates
}

// expected is the load of a peak of the pool: its highest so far, or that of the other pools.
func (t *turns) expected(pool string) float64 {
	if o := t.pools[pool]; o != nil && o.lastPeak > 0 {
		return o.highest
	}
	highest := 0.0
	for _, o := range t.pools {
		if o.lastPeak > 0 {
			highest = max(highest, o.highest)
		}
	}
	return highest
}

// workOf predicts the core-seconds of a job's finite work.
func (c *Core) workOf(def *work.Job) float64 {
	total := 0.0
	for i := range def.Steps {
		step := &def.Steps[i]
		if !step.Lasting {
			total += c.runTime(def, step).Seconds() * float64(step.Need.CPUMilli) / 1000 * float64(step.Count)
		}
	}
	return total
}

// poolLoad is what decides on the size of a pool.
type poolLoad struct {
	name string
	// need is the load in cores that the pool should be able to carry when a host that moves now arrives.
	need float64
	// least is the number of hosts that lasting work needs.
	least int
	// coresPerHost is the mean of the pool's hosts, without what lasting work takes.
	coresPerHost float64
	// hosts counts those in the pool or on their way to it.
	hosts int
	// empty are hosts on which nothing runs, the longest idle first.
	empty []string
	// busy are hosts on which only finite work runs, those with the least of it first.
	busy []string
}

// target is the number of hosts that the pool should have.
func (l *poolLoad) target() int {
	if l.coresPerHost <= 0 {
		return l.least
	}
	return max(l.least, int(math.Ceil(l.need/l.coresPerHost)))
}

// hostMove moves a host to a pool.
type hostMove struct{ host, pool string }

// planMoves gives empty hosts of pools with more than they need, and those in standby, to the pools
// that lack most. What nobody lacks goes to standby when rest allows it. When there aren't enough, it
// names busy hosts that get no new work until they are empty: otherwise late work of a peak that is
// over would hold on to hosts that the next peak needs.
func planMoves(loads []poolLoad, standby []string, standbyPool string, rest func(host string) bool) (moves []hostMove, vacate []string) {
	loads = slices.Clone(loads)
	slices.SortStableFunc(loads, func(a, b poolLoad) int {
		return cmp.Or(cmp.Compare(a.hosts-a.target(), b.hosts-b.target()), cmp.Compare(a.name, b.name))
	})
	var spare, busy []string
	for i := range loads {
		surplus := max(0, loads[i].hosts-loads[i].target())
		empty := min(surplus, len(loads[i].empty))
		spare = append(spare, loads[i].empty[:empty]...)
		busy = append(busy, loads[i].busy[:min(surplus-empty, len(loads[i].busy))]...)
	}
	resting := len(spare)
	spare = append(spare, standby...)
	for i := range loads {
		lack := loads[i].target() - loads[i].hosts
		for ; lack > 0 && len(spare) > 0; lack-- {
			moves = append(moves, hostMove{spare[0], loads[i].name})
			spare, resting = spare[1:], resting-1
		}
		for ; lack > 0 && len(busy) > 0; lack-- {
			vacate, busy = append(vacate, busy[0]), busy[1:]
		}
	}
	if standbyPool == "" {
		return moves, vacate
	}
	for _, host := range spare[:max(0, resting)] {
		if rest(host) {
			moves = append(moves, hostMove{host, standbyPool})
		}
	}
	return moves, vacate
}
