// Package overload decides which jobs give way when a pool has less capacity than work. Its functions are pure: they map a
// snapshot of a pool to decisions, and neither read a clock nor do I/O.
package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Group is the first key of the order in which waiting jobs get capacity.
type Group uint8

// Groups of waiting jobs, in the order in which they get capacity.
const (
	// OnTime jobs can meet their deadlines together.
	OnTime Group = iota
	// Late jobs give way to the OnTime jobs, but can be completed while that is of use.
	Late
	// BeyondShare jobs are those that customers sent beyond their share and that can be completed while that is of use.
	BeyondShare
	// Useless jobs can't be completed while that is of use to their callers.
	Useless
	// groups is the number of groups.
	groups
)

// String returns the value of labels and log fields for the group.
func (g Group) String() string {
	return [...]string{"on_time", "late", "beyond_share", "useless"}[g]
}

const (
	// minWork is the least work of a job in core-seconds, so that jobs that are nearly done have a finite value for their
	// work. Runs take about 0.1 s at least.
	minWork = 0.01
	// overcommitment is the work that is selected to be on time, as a multiple of the capacity. Declared run times are off by a
	// log-normal factor with a sigma of 0.9: with 1, jobs were dropped that could have been on time.
	overcommitment = 3.0
	// sizeExponent is the power of a job's size, compared with jobs of its kind, in its cost. At 1 the order serves most jobs,
	// and few large ones.
	sizeExponent = 0.3
)

// Job is a waiting job that doesn't last. Times are relative to the snapshot.
type Job struct {
	// ID names the job in explanations.
	ID string
	// Priority is that of the queue; 0 is the most urgent.
	Priority int
	// Due is the time left until the deadline, Slack the time left before the remaining critical path must start, and
	// Grace how long after the deadline a completion is still of use.
	Due, Slack, Grace time.Duration
	// Work is the predicted work of the waiting work items in core-seconds, and Size that of the whole job.
	Work, Size float64
	// Typical is the typical Size of the jobs of its kind.
	Typical float64
	// Credit is the factor for its cost, see Sizes.Credit.
	Credit float64
	// BeyondShare is set if its customer sent the job beyond its share.
	BeyondShare bool
}

// Snapshot is the state of a pool.
type Snapshot struct {
	// Cores is the capacity for work that doesn't last, and Placed the core-seconds that placed work items still need.
	Cores, Placed float64
	Jobs          []Job
}

// Position is the place of a job in the order: by group, and by Key in a group.
type Position struct {
	Group Group
	Key   float64
}

// Compare compares positions by the order in which jobs get capacity.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Group, other.Group), cmp.Compare(p.Key, other.Key))
}

// value returns what the completion of the job on time is worth. An on-time job of the most urgent priority counts 1.
func (j *Job) value() float64 { return 1 / float64(1+max(0, j.Priority)) }

// costOfWork returns the work for each unit of value. Jobs with the lowest cost get capacity first. The part of the job that
// is still to do counts, and its size compared with other kinds, but less its size compared with jobs of its kind.
func (j *Job) costOfWork() float64 {
	size := max(minWork, j.Size)
	remaining := min(1, max(minWork, j.Work)/size)
	return remaining * j.Typical * math.Pow(size/j.Typical, sizeExponent) * j.Credit / j.value()
}

// Planner orders the jobs of one pool. It keeps its buffers between calls.
type Planner struct {
	positions []Position
	byDue     []dueJob
	kept      costHeap
}

// dueJob is a job that can be on time by itself.
type dueJob struct {
	due time.Duration
	job int
}

// Order returns the positions of the jobs of the snapshot. The result is valid until the next call.
//
// It selects the jobs that can be on time together in the order of their deadlines: when the work up to a deadline exceeds
// the capacity up to it, the job with the highest cost is dropped. For equal values and sizes of kinds this is the rule of
// Moore and Hodgson, which keeps the largest number of jobs on time on one machine.
func (p *Planner) Order(s *Snapshot) []Position {
	p.positions = slices.Grow(p.positions[:0], len(s.Jobs))[:len(s.Jobs)]
	p.byDue, p.kept = p.byDue[:0], p.kept[:0]
	for n := range s.Jobs {
		j := &s.Jobs[n]
		p.positions[n] = j.positionAlone()
		if p.positions[n].Group == OnTime {
			p.byDue = append(p.byDue, dueJob{j.Due, n})
		}
	}
	slices.SortFunc(p.byDue, func(a, b dueJob) int { return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.job, b.job)) })
	used := s.Placed
	for _, next := range p.byDue {
		p.kept.push(costOf{p.positions[next.job].Key, next.job})
		used += s.Jobs[next.job].Work
		for used > overcommitment*s.Cores*next.due.Seconds() && len(p.kept) > 0 {
			dropped := p.kept.pop().job
			p.positions[dropped].Group = Late
			used -= s.Jobs[dropped].Work
		}
	}
	return p.positions
}

// positionAlone returns the position of the job if no other job competes with it.
func (j *Job) positionAlone() Position {
	position := Position{Key: j.costOfWork()}
	switch {
	case j.Slack < -j.Grace:
		position.Group = Useless
	case j.BeyondShare:
		position.Group = BeyondShare
	case j.Slack < 0:
		position.Group = Late
	}
	return position
}
