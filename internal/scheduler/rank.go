package scheduler

import (
	"cmp"
	"slices"
	"time"

	"turmericyoke/internal/work"
)

// waitingJobs are the jobs of a pool that may have work items to place. They are kept in the order of the last planning
// cycle, since few jobs change their place from one cycle to the next.
type waitingJobs struct {
	ranked []rankedJob
	// ready is the number of jobs that had ready work items in the last cycle. They come first.
	ready int
	// candidates are the workers that may get new work in the present cycle; nil if there are none.
	candidates *candidatePool
	// placeable is used by Core.placeableJobs. Its elements and candidates are kept in the buffers.
	placeable, placeableBuffer []*rankedJob
	candidateBuffer            candidatePool
}

// readyJobs returns the jobs with ready work items in the order in which they get resources.
func (w *waitingJobs) readyJobs() []rankedJob { return w.ranked[:w.ready] }

// rankedJob is a job with the keys by which compareRanked sorts it.
type rankedJob struct {
	job     *job
	ready   bool
	lasting bool
	// tier is the job's latenessTier.
	tier         int
	started      bool
	priority     int
	overuseLevel int
	// slack is the time left before the remaining critical path must start. For late jobs it is the
	// core-seconds of the job instead, so that the smallest jobs go first.
	slack time.Duration
	// positioned is set once the order by cost has set the keys.
	positioned bool
	// leastNeed is that of the job.
	leastNeed work.Resources
}

// compareRanked compares jobs by the order in which they get resources: lasting jobs first, since
// their service is interrupted while they wait; then the jobs that can still meet their deadline; then the
// late ones whose completion is still of use; then the others. In each of these groups, started jobs go first,
// since a job that is partly done is of no use yet. Further keys are the queue's priority, the customer's
// overuse level, and the slack or, for late jobs, the size. Jobs without ready work items come last.
func compareRanked(a, b *rankedJob) int {
	switch {
	case a.ready != b.ready:
		return compareBool(!a.ready, !b.ready)
	case a.lasting != b.lasting:
		return compareBool(!a.lasting, !b.lasting)
	case a.tier != b.tier:
		return cmp.Compare(a.tier, b.tier)
	case a.started != b.started:
		return compareBool(!a.started, !b.started)
	case a.priority != b.priority:
		return cmp.Compare(a.priority, b.priority)
	case a.overuseLevel != b.overuseLevel:
		return cmp.Compare(a.overuseLevel, b.overuseLevel)
	case a.slack != b.slack:
		return cmp.Compare(a.slack, b.slack)
	}
	return cmp.Compare(a.job.def.ID, b.job.def.ID)
}

// addWaiting adds the job to those that wait in its pool. A job without work items to place leaves them in the next
// planning cycle.
func (c *Core) addWaiting(j *job) {
	if j.listedAsWaiting || j.finished() {
		return
	}
	j.listedAsWaiting = true
	pool := c.poolOf(j)
	if c.waiting[pool] == nil {
		c.waiting[pool] = &waitingJobs{}
	}
	waiting := c.waiting[pool]
	waiting.ranked = append(waiting.ranked, rankedJob{job: j, lasting: j.def.Lasting(), priority: j.def.Queue.Priority, overuseLevel: j.overuseLevel})
}

// regroupWaiting groups the waiting jobs by the pools of their queues, which may have changed.
func (c *Core) regroupWaiting() {
	former := c.waiting
	c.waiting = map[string]*waitingJobs{}
	for _, waiting := range former {
		for _, r := range waiting.ranked {
			r.job.listedAsWaiting = false
			c.addWaiting(r.job)
		}
	}
}

// rankWaiting ranks the waiting jobs of each pool, and returns the number of those with ready work items.
func (c *Core) rankWaiting(now time.Duration) int {
	ready := 0
	wallTime := c.wallClock()
	for _, waiting := range c.waiting {
		c.updateRanks(waiting, now, wallTime)
		ready += waiting.ready
	}
	return ready
}

