package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"turmericyoke/internal/work"
)

// The forecast is designed for pools whose loads peak in turn: for some seconds a pool is asked for several
// times its capacity, and then for almost nothing. A host takes a second or two to change its pool, so
// that hosts must start to move before the peak is seen. The offered load shows a peak that has started;
// the order and the intervals of earlier peaks predict the next one.
const (
	// loadTimeConstant is the time constant with which the offered load decays: a few jobs of a queue
	// arrive in that time during a peak.
	loadTimeConstant = time.Second
	// A peak of a pool begins when its load reaches peakStartShare of its highest load, and ends below
	// peakEndShare of it.
	peakStartShare, peakEndShare = 0.5, 0.25
	// When a peak begins, a pool's highest load is assumed to be at least fleetPeakShare of the highest load of
	// any pool. Otherwise a few jobs between peaks would count as a peak, and confuse the order of the peaks.
	fleetPeakShare = 0.6
	// minPeakLoad is the lowest load, in cores, that counts as a peak: about the cores of one host.
	minPeakLoad = 48.0
	// peakLoadSmoothing is the weight of a new sample in the moving average of the load in peaks; there
	// are about seven samples a second.
	peakLoadSmoothing = 0.06
	// keptPeakIntervals is the number of intervals between peaks on which the forecast is based.
	keptPeakIntervals = 4
	// maxPeakInterval is the longest time between two peaks that counts as an interval.
	maxPeakInterval = 60 * time.Second
)

// offeredLoad is the load that callers offer to a pool: an exponentially decaying average of the work
// that they submit.
type offeredLoad struct {
	// load is in cores (core-seconds of submitted work a second), as of updatedAt.
	load      float64
	updatedAt time.Duration
	// maxLoad is the highest load so far, inPeak is set during a peak, and meanPeakLoad is a moving
	// average of the load in peaks.
	maxLoad      float64
	inPeak       bool
	meanPeakLoad float64
	// lastPeakStart is when the last peak began; 0 before the first.
	lastPeakStart time.Duration
}

// addWork counts submitted work, in core-seconds.
func (o *offeredLoad) addWork(coreSeconds float64, now time.Duration) {
	o.load = o.loadAt(now) + coreSeconds/loadTimeConstant.Seconds()
	o.updatedAt = now
}

// loadAt returns the load at the given time, if no work is added until then.
func (o *offeredLoad) loadAt(now time.Duration) float64 {
	return o.load * math.Exp(-(now-o.updatedAt).Seconds()/loadTimeConstant.Seconds())
}

// peakTracker detects the peaks of all pools and forecasts the next one.
type peakTracker struct {
	// loads holds the offered load of each pool.
	loads map[string]*offeredLoad
	// maxLoad is the highest load of any pool so far.
	maxLoad float64
	// lastPeakStart is when the last peak of any pool began, and peakIntervals are the last intervals
	// between the starts of peaks.
	lastPeakStart time.Duration
	peakIntervals []time.Duration
}

func newPeakTracker() peakTracker { return peakTracker{loads: map[string]*offeredLoad{}} }

// loadOf returns the offered load of the pool, and adds it if there is none.
func (t *peakTracker) loadOf(pool string) *offeredLoad {
	o := t.loads[pool]
	if o == nil {
		o = &offeredLoad{}
		t.loads[pool] = o
	}
	return o
}

// observe samples the loads, and records the peaks that begin or end.
func (t *peakTracker) observe(now time.Duration) {
	for _, o := range t.loads {
		load := o.loadAt(now)
		o.maxLoad = max(o.maxLoad, load)
		t.maxLoad = max(t.maxLoad, load)
		startThreshold := peakStartShare * max(o.maxLoad, fleetPeakShare*t.maxLoad)
		if o.inPeak && load > peakStartShare*o.maxLoad {
			o.meanPeakLoad += peakLoadSmoothing * (load - o.meanPeakLoad)
		}
		switch {
		case !o.inPeak && load > minPeakLoad && load >= startThreshold:
			o.inPeak, o.lastPeakStart, o.meanPeakLoad = true, now, max(o.meanPeakLoad, load)
			if interval := now - t.lastPeakStart; t.lastPeakStart > 0 && interval < maxPeakInterval {
				t.peakIntervals = append(t.peakIntervals, interval)
				t.peakIntervals = t.peakIntervals[max(0, len(t.peakIntervals)-keptPeakIntervals):]
			}
			t.lastPeakStart = now
		case o.inPeak && load < peakEndShare*o.maxLoad:
			o.inPeak = false
		}
	}
}

// nextPeak forecasts when the next peak begins, which is the median of the last intervals after the last
// peak, and in which pools it may be: all pools without a peak so far or, if there are none, the pool whose
// last peak began longest ago. Pools that are in a peak don't count. It returns no pools before the first
// interval.
func (t *peakTracker) nextPeak() (time.Duration, []string) {
	if len(t.peakIntervals) == 0 {
		return 0, nil
	}
	sorted := slices.Sorted(slices.Values(t.peakIntervals))
	start := t.lastPeakStart + sorted[len(sorted)/2]
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
	return start, candidates
}

