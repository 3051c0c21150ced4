package prediction

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "turmericyoke/internal/fixedseed"
)

// load generates runs like those of the uneven deployment: declared run times are off by a log-normal factor with a sigma
// of 0.9, and 3 of 100 items take seven times as long as others.
type load struct{ random *rand.Rand }

const (
	declaredSigma = 0.9
	longShare     = 0.03
	longFactor    = 7.0
)

func newLoad(seed uint64) load { return load{rand.New(rand.NewPCG(seed, 1))} }

// run returns the declared and the actual run time of an item of a kind with the typical run time. Items of a kind differ
// by a log-normal factor with the given sigma.
func (l load) run(typical, sigma float64) (declared, actual time.Duration) {
	truth := typical * math.Exp(sigma*l.random.NormFloat64())
	declared = seconds(truth * math.Exp(declaredSigma*l.random.NormFloat64()))
	if l.random.Float64() < longShare {
		truth *= longFactor
	}
	return declared, seconds(truth)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against sums of work that are too small, as if every item took the median time: the spread and the 3 of 100 items
// that take seven times as long must be in the mean. Load: declared run times off with sigma 0.9, with a tail.
func TestExpectedIsTheMeanWithSpreadAndTail(t *testing.T) {
	for _, sigma := range []float64{0.2, 0.6, 1} {
		m, l := New(), newLoad(1)
		var predicted, actual, byDeclared float64
		for n := range 20000 {
			d, a := l.run(0.4, sigma)
			if n >= 5000 {
				predicted += m.Expected("kind", d).Seconds()
				byDeclared += d.Seconds()
				actual += a.Seconds()
			}
			m.Observe("kind", "w", d, a)
		}
		ratio := predicted / actual
		assert.Assert(t, ratio > 0.9 && ratio < 1.1, "sigma %.1f: predicted %.2f times the actual work, want 0.9 to 1.1; declared %.2f times", sigma, ratio, byDeclared/actual)
	}
}

// Guards against quantiles that don't hold, so that deadlines, stragglers and bands are wrong. Load: declared run times off
// with sigma 0.9, 3 of 100 items take seven times as long.
func TestQuantilesHold(t *testing.T) {
	m, l := New(), newLoad(2)
	below := map[float64]int{0.1: 0, 0.5: 0, 0.9: 0, 0.99: 0}
	const runs, learning = 20000, 4000
	for n := range runs {
		d, a := l.run(0.4, 0.5)
		for q := range below {
			if n >= learning && a <= m.Quantile("kind", d, q) {
				below[q]++
			}
		}
		m.Observe("kind", "w", d, a)
	}
	for q, count := range below {
		share := float64(count) / (runs - learning)
		assert.Assert(t, math.Abs(share-q) < 0.02, "%.1f%% of the runs are within the quantile %.2f", 100*share, q)
	}
}

// Guards against weight for declared run times that say nothing, and against none for those that do.
func TestSlopeFollowsTheInformationInDeclaredRunTimes(t *testing.T) {
	l := newLoad(4)
	uninformative, informative := New(), New()
	for range 5000 {
		d, a := l.run(0.5, 0.1)
		uninformative.Observe("kind", "w", d, a)
		truth := math.Exp(l.random.NormFloat64())
		informative.Observe("kind", "w", seconds(truth), seconds(2*truth))
	}
	spread := func(m *Model) float64 {
		return float64(m.Expected("kind", 10*time.Second)) / float64(m.Expected("kind", time.Second))
	}
	assert.Assert(t, spread(uninformative) < 1.2, "declared run times without information change the prediction by a factor of %.2f", spread(uninformative))
	assert.Assert(t, spread(informative) > 9, "exact declared run times change the prediction by a factor of %.2f only", spread(informative))
}

// Guards against wild predictions from a few runs: they start at the declared run time and move towards the actual ones.
func TestPredictionsStartAtDeclaredRunTimes(t *testing.T) {
	m := New()
	assert.Equal(t, m.Expected("kind", time.Second), time.Second)
	assert.Equal(t, m.Quantile("kind", time.Second, 0.5), time.Second)
	previous := time.Second
	for range 40 {
		m.Observe("kind", "w", time.Second, 3*time.Second)
		next := m.Expected("kind", time.Second)
		assert.Assert(t, next >= previous-time.Millisecond && next < 4*time.Second, "prediction goes from %s to %s", previous, next)
		previous = next
	}
	assert.Assert(t, previous > 2*time.Second, "prediction is %s after 40 runs of 3 s", previous)
}

// Guards against runs on a slow worker that spoil the model of their kind, and against a speed that doesn't show it. Load:
// one worker of four is three times as slow as the others.
func TestSlowWorkerIsKnownAndDoesNotSpoilItsKind(t *testing.T) {
	observe := func(slowFactor float64) *Model {
		m, l := New(), newLoad(5)
		for n := range 4000 {
			d, a := l.run(0.5, 0.4)
			worker := n % 4
			if worker == 3 {
				a = seconds(a.Seconds() * slowFactor)
			}
			m.Observe("kind", fmt.Sprintf("w%d", worker), d, a)
		}
		return m
	}
	healthy, uneven := observe(1), observe(3)
	change := float64(uneven.Quantile("kind", time.Second, 0.5)) / float64(healthy.Quantile("kind", time.Second, 0.5))
	assert.Assert(t, change < 1.15, "the slow worker raises the median of its kind by a factor of %.2f", change)
	assert.Assert(t, uneven.Speed("w3") < 0.55, "the slow worker has the speed %.2f", uneven.Speed("w3"))
	for _, worker := range []string{"w0", "w1", "w2"} {
		assert.Assert(t, uneven.Speed(worker) > 0.75, "a healthy worker has the speed %.2f", uneven.Speed(worker))
	}
	for range 10 {
		uneven.DecaySpeeds(0.5)
	}
	assert.Assert(t, uneven.Speed("w3") > 0.95, "a worker without runs keeps the speed %.2f", uneven.Speed("w3"))
}

// Guards against a change of a kind that counts as slowness of all workers: predictions must follow it.
func TestChangeOnAllWorkersIsOneOfTheKind(t *testing.T) {
	m, l := New(), newLoad(6)
	for n := range 16000 {
		d, a := l.run(0.5, 0.4)
		if n >= 4000 {
			a *= 2
		}
		m.Observe("kind", fmt.Sprintf("w%d", n%20), d, a)
	}
	median := m.Quantile("kind", 500*time.Millisecond, 0.5)
	assert.Assert(t, median > 800*time.Millisecond && median < 1200*time.Millisecond, "median is %s, want about 1 s", median)
	for n := range 20 {
		speed := m.Speed(fmt.Sprintf("w%d", n))
		assert.Assert(t, speed > 0.7 && speed < 1.4, "a worker like all others has the speed %.2f", speed)
	}
}

// Guards against predictions that jump from second to second with the runs that happen to end, at 300 runs a second. Load:
// declared run times off with sigma 0.9, 3 of 100 items take seven times as long.
func TestPredictionsAreSteady(t *testing.T) {
	m, l := New(), newLoad(7)
	previous := time.Duration(0)
	for second := range 40 {
		for range 300 {
			d, a := l.run(0.4, 0.6)
			m.Observe("kind", "w", d, a)
		}
		next := m.Expected("kind", 400*time.Millisecond)
		if second > 7 {
			change := float64(next) / float64(previous)
			assert.Assert(t, change > 0.9 && change < 1.1, "prediction changes by a factor of %.2f in a second", change)
		}
		previous = next
	}
}

// Guards against memory that grows with the number of kinds, which callers choose, and of workers.
func TestMemoryIsBounded(t *testing.T) {
	m := New()
	for n := range maxKinds + maxWorkers {
		m.Observe(fmt.Sprintf("k%d", n), fmt.Sprintf("w%d", n), time.Second, 2*time.Second)
		m.Observe("frequent", "w", time.Second, 2*time.Second)
	}
	assert.Equal(t, len(m.kinds.entries), maxKinds)
	assert.Equal(t, m.kinds.order.Len(), maxKinds)
	assert.Equal(t, len(m.workers.entries), maxWorkers)
	assert.Assert(t, m.Runs("frequent") > 100, "a kind that is in use was evicted")
}

// Guards against errors of the running sums: they must agree with a regression over the list of all weighted runs.
func TestRegressionMatchesNaiveOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Float64Range(-5, 5), 2, 80).Draw(t, "values")
		var r regression
		weight, sumX, sumY := 0.0, 0.0, 0.0
		count := len(values) / 2
		weights := make([]float64, count)
		for n := range count {
			r.observe(values[2*n], values[2*n+1])
			weights[n] = math.Pow(1-1.0/runMemory, float64(count-1-n))
			weight += weights[n]
			sumX += weights[n] * values[2*n]
			sumY += weights[n] * values[2*n+1]
		}
		squares, products := 0.0, 0.0
		for n := range count {
			dx := values[2*n] - sumX/weight
			squares += weights[n] * dx * dx
			products += weights[n] * dx * (values[2*n+1] - sumY/weight)
		}
		slope := max(0, min(1, (products+slopePrior)/(squares+slopePrior)))
		want := sumX/weight + (sumY-sumX)/weight*weight/(weight+shiftPrior) + slope*(1-sumX/weight)
		assert.Assert(t, math.Abs(r.predict(1)-want) < 1e-6, "prediction is %f, want %f", r.predict(1), want)
	})
}

