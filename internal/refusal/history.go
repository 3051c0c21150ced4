package refusal

import (
	"slices"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// batchRecord is one batch on the stream. It covers the refusals after base up to cumulative, in the
// order in which the incarnation batched them; missing of them are lost.
type batchRecord struct {
	history   *incarnationHistory
	batch     *v1.RefusalBatch
	baseCount uint64
}

func (r *batchRecord) cumulativeCount() uint64 { return r.batch.GetCumulativeCount() }

// incarnationHistory holds the batches of one incarnation. The gateway's own batches follow each other. A
// batch appended by a peer starts at the end of one of them and counts only while the own batches
// don't reach as far, since a gateway that was taken for lost may go on appending.
type incarnationHistory struct {
	gateway     string
	incarnation string
	ownBatches  []*batchRecord
	peerBatches []*batchRecord
	// beforeFirst is the cumulative count before the first batch that is held.
	beforeFirst uint64
	hasBatch    bool
}

// add returns the record of a batch, or nil when it says nothing new.
func (h *incarnationHistory) add(batch *v1.RefusalBatch) *batchRecord {
	added := &batchRecord{history: h, batch: batch}
	added.baseCount = batch.GetCumulativeCount() - countRefusals(batch.GetEntries()) - batch.GetMissingCount()
	if !h.hasBatch {
		h.hasBatch = true
		if batch.GetSeq() > 1 {
			h.beforeFirst = added.baseCount
		}
	}
	if added.cumulativeCount() <= h.ownCumulativeCount() {
		return nil
	}
	if batch.GetAppendedBy() == h.gateway {
		h.ownBatches = append(h.ownBatches, added)
		return added
	}
	for _, other := range h.peerBatches {
		if other.cumulativeCount() == added.cumulativeCount() && len(other.batch.GetEntries()) >= len(batch.GetEntries()) {
			return nil
		}
	}
	h.peerBatches = append(h.peerBatches, added)
	return added
}

func (h *incarnationHistory) ownCumulativeCount() uint64 {
	if len(h.ownBatches) == 0 {
		return h.beforeFirst
	}
	return h.ownBatches[len(h.ownBatches)-1].cumulativeCount()
}

// remove forgets the oldest record and reports whether none is left.
func (h *incarnationHistory) remove(oldest *batchRecord) bool {
	if len(h.ownBatches) > 0 && h.ownBatches[0] == oldest {
		h.ownBatches = h.ownBatches[1:]
		h.beforeFirst = max(h.beforeFirst, oldest.cumulativeCount())
	}
	h.peerBatches = slices.DeleteFunc(h.peerBatches, func(r *batchRecord) bool { return r == oldest })
	return len(h.ownBatches)+len(h.peerBatches) == 0
}

// effectiveRecords returns the records that count, in order, each refusal once.
func (h *incarnationHistory) effectiveRecords() []*batchRecord {
	records := slices.Clone(h.ownBatches)
	copied := h.longestPeerBatch()
	if copied == nil {
		return records
	}
	// The copy holds all refusals after its base, those of later own batches included.
	kept := records[:0]
	for _, own := range records {
		if own.cumulativeCount() <= copied.baseCount {
			kept = append(kept, own)
		}
	}
	return append(kept, copied)
}

// longestPeerBatch returns the copy that reaches furthest, or nil when the own batches reach as far.
func (h *incarnationHistory) longestPeerBatch() *batchRecord {
	var longest *batchRecord
	reach := h.ownCumulativeCount()
	for _, handed := range h.peerBatches {
		if len(handed.batch.GetEntries()) > 0 && handed.cumulativeCount() > reach {
			longest, reach = handed, handed.cumulativeCount()
		}
	}
	return longest
}

func (h *incarnationHistory) visitEntries(each func(*v1.RefusalEntry)) {
	for _, valid := range h.effectiveRecords() {
		for _, entry := range valid.batch.GetEntries() {
			each(entry)
		}
	}
}

// totals adds up the records that count; a step between their cumulative counts that no entry
// explains is missing.
func (h *incarnationHistory) totals() Totals {
	total := Totals{BeforeFirst: h.beforeFirst}
	reach := h.beforeFirst
	for _, valid := range h.effectiveRecords() {
		counted := countRefusals(valid.batch.GetEntries())
		total.Counted += counted
		total.Missing += valid.cumulativeCount() - reach - counted
		reach = valid.cumulativeCount()
	}
	for _, handed := range h.peerBatches {
		if handed.cumulativeCount() > reach {
			total.Missing += handed.cumulativeCount() - reach
			reach = handed.cumulativeCount()
		}
	}
	return total
}
