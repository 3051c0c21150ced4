package scheduler

import (
	"cmp"
	"math"
	"time"

	"turmericyoke/internal/prediction"
	"turmericyoke/internal/work"
)

// Run times by kind of work, which policy.Predictions.ByKind enables. Planning asks for the predictions of thousands of
// jobs up to 200 times a second, so that they are kept with each job and renewed rarely.
const (
	// predictionTick is the resolution of the age of kept predictions, and predictionTicks is the number of ticks after
	// which a job's predictions are renewed. The models change by a few percent a second at most.
	predictionTick  = 100 * time.Millisecond
	predictionTicks = 10
	// speedHalfLife is the time after which the known runs of a worker count half: a worker that gets little work, since it
	// was slow, is used again about a minute later.
	speedHalfLife = 30 * time.Second
	// stragglerQuantile is the quantile of the run times of a kind beyond which a run is a straggler: 3 of 100 work items
	// may take seven times as long as others on any worker, and all but a sixth of these have to be within it.
	stragglerQuantile = 0.995
	// maxDeadlineQuantile limits the quantile of one item by which the run time of a step of many items is predicted. The
	// largest of many is likely to be one of the rare long items, and a deadline that counts on it is too late. Besides,
	// the items of a step are alike, and off in the same direction from what their caller declared.
	maxDeadlineQuantile = 0.75
	// deadlineQuantilePrior is the number of runs after which half of that is taken into account: the assumed spread of a
	// kind without runs says nothing of its items.
	deadlineQuantilePrior = 50
	// toleratedSlowness is the factor by which a worker may be slower than usual without a penalty: speeds of healthy
	// workers vary by about a tenth over 40 runs.
	toleratedSlowness = 1.25
	// slownessPenalty is the penalty in score for each doubling of the run times on a worker. A worker that takes three times
	// as long is rated below any difference in free capacity, and above one in another rack than that of the data, which
	// maxSlownessPenalty makes sure of.
	slownessPenalty, maxSlownessPenalty = 1.5, 3.5
)

// runTimeModel predicts run times by kind of work. A nil runTimeModel belongs to a deployment that predicts them by pool.
type runTimeModel struct {
	model *prediction.Model
	// tick counts predictionTick, and nextTick is when it is counted next. speedsAt is when the speeds last decayed.
	tick               int64
	nextTick, speedsAt time.Duration
	// rankedBuffers holds the buffers of waitForecast.rank, by pool.
	rankedBuffers map[string][]rankedWork
	// waitRatios holds the ratios of actual to predicted waits, by pool.
	waitRatios map[string]*prediction.Ratios
}

// keptPredictions are the predictions that a job keeps.
type keptPredictions struct {
	// tick is that of runTimeModel at the time of the predictions.
	tick int64
	// expected holds the mean run time of a work item of each step; nil if run times are predicted by pool.
	expected []time.Duration
	// paths holds the run time of each step by which the critical path is predicted.
	paths []time.Duration
}

// newRunTimeModel returns a model, or nil if run times aren't predicted by kind.
func newRunTimeModel(options *Options) *runTimeModel {
	if !options.Policy.Predictions.ByKind() {
		return nil
	}
	return &runTimeModel{model: prediction.New(), rankedBuffers: map[string][]rankedWork{}, waitRatios: map[string]*prediction.Ratios{}}
}

// kindOf returns the kind of work of the step.
func kindOf(def *work.Job, step *work.Step) string { return cmp.Or(step.Image, def.Queue.Name) }

// declaredRunTime returns the run time that the step declares, or a default.
func declaredRunTime(step *work.Step) time.Duration {
	if step.Estimate <= 0 {
		return defaultRunTime
	}
	return step.Estimate
}

// expected returns the mean run time of a work item of the step.
func (m *runTimeModel) expected(def *work.Job, step *work.Step) time.Duration {
	if step.Lasting {
		return declaredRunTime(step)
	}
	return m.model.Expected(kindOf(def, step), declaredRunTime(step))
}

// stepQuantile returns a bound for the longest of the work items of the step, which isn't exceeded with a probability of at
// most q if q is low, and of at least q if it is high. A high one takes the items as independent of each other, a low one as
// all alike: either way the bound holds for what lies between.
func (m *runTimeModel) stepQuantile(def *work.Job, step *work.Step, q float64) time.Duration {
	if step.Lasting {
		return declaredRunTime(step)
	}
	if q > 0.5 {
		q = math.Pow(q, 1/float64(max(1, step.Count)))
	}
	return m.model.Quantile(kindOf(def, step), declaredRunTime(step), q)
}

// path returns the run time of the step by which deadlines and critical paths are predicted: the median of the longest of
// its work items.
func (m *runTimeModel) path(def *work.Job, step *work.Step) time.Duration {
	if step.Lasting {
		return declaredRunTime(step)
	}
	kind := kindOf(def, step)
	q := min(maxDeadlineQuantile, math.Pow(0.5, 1/float64(max(1, step.Count))))
	// The less is known of the kind, the nearer the prediction is to the declared run time.
	runs := m.model.Runs(kind)
	q = 0.5 + (q-0.5)*runs/(runs+deadlineQuantilePrior)
	return m.model.Quantile(kind, declaredRunTime(step), q)
}

