package jobs

import "sort"

// maxChanges bounds the list of changes. A reader that is further behind has to read all live jobs.
const maxChanges = 1 << 16

// jobChange is the offset of a record and the id of the job that it changed.
type jobChange struct {
	offset int64
	id     string
}

// recordChange adds a change to the list. When the list is full, it first drops the older half at once, so that
// the amortised cost of a record is constant.
func (s *State) recordChange(offset int64, id string) {
	if len(s.changes) >= maxChanges {
		half := len(s.changes) / 2
		s.changesCompleteAfter = s.changes[half-1].offset
		s.changes = append([]jobChange(nil), s.changes[half:]...)
	}
	if len(s.changes) == 0 && s.changesCompleteAfter == 0 {
		// A state that was loaded from a snapshot doesn't have the earlier changes.
		s.changesCompleteAfter = offset - 1
	}
	s.changes = append(s.changes, jobChange{offset: offset, id: id})
}

// ChangedSince returns the ids of the jobs that records after the offset changed, possibly with duplicates. It
// returns false if the list of changes doesn't reach back that far; the caller then has to read all jobs.
func (s *State) ChangedSince(offset int64) ([]string, bool) {
	if offset < s.changesCompleteAfter || offset == 0 {
		return nil, false
	}
	if len(s.changes) == 0 && len(s.Live) > 0 {
		// The state was loaded from a snapshot and doesn't know the offset of that snapshot.
		return nil, false
	}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].offset > offset })
	ids := make([]string, 0, len(s.changes)-first)
	for _, entry := range s.changes[first:] {
		ids = append(ids, entry.id)
	}
	return ids, true
}
