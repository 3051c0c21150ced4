package placement

import (
	"cmp"
	"slices"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// QueueKey identifies the list in which a job waits.
type QueueKey struct {
	Pool  string
	Team  string
	Class v1.JobClass
}

// Queue holds the waiting jobs in one list for each pool, team and class. The cost of adding and removing a
// job doesn't depend on the number of waiting jobs: lists are sorted and compacted only when the next
// snapshot needs them, so that a mass cancellation costs one pass over each list that it affects.
type Queue struct {
	// pools holds the lists by pool, and entries the waiting jobs by job id.
	pools   map[string]map[QueueKey]*jobList
	entries map[string]queueEntry
}

// queueEntry is a waiting job with the key of its list.
type queueEntry struct {
	key QueueKey
	job *WaitingJob
}

// jobList is a list of waiting jobs. Snapshots share the jobs slice, so that elements are only appended to it;
// compacting makes a new slice.
type jobList struct {
	jobs []*WaitingJob
	// dirty is set when jobs may be unsorted or contain removed jobs.
	dirty bool
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{pools: map[string]map[QueueKey]*jobList{}, entries: map[string]queueEntry{}}
}

// Put adds a job, or replaces the one with the same id. The caller must not change it afterwards.
func (q *Queue) Put(key QueueKey, job *WaitingJob) {
	q.Remove(job.Job)
	q.entries[job.Job] = queueEntry{key: key, job: job}
	lists := q.pools[key.Pool]
	if lists == nil {
		lists = map[QueueKey]*jobList{}
		q.pools[key.Pool] = lists
	}
	list := lists[key]
	if list == nil {
		list = &jobList{}
		lists[key] = list
	}
	if n := len(list.jobs); n > 0 && list.jobs[n-1].SubmitOffset >= job.SubmitOffset {
		list.dirty = true
	}
	list.jobs = append(list.jobs, job)
}

// Remove removes a job. It does nothing if the job isn't waiting.
func (q *Queue) Remove(job string) {
	entry, found := q.entries[job]
	if !found {
		return
	}
	delete(q.entries, job)
	q.pools[entry.key.Pool][entry.key].dirty = true
}

// Find returns a waiting job and the key of its list.
func (q *Queue) Find(job string) (*WaitingJob, QueueKey, bool) {
	entry, found := q.entries[job]
	return entry.job, entry.key, found
}

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return len(q.entries) }

// Pools returns the sorted names of the pools in which jobs wait. A pool whose jobs were all removed may be
// included until the next snapshot.
func (q *Queue) Pools() []string {
	var names []string
	for name, lists := range q.pools {
		if len(lists) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// HasWaiting reports whether jobs of the class wait in the pool. Jobs that were removed may be counted until
// the next snapshot.
func (q *Queue) HasWaiting(pool string, class v1.JobClass) bool {
	for key, list := range q.pools[pool] {
		if key.Class == class && (len(list.jobs) > 0) {
			return true
		}
	}
	return false
}

// sortedKeys returns the keys of the pool's lists, sorted by team and class. It compacts dirty lists and
// deletes empty ones, so that the lists are sorted by age afterwards.
func (q *Queue) sortedKeys(pool string) []QueueKey {
	var keys []QueueKey
	for key, list := range q.pools[pool] {
		if list.dirty {
			q.compact(list)
		}
		if len(list.jobs) == 0 {
			delete(q.pools[pool], key)
			continue
		}
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b QueueKey) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	return keys
}

// compact drops the removed jobs of a list and sorts the others by age.
func (q *Queue) compact(list *jobList) {
	kept := make([]*WaitingJob, 0, len(list.jobs))
	for _, job := range list.jobs {
		if q.entries[job.Job].job == job {
			kept = append(kept, job)
		}
	}
	byAge := func(a, b *WaitingJob) int { return cmp.Compare(a.SubmitOffset, b.SubmitOffset) }
	if !slices.IsSortedFunc(kept, byAge) {
		slices.SortFunc(kept, byAge)
	}
	list.jobs = kept
	list.dirty = false
}
