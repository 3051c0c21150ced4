package refusal

import (
	"sort"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

// MaxReaderEntries bounds the entries that a reader holds; the oldest batches are dropped.
const MaxReaderEntries = 1 << 18

// Reader folds the refusals stream into answers for auditors.
type Reader struct {
	incarnations map[string]*incarnationHistory
	// streamOrder lists the records in order of the stream, to drop the oldest.
	streamOrder []*batchRecord
	entryCount  int
	// entryLimit bounds entries.
	entryLimit int
}

// NewReader returns a reader that has read nothing and holds up to MaxReaderEntries.
func NewReader() *Reader { return NewReaderWithLimit(MaxReaderEntries) }

// NewReaderWithLimit returns a reader that holds up to limit entries.
func NewReaderWithLimit(limit int) *Reader {
	return &Reader{incarnations: map[string]*incarnationHistory{}, entryLimit: limit}
}

// Add takes the next batch of the stream. Batches that were appended twice count once.
func (r *Reader) Add(batch *v1.RefusalBatch) *fault.Error {
	if batch.GetSchema() > Schema {
		return fault.New(fault.SchemaUnsupported, "refusal batch of schema %d: want at most %d", batch.GetSchema(), Schema)
	}
	if countRefusals(batch.GetEntries())+batch.GetMissingCount() > batch.GetCumulativeCount() {
		return fault.New(fault.RecordCorrupt, "refusal batch %d of %s counts more than its cumulative count", batch.GetSeq(), batch.GetIncarnation())
	}
	h := r.incarnations[batch.GetIncarnation()]
	if h == nil {
		h = &incarnationHistory{gateway: batch.GetGateway(), incarnation: batch.GetIncarnation()}
		r.incarnations[batch.GetIncarnation()] = h
	}
	added := h.add(batch)
	if added == nil {
		return nil
	}
	r.streamOrder = append(r.streamOrder, added)
	r.entryCount += entryCost(batch)
	r.dropOldest()
	return nil
}

// entryCost counts a batch as one entry more than it has, since a batch that only reports a gap takes
// memory, too.
func entryCost(batch *v1.RefusalBatch) int { return len(batch.GetEntries()) + 1 }

func (r *Reader) dropOldest() {
	for r.entryCount > r.entryLimit {
		oldest := r.streamOrder[0]
		r.streamOrder = r.streamOrder[1:]
		r.entryCount -= entryCost(oldest.batch)
		if oldest.history.remove(oldest) {
			delete(r.incarnations, oldest.history.incarnation)
		}
	}
}

// Explanation is the answer for one refusal id.
type Explanation struct {
	Gateway string
	// Entries are those whose numbers include the refusal. There is one, unless entries were
	// merged to bound memory.
	Entries []*v1.RefusalEntry
	// Exact is set when the only entry is that of the refusal itself.
	Exact bool
	// Missing is the number of refusals of the incarnation that are known to be lost.
	Missing uint64
}

// Explain returns what is known about a refusal id. The answer has no entries when the refusal
// isn't on the stream: it is pending, lost or older than what the reader holds.
func (r *Reader) Explain(id string) (Explanation, *fault.Error) {
	incarnation, number, err := ParseID(id)
	if err != nil {
		return Explanation{}, err
	}
	h := r.incarnations[incarnation]
	if h == nil {
		return Explanation{}, nil
	}
	answer := Explanation{Gateway: h.gateway, Missing: h.totals().Missing}
	h.visitEntries(func(entry *v1.RefusalEntry) {
		if entry.GetFirstNumber() <= number && number <= entry.GetLastNumber() {
			answer.Entries = append(answer.Entries, entry)
		}
	})
	answer.keepExactEntry()
	return answer, nil
}

// keepExactEntry keeps the entry that isn't coarse, whose numbers are its own.
func (e *Explanation) keepExactEntry() {
	for _, entry := range e.Entries {
		if !entry.GetCoarse() {
			e.Entries = []*v1.RefusalEntry{entry}
			e.Exact = true
			return
		}
	}
}

// Filter selects refusals. Empty fields select all.
type Filter struct {
	Team string
	Rule string
	// From and To bound the time of the refusals; To is exclusive.
	From time.Time
	To   time.Time
}

func (f Filter) matches(entry *v1.RefusalEntry) bool {
	if f.Team != "" && entry.GetTeam() != f.Team && !(entry.GetCoarse() && entry.GetTeam() == "") {
		return false
	}
	if f.Rule != "" && entry.GetRule() != f.Rule {
		return false
	}
	if !f.From.IsZero() && entry.GetLastUnixMs() < f.From.UnixMilli() {
		return false
	}
	return f.To.IsZero() || entry.GetFirstUnixMs() < f.To.UnixMilli()
}

// Match is an entry with the gateway that refused.
type Match struct {
	Gateway     string
	Incarnation string
	Entry       *v1.RefusalEntry
}

// Find returns the entries that may hold a selected refusal, in order of time. An entry that was
// merged over teams matches each team.
func (r *Reader) Find(filter Filter) []Match {
	var found []Match
	for _, h := range r.incarnations {
		h.visitEntries(func(entry *v1.RefusalEntry) {
			if filter.matches(entry) {
				found = append(found, Match{Gateway: h.gateway, Incarnation: h.incarnation, Entry: entry})
			}
		})
	}
	sort.Slice(found, func(i, j int) bool { return found[i].isBefore(found[j]) })
	return found
}

func (f Match) isBefore(other Match) bool {
	if f.Entry.GetFirstUnixMs() != other.Entry.GetFirstUnixMs() {
		return f.Entry.GetFirstUnixMs() < other.Entry.GetFirstUnixMs()
	}
	if f.Incarnation != other.Incarnation {
		return f.Incarnation < other.Incarnation
	}
	return f.Entry.GetFirstNumber() < other.Entry.GetFirstNumber()
}

// Totals are the refusals of one incarnation.
type Totals struct {
	// Counted is the number of refusals in the entries.
	Counted uint64
	// Missing is the number of refusals that are known to be lost.
	Missing uint64
	// BeforeFirst is the number of refusals before the first batch that the reader holds.
	BeforeFirst uint64
}

// Totals returns the totals of each incarnation that the reader has met.
func (r *Reader) Totals() map[string]Totals {
	all := make(map[string]Totals, len(r.incarnations))
	for name, h := range r.incarnations {
		all[name] = h.totals()
	}
	return all
}
