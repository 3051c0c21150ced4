package refusal

import (
	"slices"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// batchRecord is a batch in the stream. It covers the refusals after baseCount up to cumulativeCount, in the
// order in which the incarnation put them into batches. The missing count of the batch is how many of them
// are lost.
type batchRecord struct {
	history   *incarnationHistory
	batch     *v1.RefusalBatch
	baseCount uint64
}

func (r *batchRecord) cumulativeCount() uint64 { return r.batch.GetCumulativeCount() }

// incarnationHistory holds the batches of one incarnation of a gateway. Each of the gateway's own batches
// starts where the one before it ends. A batch appended by a peer starts where one of the own batches ends.
// It counts only while the own batches end before it does, since a gateway that was taken for lost may
// continue to append.
type incarnationHistory struct {
	gateway     string
	incarnation string
	ownBatches  []*batchRecord
	peerBatches []*batchRecord
	// beforeFirst is the number of refusals before the first batch that was added, or up to the last own batch
	// that was removed.
	beforeFirst uint64
	hasBatch    bool
}

// add adds a batch and returns its record, or nil if the batch covers nothing that isn't covered already.
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

// ownCumulativeCount returns the cumulative count at the end of the own batches.
func (h *incarnationHistory) ownCumulativeCount() uint64 {
	if len(h.ownBatches) == 0 {
		return h.beforeFirst
	}
	return h.ownBatches[len(h.ownBatches)-1].cumulativeCount()
}

// remove removes the oldest record and reports whether no record is left.
func (h *incarnationHistory) remove(oldest *batchRecord) bool {
	if len(h.ownBatches) > 0 && h.ownBatches[0] == oldest {
		h.ownBatches = h.ownBatches[1:]
		h.beforeFirst = max(h.beforeFirst, oldest.cumulativeCount())
	}
	h.peerBatches = slices.DeleteFunc(h.peerBatches, func(r *batchRecord) bool { return r == oldest })
	return len(h.ownBatches)+len(h.peerBatches) == 0
}

// effectiveRecords returns, in order, the records that count. They cover each refusal once.
func (h *incarnationHistory) effectiveRecords() []*batchRecord {
	records := slices.Clone(h.ownBatches)
	peerBatch := h.longestPeerBatch()
	if peerBatch == nil {
		return records
	}
	// The peer's batch has all refusals after its baseCount, including those of later own batches.
	kept := records[:0]
	for _, own := range records {
		if own.cumulativeCount() <= peerBatch.baseCount {
			kept = append(kept, own)
		}
	}
	return append(kept, peerBatch)
}

// longestPeerBatch returns the peer batch with entries that ends last, or nil if the own batches end no
// earlier.
func (h *incarnationHistory) longestPeerBatch() *batchRecord {
	var longest *batchRecord
	maxCount := h.ownCumulativeCount()
	for _, peerBatch := range h.peerBatches {
		if len(peerBatch.batch.GetEntries()) > 0 && peerBatch.cumulativeCount() > maxCount {
			longest, maxCount = peerBatch, peerBatch.cumulativeCount()
		}
	}
	return longest
}

// visitEntries calls visit with each entry of the effective records, in order.
func (h *incarnationHistory) visitEntries(visit func(*v1.RefusalEntry)) {
	for _, record := range h.effectiveRecords() {
		for _, entry := range record.batch.GetEntries() {
			visit(entry)
		}
	}
}

// totals adds up the effective records. Where their cumulative counts increase by more than the counts of
// their entries, the difference is missing, and so is what peer batches report beyond them.
func (h *incarnationHistory) totals() Totals {
	totals := Totals{BeforeFirst: h.beforeFirst}
	coveredCount := h.beforeFirst
	for _, record := range h.effectiveRecords() {
		counted := countRefusals(record.batch.GetEntries())
		totals.Counted += counted
		totals.Missing += record.cumulativeCount() - coveredCount - counted
		coveredCount = record.cumulativeCount()
	}
	for _, peerBatch := range h.peerBatches {
		if peerBatch.cumulativeCount() > coveredCount {
			totals.Missing += peerBatch.cumulativeCount() - coveredCount
			coveredCount = peerBatch.cumulativeCount()
		}
	}
	return totals
}
