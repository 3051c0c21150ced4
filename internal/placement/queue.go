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
	pools   map[string]map[QueueKey]*jobList
	entries map[string]queueEntry
}

type queueEntry struct {
	key QueueKey
	job *WaitingJob
}

// jobList is in order unless dirty. Snapshots share jobs, which therefore only grows in place;
// putting a dirty lane in order makes a new slice.
type jobList struct {
	jobs  []*WaitingJob
	dirty bool
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{pools: map[string]map[QueueKey]*jobList{}, entries: map[string]queueEntry{}}
}

// Put adds a job, or replaces it. The caller doesn't change it afterwards.
func (q *Queue) Put(at QueueKey, waiting *WaitingJob) {
	q.Remove(waiting.Job)
	q.entries[waiting.Job] = queueEntry{key: at, job: waiting}
	lanes := q.pools[at.Pool]
	if lanes == nil {
		lanes = map[QueueKey]*jobList{}
		q.pools[at.Pool] = lanes
	}
	l := lanes[at]
	if l == nil {
		l = &jobList{}
		lanes[at] = l
	}
	if n := len(l.jobs); n > 0 && l.jobs[n-1].SubmitOffset >= waiting.SubmitOffset {
		l.dirty = true
	}
	l.jobs = append(l.jobs, waiting)
}

// Remove takes a job out; an unknown one is ignored.
func (q *Queue) Remove(job string) {
	at, found := q.entries[job]
	if !found {
		return
	}
	delete(q.entries, job)
	q.pools[at.key.Pool][at.key].dirty = true
}

// Find returns a waiting job.
func (q *Queue) Find(job string) (*WaitingJob, QueueKey, bool) {
	at, found := q.entries[job]
	return at.job, at.key, found
}

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return len(q.entries) }

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

// sortedKeys returns the lanes of the pool, in order of team and class, each in order of age.
func (q *Queue) sortedKeys(pool string) []QueueKey {
	var names []QueueKey
	for name, l := range q.pools[pool] {
		if l.dirty {
			q.compact(l)
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

// compact drops removed jobs and restores the order.
func (q *Queue) compact(l *jobList) {
	kept := make([]*WaitingJob, 0, len(l.jobs))
	for _, waiting := range l.jobs {
		if q.entries[waiting.Job].job == waiting {
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
