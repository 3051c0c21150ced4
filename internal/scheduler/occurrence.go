package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/work"
)

// Only the occurrences of a job that are due, or nearly so, have state in memory: it is created shortly before they are
// due, and dropped once all their work items are done. Of the others, the job keeps which are done.

const (
	// occurrenceLead is how long before it is due the state of an occurrence is created.
	occurrenceLead = time.Second
	// occurrenceCheckInterval is the interval at which occurrences are created and dropped.
	occurrenceCheckInterval = 250 * time.Millisecond
	// endedStateTime is how long the work items of a finished job are kept: workers may still report their runs.
	endedStateTime = 10 * time.Second
)

// occurrenceState is the state of one occurrence of a job.
type occurrenceState struct {
	number int
	steps  []*stepInstance
}

// doneOccurrences tells which occurrences of a job are done: those below first, and those in later.
type doneOccurrences struct {
	first int
	later map[int]bool
}

func (d *doneOccurrences) contains(number int) bool { return number < d.first || d.later[number] }

func (d *doneOccurrences) add(number int) {
	if d.later == nil {
		d.later = map[int]bool{}
	}
	d.later[number] = true
	for d.later[d.first] {
		delete(d.later, d.first)
		d.first++
	}
}

// laterList returns the occurrences from first on that are done, sorted.
func (d *doneOccurrences) laterList() []int { return slices.Sorted(maps.Keys(d.later)) }

// findOccurrence returns the position of the occurrence in j.occurrences, and whether it is there.
func (j *job) findOccurrence(number int) (int, bool) {
	if len(j.occurrences) == 1 && j.occurrences[0].number == number {
		return 0, true
	}
	return slices.BinarySearchFunc(j.occurrences, number, func(o occurrenceState, n int) int { return cmp.Compare(o.number, n) })
}

// createOccurrence creates the state of an occurrence, unless it exists or the occurrence is done.
func (j *job) createOccurrence(number int) {
	position, exists := j.findOccurrence(number)
	if exists || j.done.contains(number) {
		return
	}
	created := occurrenceState{number: number}
	firstItem := 0
	for n := range j.def.Steps {
		step := &stepInstance{job: j, occurrence: number, number: n, def: &j.def.Steps[n], firstItem: firstItem}
		firstItem += step.def.Count
		for index := range step.def.Count {
			step.items = append(step.items, &item{step: step, index: index, pacePercent: fullPacePercent})
		}
		step.stateCounts[itemWaiting] = len(step.items)
		if j.needsAdvice {
			step.needAdvice()
		}
		created.steps = append(created.steps, step)
	}
	j.occurrences = slices.Insert(j.occurrences, position, created)
	j.collectSteps()
}

// dropOccurrence drops the state of an occurrence that is done.
func (j *job) dropOccurrence(number int) {
	if position, exists := j.findOccurrence(number); exists {
		j.occurrences = slices.Delete(j.occurrences, position, position+1)
		j.collectSteps()
	}
}

// collectSteps sets j.steps to the steps of all occurrences with state.
func (j *job) collectSteps() {
	j.openStepsChanged = true
	if len(j.occurrences) == 1 {
		j.steps = j.occurrences[0].steps
		return
	}
	j.steps = make([]*stepInstance, 0, len(j.occurrences)*len(j.def.Steps))
	for _, o := range j.occurrences {
		j.steps = append(j.steps, o.steps...)
	}
}

// isDone reports whether all work items of the occurrence are done.
func (o *occurrenceState) isDone() bool {
	return !slices.ContainsFunc(o.steps, func(s *stepInstance) bool { return !s.done() })
}

// isDetached reports whether no worker holds a work item of the occurrence: the members of a gang that is done may still
// be stopped.
func (o *occurrenceState) isDetached() bool {
	return !slices.ContainsFunc(o.steps, func(s *stepInstance) bool {
		return slices.ContainsFunc(s.items, func(i *item) bool { return i.worker != nil })
	})
}