// pathRunTime returns the run time of the step by which deadlines and critical paths are predicted.
func (c *Core) pathRunTime(def *work.Job, step *work.Step) time.Duration {
	if c.runTimes == nil {
		return c.predictRunTime(def, step)
	}
	return c.runTimes.path(def, step)
}

// renew renews the kept predictions of the job if they are due. A nil model does nothing.
func (m *runTimeModel) renew(j *job) {
	if m == nil || j.kept.expected != nil && m.tick-j.kept.tick < predictionTicks {
		return
	}
	if j.kept.expected == nil {
		steps := len(j.def.Steps)
		j.kept.expected, j.kept.paths = make([]time.Duration, steps), make([]time.Duration, steps)
	}
	j.kept.tick, j.total, j.remaining = m.tick, nil, nil
	for n := range j.def.Steps {
		step := &j.def.Steps[n]
		j.kept.expected[n], j.kept.paths[n] = m.expected(j.def, step), m.path(j.def, step)
	}
}

// predict predicts the run time of the job. The predictions are renewed only when the supply of the pools is computed, which
// sums them up: otherwise what is subtracted from a sum for an item wouldn't be what was added.
func (m *runTimeModel) predict(j *job) jobPrediction {
	if j.kept.expected == nil {
		m.renew(j)
	}
	if j.total == nil {
		j.total = keptWorkOf(j, func(int) bool { return false })
	}
	if j.remaining == nil {
		j.remaining = keptWorkOf(j, j.lastStepDone)
	}
	return jobPrediction{relativeDeadline: relativeDeadline(j.def, j.total.path), remainingPath: j.remaining.path, coreSeconds: j.total.coreSeconds}
}

// keptWorkOf returns the work of one occurrence of the job by its kept predictions. Steps for which done returns true need
// no more work.
func keptWorkOf(j *job, done func(step int) bool) *declaredWork {
	total := &declaredWork{complete: true}
	total.path = longestChain(j.def, func(number int) time.Duration {
		if done(number) {
			return 0
		}
		if step := &j.def.Steps[number]; !step.Lasting {
			total.coreSeconds += j.kept.expected[number].Seconds() * float64(step.Need.CPUMilli) / 1000 * float64(step.Count)
		}
		return j.kept.paths[number]
	})
	return total
}

// expectedRunTime returns the expected run time of a work item of the step, which is its declared run time times ratio if
// run times are predicted by pool.
func (s *stepInstance) expectedRunTime(ratio float64) time.Duration {
	if kept := s.job.kept.expected; kept != nil {
		return kept[s.number]
	}
	return scaledRunTime(s.def, ratio)
}

// observe adds a run of the item that has just ended, or that is stopped as a straggler: without those, high quantiles
// would fall from one straggler to the next. Runs that began on a cold worker don't count, and neither do those of items
// whose start isn't known.
func (m *runTimeModel) observe(i *item, now time.Duration) {
	if m == nil || i.startConfirmedAt == 0 || i.inherited || i.worker == nil || i.step.def.Lasting || i.startConfirmedAt < i.worker.warmAt {
		return
	}
	m.model.Observe(kindOf(i.step.job.def, i.step.def), i.worker.entry.ID, declaredRunTime(i.step.def), now-i.startConfirmedAt)
}

// stragglerLimit returns the run time beyond which a run of the item is a straggler.
func (c *Core) stragglerLimit(i *item) time.Duration {
	if c.runTimes == nil {
		return time.Duration(stragglerFactor*float64(c.predictRunTime(i.step.job.def, i.step.def))) + stragglerGrace
	}
	def := i.step.job.def
	return c.runTimes.model.Quantile(kindOf(def, i.step.def), declaredRunTime(i.step.def), stragglerQuantile) + stragglerGrace
}

// advanceRunTimes counts the time by which kept predictions are renewed, and updates what depends on the speeds of workers.
func (c *Core) advanceRunTimes(now time.Duration) {
	m := c.runTimes
	if m == nil || now < m.nextTick {
		return
	}
	m.nextTick = now + predictionTick
	m.tick++
	if m.tick%predictionTicks != 0 {
		return
	}
	if m.speedsAt > 0 {
		m.model.DecaySpeeds(math.Exp2(-(now - m.speedsAt).Seconds() / speedHalfLife.Seconds()))
	}
	m.speedsAt = now
	if now >= c.supply.expiresAt {
		// Without submissions nothing else computes it.
		c.computeSupply(now)
	}
	for _, w := range c.sortedWorkers() {
		w.slownessPenalty = penaltyForSpeed(m.model.Speed(w.entry.ID))
	}
}

// penaltyForSpeed returns the penalty in score of a worker with the speed.
func penaltyForSpeed(speed float64) float64 {
	if speed*toleratedSlowness >= 1 {
		return 0
	}
	return min(maxSlownessPenalty, -slownessPenalty*math.Log2(speed))
}
