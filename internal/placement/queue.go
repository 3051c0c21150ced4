package placement

import (
	"cmp"
	"slices"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// QueueKey is where a job waits.
type QueueKey struct {
	Pool  string
	Team  string
	Class v1.JobClass
}

// Queue holds waiting jobs in lanes. Adding and removing cost the same however many jobs wait:
// a lane is put in order once, when the next snapshot needs it, so that a wave of cancellations
// costs one pass over the lanes that it touched.
type Queue struct {
	pools map[string]map[QueueKey]*lane
	jobs  map[string]place
}

type place struct {
	lane    QueueKey
	waiting *WaitingJob
}

// lane is in order unless dirty. Snapshots share jobs, which therefore only grows in place;
// putting a dirty lane in order makes a new slice.
type lane struct {
	jobs  []*WaitingJob
	dirty bool
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{pools: map[string]map[QueueKey]*lane{}, jobs: map[string]place{}}
}

// Put adds a job, or replaces it. The caller doesn't change it afterwards.
func (q *Queue) Put(at QueueKey, waiting *WaitingJob) {
	q.Remove(waiting.Job)
	q.jobs[waiting.Job] = place{lane: at, waiting: waiting}
	lanes := q.pools[at.Pool]
	if lanes == nil {
		lanes = map[QueueKey]*lane{}
		q.pools[at.Pool] = lanes
	}
	l := lanes[at]
	if l == nil {
		l = &lane{}
		lanes[at] = l
	}
	if n := len(l.jobs); n > 0 && l.jobs[n-1].SubmitOffset >= waiting.SubmitOffset {
		l.dirty = true
	}
	l.jobs = append(l.jobs, waiting)
}

// Remove takes a job out; an unknown one is ignored.
func (q *Queue) Remove(job string) {
	at, found := q.jobs[job]
	if !found {
		return
	}
	delete(q.jobs, job)
	q.pools[at.lane.Pool][at.lane].dirty = true
}

// Find returns a waiting job.
func (q *Queue) Find(job string) (*WaitingJob, QueueKey, bool) {
	at, found := q.jobs[job]
	return at.waiting, at.lane, found
}

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return len(q.jobs) }

// Pools returns the names of pools in which jobs wait, in order.
func (q *Queue) Pools() []string {
	var names []string
	for name, lanes := range q.pools {
		if len(lanes) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// HasWaiting reports whether jobs of the class wait in the pool.
func (q *Queue) HasWaiting(pool string, class v1.JobClass) bool {
	for at, l := range q.pools[pool] {
		if at.Class == class && (len(l.jobs) > 0) {
			return true
		}
	}
	return false
}

// lanes returns the lanes of the pool, in order of team and class, each in order of age.
func (q *Queue) lanes(pool string) []QueueKey {
	var names []QueueKey
	for name, l := range q.pools[pool] {
		if l.dirty {
			q.clean(l)
		}
		if len(l.jobs) == 0 {
			delete(q.pools[pool], name)
			continue
		}
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b QueueKey) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	return names
}

// clean drops removed jobs and restores the order.
func (q *Queue) clean(l *lane) {
	kept := make([]*WaitingJob, 0, len(l.jobs))
	for _, waiting := range l.jobs {
		if q.jobs[waiting.Job].waiting == waiting {
			kept = append(kept, waiting)
		}
	}
	byAge := func(a, b *WaitingJob) int { return cmp.Compare(a.SubmitOffset, b.SubmitOffset) }
	if !slices.IsSortedFunc(kept, byAge) {
		slices.SortFunc(kept, byAge)
	}
	l.jobs = kept
	l.dirty = false
}
