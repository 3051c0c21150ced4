package scheduler

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/policy"
	"turmericyoke/internal/work"
)

func byKind() policy.Policy {
	return policy.Policy{Predictions: policy.Predictions{By: policy.PredictByKind}}
}

// newKindCore returns a core that predicts run times by kind.
func newKindCore(term int64) *testCore {
	tc := newTestCore(term)
	tc.options.Policy = byKind()
	tc.runTimes = newRunTimeModel(&tc.options)
	return tc
}

// newUnevenReplay returns a replay of the uneven deployment: declared run times are off by a log-normal factor with a sigma
// of 0.9, 3 of 100 items take seven times as long, and the first worker of each pool is three times as slow as the others.
func newUnevenReplay(seed uint64, queues []replayQueue, rules policy.Policy) *replay {
	r := newReplay(seed, queues)
	r.core.options.Policy = rules
	r.core.runTimes = newRunTimeModel(&r.core.options)
	r.declared = func(runTime time.Duration) time.Duration {
		return time.Duration(float64(runTime) * math.Exp(0.9*r.rng.NormFloat64()))
	}
	r.itemTime = func(runTime time.Duration, item work.ItemID, worker string) time.Duration {
		// Which items take long doesn't depend on the order of starts, which differs from run to run.
		hash := fnv.New64a()
		fmt.Fprint(hash, seed, item)
		if rand.New(rand.NewPCG(hash.Sum64(), 1)).Float64() < 0.03 {
			runTime *= 7
		}
		if worker[len(worker)-4:] == "-000" {
			runTime *= 3
		}
		return runTime
	}
	return r
}

// accuracy is how the predictions of the jobs of a replay came true.
type accuracy struct {
	jobs, within, below          int
	predictedWait, wait, waitOff time.Duration
}

// measureAccuracy replays the load, and compares the predictions of the jobs that are accepted after the given time.
func measureAccuracy(r *replay, learning, span time.Duration) accuracy {
	const tick = 5 * time.Millisecond
	from := r.now + learning
	jobs := map[*job]bool{}
	started := map[*job]time.Duration{}
	for end := r.now + learning + span; r.now < end; {
		r.run(tick, tick)
		for j := range r.core.activeJobs {
			if j.acceptedAt >= from {
				jobs[j] = true
				if j.started && started[j] == 0 {
					started[j] = r.now - j.acceptedAt
				}
			}
		}
	}
	var a accuracy
	for j := range jobs {
		if !j.completed || !j.forecast.made {
			continue
		}
		a.jobs++
		switch j.forecast.position(j.endedAt - j.acceptedAt) {
		case "within":
			a.within++
		case "below":
			a.below++
		}
		a.predictedWait += j.forecast.wait
		a.wait += started[j]
		a.waitOff += (started[j] - j.forecast.wait).Abs()
	}
	return a
}

func (a accuracy) String() string {
	n := time.Duration(max(1, a.jobs))
	return fmt.Sprintf("%d of %d jobs within their band, %d below, mean predicted wait %s, actual %s, mean difference %s", a.within, a.jobs, a.below, a.predictedWait/n, a.wait/n, a.waitOff/n)
}

// Guards against bands that most jobs miss: callers and operators then can't rely on them. Load: peaks in turn below and
// above the capacity, declared run times off by a log-normal factor with sigma 0.9, 3 of 100 items take seven times as long, one worker of each pool is three
// times as slow. The goal is nine of ten jobs.
func TestJobsEndWithinTheirBands(t *testing.T) {
	for _, load := range []float64{0.2, 0.4} {
		pools, kinds := newUnevenReplay(1, scaledFleet(0.3, load), policy.Policy{}), newUnevenReplay(1, scaledFleet(0.3, load), byKind())
		byPool, learned := measureAccuracy(pools, 20*time.Second, 20*time.Second), measureAccuracy(kinds, 20*time.Second, 20*time.Second)
		t.Logf("load %.1f by pool: %s; %d in time, %d late, %d rejected", load, byPool, pools.inTime, pools.late, pools.rejected)
		t.Logf("load %.1f by kind: %s; %d in time, %d late, %d rejected", load, learned, kinds.inTime, kinds.late, kinds.rejected)
		assert.Assert(t, learned.jobs > 500 && learned.within*10 >= learned.jobs*9, "by kind: %s", learned)
		assert.Assert(t, learned.within*byPool.jobs > byPool.within*learned.jobs, "by kind: %s; by pool: %s", learned, byPool)
		assert.Assert(t, learned.waitOff*time.Duration(byPool.jobs) < byPool.waitOff*time.Duration(learned.jobs), "by kind: %s; by pool: %s", learned, byPool)
	}
}

