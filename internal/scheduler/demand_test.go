package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "turmericyoke/internal/fixedseed"
	"turmericyoke/internal/work"
)

// offerRotatingPeaks offers load to four pools that peak one after the other for five seconds each. Four times
// a second it calls tracker.observe and then observe.
func offerRotatingPeaks(tracker *peakTracker, cycles int, observe func(now time.Duration)) {
	const cores, jobsPerSecond = 1000.0, 25
	step := time.Second / jobsPerSecond
	for now := time.Minute; now < time.Minute+time.Duration(cycles)*20*time.Second; now += step {
		peak := int((now - time.Minute) / (5 * time.Second))
		tracker.loadOf(fmt.Sprint("pool-", peak%4)).addWork(cores/jobsPerSecond, now)
		if now%(250*time.Millisecond) < step {
			tracker.observe(now)
			observe(now)
		}
	}
}

// Guards against hosts that start to move only after a peak has begun. From the second cycle on, the start of
// the next peak must be forecast within moveLeadMargin, and only for the pool that peaks next.
func TestRotatingPeaksAreForecast(t *testing.T) {
	tracker := newPeakTracker()
	checked := 0
	offerRotatingPeaks(&tracker, 3, func(now time.Duration) {
		sinceStart := (now - time.Minute) % (5 * time.Second)
		peak := int((now - time.Minute) / (5 * time.Second))
		if peak < 5 || sinceStart < 2500*time.Millisecond || sinceStart > 4500*time.Millisecond {
			return
		}
		forecast, pools := tracker.nextPeak()
		nextStart := now - sinceStart + 5*time.Second
		assert.Assert(t, (forecast-nextStart).Abs() < moveLeadMargin, "peak %d: the next peak is forecast at %s and starts at %s", peak, forecast, nextStart)
		assert.DeepEqual(t, pools, []string{fmt.Sprint("pool-", (peak+1)%4)})
		checked++
	})
	assert.Assert(t, checked > 20)
}

// Guards against forecasting peaks from a steady load.
func TestSteadyLoadGivesNoForecast(t *testing.T) {
	tracker := newPeakTracker()
	for now := time.Minute; now < 2*time.Minute; now += 40 * time.Millisecond {
		tracker.loadOf("one").addWork(8, now)
		tracker.observe(now)
	}
	_, pools := tracker.nextPeak()
	assert.Equal(t, len(pools), 0)
}

// Guards against moves for an expected peak of one pool while another pool lacks hosts for its current load.
func TestCurrentLoadGoesBeforeExpectedPeaks(t *testing.T) {
	loads := []poolLoad{
		{name: "expects-peak", expectedLoad: 640, coresPerHost: 64, hosts: 2},
		{name: "lacks-hosts", currentLoad: 192, coresPerHost: 64, hosts: 1},
		{name: "surplus", minHosts: 1, coresPerHost: 64, hosts: 4, emptyHosts: []string{"a", "b"}, busyHosts: []string{"c"}},
	}
	moves, vacate := planMoves(loads, nil, "standby", func(string) bool { return true })
	assert.Equal(t, len(moves), 2)
	for _, m := range moves {
		assert.Equal(t, m.pool, "lacks-hosts")
	}
	assert.DeepEqual(t, vacate, []string{"c"})
}

// Guards against idle hosts that never move to standby, and against hosts that move there although they are
// needed or mayEnterStandby forbids it.
func TestIdleHostsMoveToStandby(t *testing.T) {
	loads := []poolLoad{{name: "idle", minHosts: 2, coresPerHost: 64, hosts: 4, emptyHosts: []string{"a", "b", "c"}}}
	moves, _ := planMoves(loads, nil, "standby", func(string) bool { return true })
	assert.DeepEqual(t, moves, []hostMove{{"a", "standby"}, {"b", "standby"}}, compareHostMoves)
	moves, _ = planMoves(loads, nil, "standby", func(string) bool { return false })
	assert.Equal(t, len(moves), 0)
}

