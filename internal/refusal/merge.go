package refusal

import (
	"sort"

	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// key is what the refusals of one entry have in common. Block is the first number of the entry's
// block, since a busy key takes several. Coarse entries have an empty key id and pool, version 0
// and block 0.
type key struct {
	team, keyID, pool, rule string
	version                 uint64
	block                   uint64
	coarse                  bool
}

// family returns the key with which the entry is merged to bound memory.
func (k key) family() key { return key{team: k.team, rule: k.rule, coarse: true} }

// ruleOnly returns the key of last resort, which the entries of all teams share.
func (k key) ruleOnly() key { return key{rule: k.rule, coarse: true} }

// table holds the entries that aren't in a batch yet.
type table struct {
	entries map[key]*v1.RefusalEntry
	// families counts the entries of each family, to find the one that frees the most.
	families map[key]int
}

func newTable() *table {
	return &table{entries: map[key]*v1.RefusalEntry{}, families: map[key]int{}}
}

// add merges one entry, holding at most most entries afterwards. Without room, entries of a
// family are merged; no count is lost.
func (t *table) add(k key, entry *v1.RefusalEntry, most int) {
	for _, known := range []key{k, k.family(), k.ruleOnly()} {
		if into := t.entries[known]; into != nil {
			merge(into, entry)
			return
		}
	}
	if len(t.entries) < most {
		t.put(k, entry)
		return
	}
	// The room shrinks when an append of a small batch ends, so one family may not be enough.
	for len(t.entries) >= most && t.coarsen() {
	}
	if len(t.entries) < most {
		t.add(k, entry, most)
		return
	}
	// Each family has one entry left: the families of a rule share one.
	t.coarsenRules()
	t.put(k.ruleOnly(), coarseEntry(entry, ""))
}

func (t *table) put(k key, entry *v1.RefusalEntry) {
	if into := t.entries[k]; into != nil {
		merge(into, entry)
		return
	}
	t.entries[k] = entry
	t.families[k.family()]++
}

func (t *table) remove(k key) {
	delete(t.entries, k)
	t.families[k.family()]--
	if t.families[k.family()] == 0 {
		delete(t.families, k.family())
	}
}

// coarsen merges the entries of the largest family into one, and reports whether there was one with
// several entries.
func (t *table) coarsen() bool {
	largest, count := key{}, 1
	for family, n := range t.families {
		if n > count || n == count && count > 1 && lessKey(family, largest) {
			largest, count = family, n
		}
	}
	if count > 1 {
		t.collapse(func(k key) bool { return k.family() == largest }, largest, largest.team)
	}
	return count > 1
}

// coarsenRules merges all entries into one for each rule.
func (t *table) coarsenRules() {
	rules := map[string]bool{}
	for k := range t.entries {
		rules[k.rule] = true
	}
	for rule := range rules {
		t.collapse(func(k key) bool { return k.rule == rule }, key{rule: rule, coarse: true}, "")
	}
}

func (t *table) collapse(member func(key) bool, into key, team string) {
	var merged *v1.RefusalEntry
	for k, entry := range t.entries {
		if !member(k) {
			continue
		}
		t.remove(k)
		if merged == nil {
			merged = coarseEntry(entry, team)
			continue
		}
		merge(merged, entry)
	}
	if merged != nil {
		t.put(into, merged)
	}
}

// coarseEntry returns the entry without what its family doesn't have in common.
func coarseEntry(entry *v1.RefusalEntry, team string) *v1.RefusalEntry {
	coarse := proto.CloneOf(entry)
	coarse.Team = team
	coarse.KeyId = ""
	coarse.Pool = ""
	coarse.ConfigVersion = 0
	coarse.Coarse = true
	return coarse
}

// merge adds the counts and widens the ranges of into. The sample is that of the first refusal.
func merge(into, from *v1.RefusalEntry) {
	into.Count += from.GetCount()
	if from.GetFirstNumber() < into.GetFirstNumber() {
		into.FirstNumber = from.GetFirstNumber()
		into.SampleFree, into.SampleNeeded, into.SampleDetail = from.GetSampleFree(), from.GetSampleNeeded(), from.GetSampleDetail()
	}
	into.LastNumber = max(into.GetLastNumber(), from.GetLastNumber())
	into.FirstUnixMs = min(into.GetFirstUnixMs(), from.GetFirstUnixMs())
	into.LastUnixMs = max(into.GetLastUnixMs(), from.GetLastUnixMs())
}

// sorted returns the entries in order of first number.
func (t *table) sorted() []*v1.RefusalEntry {
	list := make([]*v1.RefusalEntry, 0, len(t.entries))
	for _, entry := range t.entries {
		list = append(list, entry)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetFirstNumber() < list[j].GetFirstNumber() })
	return list
}

func lessKey(a, b key) bool {
	if a.team != b.team {
		return a.team < b.team
	}
	return a.rule < b.rule
}

// count returns the refusals of the entries.
func count(entries []*v1.RefusalEntry) uint64 {
	total := uint64(0)
	for _, entry := range entries {
		total += entry.GetCount()
	}
	return total
}