// updateRanks drops the jobs without work items to place, and sorts the others by their present keys.
func (c *Core) updateRanks(waiting *waitingJobs, now time.Duration, wallTime time.Time) {
	kept := 0
	waiting.ready = 0
	for n := range waiting.ranked {
		j := waiting.ranked[n].job
		if len(j.openSteps()) == 0 {
			j.listedAsWaiting = false
			continue
		}
		if kept < n {
			waiting.ranked[kept] = waiting.ranked[n]
		}
		r := &waiting.ranked[kept]
		kept++
		if r.ready = j.durable && !wallTime.Before(j.firstDue); r.ready {
			r.leastNeed = j.leastNeed
			if c.reorder == nil || r.lasting {
				c.updateKeys(r, now)
			}
			waiting.ready++
		}
	}
	clear(waiting.ranked[kept:])
	waiting.ranked = waiting.ranked[:kept]
	if c.reorder != nil {
		c.reorder(waiting, now)
	}
	sortRanked(waiting.ranked)
}

// updateKeys updates the keys that change with time and with the state of the job.
func (c *Core) updateKeys(r *rankedJob, now time.Duration) {
	predicted := c.predict(r.job)
	slack := r.job.offeredAt + predicted.relativeDeadline - now - predicted.remainingPath
	r.tier, r.started = latenessTier(predicted.relativeDeadline, slack), r.job.started
	if slack < 0 {
		slack = time.Duration(predicted.coreSeconds * float64(time.Second))
	}
	r.slack = slack
}

// maxSwapsPerJob is the number of swaps by insertion, as a multiple of the number of jobs, that sorting anew costs.
const maxSwapsPerJob = 8

// sortRanked sorts jobs that are nearly sorted.
func sortRanked(list []rankedJob) {
	swaps := 0
	for n := 1; n < len(list); n++ {
		for k := n; k > 0 && compareRanked(&list[k], &list[k-1]) < 0; k-- {
			list[k], list[k-1] = list[k-1], list[k]
			swaps++
		}
		if swaps > maxSwapsPerJob*len(list) {
			slices.SortFunc(list, func(a, b rankedJob) int { return compareRanked(&a, &b) })
			return
		}
	}
}

// placeableJob is a ready job, its least need, and the workers that may get its work.
type placeableJob struct {
	job       *job
	leastNeed work.Resources
	pool      *candidatePool
}

// placeableJobs returns the ready jobs of which a work item may fit on a worker of their pool, in the order in which they
// get resources, without inherited jobs if these are held back. The order counts across pools too, since these share the
// limits of customers. The result is valid until the next call.
func (c *Core) placeableJobs(inheritedHeld bool) []placeableJob {
	c.placeable = c.placeable[:0]
	var lists []*waitingJobs
	for _, waiting := range c.waiting {
		if waiting.findPlaceable(inheritedHeld); len(waiting.placeable) > 0 {
			lists = append(lists, waiting)
		}
	}
	for len(lists) > 0 {
		first := 0
		for n := range lists {
			if n > 0 && compareRanked(lists[n].placeable[0], lists[first].placeable[0]) < 0 {
				first = n
			}
		}
		next := lists[first]
		c.placeable = append(c.placeable, placeableJob{next.placeable[0].job, next.placeable[0].leastNeed, next.candidates})
		if next.placeable = next.placeable[1:]; len(next.placeable) == 0 {
			lists = slices.Delete(lists, first, first+1)
		}
	}
	return c.placeable
}

// findPlaceable sets placeable to the ready jobs of which a work item may fit on a candidate.
func (w *waitingJobs) findPlaceable(inheritedHeld bool) {
	w.placeable = w.placeableBuffer[:0]
	if w.candidates == nil {
		return
	}
	for n := range w.readyJobs() {
		if r := &w.ranked[n]; r.leastNeed.Fits(w.candidates.maxFree) && !(inheritedHeld && r.job.inherited) {
			w.placeable = append(w.placeable, r)
		}
	}
	w.placeableBuffer = w.placeable
}

// latenessTier returns 0 while the job can meet its deadline, 1 while it is late but its completion is still
// of use, and 2 after that. slack is the time left before its remaining critical path must start.
func latenessTier(relativeDeadline, slack time.Duration) int {
	switch {
	case slack >= 0:
		return 0
	case slack >= -(latenessCutoff-1)*relativeDeadline:
		return 1
	}
	return 2
}

// compareBool is a comparison function that sorts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
