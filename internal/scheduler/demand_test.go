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

// peaksInTurn offers load to four pools that peak one after the other for five seconds each, and calls
// observe four times a second.
func peaksInTurn(t *turns, cycles int, observe func(now time.Duration)) {
	const cores, jobsPerSecond = 1000.0, 25
	step := time.Second / jobsPerSecond
	for now := time.Minute; now < time.Minute+time.Duration(cycles)*20*time.Second; now += step {
		turn := int((now - time.Minute) / (5 * time.Second))
		t.pool(fmt.Sprint("pool-", turn%4)).add(cores/jobsPerSecond, now)
		if now%(250*time.Millisecond) < step {
			t.observe(now)
			observe(now)
		}
	}
}

// Guards against hosts that leave only after a peak has begun: once two peaks were seen, the next one
// is forecast within the margin that moves leave for it, and from the second cycle on for the right
// pool alone.
func TestTurnsAreForecast(t *testing.T) {
	forecasts := newTurns()
	checked := 0
	peaksInTurn(&forecasts, 3, func(now time.Duration) {
		since := (now - time.Minute) % (5 * time.Second)
		turn := int((now - time.Minute) / (5 * time.Second))
		if turn < 5 || since < 2500*time.Millisecond || since > 4500*time.Millisecond {
			return
		}
		at, pools := forecasts.next()
		begins := now - since + 5*time.Second
		assert.Assert(t, (at-begins).Abs() < leadMargin, "turn %d: forecast %s, begins %s", turn, at, begins)
		assert.DeepEqual(t, pools, []string{fmt.Sprint("pool-", (turn+1)%4)})
		checked++
	})
	assert.Assert(t, checked > 20)
}

// Guards against a forecast from a load without turns.
func TestSteadyLoadHasNoForecast(t *testing.T) {
	steady := newTurns()
	for now := time.Minute; now < 2*time.Minute; now += 40 * time.Millisecond {
		steady.pool("one").add(8, now)
		steady.observe(now)
	}
	_, pools := steady.next()
	assert.Equal(t, len(pools), 0)
}

// Guards against an expected peak that takes hosts which another pool lacks already.
func TestPresentNeedGoesFirst(t *testing.T) {
	loads := []poolLoad{
		{name: "expects", expected: 640, coresPerHost: 64, hosts: 2},
		{name: "lacks", need: 192, coresPerHost: 64, hosts: 1},
		{name: "over", least: 1, coresPerHost: 64, hosts: 4, empty: []string{"a", "b"}, busy: []string{"c"}},
	}
	moves, vacate := planMoves(loads, nil, "rest", func(string) bool { return true })
	assert.Equal(t, len(moves), 2)
	for _, m := range moves {
		assert.Equal(t, m.pool, "lacks")
	}
	assert.DeepEqual(t, vacate, []string{"c"})
}

// Guards against idle hosts that never rest, and against resting ones that are needed.
func TestIdleHostsRest(t *testing.T) {
	loads := []poolLoad{{name: "idle", least: 2, coresPerHost: 64, hosts: 4, empty: []string{"a", "b", "c"}}}
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
			loads = append(loads, poolLoad{name: fmt.Sprint("pool-", i), coresPerHost: 64, least: rapid.IntRange(0, 4).Draw(t, "least"),
				need: float64(rapid.IntRange(0, 900).Draw(t, "need")), expected: float64(rapid.IntRange(0, 900).Draw(t, "expected")),
				hosts: empty + busy, empty: names(empty), busy: names(busy)})
		}
		standby := names(rapid.IntRange(0, 5).Draw(t, "standby"))
		moves, vacate := planMoves(loads, standby, "rest", func(string) bool { return true })
		hosts, from, seen := map[string]int{}, map[string]string{}, map[string]bool{}
		for _, load := range loads {
			hosts[load.name] = load.hosts
			for _, host := range load.empty {
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
			if hosts[load.name] < min(load.hosts, load.present()) {
				t.Fatalf("%s has %d hosts, had %d and needs %d", load.name, hosts[load.name], load.hosts, load.present())
			}
			if hosts[load.name] >= load.present() {
				continue
			}
			for _, other := range loads {
				spare := len(other.empty) > 0 && hosts[other.name] > max(other.present(), other.hosts-len(other.empty))
				if spare {
					t.Fatalf("%s lacks hosts while %s has an empty one to spare", load.name, other.name)
				}
			}
		}
	})
}

// Guards against a rate that doesn't follow the load: it reaches nine tenths of a step within 2.5
// time constants and falls as fast.
func TestOfferedRateFollowsTheLoad(t *testing.T) {
	var o offered
	now := time.Minute
	for ; now < time.Minute+2500*time.Millisecond; now += 10 * time.Millisecond {
		o.add(1, now)
	}
	assert.Assert(t, math.Abs(o.now(now)-100) < 12, "rate %f", o.now(now))
	assert.Assert(t, o.now(now+2500*time.Millisecond) < 10)
}

// Guards against a few jobs in a trough that count as a peak: they put the turns out of order, and
// hosts were sent to pools whose turn it wasn't.
func TestBlipIsNoPeak(t *testing.T) {
	forecasts := newTurns()
	now := time.Minute
	load := func(pool string, cores float64, span time.Duration) {
		for end := now + span; now < end; now += 40 * time.Millisecond {
			forecasts.pool("pool-b").add(0, now)
			forecasts.pool("pool-c").add(0, now)
			forecasts.pool(pool).add(cores*0.04, now)
			forecasts.observe(now)
		}
	}
	load("pool-a", 900, 5*time.Second)
	load("pool-b", 120, 2*time.Second)
	load("pool-a", 40, 2*time.Second)
	assert.Equal(t, forecasts.pool("pool-b").lastPeak, time.Duration(0))
	assert.Equal(t, len(forecasts.intervals), 0)
}

// Guards against hosts that leave for standby just when a peak begins, and are under way when it
// needs them.
func TestHostsStayWhileAPeakRises(t *testing.T) {
	b := newBed(1)
	b.Core.turns.lastPeak = b.now
	b.Core.hosts.idleSince["host-1"] = b.now - time.Minute
	assert.Assert(t, !b.Core.mayRest("host-1", b.now+peakRise/2))
	assert.Assert(t, b.Core.mayRest("host-1", b.now+peakRise))
}

// Guards against hosts that are brought in for work that can't run yet: the steps of a job run one
// after the other, and in a peak of large jobs half of the hosts stood idle.
func TestPoolNeedsNoMoreThanItsJobsCanUse(t *testing.T) {
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
	assert.Equal(t, b.usable(simPool, b.now), 80.0)
	load := poolLoad{name: simPool, hosts: 1}
	b.turns = newTurns()
	b.fillLoad(&load, 64, b.now)
	assert.Equal(t, load.need, sizeHeadroom*80)
}
