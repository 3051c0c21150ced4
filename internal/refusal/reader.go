package refusal

import (
	"sort"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

// MaxReaderEntries is the default limit of the entries that a reader holds. Beyond it, the oldest batches are
// dropped.
const MaxReaderEntries = 1 << 18

// Reader collects the batches of the refusals stream and answers queries of auditors. It isn't safe for
// concurrent use.
type Reader struct {
	incarnations map[string]*incarnationHistory
	// streamOrder has the records in the order of the stream, to drop the oldest first.
	streamOrder []*batchRecord
	// entryCount is the sum of entryCost over streamOrder.
	entryCount int
	// entryLimit limits entryCount.
	entryLimit int
}

// NewReader returns an empty reader that holds up to MaxReaderEntries entries.
func NewReader() *Reader { return NewReaderWithLimit(MaxReaderEntries) }

// NewReaderWithLimit returns an empty reader that holds up to limit entries.
func NewReaderWithLimit(limit int) *Reader {
	return &Reader{incarnations: map[string]*incarnationHistory{}, entryLimit: limit}
}

// Add adds the next batch of the stream. A batch that was appended twice counts once. The error is of kind
// SchemaUnsupported or RecordCorrupt.
func (r *Reader) Add(batch *v1.RefusalBatch) *fault.Error {
	if batch.GetSchema() > Schema {
		return fault.New(fault.SchemaUnsupported, "refusal batch of schema %d: want at most %d", batch.GetSchema(), Schema)
	}
	if countRefusals(batch.GetEntries())+batch.GetMissingCount() > batch.GetCumulativeCount() {
		return fault.New(fault.RecordCorrupt, "refusal batch %d of %s counts more than its cumulative count", batch.GetSeq(), batch.GetIncarnation())
	}
	history := r.incarnations[batch.GetIncarnation()]
	if history == nil {
		history = &incarnationHistory{gateway: batch.GetGateway(), incarnation: batch.GetIncarnation()}
		r.incarnations[batch.GetIncarnation()] = history
	}
	added := history.add(batch)
	if added == nil {
		return nil
	}
	r.streamOrder = append(r.streamOrder, added)
	r.entryCount += entryCost(batch)
	r.dropOldest()
	return nil
}

// entryCost returns the number of entries of the batch plus one, since a batch that only reports missing
// refusals takes memory as well.
func entryCost(batch *v1.RefusalBatch) int { return len(batch.GetEntries()) + 1 }

// dropOldest drops the oldest batches until entryCount is within entryLimit.
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

// Explanation is what the stream shows about one refusal.
type Explanation struct {
	Gateway string
	// Entries are those whose range of numbers includes the refusal. There is at most one, unless entries
	// were merged to limit memory.
	Entries []*v1.RefusalEntry
	// Exact is set if the only entry is certain to contain the refusal.
	Exact bool
	// Missing is the number of the incarnation's refusals that are known to be lost.
	Missing uint64
}

// Explain returns what is known about a refusal id. The result has no entries if the reader doesn't hold the
// refusal: it isn't appended yet, is lost, or is older than the batches that the reader holds.
func (r *Reader) Explain(id string) (Explanation, *fault.Error) {
	incarnation, number, err := ParseID(id)
	if err != nil {
		return Explanation{}, err
	}
	history := r.incarnations[incarnation]
	if history == nil {
		return Explanation{}, nil
	}
	explanation := Explanation{Gateway: history.gateway, Missing: history.totals().Missing}
	history.visitEntries(func(entry *v1.RefusalEntry) {
		if entry.GetFirstNumber() <= number && number <= entry.GetLastNumber() {
			explanation.Entries = append(explanation.Entries, entry)
		}
	})
	explanation.keepExactEntry()
	return explanation, nil
}

// keepExactEntry drops the other entries if one isn't coarse, since all numbers in its range belong to it.
func (e *Explanation) keepExactEntry() {
	for _, entry := range e.Entries {
		if !entry.GetCoarse() {
			e.Entries = []*v1.RefusalEntry{entry}
			e.Exact = true
			return
		}
	}
}

// Filter selects refusals. An empty field selects all.
type Filter struct {
	Team string
	Rule string
	// From and To limit the time of the refusals. To is exclusive.
	From time.Time
	To   time.Time
}

// matches reports whether the entry may contain a selected refusal.
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

// Match is an entry with the gateway that refused the requests.
type Match struct {
	Gateway     string
	Incarnation string
	Entry       *v1.RefusalEntry
}

// Find returns the entries that may contain a selected refusal, in order of time. An entry that was merged
// across teams matches every team.
func (r *Reader) Find(filter Filter) []Match {
	var matches []Match
	for _, history := range r.incarnations {
		history.visitEntries(func(entry *v1.RefusalEntry) {
			if filter.matches(entry) {
				matches = append(matches, Match{Gateway: history.gateway, Incarnation: history.incarnation, Entry: entry})
			}
		})
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i].isBefore(matches[j]) })
	return matches
}

// isBefore orders matches by time, incarnation and number.
func (m Match) isBefore(other Match) bool {
	if m.Entry.GetFirstUnixMs() != other.Entry.GetFirstUnixMs() {
		return m.Entry.GetFirstUnixMs() < other.Entry.GetFirstUnixMs()
	}
	if m.Incarnation != other.Incarnation {
		return m.Incarnation < other.Incarnation
	}
	return m.Entry.GetFirstNumber() < other.Entry.GetFirstNumber()
}

// Totals has the numbers of refusals of one incarnation.
type Totals struct {
	// Counted is the number of refusals in the entries.
	Counted uint64
	// Missing is the number of refusals that are known to be lost.
	Missing uint64
	// BeforeFirst is the number of refusals before those covered by the batches that the reader holds.
	BeforeFirst uint64
}

// Totals returns the totals of each incarnation of which the reader holds a batch.
func (r *Reader) Totals() map[string]Totals {
	totals := make(map[string]Totals, len(r.incarnations))
	for incarnation, history := range r.incarnations {
		totals[incarnation] = history.totals()
	}
	return totals
}
