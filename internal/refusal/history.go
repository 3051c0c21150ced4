package refusal

import (
	"slices"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// record is one batch on the stream. It covers the refusals after base up to cumulative, in the
// order in which the incarnation batched them; missing of them are lost.
type record struct {
	history *history
	batch   *v1.RefusalBatch
	base    uint64
}

func (r *record) cumulative() uint64 { return r.batch.GetCumulativeCount() }

// history holds the batches of one incarnation. The gateway's own batches follow each other. A
// batch appended by a peer starts at the end of one of them and counts only while the own batches
// don't reach as far, since a gateway that was taken for lost may go on appending.
type history struct {
	gateway     string
	incarnation string
	own         []*record
	handed      []*record
	// unread is the cumulative count before the first batch that is held.
	unread uint64
	known  bool
}

// fold returns the record of a batch, or nil when it says nothing new.
func (h *history) fold(batch *v1.RefusalBatch) *record {
	added := &record{history: h, batch: batch}
	added.base = batch.GetCumulativeCount() - count(batch.GetEntries()) - batch.GetMissingCount()
	if !h.known {
		h.known = true
		if batch.GetSeq() > 1 {
			h.unread = added.base
		}
	}
	if added.cumulative() <= h.ownCumulative() {
		return nil
	}
	if batch.GetAppendedBy() == h.gateway {
		h.own = append(h.own, added)
		return added
	}
	for _, other := range h.handed {
		if other.cumulative() == added.cumulative() && len(other.batch.GetEntries()) >= len(batch.GetEntries()) {
			return nil
		}
	}
	h.handed = append(h.handed, added)
	return added
}

func (h *history) ownCumulative() uint64 {
	if len(h.own) == 0 {
		return h.unread
	}
	return h.own[len(h.own)-1].cumulative()
}

// drop forgets the oldest record and reports whether none is left.
func (h *history) drop(oldest *record) bool {
	if len(h.own) > 0 && h.own[0] == oldest {
		h.own = h.own[1:]
		h.unread = max(h.unread, oldest.cumulative())
	}
	h.handed = slices.DeleteFunc(h.handed, func(r *record) bool { return r == oldest })
	return len(h.own)+len(h.handed) == 0
}

// valid returns the records that count, in order, each refusal once.
func (h *history) valid() []*record {
	records := slices.Clone(h.own)
	copied := h.longestCopy()
	if copied == nil {
		return records
	}
	// The copy holds all refusals after its base, those of later own batches included.
	kept := records[:0]
	for _, own := range records {
		if own.cumulative() <= copied.base {
			kept = append(kept, own)
		}
	}
	return append(kept, copied)
}

// longestCopy returns the copy that reaches furthest, or nil when the own batches reach as far.
func (h *history) longestCopy() *record {
	var longest *record
	reach := h.ownCumulative()
	for _, handed := range h.handed {
		if len(handed.batch.GetEntries()) > 0 && handed.cumulative() > reach {
			longest, reach = handed, handed.cumulative()
		}
	}
	return longest
}

func (h *history) visit(each func(*v1.RefusalEntry)) {
	for _, valid := range h.valid() {
		for _, entry := range valid.batch.GetEntries() {
			each(entry)
		}
	}
}

// totals adds up the records that count; a step between their cumulative counts that no entry
// explains is missing.
func (h *history) totals() Totals {
	total := Totals{BeforeFirst: h.unread}
	reach := h.unread
	for _, valid := range h.valid() {
		counted := count(valid.batch.GetEntries())
		total.Counted += counted
		total.Missing += valid.cumulative() - reach - counted
		reach = valid.cumulative()
	}
	for _, handed := range h.handed {
		if handed.cumulative() > reach {
			total.Missing += handed.cumulative() - reach
			reach = handed.cumulative()
		}
	}
	return total
}
