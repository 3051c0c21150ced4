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
	// loadTimeConstant is the time constant of the offered load: a few jobs of a queue at its peak.
	loadTimeConstant = time.Second
	// peakStartShare of its highest load begins a peak of a pool, lowShare ends it.
	peakStartShare, peakEndShare = 0.5, 0.25
	// fleetPeakShare of the highest load of any pool counts as the least high load of a pool: a few jobs in a
	// trough are no peak, and would put the turns out of order.
	fleetPeakShare = 0.6
	// minPeakLoad is the least load, in cores, that counts as a peak: about that of one host.
	minPeakLoad = 48.0
	// peakLoadSmoothing is the weight of a new sample in the mean load of peaks; there are about seven a second.
	peakLoadSmoothing = 0.06
	// keptPeakIntervals is how many times between peaks the forecast looks back on.
	keptPeakIntervals = 4
	// maxPeakInterval is the longest time between peaks that is taken for a turn.
	maxPeakInterval = 60 * time.Second
)

// offeredLoad is the load that callers offer to a pool.
type offeredLoad struct {
	// load is in cores: core-seconds of submitted work a second, as of at.
	load      float64
	updatedAt time.Duration
	// maxLoad is the highest rate so far; high is set during a peak, and usual is a running mean of
	// the rate in peaks.
	maxLoad      float64
	inPeak       bool
	meanPeakLoad float64
	// lastPeakStart is when the last peak began; 0 before the first.
	lastPeakStart time.Duration
}

// addWork counts submitted work in core-seconds.
func (o *offeredLoad) addWork(work float64, now time.Duration) {
	o.load = o.loadAt(now) + work/loadTimeConstant.Seconds()
	o.updatedAt = now
}

// loadAt is the rate at the given time.
func (o *offeredLoad) loadAt(now time.Duration) float64 {
	return o.load * math.Exp(-(now-o.updatedAt).Seconds()/loadTimeConstant.Seconds())
}

// peakTracker follows the peaks of all pools.
type peakTracker struct {
	loads map[string]*offeredLoad
	// maxLoad is the highest load of any pool so far.
	maxLoad       float64
	lastPeakStart time.Duration
	peakIntervals []time.Duration
}

func newPeakTracker() peakTracker { return peakTracker{loads: map[string]*offeredLoad{}} }

func (t *peakTracker) loadOf(name string) *offeredLoad {
	o := t.loads[name]
	if o == nil {
		o = &offeredLoad{}
		t.loads[name] = o
	}
	return o
}

// observe notes peaks that begin or end.
func (t *peakTracker) observe(now time.Duration) {
	for _, o := range t.loads {
		rate := o.loadAt(now)
		o.maxLoad = max(o.maxLoad, rate)
		t.maxLoad = max(t.maxLoad, rate)
		begins := peakStartShare * max(o.maxLoad, fleetPeakShare*t.maxLoad)
		if o.inPeak && rate > peakStartShare*o.maxLoad {
			o.meanPeakLoad += peakLoadSmoothing * (rate - o.meanPeakLoad)
		}
		switch {
		case !o.inPeak && rate > minPeakLoad && rate >= begins:
			o.inPeak, o.lastPeakStart, o.meanPeakLoad = true, now, max(o.meanPeakLoad, rate)
			if interval := now - t.lastPeakStart; t.lastPeakStart > 0 && interval < maxPeakInterval {
				t.peakIntervals = append(t.peakIntervals, interval)
				t.peakIntervals = t.peakIntervals[max(0, len(t.peakIntervals)-keptPeakIntervals):]
			}
			t.lastPeakStart = now
		case o.inPeak && rate < peakEndShare*o.maxLoad:
			o.inPeak = false
		}
	}
}

// nextPeak forecasts when the next peak begins and in which pools it may be: those whose last peak is the
// longest ago, and all that had none yet. It returns no pools when nothing is known of turns.
func (t *peakTracker) nextPeak() (time.Duration, []string) {
	if len(t.peakIntervals) == 0 {
		return 0, nil
	}
	sorted := slices.Sorted(slices.Values(t.peakIntervals))
	at := t.lastPeakStart + sorted[len(sorted)/2]
	var candidates []string
	oldest := time.Duration(math.MaxInt64)
	for name, o := range t.loads {
		if o.inPeak {
			continue
		}
		if o.lastPeakStart < oldest {
			oldest, candidates = o.lastPeakStart, nil
		}
		if o.lastPeakStart == oldest {
			candidates = append(candidates, name)
		}
	}
	slices.Sort(candidates)
	return at, candidates
}

// expectedPeakLoad is the load of a peak of the pool: its usual one, or the mean of the other pools.
func (t *peakTracker) expectedPeakLoad(pool string) float64 {
	if o := t.loads[pool]; o != nil && o.lastPeakStart > 0 {
		return o.meanPeakLoad
	}
	sum, n := 0.0, 0.0
	for _, o := range t.loads {
		if o.lastPeakStart > 0 {
			sum, n = sum+o.meanPeakLoad, n+1
		}
	}
	return sum / max(1, n)
}

