package scheduler

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// Guards against a wait that differs from the one that a simulation in small steps gives: capacity counts from when it
// arrives, and a host that arrives empty takes a run time's worth of work at once.
func TestWaitForMatchesSimulation(t *testing.T) {
	const step = time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		f := waitForecast{cores: float64(rapid.IntRange(0, 20).Draw(t, "cores"))}
		at := time.Duration(0)
		for range rapid.IntRange(0, 4).Draw(t, "arrivals") {
			at += time.Duration(rapid.IntRange(0, 800).Draw(t, "after")) * step
			f.arrivals = append(f.arrivals, capacityArrival{at, float64(rapid.IntRange(1, 30).Draw(t, "arriving"))})
		}
		meanRun := time.Duration(rapid.IntRange(1, 2000).Draw(t, "run")) * step
		ahead := rapid.Float64Range(0.1, 60).Draw(t, "ahead")
		cores, started, want := f.cores, 0.0, time.Duration(0)
		arrived := 0
		for ; want < maxPredictedWait; want += step {
			for ; arrived < len(f.arrivals) && f.arrivals[arrived].in <= want; arrived++ {
				started += f.arrivals[arrived].cores * meanRun.Seconds()
				cores += f.arrivals[arrived].cores
			}
			if started >= ahead {
				break
			}
			started += cores * step.Seconds()
		}
		got := f.waitFor(ahead, meanRun)
		assert.Assert(t, (got-want).Abs() <= 2*step, "wait is %s, the simulation gives %s", got, want)
	})
}

// waitOf returns the predicted wait of a job of one step in the queue.
func (tc *testCore) waitOf(queue work.Queue, step work.Step) time.Duration {
	tc.supply.expiresAt = 0
	def := &work.Job{ID: "asked", Queue: queue, Customer: "small", Steps: []work.Step{step}}
	supply, cores := tc.supplyOf(queue.Pool, tc.now)
	return tc.predictWait(supply, cores, def, tc.criticalPath(def, func(int) bool { return false }), tc.now, tc.now)
}

// fullCore returns a core with a full worker of 8 cores, behind which 80 core-seconds wait.
func fullCore() (*testCore, work.Step) {
	tc := newKindCore(1)
	tc.config.Queues[0].Target = time.Minute
	tc.config.Queues = append(tc.config.Queues, work.Queue{Name: "late", Pool: simPool, Priority: 1, MaxAttempts: 3, Slack: 100, Target: time.Minute})
	tc.addWorker(0, 8)
	step := needStep(8)
	step.Estimate = time.Second
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"} {
		tc.accept(id, step)
	}
	tc.collectStarts()
	return tc, step
}

// Guards against a wait for jobs that start at once: work that runs beside free capacity holds back nothing.
func TestNoWaitWhileThereIsRoom(t *testing.T) {
	tc := newKindCore(1)
	tc.addWorker(0, 8)
	step := needStep(4)
	step.Estimate = 10 * time.Second
	tc.accept("a", step)
	tc.collectStarts()
	assert.Equal(t, tc.waitOf(tc.config.Queues[0], step), time.Duration(0))
	tc.accept("b", step)
	tc.collectStarts()
	tc.accept("c", step)
	assert.Assert(t, tc.waitOf(tc.config.Queues[0], step) > time.Second, "no wait is predicted behind a job for which there is no room")
}

// Guards against a wait behind jobs that get capacity later: only the work ahead of the job counts.
func TestWaitDependsOnTheOrder(t *testing.T) {
	tc, step := fullCore()
	urgent, late := tc.config.Queues[0], tc.config.Queues[1]
	last := tc.waitOf(late, step)
	assert.Assert(t, last > 8*time.Second && last < 12*time.Second, "a job behind 80 core-seconds on 8 cores waits for %s", last)
	urgent.Target = time.Second
	first := tc.waitOf(urgent, step)
	assert.Assert(t, first <= 1100*time.Millisecond, "a job with less slack than all others waits for %s", first)
}

// Guards against hosts in transit that don't count, or that count before they arrive.
func TestHostsInTransitCountWhenTheyArrive(t *testing.T) {
	tc, step := fullCore()
	late := tc.config.Queues[1]
	alone := tc.waitOf(late, step)
	capacity := work.Resources{CPUMilli: 24000, MemoryMiB: 1 << 20}
	tc.SetHosts([]infra.Host{{ID: "moves", Pool: "rest", State: infra.HostMoving, Capacity: capacity}}, tc.now)
	tc.fleet.moves["moves"] = &moveOrder{pool: simPool, succeededAt: tc.now}
	helped := tc.waitOf(late, step)
	assert.Assert(t, helped < alone/2 && helped > tc.options.HostMoveTime, "the wait is %s, and was %s without the host", helped, alone)
	_, cores := tc.supplyOf(simPool, tc.now)
	assert.Equal(t, cores, 32.0)
	// An order of which the outcome isn't known yet counts as one that is carried out now.
	tc.fleet.moves["moves"].succeededAt = 0
	assert.Assert(t, (tc.waitOf(late, step)-helped).Abs() < time.Millisecond)
}

// Guards against hosts in standby that count for each pool at once: admission then accepts several times what the hosts can
// do. Load: two pools that lack capacity at the same time.
func TestStandbyIsDividedAmongPools(t *testing.T) {
	tc := newKindCore(1)
	tc.config.Pools["other"] = work.Pool{Name: "other"}
	queues := []work.Queue{tc.config.Queues[0], {Name: "second", Pool: "other", MaxAttempts: 3, Slack: 2, Target: time.Second}}
	tc.queuePools["second"] = "other"
	tc.SetHosts([]infra.Host{{ID: "s1", Pool: "rest", State: infra.HostUp, Capacity: work.Resources{CPUMilli: 16000}},
		{ID: "s2", Pool: "rest", State: infra.HostUp, Capacity: work.Resources{CPUMilli: 16000}}}, tc.now)
	tc.addWorker(0, 8)
	for n, queue := range queues {
		for k := range 20 {
			step := needStep(8)
			step.Estimate = time.Second
			tc.Submit(&work.Job{ID: queue.Name + string(rune('a'+k)), Queue: queues[n], Customer: "small", Steps: []work.Step{step}}, make(chan Outcome, 1))
		}
	}
	tc.commit()
	tc.supply.expiresAt = 0
	_, first := tc.supplyOf(simPool, tc.now)
	_, second := tc.supplyOf("other", tc.now)
	assert.Assert(t, math.Abs(first+second-40) < 1e-6 && first > 8 && second > 8, "the pools count on %f and %f cores of 8 and 32 in standby", first, second)
}

// Guards against a backlog without bounds, since work that is late waits behind new jobs, and against customers that are
// turned away for the jobs of one that exceeds its share. Load: 40 jobs of one customer at once.
func TestAdmissionByKindBoundsTheBacklog(t *testing.T) {
	tc := newKindCore(1)
	tc.addWorker(0, 8)
	step := work.Step{Count: 4, Need: work.Resources{CPUMilli: 2000}, Estimate: time.Second}
	accepted := 0
	for n := range 40 {
		if tc.submit("big-"+string(rune('a'+n)), "big", step).Kind == OutcomeDone {
			accepted++
		}
	}
	assert.Assert(t, accepted > 4 && accepted < 12, "accepted %d jobs", accepted)
	assert.Equal(t, tc.submit("small", "small", step).Kind, OutcomeDone)
}