// Guards against kept predictions that differ from those for a newly submitted job, or that aren't renewed.
func TestKeptPredictionsAreRenewed(t *testing.T) {
	tc := newKindCore(1)
	tc.addWorker(0, 1)
	step := needStep(1)
	step.Count, step.Estimate, step.Image = 3, 400*time.Millisecond, "image"
	second := step
	second.After = []int{0}
	tc.accept("a", step, second)
	j := tc.jobs["a"]
	none := func(int) bool { return false }
	for range 200 {
		tc.runTimes.model.Observe("image", "w", 400*time.Millisecond, 2*time.Second)
	}
	before := tc.predict(j)
	assert.Equal(t, before.remainingPath, j.total.path)
	for range 2 * predictionTicks {
		tc.now += predictionTick
		tc.advanceRunTimes(tc.now)
	}
	after := tc.predict(j)
	assert.Assert(t, after.remainingPath > 2*before.remainingPath, "remaining path was %s, and is %s", before.remainingPath, after.remainingPath)
	assert.Equal(t, after.remainingPath, tc.criticalPath(j.def, none))
	assert.Equal(t, after.relativeDeadline, relativeDeadline(j.def, tc.criticalPath(j.def, none)))
	assert.Assert(t, math.Abs(after.coreSeconds-tc.predictCoreSeconds(j.def)) < 1e-9)
	for _, i := range j.steps[0].items {
		i.setState(itemDone)
	}
	assert.Assert(t, tc.predict(j).remainingPath*2 == after.remainingPath, "the path of a job with half of its steps done is %s of %s", tc.predict(j).remainingPath, after.remainingPath)
}

// Guards against placement on a slow worker while others have room. Load: one worker of three is three times as slow.
func TestSlowWorkerGetsWorkLast(t *testing.T) {
	tc := newKindCore(1)
	workers := []string{tc.addWorker(0, 8), tc.addWorker(1, 8), tc.addWorker(2, 8)}
	for n := range 120 {
		runTime := time.Second
		if n%3 == 0 {
			runTime *= 3
		}
		tc.runTimes.model.Observe("review", workers[n%3], time.Second, runTime)
	}
	for range predictionTicks {
		tc.now += predictionTick
		tc.advanceRunTimes(tc.now)
	}
	slow := tc.workers[workers[0]]
	assert.Assert(t, slow.slownessPenalty > 1 && slow.slownessPenalty < remoteRackPenalty, "penalty is %f", slow.slownessPenalty)
	step := needStep(1)
	step.Count = 20
	tc.accept("a", step)
	assert.Equal(t, tc.collectStarts(), 20)
	assert.Equal(t, len(slow.items), 4)
}

// Guards against healthy runs that are stopped: 3 of 100 items take seven times as long as others of their kind, on any
// worker. A run that takes far longer than these is a straggler.
func TestStragglerIsBeyondTheLongItemsOfItsKind(t *testing.T) {
	tc := newKindCore(1)
	tc.addWorker(0, 8)
	for n := range 3000 {
		runTime := time.Second
		if n%100 < 3 {
			runTime *= 7
		}
		tc.runTimes.model.Observe("review", "w", time.Second, runTime)
	}
	i := tc.placeItem(t, "a")
	i.step.def.Estimate = time.Second
	i.startConfirmedAt = tc.now
	for _, c := range []struct {
		after     time.Duration
		straggler bool
	}{{4*time.Second + stragglerGrace, false}, {7 * time.Second, false}, {12 * time.Second, true}} {
		i.worker.lastReportAt = i.startConfirmedAt + c.after
		assert.Equal(t, tc.isStraggler(i, i.startConfirmedAt+c.after), c.straggler, "after %s", c.after)
	}
}

// Guards against the runs of a worker that is slow after its start spoiling the model of their kind.
func TestRunsOnColdWorkerAreNotLearned(t *testing.T) {
	tc := newKindCore(1)
	id := tc.addWorker(0, 8)
	w := tc.workers[id]
	entry := w.entry
	entry.WarmupLeft = 10 * time.Second
	tc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{entry}})
	j := newJob(&work.Job{Queue: tc.config.Queues[0], Steps: []work.Step{{Count: 1, Estimate: time.Second}}})
	i := j.steps[0].items[0]
	i.worker = w
	i.startConfirmedAt = tc.now + 9*time.Second
	tc.observeRunTime(i, i.startConfirmedAt+5*time.Second)
	assert.Equal(t, tc.runTimes.model.Runs("review"), 0.0)
	i.startConfirmedAt = tc.now + 11*time.Second
	tc.observeRunTime(i, i.startConfirmedAt+time.Second)
	assert.Equal(t, tc.runTimes.model.Runs("review"), 1.0)
}