// allDone reports whether all occurrences of the job are done.
func (j *job) allDone() bool {
	if len(j.occurrences)+j.done.first+len(j.done.later) < j.def.Occurrences() {
		return false
	}
	return !slices.ContainsFunc(j.occurrences, func(o occurrenceState) bool { return !o.isDone() })
}

// hasUncreated reports whether occurrences of the job have no state yet.
func (j *job) hasUncreated() bool {
	return !j.finished() && len(j.occurrences)+j.done.first+len(j.done.later) < j.def.Occurrences()
}

// maintainOccurrences creates the state of occurrences that are nearly due and drops that of those that are done, for all
// jobs with several of them or with occurrences that found no room in memory.
func (c *Core) maintainOccurrences(now time.Duration) {
	if now < c.nextOccurrenceCheck {
		return
	}
	c.nextOccurrenceCheck = now + occurrenceCheckInterval
	for _, j := range slices.SortedFunc(maps.Keys(c.recurring), compareAccepted) {
		c.dropDoneOccurrences(j)
		c.createOccurrences(j)
		if j.finished() || !j.hasUncreated() && j.def.Occurrences() == 1 {
			delete(c.recurring, j)
		}
	}
}

// compareAccepted compares jobs by the time of their acceptance.
func compareAccepted(a, b *job) int {
	return cmp.Or(a.def.Accepted.Compare(b.def.Accepted), cmp.Compare(a.def.ID, b.def.ID))
}

// dropDoneOccurrences drops the state of the job's occurrences that are done, and records that they are.
func (c *Core) dropDoneOccurrences(j *job) {
	if j.finished() {
		return
	}
	for _, o := range slices.Clone(j.occurrences) {
		if !o.isDone() || !o.isDetached() {
			continue
		}
		c.forgetSuspects(o.steps)
		j.done.add(o.number)
		j.dropOccurrence(o.number)
		c.updateMemory(j)
		c.markDirty(j)
	}
}

// createOccurrences creates the state of the job's occurrences that are due within occurrenceLead, as far as there is room
// in memory.
func (c *Core) createOccurrences(j *job) {
	if !j.hasUncreated() {
		return
	}
	latest := c.wallClock().Add(occurrenceLead)
	for number := j.done.first; number < j.def.Occurrences(); number++ {
		if _, exists := j.findOccurrence(number); exists || j.done.contains(number) {
			continue
		}
		if j.def.DueAt(number).After(latest) {
			return
		}
		if !c.reserveOccurrence(j) {
			c.noteDelayedOccurrence(j, number)
			return
		}
		c.addOccurrence(j, number)
	}
}

// addOccurrence creates the state of an occurrence and makes the job one with work items to place.
func (c *Core) addOccurrence(j *job, number int) {
	j.createOccurrence(number)
	c.updateMemory(j)
	c.addWaiting(j)
	c.wakeUp()
}

// noteDelayedOccurrence counts an occurrence that is due and finds no room in memory, and logs the first one of the job.
func (c *Core) noteDelayedOccurrence(j *job, number int) {
	c.metrics.occurrenceDelayed()
	if j.delayLogged {
		return
	}
	j.delayLogged = true
	c.logger.WithFields(logrus.Fields{"event": "occurrence_delayed", "job": j.def.ID, "occurrence": number, "used_bytes": c.memoryUsed, "limit_bytes": c.options.MaxStateBytes}).Warn(
		"an occurrence is due and there is no room for its state in memory; it waits until other jobs end")
}

// reportedItem returns the item with the ID, or nil if there is none. An earlier term may have started an occurrence that
// has no state in this term yet.
func (c *Core) reportedItem(id work.ItemID) *item {
	if i := c.findItem(id); i != nil {
		return i
	}
	j := c.jobs[id.Job]
	if j == nil || j.finished() || j.done.contains(id.Occurrence) || j.groupOf(itemRecord{Occurrence: id.Occurrence, Step: id.Step, Index: id.Index}) < 0 {
		return nil
	}
	// Whether it is due by the clock of this process doesn't matter: the earlier term had another one.
	c.addOccurrence(j, id.Occurrence)
	return c.findItem(id)
}
