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
	// fleetShare of the highest load of any pool counts as the least high load of a pool: a few jobs in a
	// trough are no peak, and would put the turns out of order.
	fleetShare = 0.6
	// minPeakRate is the least load, in cores, that counts as a peak: about that of one host.
	minPeakRate = 48.0
	// usualRate is the weight of a new sample in the mean load of peaks; there are about seven a second.
	usualRate = 0.06
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
	// highest is the highest rate so far; high is set during a peak, and usual is a running mean of
	// the rate in peaks.
	highest float64
	high    bool
	usual   float64
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
	pools map[string]*offered
	// highest is the highest load of any pool so far.
	highest   float64
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
		t.highest = max(t.highest, rate)
		begins := highShare * max(o.highest, fleetShare*t.highest)
		if o.high && rate > highShare*o.highest {
			o.usual += usualRate * (rate - o.usual)
		}
		switch {
		case !o.high && rate > minPeakRate && rate >= begins:
			o.high, o.lastPeak, o.usual = true, now, max(o.usual, rate)
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

// expected is the load of a peak of the pool: its usual one, or the mean of the other pools.
func (t *turns) expected(pool string) float64 {
	if o := t.pools[pool]; o != nil && o.lastPeak > 0 {
		return o.usual
	}
	sum, n := 0.0, 0.0
	for _, o := range t.pools {
		if o.lastPeak > 0 {
			sum, n = sum+o.usual, n+1
		}
	}
	return sum / max(1, n)
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
	// need is the present load in cores, expected that of a peak that is about to begin.
	need, expected float64
	// least is the number of hosts that lasting work needs.
	least int
	// coresPerHost is the mean of the pool's hosts.
	coresPerHost float64
	// hosts counts those in the pool or on their way to it.
	hosts int
	// empty are hosts on which nothing runs, the longest idle first.
	empty []string
	// busy are hosts on which only finite work runs, those with the least of it first.
	busy []string
}

// target is the number of hosts that a load of the pool needs.
func (l *poolLoad) target(cores float64) int {
	if l.coresPerHost <= 0 {
		return l.least
	}
	return max(l.least, int(math.Ceil(cores/l.coresPerHost)))
}

// present and future are the hosts that the pool needs for its present load, and for the larger of
// that and the expected one.
func (l *poolLoad) present() int { return l.target(l.need) }
func (l *poolLoad) future() int  { return l.target(max(l.need, l.expected)) }

// hostMove moves a host to a pool.
type hostMove struct{ host, pool string }

// movePlan collects moves.
type movePlan struct {
	loads []poolLoad
	// standby are hosts in standby that may be taken.
	standby []string
	moves   []hostMove
	// vacate are busy hosts that get no new work until they are empty.
	vacate []string
}

// planMoves gives empty hosts to the pools that lack most: first for the present load, from pools
// with more than that needs, and then for expected peaks, from what nobody needs. What is left over
// goes to standby when rest allows it. When there aren't enough, busy hosts are vacated: otherwise
// late work of a peak that is over would hold on to hosts that the next one needs.
func planMoves(loads []poolLoad, standby []string, standbyPool string, rest func(host string) bool) (moves []hostMove, vacate []string) {
	p := movePlan{loads: slices.Clone(loads), standby: standby}
	p.give((*poolLoad).present)
	p.give((*poolLoad).future)
	if standbyPool == "" {
		return p.moves, p.vacate
	}
	for i := range p.loads {
		load := &p.loads[i]
		for load.hosts > load.future() && len(load.empty) > 0 && rest(load.empty[0]) {
			p.take(load, standbyPool)
		}
	}
	return p.moves, p.vacate
}

// give gives hosts to the pools below their target, those that lack most first.
func (p *movePlan) give(target func(*poolLoad) int) {
	slices.SortStableFunc(p.loads, func(a, b poolLoad) int {
		return cmp.Or(cmp.Compare(a.hosts-target(&a), b.hosts-target(&b)), cmp.Compare(a.name, b.name))
	})
	for i := range p.loads {
		to := &p.loads[i]
		for to.hosts < target(to) {
			if from := p.donor(target); from != nil {
				p.take(from, to.name)
			} else if len(p.standby) > 0 {
				p.moves = append(p.moves, hostMove{p.standby[0], to.name})
				p.standby = p.standby[1:]
			} else {
				p.vacateFor(target(to)-to.hosts, target)
				break
			}
			to.hosts++
		}
	}
}

// donor is the pool with an empty host that has most above its target; the expected load counts first.
func (p *movePlan) donor(target func(*poolLoad) int) *poolLoad {
	var best *poolLoad
	for i := range p.loads {
		load := &p.loads[i]
		if len(load.empty) == 0 || load.hosts <= target(load) {
			continue
		}
		if best == nil || load.hosts-load.future() > best.hosts-best.future() {
			best = load
		}
	}
	return best
}

// take moves the first empty host out of the pool.
func (p *movePlan) take(from *poolLoad, to string) {
	p.moves = append(p.moves, hostMove{from.empty[0], to})
	from.empty = from.empty[1:]
	from.hosts--
}

// vacateFor names up to n busy hosts of pools above their target.
func (p *movePlan) vacateFor(n int, target func(*poolLoad) int) {
	for i := range p.loads {
		load := &p.loads[i]
		for n > 0 && load.hosts > target(load) && len(load.busy) > 0 {
			p.vacate = append(p.vacate, load.busy[0])
			load.busy = load.busy[1:]
			load.hosts--
			n--
		}
	}
}
