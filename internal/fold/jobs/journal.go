package jobs

import "sort"

// journalEntries bounds the journal; a reader that is further behind reads all live jobs.
const journalEntries = 1 << 16

// change is one change of a job.
type change struct {
	offset int64
	id     string
}

// note records a change in the journal. Half of a full journal is dropped at a time, which keeps
// the cost of a record constant on average.
func (s *State) note(offset int64, id string) {
	if len(s.journal) >= journalEntries {
		half := len(s.journal) / 2
		s.journalStart = s.journal[half-1].offset
		s.journal = append([]change(nil), s.journal[half:]...)
	}
	if len(s.journal) == 0 && s.journalStart == 0 {
		// A state that was loaded from a snapshot doesn't know earlier changes.
		s.journalStart = offset - 1
	}
	s.journal = append(s.journal, change{offset: offset, id: id})
}

// ChangedSince returns the ids of jobs changed by records after the offset, possibly repeated.
// It returns false when the journal doesn't reach back that far; the reader then reads all jobs.
func (s *State) ChangedSince(offset int64) ([]string, bool) {
	if offset < s.journalStart || offset == 0 {
		return nil, false
	}
	if len(s.journal) == 0 && len(s.Live) > 0 {
		// Loaded from a snapshot, whose offset the section doesn't know.
		return nil, false
	}
	first := sort.Search(len(s.journal), func(i int) bool { return s.journal[i].offset > offset })
	ids := make([]string, 0, len(s.journal)-first)
	for _, entry := range s.journal[first:] {
		ids = append(ids, entry.id)
	}
	return ids, true
}
