package refusal

import (
	"sort"

	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// entryKey has the values that all refusals of one entry share. The field firstOfBlock is the first number of
// the entry's block, since a busy key uses several blocks. The keys of coarse entries have an empty key id
// and pool, version 0 and firstOfBlock 0.
type entryKey struct {
	team, keyID, pool, rule string
	version                 uint64
	firstOfBlock            uint64
	coarse                  bool
}

// groupKey returns the key of the entry's group: the entries with the same team and rule, which are merged
// into one coarse entry to limit memory.
func (k entryKey) groupKey() entryKey { return entryKey{team: k.team, rule: k.rule, coarse: true} }

// ruleKey returns the key of the coarse entry into which the entries of all teams are merged as the last step
// to limit memory.
func (k entryKey) ruleKey() entryKey { return entryKey{rule: k.rule, coarse: true} }

// entryTable holds entries that aren't in a batch yet.
type entryTable struct {
	entries map[entryKey]*v1.RefusalEntry
	// groupSizes is the number of entries of each group. Merging the largest group frees the most entries.
	groupSizes map[entryKey]int
}

func newEntryTable() *entryTable {
	return &entryTable{entries: map[entryKey]*v1.RefusalEntry{}, groupSizes: map[entryKey]int{}}
}

// add adds one entry, or merges it into an existing one. If the table would have more than limit entries,
// others are merged into coarse entries, which keeps their counts.
func (t *entryTable) add(k entryKey, entry *v1.RefusalEntry, limit int) {
	for _, candidate := range []entryKey{k, k.groupKey(), k.ruleKey()} {
		if existing := t.entries[candidate]; existing != nil {
			mergeEntry(existing, entry)
			return
		}
	}
	if len(t.entries) < limit {
		t.put(k, entry)
		return
	}
	// The limit decreases when a small batch has been appended, so merging one group may not be enough.
	for len(t.entries) >= limit && t.mergeLargestGroup() {
	}
	if len(t.entries) < limit {
		t.add(k, entry, limit)
		return
	}
	// Each group has one entry left, so the groups of each rule are merged.
	t.mergeByRule()
	t.put(k.ruleKey(), newCoarseEntry(entry, ""))
}

// put adds an entry, or merges it into the one with the same key.
func (t *entryTable) put(k entryKey, entry *v1.RefusalEntry) {
	if existing := t.entries[k]; existing != nil {
		mergeEntry(existing, entry)
		return
	}
	t.entries[k] = entry
	t.groupSizes[k.groupKey()]++
}

func (t *entryTable) remove(k entryKey) {
	delete(t.entries, k)
	t.groupSizes[k.groupKey()]--
	if t.groupSizes[k.groupKey()] == 0 {
		delete(t.groupSizes, k.groupKey())
	}
}

// mergeLargestGroup merges the entries of the largest group into one. It returns false if no group has
// several entries.
func (t *entryTable) mergeLargestGroup() bool {
	largest, size := entryKey{}, 1
	for group, n := range t.groupSizes {
		if n > size || n == size && size > 1 && groupLess(group, largest) {
			largest, size = group, n
		}
	}
	if size > 1 {
		t.mergeMatching(func(k entryKey) bool { return k.groupKey() == largest }, largest, largest.team)
	}
	return size > 1
}

// mergeByRule merges all entries of each rule into one.
func (t *entryTable) mergeByRule() {
	rules := map[string]bool{}
	for k := range t.entries {
		rules[k.rule] = true
	}
	for rule := range rules {
		t.mergeMatching(func(k entryKey) bool { return k.rule == rule }, entryKey{rule: rule, coarse: true}, "")
	}
}

// mergeMatching merges all entries whose keys match into one entry with the key into.
func (t *entryTable) mergeMatching(matches func(entryKey) bool, into entryKey, team string) {
	var merged *v1.RefusalEntry
	for k, entry := range t.entries {
		if !matches(k) {
			continue
		}
		t.remove(k)
		if merged == nil {
			merged = newCoarseEntry(entry, team)
			continue
		}
		mergeEntry(merged, entry)
	}
	if merged != nil {
		t.put(into, merged)
	}
}

// newCoarseEntry returns a coarse copy of the entry for the team, without the values that differ within a
// group.
func newCoarseEntry(entry *v1.RefusalEntry, team string) *v1.RefusalEntry {
	coarse := proto.CloneOf(entry)
	coarse.Team = team
	coarse.KeyId = ""
	coarse.Pool = ""
	coarse.ConfigVersion = 0
	coarse.Coarse = true
	return coarse
}

// mergeEntry adds the count of the entry from to into, and extends the ranges of numbers and times. The
// sample is that of the refusal with the lowest number.
func mergeEntry(into, from *v1.RefusalEntry) {
	into.Count += from.GetCount()
	if from.GetFirstNumber() < into.GetFirstNumber() {
		into.FirstNumber = from.GetFirstNumber()
		into.SampleFree, into.SampleNeeded, into.SampleDetail = from.GetSampleFree(), from.GetSampleNeeded(), from.GetSampleDetail()
	}
	into.LastNumber = max(into.GetLastNumber(), from.GetLastNumber())
	into.FirstUnixMs = min(into.GetFirstUnixMs(), from.GetFirstUnixMs())
	into.LastUnixMs = max(into.GetLastUnixMs(), from.GetLastUnixMs())
}

// sortedByNumber returns the entries in order of their first number.
func (t *entryTable) sortedByNumber() []*v1.RefusalEntry {
	list := make([]*v1.RefusalEntry, 0, len(t.entries))
	for _, entry := range t.entries {
		list = append(list, entry)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetFirstNumber() < list[j].GetFirstNumber() })
	return list
}

// groupLess orders the keys of groups.
func groupLess(a, b entryKey) bool {
	if a.team != b.team {
		return a.team < b.team
	}
	return a.rule < b.rule
}

// countRefusals returns the number of refusals in the entries.
func countRefusals(entries []*v1.RefusalEntry) uint64 {
	total := uint64(0)
	for _, entry := range entries {
		total += entry.GetCount()
	}
	return total
}