// Guards against quantiles of the sketch that differ from those of the sorted list of ratios, and against ones that fall as
// q rises.
func TestRatiosMatchSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		logs := rapid.SliceOfN(rapid.Float64Range(-3, 3), 1, decayRuns-1).Draw(t, "logs")
		r := NewRatios()
		for _, value := range logs {
			r.add(value)
		}
		slices.Sort(logs)
		d := r.distribution()
		share := float64(len(logs)) / float64(len(logs)+spreadPrior)
		previous := math.Inf(-1)
		for n, q := range quantiles {
			want := logs[int(q*float64(len(logs)-1))]*share + priorQuantile(q)*(1-share)
			assert.Assert(t, math.Abs(d.logQuantiles[n]-want) < 2*sketchAccuracy, "quantile %f is %f, want %f", q, d.logQuantiles[n], want)
			assert.Assert(t, d.logQuantiles[n] >= previous, "quantile %f is below an earlier one", q)
			previous = d.logQuantiles[n]
		}
	})
}

// Guards against values that no run has, such as those of a clock that was set back, breaking later predictions.
func TestOddRunTimesDoNotBreakPredictions(t *testing.T) {
	m := New()
	for _, odd := range []time.Duration{-time.Hour, 0, 1, math.MaxInt64, math.MinInt64} {
		m.Observe("kind", "w", odd, time.Second)
		m.Observe("kind", "w", time.Second, odd)
		for _, q := range []float64{-1, 0, 0.5, 1, 2} {
			got := m.Quantile("kind", odd, q)
			assert.Assert(t, got >= shortestRun && got <= longestRun, "quantile %f is %s", q, got)
		}
	}
	assert.Assert(t, m.Expected("kind", time.Second) > 0 && m.Speed("w") > 0)
}
