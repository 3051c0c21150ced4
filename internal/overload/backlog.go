package overload

import (
	"cmp"
	"math"
	"slices"
)

// Backlog is the work that waits in a pool, in the order in which it gets capacity, as of its last selection.
type Backlog struct {
	// ends holds the jobs of each group by key, each with the work of the group up to it.
	ends [groups][]workUpTo
	// placed is the work of placed work items, and total that of the jobs of each group.
	placed float64
	total  [groups]float64
	cores  float64
	// lowestDropped is the lowest key of a job that was dropped from those that are on time; infinite if none was.
	lowestDropped float64
}

// workUpTo is the work of a group up to the job with the key.
type workUpTo struct {
	key, work float64
	job       string
}

// Set computes the backlog of a pool whose jobs have the positions.
func (b *Backlog) Set(s *Snapshot, positions []Position) {
	b.placed, b.cores, b.total, b.lowestDropped = s.Placed, s.Cores, [groups]float64{}, math.Inf(1)
	for group := range b.ends {
		b.ends[group] = b.ends[group][:0]
	}
	for n, position := range positions {
		b.ends[position.Group] = append(b.ends[position.Group], workUpTo{position.Key, s.Jobs[n].Work, s.Jobs[n].ID})
		if position.Group == Late && s.Jobs[n].Slack >= 0 {
			b.lowestDropped = min(b.lowestDropped, position.Key)
		}
	}
	for group := range b.ends {
		list := b.ends[group]
		slices.SortFunc(list, func(a, b workUpTo) int { return cmp.Compare(a.key, b.key) })
		for n := range list {
			b.total[group] += list[n].work
			list[n].work = b.total[group]
		}
	}
}

// Place returns the position of a job that was submitted after the last selection.
func (b *Backlog) Place(j *Job) Position {
	position := j.positionAlone()
	if position.Group == OnTime && position.Key >= b.lowestDropped {
		position.Group = Late
	}
	return position
}

// WorkAhead returns the work, in core-seconds, that gets capacity before a job in the position.
func (b *Backlog) WorkAhead(position Position) float64 {
	ahead := b.placed
	for group := range position.Group {
		ahead += b.total[group]
	}
	list := b.ends[position.Group]
	n, _ := slices.BinarySearchFunc(list, position.Key, func(w workUpTo, key float64) int { return cmp.Compare(w.key, key) })
	if n > 0 {
		ahead += list[n-1].work
	}
	return ahead
}

// GivesWayTo returns the number of waiting jobs that get capacity before a job in the position, and the ID of the last one of
// them; empty if there is none.
func (b *Backlog) GivesWayTo(position Position) (jobs int, last string) {
	for group := range position.Group {
		if list := b.ends[group]; len(list) > 0 {
			jobs, last = jobs+len(list), list[len(list)-1].job
		}
	}
	list := b.ends[position.Group]
	n, _ := slices.BinarySearchFunc(list, position.Key, func(w workUpTo, key float64) int { return cmp.Compare(w.key, key) })
	if n > 0 {
		jobs, last = jobs+n, list[n-1].job
	}
	return jobs, last
}
