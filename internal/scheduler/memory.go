package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"turmericyoke/internal/work"
)

// The state of jobs is bounded by what it takes in memory, since a process that exceeds its memory is killed, and so is
// the next one that loads the same jobs. Admission reserves room for one occurrence of each job. Further occurrences are
// created as long as there is room.

// Sizes in memory, in bytes; TestMemoryEstimate compares them with measured ones.
const (
	jobBytes  = 1600
	stepBytes = 560
	itemBytes = 336
	// endedJobBytes is the size of a finished job without its work items.
	endedJobBytes = 1200
)

// memoryRetryAfter is the retry delay of callers whose jobs find no room in memory: jobs end within seconds.
const memoryRetryAfter = 5 * time.Second

// occurrenceBytes returns the size of the state of one occurrence of a job.
func occurrenceBytes(def *work.Job) int64 {
	bytes := int64(0)
	for n := range def.Steps {
		bytes += stepBytes + int64(def.Steps[n].Count)*itemBytes
	}
	return bytes
}

// definitionBytes returns the size of a job without its occurrences.
func definitionBytes(def *work.Job) int64 {
	bytes := int64(jobBytes + len(def.Spec))
	for n := range def.Steps {
		step := &def.Steps[n]
		bytes += int64(stepBytes + len(step.Label) + len(step.DataRack) + len(step.Image) + 8*len(step.After))
	}
	return bytes
}

// memoryNeed returns the size of the job with the occurrences that have state, and of one that may get it.
func (j *job) memoryNeed() int64 {
	if j.trimmed {
		return endedJobBytes
	}
	occurrences := len(j.occurrences)
	if j.reserved && !j.finished() {
		occurrences = max(occurrences, 1)
	}
	return definitionBytes(j.def) + int64(occurrences)*occurrenceBytes(j.def)
}

// updateMemory updates the job's part of the memory in use.
func (c *Core) updateMemory(j *job) {
	need := j.memoryNeed()
	c.memoryUsed += need - j.memoryUsed
	j.memoryUsed = need
	c.metrics.stateSized(c.memoryUsed)
}

// hasMemoryFor reports whether there is room for more state.
func (c *Core) hasMemoryFor(bytes int64) bool {
	return c.options.MaxStateBytes <= 0 || c.memoryUsed+bytes <= c.options.MaxStateBytes
}

// exceedsMemory reports whether there is never room for the job.
func (c *Core) exceedsMemory(def *work.Job) bool {
	return c.options.MaxStateBytes > 0 && definitionBytes(def)+occurrenceBytes(def) > c.options.MaxStateBytes
}

// addJob adds a job with the room that is reserved for it.
func (c *Core) addJob(j *job) {
	c.jobs[j.def.ID] = j
	c.updateMemory(j)
	if j.def.Occurrences() > 1 || j.hasUncreated() {
		c.recurring[j] = struct{}{}
	}
}

// removeJob removes a job.
func (c *Core) removeJob(j *job) {
	delete(c.jobs, j.def.ID)
	delete(c.activeJobs, j)
	delete(c.recurring, j)
	c.memoryUsed -= j.memoryUsed
	j.memoryUsed = 0
}

// reserveOccurrence reports whether there is room for one more occurrence of the job. The first one has the room that was
// reserved at admission.
func (c *Core) reserveOccurrence(j *job) bool {
	if len(j.occurrences) == 0 && j.reserved {
		return true
	}
	if !c.hasMemoryFor(occurrenceBytes(j.def)) {
		return false
	}
	j.reserved = true
	return true
}

// trimEndedJob drops what is needed only as long as workers may report runs of the job.
func (c *Core) trimEndedJob(j *job, now time.Duration) {
	if _, changed := c.dirtyJobs[j]; changed || j.trimmed || !j.durable || now-j.endedAt < endedStateTime || slices.ContainsFunc(j.occurrences, func(o occurrenceState) bool { return !o.isDetached() }) {
		return
	}
	c.forgetSuspects(j.steps)
	j.trimmed = true
	j.def = &work.Job{ID: j.def.ID, Queue: j.def.Queue, Customer: j.def.Customer}
	j.occurrences, j.steps, j.keptOpenSteps, j.total, j.remaining, j.supply = nil, nil, nil, nil, nil, nil
	c.updateMemory(j)
}

// forgetSuspects removes the items of steps whose state is dropped from the suspects.
func (c *Core) forgetSuspects(steps []*stepInstance) {
	for _, step := range steps {
		for _, i := range step.items {
			delete(c.suspects, i)
		}
	}
}

// loadOrder returns the stored jobs in the order in which they get room in memory: those that have started, and then the
// others by the time of their acceptance.
func loadOrder(jobs map[string]*storedJob) []string {
	return slices.SortedFunc(maps.Keys(jobs), func(a, b string) int {
		first, second := jobs[a], jobs[b]
		if first.def == nil || second.def == nil {
			return cmp.Or(compareBool(first.def != nil, second.def != nil), cmp.Compare(a, b))
		}
		return cmp.Or(compareBool(!first.hasItems(), !second.hasItems()), first.def.Accepted.Compare(second.def.Accepted), cmp.Compare(a, b))
	})
}

// hasItems reports whether anything is recorded of the job's work items.
func (s *storedJob) hasItems() bool {
	return len(s.progress.Items)+len(s.progress.Crashes)+len(s.groups) > 0
}
