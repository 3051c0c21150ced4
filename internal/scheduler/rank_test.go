package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "turmericyoke/internal/fixedseed"
	"turmericyoke/internal/work"
)

// rankJobs returns the jobs with ready work items of all pools in the order in which they get resources.
func (c *Core) rankJobs(now time.Duration) []*job {
	c.rankWaiting(now)
	// Workers without limits have room for each job.
	unlimited := &candidatePool{maxFree: work.Resources{CPUMilli: math.MaxInt64, MemoryMiB: math.MaxInt64, Accelerators: math.MaxInt64}}
	for _, waiting := range c.waiting {
		waiting.candidates = unlimited
	}
	var jobs []*job
	for _, placeable := range c.placeableJobs(false) {
		jobs = append(jobs, placeable.job)
	}
	return jobs
}

// openStepsNaively returns the steps with waiting items whose dependencies are done, from the states of all items.
func (j *job) openStepsNaively() []*stepInstance {
	var open []*stepInstance
	for _, step := range j.steps {
		waits := slices.ContainsFunc(step.items, func(i *item) bool { return i.state == itemWaiting })
		for _, number := range step.def.After {
			if d := j.stepAt(step.occurrence, number); d != nil && slices.ContainsFunc(d.items, func(i *item) bool { return i.state != itemDone }) {
				waits = false
			}
		}
		if waits && !j.finished() {
			open = append(open, step)
		}
	}
	return open
}

// rankJobsNaively sorts all jobs with ready work items anew.
func (c *Core) rankJobsNaively(now time.Duration) []*job {
	wallTime := c.wallClock()
	var list []rankedJob
	for j := range c.activeJobs {
		ready := slices.ContainsFunc(j.openStepsNaively(), func(s *stepInstance) bool { return !wallTime.Before(j.def.DueAt(s.occurrence)) })
		if !j.durable || !ready {
			continue
		}
		path, remaining := c.criticalPath(j.def, func(int) bool { return false }), c.criticalPath(j.def, j.lastStepDone)
		deadline := relativeDeadline(j.def, path)
		slack := j.offeredAt + deadline - now - remaining
		tier := latenessTier(deadline, slack)
		if slack < 0 {
			slack = time.Duration(c.predictCoreSeconds(j.def) * float64(time.Second))
		}
		list = append(list, rankedJob{job: j, ready: true, lasting: j.def.Lasting(), tier: tier, started: j.started, priority: j.def.Queue.Priority, overuseLevel: j.overuseLevel, slack: slack})
	}
	slices.SortFunc(list, func(a, b rankedJob) int { return compareRanked(&a, &b) })
	jobs := make([]*job, len(list))
	for n := range list {
		jobs[n] = list[n].job
	}
	return jobs
}

// checkRanking compares what the core keeps of the waiting jobs with a computation from the items.
func checkRanking(t *testing.T, c *Core, now time.Duration) {
	for j := range c.activeJobs {
		assert.Assert(t, slices.Equal(j.openSteps(), j.openStepsNaively()), "open steps of job %s", j.def.ID)
	}
	kept, naive := c.rankJobs(now), c.rankJobsNaively(now)
	for _, waiting := range c.waiting {
		checkLeastNeeds(t, waiting, c.wallClock())
	}
	assert.Equal(t, len(kept), len(naive))
	position := map[*job]int{}
	for n, j := range kept {
		position[j] = n
	}
	// Predictions from the declared work of a job differ from those from its steps by rounding.
	for n, j := range naive {
		at, listed := position[j]
		assert.Assert(t, listed, "job %s isn't ranked", j.def.ID)
		if at != n {
			a, b := c.rankOf(kept[n]), c.rankOf(j)
			assert.Assert(t, a.ready && (a.slack-b.slack).Abs() < time.Microsecond, "job %s has position %d instead of %d", j.def.ID, at, n)
		}
	}
}

// checkLeastNeeds checks that no job counts as too large for the capacity that one of its ready steps needs.
func checkLeastNeeds(t *testing.T, waiting *waitingJobs, wallTime time.Time) {
	for _, r := range waiting.readyJobs() {
		for _, step := range r.job.openStepsNaively() {
			if r.job.isDue(step, wallTime) {
				assert.Assert(t, r.leastNeed.Fits(step.reservation()), "job %s", r.job.def.ID)
			}
		}
	}
}

// rankOf returns the kept keys of the job.
func (c *Core) rankOf(j *job) rankedJob {
	for _, r := range c.waiting[c.poolOf(j)].ranked {
		if r.job == j {
			return r
		}
	}
	return rankedJob{}
}

