package refusal

import (
	"sort"

	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// entryKey is what the refusals of one entry have in common. Block is the first number of the entry's
// block, since a busy key takes several. Coarse entries have an empty key id and pool, version 0
// and block 0.
type entryKey struct {
	team, keyID, pool, rule string
	version                 uint64
	firstOfBlock            uint64
	coarse                  bool
}

// groupKey returns the key with which the entry is merged to bound memory.
func (k entryKey) groupKey() entryKey { return entryKey{team: k.team, rule: k.rule, coarse: true} }

// ruleKey returns the key of last resort, which the entries of all teams share.
func (k entryKey) ruleKey() entryKey { return entryKey{rule: k.rule, coarse: true} }

// entryTable holds the entries that aren't in a batch yet.
type entryTable struct {
	entries map[entryKey]*v1.RefusalEntry
	// groupSizes counts the entries of each family, to find the one that frees the most.
	groupSizes map[entryKey]int
}

func newEntryTable() *entryTable {
	return &entryTable{entries: map[entryKey]*v1.RefusalEntry{}, groupSizes: map[entryKey]int{}}
}

// add merges one entry, holding at most most entries afterwards. Without room, entries of a
// family are merged; no count is lost.
func (t *entryTable) add(k entryKey, entry *v1.RefusalEntry, most int) {
	for _, known := range []entryKey{k, k.groupKey(), k.ruleKey()} {
		if into := t.entries[known]; into != nil {
			mergeEntry(into, entry)
			return
		}
	}
	if len(t.entries) < most {
		t.put(k, entry)
		return
	}
	// The room shrinks when an append of a small batch ends, so one family may not be enough.
	for len(t.entries) >= most && t.mergeLargestGroup() {
	}
	if len(t.entries) < most {
		t.add(k, entry, most)
		return
	}
	// Each family has one entry left: the families of a rule share one.
	t.mergeByRule()
	t.put(k.ruleKey(), newCoarseEntry(entry, ""))
}

func (t *entryTable) put(k entryKey, entry *v1.RefusalEntry) {
	if into := t.entries[k]; into != nil {
		mergeEntry(into, entry)
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

// mergeLargestGroup merges the entries of the largest family into one, and reports whether there was one with
// several entries.
func (t *entryTable) mergeLargestGroup() bool {
	largest, count := entryKey{}, 1
	for family, n := range t.groupSizes {
		if n > count || n == count && count > 1 && groupLess(family, largest) {
			largest, count = family, n
		}
	}
	if count > 1 {
		t.mergeMatching(func(k entryKey) bool { return k.groupKey() == largest }, largest, largest.team)
	}
	return count > 1
}

// mergeByRule merges all entries into one for each rule.
func (t *entryTable) mergeByRule() {
	rules := map[string]bool{}
	for k := range t.entries {
		rules[k.rule] = true
	}
	for rule := range rules {
		t.mergeMatching(func(k entryKey) bool { return k.rule == rule }, entryKey{rule: rule, coarse: true}, "")
	}
}

func (t *entryTable) mergeMatching(member func(entryKey) bool, into entryKey, team string) {
	var merged *v1.RefusalEntry
	for k, entry := range t.entries {
		if !member(k) {
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

// newCoarseEntry returns the entry without what its family doesn't have in common.
func newCoarseEntry(entry *v1.RefusalEntry, team string) *v1.RefusalEntry {
	coarse := proto.CloneOf(entry)
	coarse.Team = team
	coarse.KeyId = ""
	coarse.Pool = ""
	coarse.ConfigVersion = 0
	coarse.Coarse = true
	return coarse
}

// mergeEntry adds the counts and widens the ranges of into. The sample is that of the first refusal.
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

// sortedByNumber returns the entries in order of first number.
func (t *entryTable) sortedByNumber() []*v1.RefusalEntry {
	list := make([]*v1.RefusalEntry, 0, len(t.entries))
	for _, entry := range t.entries {
		list = append(list, entry)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetFirstNumber() < list[j].GetFirstNumber() })
	return list
}

func groupLess(a, b entryKey) bool {
	if a.team != b.team {
		return a.team < b.team
	}
	return a.rule < b.rule
}

// countRefusals returns the refusals of the entries.
func countRefusals(entries []*v1.RefusalEntry) uint64 {
	total := uint64(0)
	for _, entry := range entries {
		total += entry.GetCount()
	}
	return total
}