// Guards against plans that take hosts which a pool needs for its current target, move a host twice, vacate a
// host that is empty or moves, or leave a pool short of hosts while another pool has an empty host to spare.
func TestMovesAreSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var loads []poolLoad
		serial := 0
		newHosts := func(n int) (hosts []string) {
			for range n {
				serial++
				hosts = append(hosts, fmt.Sprint("host-", serial))
			}
			return hosts
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "pools") {
			empty, busy := rapid.IntRange(0, 6).Draw(t, "empty"), rapid.IntRange(0, 6).Draw(t, "busy")
			loads = append(loads, poolLoad{name: fmt.Sprint("pool-", i), coresPerHost: 64, minHosts: rapid.IntRange(0, 4).Draw(t, "least"),
				currentLoad: float64(rapid.IntRange(0, 900).Draw(t, "need")), expectedLoad: float64(rapid.IntRange(0, 900).Draw(t, "expected")),
				hosts: empty + busy, emptyHosts: newHosts(empty), busyHosts: newHosts(busy)})
		}
		standbyHosts := newHosts(rapid.IntRange(0, 5).Draw(t, "standby"))
		moves, vacate := planMoves(loads, standbyHosts, "standby", func(string) bool { return true })
		hostCount, poolOfEmpty, moved := map[string]int{}, map[string]string{}, map[string]bool{}
		for _, load := range loads {
			hostCount[load.name] = load.hosts
			for _, host := range load.emptyHosts {
				poolOfEmpty[host] = load.name
			}
		}
		for _, m := range moves {
			if moved[m.host] {
				t.Fatalf("%s moves twice", m.host)
			}
			moved[m.host] = true
			hostCount[poolOfEmpty[m.host]]--
			hostCount[m.pool]++
		}
		for _, host := range vacate {
			if poolOfEmpty[host] != "" || moved[host] {
				t.Fatalf("%s is vacated although it is empty or moves", host)
			}
		}
		for _, load := range loads {
			if hostCount[load.name] < min(load.hosts, load.currentTarget()) {
				t.Fatalf("%s is left with %d hosts; it had %d and needs %d", load.name, hostCount[load.name], load.hosts, load.currentTarget())
			}
			if hostCount[load.name] >= load.currentTarget() {
				continue
			}
			for _, other := range loads {
				spare := len(other.emptyHosts) > 0 && hostCount[other.name] > max(other.currentTarget(), other.hosts-len(other.emptyHosts))
				if spare {
					t.Fatalf("%s lacks hosts while %s has an empty host to spare", load.name, other.name)
				}
			}
		}
	})
}

// Guards against an offered load that lags behind the submissions. After a rise from 0 to 100 cores it must
// be within 12 of 100 after 2.5 time constants, and below 10 within 2.5 time constants after the submissions
// end: it follows nine tenths of a step in that time.
func TestOfferedLoadFollowsSubmissions(t *testing.T) {
	var o offeredLoad
	now := time.Minute
	for ; now < time.Minute+2500*time.Millisecond; now += 10 * time.Millisecond {
		o.addWork(1, now)
	}
	assert.Assert(t, math.Abs(o.loadAt(now)-100) < 12, "load is %f, want about 100", o.loadAt(now))
	assert.Assert(t, o.loadAt(now+2500*time.Millisecond) < 10)
}

// Guards against counting a few jobs between peaks as a peak. Such jobs confused the order of the peaks, and
// hosts moved to the wrong pools.
func TestSmallBurstIsNoPeak(t *testing.T) {
	tracker := newPeakTracker()
	now := time.Minute
	offer := func(pool string, cores float64, span time.Duration) {
		for end := now + span; now < end; now += 40 * time.Millisecond {
			tracker.loadOf("pool-b").addWork(0, now)
			tracker.loadOf("pool-c").addWork(0, now)
			tracker.loadOf(pool).addWork(cores*0.04, now)
			tracker.observe(now)
		}
	}
	offer("pool-a", 900, 5*time.Second)
	offer("pool-b", 120, 2*time.Second)
	offer("pool-a", 40, 2*time.Second)
	assert.Equal(t, tracker.loadOf("pool-b").lastPeakStart, time.Duration(0))
	assert.Equal(t, len(tracker.peakIntervals), 0)
}

// Guards against hosts that move to standby while a peak begins, so that they can't serve it.
func TestHostsStayOutOfStandbyWhileAPeakRises(t *testing.T) {
	tc := newTestCore(1)
	tc.Core.peakTracker.lastPeakStart = tc.now
	tc.Core.fleet.idleSince["host-1"] = tc.now - time.Minute
	assert.Assert(t, !tc.Core.mayEnterStandby("host-1", tc.now+peakRiseTime/2))
	assert.Assert(t, tc.Core.mayEnterStandby("host-1", tc.now+peakRiseTime))
}

// Guards against a pool that gets hosts for steps that can't run yet because earlier steps of the job aren't
// done. In a peak of large jobs, half of the hosts were idle for this reason.
func TestPoolIsSizedByCoresThatJobsCanUse(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(1, 64)
	var steps []work.Step
	for number := range 4 {
		step := work.Step{Count: 10, Need: work.Resources{CPUMilli: 8000}, Estimate: time.Second}
		if number > 0 {
			step.After = []int{number - 1}
		}
		steps = append(steps, step)
	}
	outcome := tc.submit("0000000000000001", "big", steps...)
	assert.Equal(t, outcome.Kind, OutcomeDone)
	assert.Equal(t, tc.workByPool(tc.now)[simPool].usableCPUMilli, int64(80_000))
	load := poolLoad{name: simPool, hosts: 1}
	tc.peakTracker = newPeakTracker()
	tc.computeDemand(&load, tc.workByPool(tc.now)[simPool], 64, tc.now)
	assert.Equal(t, load.currentLoad, sizeHeadroom*80)
}