// expectedPeakLoad returns the load that a peak of the pool is expected to have: the mean of its earlier
// peaks or, before the first, that of the other pools.
func (t *peakTracker) expectedPeakLoad(pool string) float64 {
	if o := t.loads[pool]; o != nil && o.lastPeakStart > 0 {
		return o.meanPeakLoad
	}
	sum, count := 0.0, 0.0
	for _, o := range t.loads {
		if o.lastPeakStart > 0 {
			sum, count = sum+o.meanPeakLoad, count+1
		}
	}
	return sum / max(1, count)
}

// predictCoreSeconds returns the core-seconds that one occurrence of the job is expected to need, without
// its lasting steps.
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

// poolLoad holds the load and the hosts of a pool, on which the planned size of the pool is based.
type poolLoad struct {
	name string
	// currentLoad is in cores, as is expectedLoad, the load of a peak that is about to begin.
	currentLoad, expectedLoad float64
	// minHosts is the number of hosts that the pool needs for lasting work, with the spare hosts.
	minHosts int
	// trialHosts is the number of hosts that the pool needs for trials besides minHosts. No other pool gives up hosts
	// for them that its load needs.
	trialHosts int
	// coresPerHost is the mean of the pool's hosts.
	coresPerHost float64
	// hosts is the number of hosts in the pool or on their way to it.
	hosts int
	// emptyHosts are movable hosts on which nothing runs, the longest idle first.
	emptyHosts []string
	// busyHosts are movable hosts on which work runs, but no lasting work, those with the fewest work
	// items first.
	busyHosts []string
}

// hostsFor returns the number of hosts that the pool needs for a load in cores.
func (l *poolLoad) hostsFor(cores float64) int {
	if l.coresPerHost <= 0 {
		return l.minHosts
	}
	return max(l.minHosts, int(math.Ceil(cores/l.coresPerHost)))
}

// currentTarget is the number of hosts that the pool needs for its current load, and expectedTarget the
// number for the larger of the current and the expected load.
func (l *poolLoad) currentTarget() int  { return l.hostsFor(l.currentLoad) }
func (l *poolLoad) expectedTarget() int { return l.hostsFor(max(l.currentLoad, l.expectedLoad)) }

// trialTarget is the number of hosts that the pool needs for its expected load and for trials.
func (l *poolLoad) trialTarget() int { return max(l.expectedTarget(), l.minHosts+l.trialHosts) }

// hostMove is a planned move of a host to a pool.
type hostMove struct{ host, pool string }

// movePlan is a plan under construction. As moves are added, the hosts of loads and standbyHosts are
// updated.
type movePlan struct {
	loads []poolLoad
	// standbyHosts are the movable hosts in standby that have no move yet.
	standbyHosts []string
	moves        []hostMove
	// vacate are busy hosts that get no new work until they are empty.
	vacate []string
}

// planMoves moves empty hosts to the pools that lack most hosts: first for the current load, from pools
// that have more than their current load needs, and then for expected peaks, from pools that have more
// than both need; last, hosts that no load needs move to pools with waiting suspects. The empty hosts of pools that
// still have too many move to standby, if mayEnterStandby allows it. When there are too few empty hosts, busy ones are vacated: otherwise late work of a peak
// that is over would keep the hosts that the next peak needs.
func planMoves(loads []poolLoad, standbyHosts []string, standbyPool string, mayEnterStandby func(host string) bool) (moves []hostMove, vacate []string) {
	p := movePlan{loads: slices.Clone(loads), standbyHosts: standbyHosts}
	p.fillDeficits((*poolLoad).currentTarget)
	p.fillDeficits((*poolLoad).expectedTarget)
	p.fillDeficits((*poolLoad).trialTarget)
	if standbyPool == "" {
		return p.moves, p.vacate
	}
	for i := range p.loads {
		load := &p.loads[i]
		for load.hosts > load.trialTarget() && len(load.emptyHosts) > 0 && mayEnterStandby(load.emptyHosts[0]) {
			p.moveEmptyHost(load, standbyPool)
		}
	}
	return p.moves, p.vacate
}

// fillDeficits moves empty hosts and hosts in standby to the pools below their target, those that lack most
// hosts first. When none are left, it vacates busy hosts.
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

// donorPool returns the pool from which the next empty host is taken: of the pools with an empty host
// that are above their target, the one with most hosts above its expected target. It is nil if there is none.
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

// moveEmptyHost plans a move of the longest idle host of a pool to another pool.
func (p *movePlan) moveEmptyHost(from *poolLoad, to string) {
	p.moves = append(p.moves, hostMove{from.emptyHosts[0], to})
	from.emptyHosts = from.emptyHosts[1:]
	from.hosts--
}

// vacateBusyHosts chooses up to n busy hosts of pools above their target that get no new work.
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