// Guards against ready work items that the plan doesn't see, and against an order of jobs that is out of date: both are
// kept from cycle to cycle.
func TestKeptRankingMatchesTheItems(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(t, seed, 4)
		s.failedRunShare, s.lostResponseShare, s.delayedOrderShare = 0.1, 0.1, 0.05
		for n := range 60 {
			job := s.randomJob(n)
			if n%6 == 0 {
				job.Recurrence = work.Recurrence{Times: 3, First: simEpoch.Add(s.now), Interval: 400 * time.Millisecond}
			}
			s.submit(job)
			s.advance(70 * time.Millisecond)
			if n%20 == 13 {
				s.takeOver()
			}
			if n%5 == 0 {
				s.cancelAny()
			}
			c := s.leader().core
			checkRanking(t, c, c.clock())
			if n%7 == 0 {
				c.regroupWaiting()
				checkRanking(t, c, c.clock())
			}
		}
	}
}

// randomDefinition returns a job of up to four steps, which depend on earlier ones at random, and up to three occurrences.
func randomDefinition(t *rapid.T) *work.Job {
	def := &work.Job{ID: "job", Accepted: simEpoch}
	for number := range rapid.IntRange(1, 4).Draw(t, "steps") {
		step := work.Step{Count: rapid.IntRange(1, 3).Draw(t, "items"), Filling: rapid.Bool().Draw(t, "filling"),
			Need: work.Resources{CPUMilli: rapid.Int64Range(0, 9).Draw(t, "cpu"), MemoryMiB: rapid.Int64Range(0, 9).Draw(t, "memory"), Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators")}}
		for earlier := range number {
			if rapid.Bool().Draw(t, "depends") {
				step.After = append(step.After, earlier)
			}
		}
		def.Steps = append(def.Steps, step)
	}
	if times := rapid.IntRange(0, 3).Draw(t, "times"); times > 0 {
		def.Recurrence = work.Recurrence{Times: times, First: simEpoch, Interval: time.Duration(rapid.IntRange(-5, 5).Draw(t, "interval")) * time.Second}
	}
	return def
}

// Guards against open steps, due times and needs of a job that are out of date after its items have changed.
func TestOpenStepsMatchTheItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := newJob(randomDefinition(t))
		for number := range j.def.Occurrences() {
			j.createOccurrence(number)
		}
		for range 30 {
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				step := rapid.SampledFrom(j.steps).Draw(t, "step")
				rapid.SampledFrom(step.items).Draw(t, "item").setState(itemState(rapid.IntRange(0, int(itemStates)-1).Draw(t, "state")))
			}
			open := j.openStepsNaively()
			assert.Assert(t, slices.Equal(j.openSteps(), open))
			wallTime := simEpoch.Add(time.Duration(rapid.IntRange(-20, 20).Draw(t, "time")) * time.Second)
			due := slices.ContainsFunc(open, func(s *stepInstance) bool { return !wallTime.Before(j.def.DueAt(s.occurrence)) })
			assert.Equal(t, len(open) > 0 && !wallTime.Before(j.firstDue), due)
			for _, step := range open {
				assert.Assert(t, j.leastNeed.Fits(step.reservation()))
			}
		}
	})
}

// Guards against a sort that gives up on jobs that aren't nearly sorted.
func TestSortRanked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := make([]rankedJob, rapid.IntRange(0, 200).Draw(t, "jobs"))
		shuffled := rapid.Bool().Draw(t, "shuffled")
		for n := range list {
			list[n] = rankedJob{job: newJob(&work.Job{ID: fmt.Sprint(n)}), ready: true, slack: time.Duration(n)}
			if shuffled || rapid.IntRange(0, 9).Draw(t, "moves") == 0 {
				list[n].slack = time.Duration(rapid.IntRange(0, 200).Draw(t, "slack"))
				list[n].tier = rapid.IntRange(0, 2).Draw(t, "tier")
				list[n].ready = rapid.Bool().Draw(t, "ready")
			}
		}
		want := slices.Clone(list)
		slices.SortFunc(want, func(a, b rankedJob) int { return compareRanked(&a, &b) })
		sortRanked(list)
		assert.Assert(t, slices.EqualFunc(list, want, func(a, b rankedJob) bool { return a.job == b.job }))
		assert.Assert(t, slices.IsSortedFunc(list, func(a, b rankedJob) int {
			return cmp.Or(compareBool(!a.ready, !b.ready), cmp.Compare(a.tier, b.tier), cmp.Compare(a.slack, b.slack))
		}))
	})
}
