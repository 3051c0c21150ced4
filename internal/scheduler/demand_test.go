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

// offerRotatingPeaks offers load to four pools that peak one after the other for five seconds each, and calls
// observe four times a second.
func offerRotatingPeaks(t *peakTracker, cycles int, observe func(now time.Duration)) {
	const cores, jobsPerSecond = 1000.0, 25
	step := time.Second / jobsPerSecond
	for now := time.Minute; now < time.Minute+time.Duration(cycles)*20*time.Second; now += step {
		turn := int((now - time.Minute) / (5 * time.Second))
		t.loadOf(fmt.Sprint("pool-", turn%4)).addWork(cores/jobsPerSecond, now)
		if now%(250*time.Millisecond) < step {
			t.observe(now)
			observe(now)
		}
	}
}

// Guards against hosts that leave only after a peak has begun: once two peaks were seen, the next one
// is forecast within the margin that moves leave for it, and from the second cycle on for the right
// pool alone.
func TestRotatingPeaksAreForecast(t *testing.T) {
	forecasts := newPeakTracker()
	checked := 0
	offerRotatingPeaks(&forecasts, 3, func(now time.Duration) {
		since := (now - time.Minute) % (5 * time.Second)
		turn := int((now - time.Minute) / (5 * time.Second))
		if turn < 5 || since < 2500*time.Millisecond || since > 4500*time.Millisecond {
			return
		}
		at, pools := forecasts.nextPeak()
		begins := now - since + 5*time.Second
		assert.Assert(t, (at-begins).Abs() < moveLeadMargin, "turn %d: forecast %s, begins %s", turn, at, begins)
		assert.DeepEqual(t, pools, []string{fmt.Sprint("pool-", (turn+1)%4)})
		checked++
	})
	assert.Assert(t, checked > 20)
}

// Guards against a forecast from a load without turns.
func TestSteadyLoadGivesNoForecast(t *testing.T) {
	steady := newPeakTracker()
	for now := time.Minute; now < 2*time.Minute; now += 40 * time.Millisecond {
		steady.loadOf("one").addWork(8, now)
		steady.observe(now)
	}
	_, pools := steady.nextPeak()
	assert.Equal(t, len(pools), 0)
}

// Guards against an expected peak that takes hosts which another pool lacks already.
func TestCurrentLoadGoesBeforeExpectedPeaks(t *testing.T) {
	loads := []poolLoad{
		{name: "expects", expectedLoad: 640, coresPerHost: 64, hosts: 2},
		{name: "lacks", currentLoad: 192, coresPerHost: 64, hosts: 1},
		{name: "over", minHosts: 1, coresPerHost: 64, hosts: 4, emptyHosts: []string{"a", "b"}, busyHosts: []string{"c"}},
	}
	moves, vacate := planMoves(loads, nil, "rest", func(string) bool { return true })
	assert.Equal(t, len(moves), 2)
	for _, m := range moves {
		assert.Equal(t, m.pool, "lacks")
	}
	assert.DeepEqual(t, vacate, []string{"c"})
}

// Guards against idle hosts that never rest, and against resting ones that are needed.
func TestIdleHostsMoveToStandby(t *testing.T) {
	loads := []poolLoad{{name: "idle", minHosts: 2, coresPerHost: 64, hosts: 4, emptyHosts: []string{"a", "b", "c"}}}
	moves, _ := planMoves(loads, nil, "rest", func(string) bool { return true })
	assert.DeepEqual(t, moves, []hostMove{{"a", "rest"}, {"b", "rest"}}, cmpMoves)
	moves, _ = planMoves(loads, nil, "rest", func(string) bool { return false })
	assert.Equal(t, len(moves), 0)
}

