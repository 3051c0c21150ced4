package scheduler

import (
	"cmp"
	"fmt"
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
	var lists [][]*rankedJob
	total := 0
	for _, waiting := range c.waiting {
		var list []*rankedJob
		for n := range waiting.readyJobs() {
			list = append(list, &waiting.ranked[n])
		}
		if len(list) > 0 {
			lists, total = append(lists, list), total+len(list)
		}
	}
	return mergeRanked(lists, total)
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
			s.submit(s.randomJob(n))
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