// predictCoreSeconds predicts the core-seconds of a job's finite work.
func (c *Core) predictCoreSeconds(def *work.Job) float64 {
	total := 0.0
	for i := range def.Steps {
		step := &def.Steps[i]
		if !step.Lasting {
			total += c.predictRunTime(def, step).Seconds() * float64(step.Need.CPUMilli) / 1000 * float64(step.Count)
		}
	}
	return total
}

// poolLoad is what decides on the size of a pool.
type poolLoad struct {
	name string
	// currentLoad is the present load in cores, expected that of a peak that is about to begin.
	currentLoad, expectedLoad float64
	// minHosts is the number of hosts that lasting work needs.
	minHosts int
	// coresPerHost is the mean of the pool's hosts.
	coresPerHost float64
	// hosts counts those in the pool or on their way to it.
	hosts int
	// emptyHosts are hosts on which nothing runs, the longest idle first.
	emptyHosts []string
	// busyHosts are hosts on which only finite work runs, those with the least of it first.
	busyHosts []string
}

// hostsFor is the number of hosts that a load of the pool needs.
func (l *poolLoad) hostsFor(cores float64) int {
	if l.coresPerHost <= 0 {
		return l.minHosts
	}
	return max(l.minHosts, int(math.Ceil(cores/l.coresPerHost)))
}

// currentTarget and future are the hosts that the pool needs for its present load, and for the larger of
// that and the expected one.
func (l *poolLoad) currentTarget() int  { return l.hostsFor(l.currentLoad) }
func (l *poolLoad) expectedTarget() int { return l.hostsFor(max(l.currentLoad, l.expectedLoad)) }

// hostMove moves a host to a pool.
type hostMove struct{ host, pool string }

// movePlan collects moves.
type movePlan struct {
	loads []poolLoad
	// standbyHosts are hosts in standby that may be taken.
	standbyHosts []string
	moves        []hostMove
	// vacate are busy hosts that get no new work until they are empty.
	vacate []string
}

// planMoves gives empty hosts to the pools that lack most: first for the present load, from pools
// with more than that needs, and then for expected peaks, from what nobody needs. What is left over
// goes to standby when rest allows it. When there aren't enough, busy hosts are vacated: otherwise
// late work of a peak that is over would hold on to hosts that the next one needs.
func planMoves(loads []poolLoad, standby []string, standbyPool string, rest func(host string) bool) (moves []hostMove, vacate []string) {
	p := movePlan{loads: slices.Clone(loads), standbyHosts: standby}
	p.fillDeficits((*poolLoad).currentTarget)
	p.fillDeficits((*poolLoad).expectedTarget)
	if standbyPool == "" {
		return p.moves, p.vacate
	}
	for i := range p.loads {
		load := &p.loads[i]
		for load.hosts > load.expectedTarget() && len(load.emptyHosts) > 0 && rest(load.emptyHosts[0]) {
			p.moveEmptyHost(load, standbyPool)
		}
	}
	return p.moves, p.vacate
}

// fillDeficits gives hosts to the pools below their target, those that lack most first.
func (p *movePlan) fillDeficits(target func(*poolLoad) int) {
	slices.SortStableFunc(p.loads, func(a, b poolLoad) int {
		return cmp.Or(cmp.Compare(a.hosts-target(&a), b.hosts-target(&b)), cmp.Compare(a.name, b.name))
	})
	for i := range p.loads {
		to := &p.loads[i]
		for to.hosts < target(to) {
			if from := p.donorPool(target); from != nil {
				p.moveEmptyHost(from, to.name)
			} else if len(p.standbyHosts) > 0 {
				p.moves = append(p.moves, hostMove{p.standbyHosts[0], to.name})
				p.standbyHosts = p.standbyHosts[1:]
			} else {
				p.vacateBusyHosts(target(to)-to.hosts, target)
				break
			}
			to.hosts++
		}
	}
}

// donorPool is the pool with an empty host that has most above its target; the expected load counts first.
func (p *movePlan) donorPool(target func(*poolLoad) int) *poolLoad {
	var best *poolLoad
	for i := range p.loads {
		load := &p.loads[i]
		if len(load.emptyHosts) == 0 || load.hosts <= target(load) {
			continue
		}
		if best == nil || load.hosts-load.expectedTarget() > best.hosts-best.expectedTarget() {
			best = load
		}
	}
	return best
}

// moveEmptyHost moves the first empty host out of the pool.
func (p *movePlan) moveEmptyHost(from *poolLoad, to string) {
	p.moves = append(p.moves, hostMove{from.emptyHosts[0], to})
	from.emptyHosts = from.emptyHosts[1:]
	from.hosts--
}

// vacateBusyHosts names up to n busy hosts of pools above their target.
func (p *movePlan) vacateBusyHosts(n int, target func(*poolLoad) int) {
	for i := range p.loads {
		load := &p.loads[i]
		for n > 0 && load.hosts > target(load) && len(load.busyHosts) > 0 {
			p.vacate = append(p.vacate, load.busyHosts[0])
			load.busyHosts = load.busyHosts[1:]
			load.hosts--
			n--
		}
	}
}