// Guards against moves that leave a pool below its present target, name a host twice, or leave a pool
// short while an empty host is spare.
func TestMovesAreSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var loads []poolLoad
		serial := 0
		names := func(n int) (list []string) {
			for range n {
				serial++
				list = append(list, fmt.Sprint("host-", serial))
			}
			return list
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "pools") {
			empty, busy := rapid.IntRange(0, 6).Draw(t, "empty"), rapid.IntRange(0, 6).Draw(t, "busy")
			loads = append(loads, poolLoad{name: fmt.Sprint("pool-", i), coresPerHost: 64, minHosts: rapid.IntRange(0, 4).Draw(t, "least"),
				currentLoad: float64(rapid.IntRange(0, 900).Draw(t, "need")), expectedLoad: float64(rapid.IntRange(0, 900).Draw(t, "expected")),
				hosts: empty + busy, emptyHosts: names(empty), busyHosts: names(busy)})
		}
		standby := names(rapid.IntRange(0, 5).Draw(t, "standby"))
		moves, vacate := planMoves(loads, standby, "rest", func(string) bool { return true })
		hosts, from, seen := map[string]int{}, map[string]string{}, map[string]bool{}
		for _, load := range loads {
			hosts[load.name] = load.hosts
			for _, host := range load.emptyHosts {
				from[host] = load.name
			}
		}
		for _, m := range moves {
			if seen[m.host] {
				t.Fatalf("%s moves twice", m.host)
			}
			seen[m.host] = true
			hosts[from[m.host]]--
			hosts[m.pool]++
		}
		for _, host := range vacate {
			if from[host] != "" || seen[host] {
				t.Fatalf("%s is vacated though it is empty or moves", host)
			}
		}
		for _, load := range loads {
			if hosts[load.name] < min(load.hosts, load.currentTarget()) {
				t.Fatalf("%s has %d hosts, had %d and needs %d", load.name, hosts[load.name], load.hosts, load.currentTarget())
			}
			if hosts[load.name] >= load.currentTarget() {
				continue
			}
			for _, other := range loads {
				spare := len(other.emptyHosts) > 0 && hosts[other.name] > max(other.currentTarget(), other.hosts-len(other.emptyHosts))
				if spare {
					t.Fatalf("%s lacks hosts while %s has an empty one to spare", load.name, other.name)
				}
			}
		}
	})
}

// Guards against a rate that doesn't follow the load: it reaches nine tenths of a step within 2.5
// time constants and falls as fast.
func TestOfferedLoadFollowsSubmissions(t *testing.T) {
	var o offeredLoad
	now := time.Minute
	for ; now < time.Minute+2500*time.Millisecond; now += 10 * time.Millisecond {
		o.addWork(1, now)
	}
	assert.Assert(t, math.Abs(o.loadAt(now)-100) < 12, "rate %f", o.loadAt(now))
	assert.Assert(t, o.loadAt(now+2500*time.Millisecond) < 10)
}

// Guards against a few jobs in a trough that count as a peak: they put the turns out of order, and
// hosts were sent to pools whose turn it wasn't.
func TestSmallBurstIsNoPeak(t *testing.T) {
	forecasts := newPeakTracker()
	now := time.Minute
	load := func(pool string, cores float64, span time.Duration) {
		for end := now + span; now < end; now += 40 * time.Millisecond {
			forecasts.loadOf("pool-b").addWork(0, now)
			forecasts.loadOf("pool-c").addWork(0, now)
			forecasts.loadOf(pool).addWork(cores*0.04, now)
			forecasts.observe(now)
		}
	}
	load("pool-a", 900, 5*time.Second)
	load("pool-b", 120, 2*time.Second)
	load("pool-a", 40, 2*time.Second)
	assert.Equal(t, forecasts.loadOf("pool-b").lastPeakStart, time.Duration(0))
	assert.Equal(t, len(forecasts.peakIntervals), 0)
}

// Guards against hosts that leave for standby just when a peak begins, and are under way when it
// needs them.
func TestHostsStayOutOfStandbyWhileAPeakRises(t *testing.T) {
	b := newBed(1)
	b.Core.turns.lastPeakStart = b.now
	b.Core.hosts.idleSince["host-1"] = b.now - time.Minute
	assert.Assert(t, !b.Core.mayEnterStandby("host-1", b.now+peakRiseTime/2))
	assert.Assert(t, b.Core.mayEnterStandby("host-1", b.now+peakRiseTime))
}

// Guards against hosts that are brought in for work that can't run yet: the steps of a job run one
// after the other, and in a peak of large jobs half of the hosts stood idle.
func TestPoolIsSizedByCoresThatJobsCanUse(t *testing.T) {
	b := newBed(1)
	b.addWorker(1, 64)
	var steps []work.Step
	for number := range 4 {
		step := work.Step{Count: 10, Need: work.Resources{CPUMilli: 8000}, Estimate: time.Second}
		if number > 0 {
			step.After = []int{number - 1}
		}
		steps = append(steps, step)
	}
	outcome := b.submit("0000000000000001", "big", steps...)
	assert.Equal(t, outcome.Kind, Done)
	assert.Equal(t, b.usableCores(simPool, b.now), 80.0)
	load := poolLoad{name: simPool, hosts: 1}
	b.turns = newPeakTracker()
	b.computeDemand(&load, 64, b.now)
	assert.Equal(t, load.currentLoad, sizeHeadroom*80)
}
