package scheduler

import (
	"time"

	"turmericyoke/internal/work"
)

// declaredWork is the work of a job's steps by the run times that its caller declared. The plan predicts the
// run time of every job in each cycle; scaling the declared work by the pool's ratio of actual to declared run
// times is cheaper than passing over the steps.
type declaredWork struct {
	// path is the longest chain of declared run times, and coreSeconds the work of the steps that don't last.
	path        time.Duration
	coreSeconds float64
	// complete is set if every step declares a run time. Otherwise the prediction isn't proportional to path.
	complete bool
}

// declaredWorkOf returns the declared work of one occurrence of the job. Steps for which done returns true need
// no more work.
func declaredWorkOf(def *work.Job, done func(step int) bool) *declaredWork {
	declared := &declaredWork{complete: true}
	declared.path = longestChain(def, func(number int) time.Duration {
		step := &def.Steps[number]
		declared.complete = declared.complete && step.Estimate > 0
		if done(number) {
			return 0
		}
		if !step.Lasting {
			declared.coreSeconds += step.Estimate.Seconds() * float64(step.Need.CPUMilli) / 1000 * float64(step.Count)
		}
		return step.Estimate
	})
	return declared
}

// jobPrediction is what the plan needs to know of a job's run time.
type jobPrediction struct {
	// relativeDeadline is the time from its first submission in which the job should be completed, and remainingPath the
	// critical path of the unfinished steps of its last occurrence.
	relativeDeadline, remainingPath time.Duration
	// coreSeconds is the work of one occurrence.
	coreSeconds float64
}

// lastStepDone reports whether the step is done in the last occurrence.
func (j *job) lastStepDone(number int) bool {
	step := j.stepAt(j.def.Occurrences()-1, number)
	return step != nil && step.done()
}

// predict predicts the run time of the job.
func (c *Core) predict(j *job) jobPrediction {
	if c.runTimes != nil {
		return c.runTimes.predict(j)
	}
	if j.total == nil {
		j.total = declaredWorkOf(j.def, func(int) bool { return false })
	}
	if !j.total.complete {
		path := c.criticalPath(j.def, func(int) bool { return false })
		return jobPrediction{relativeDeadline: relativeDeadline(j.def, path), remainingPath: c.criticalPath(j.def, j.lastStepDone), coreSeconds: c.predictCoreSeconds(j.def)}
	}
	if j.remaining == nil {
		j.remaining = declaredWorkOf(j.def, j.lastStepDone)
	}
	if j.stats == nil {
		j.stats = c.statsOf(j.def.Queue.Pool)
	}
	ratio := j.stats.runTimeRatio
	return jobPrediction{
		relativeDeadline: relativeDeadline(j.def, time.Duration(ratio*float64(j.total.path))),
		remainingPath:    time.Duration(ratio * float64(j.remaining.path)),
		coreSeconds:      ratio * j.total.coreSeconds,
	}
}