// Guards against predictions by kind in deployments that didn't ask for them.
func TestPredictionsByPoolAreTheDefault(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 8)
	tc.accept("a", needStep(1))
	assert.Assert(t, tc.runTimes == nil && tc.jobs["a"].kept.expected == nil)
	supply, _ := tc.supplyOf(simPool, tc.now)
	assert.Assert(t, supply.forecast == nil)
}

// Guards against accuracy that isn't measured or logged, so that the ways to predict run times can't be compared. Jobs end
// within, below and above their bands.
func TestAccuracyIsMeasured(t *testing.T) {
	for _, rules := range []policy.Policy{{}, byKind()} {
		tc := newKindCore(1)
		tc.runTimes = newRunTimeModel(&Options{Policy: rules})
		tc.metrics = NewMetrics(prometheus.NewRegistry())
		tc.addWorker(0, 8)
		step := needStep(1)
		step.Image, step.Estimate = "image", time.Second
		for id, took := range map[string]time.Duration{"below": 10 * time.Millisecond, "within": time.Second, "above": time.Minute} {
			tc.accept(id, step)
			assert.Equal(t, tc.collectStarts(), 1)
			j := tc.jobs[id]
			assert.Equal(t, j.forecast.fields()["band_from_ms"], j.forecast.from.Milliseconds())
			j.steps[0].items[0].setState(itemDone)
			tc.completeJobIfDone(j, j.acceptedAt+took)
			assert.Equal(t, testutil.ToFloat64(tc.metrics.accuracy.jobs.WithLabelValues("image", id)), 1.0, "%s: %+v", id, j.forecast)
		}
		assert.Equal(t, testutil.CollectAndCount(tc.metrics.accuracy.wait), 1)
		for n := range 2 * maxKindLabels {
			tc.metrics.firstStart(&job{def: &work.Job{Queue: work.Queue{Name: fmt.Sprint("kind-", n)}}}, 0)
		}
		tc.metrics.firstStart(&job{def: &work.Job{Queue: work.Queue{Name: "\xff"}}}, 0)
		assert.Equal(t, testutil.CollectAndCount(tc.metrics.accuracy.wait), maxKindLabels+1)
	}
}

// BenchmarkPredictionsOfWaitingJobs measures what a planning cycle and a computation of the supply take for the
// predictions of 4,000 waiting jobs, with 200 runs a second that end, with both ways to predict run times.
func BenchmarkPredictionsOfWaitingJobs(b *testing.B) {
	for name, rules := range map[string]policy.Policy{"by=pool": {}, "by=kind": byKind()} {
		newBench := func() *replay {
			r := newUnevenReplay(1, scaledFleet(1, 0), rules)
			for n := range maxActiveJobs {
				image := fmt.Sprint("image-", n%40)
				step := work.Step{Count: 8, Need: work.Resources{CPUMilli: 1 << 20}, Estimate: time.Duration(100+n%700) * time.Millisecond, Image: image}
				then := step
				then.After = []int{0}
				queue := r.config.Queues[n%4]
				queue.Target = 100 * time.Hour
				r.core.Submit(&work.Job{ID: fmt.Sprintf("%016x", n), Queue: queue, Steps: []work.Step{step, then}}, r.waiter)
			}
			r.commit()
			assert.Equal(b, len(r.core.activeJobs), maxActiveJobs)
			return r
		}
		b.Run(name+"/cycle", func(b *testing.B) {
			r := newBench()
			b.ReportAllocs()
			for b.Loop() {
				r.now += 5 * time.Millisecond
				if r.core.runTimes != nil {
					r.core.runTimes.model.Observe("image-1", "vaal-001", time.Second, time.Second)
				}
				r.core.advanceRunTimes(r.now)
				r.core.rankWaiting(r.now)
			}
		})
		b.Run(name+"/supply", func(b *testing.B) {
			r := newBench()
			b.ReportAllocs()
			for b.Loop() {
				r.now += supplyCacheTime
				r.core.computeSupply(r.now)
			}
		})
	}
}
