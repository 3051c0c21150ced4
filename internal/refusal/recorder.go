package refusal

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// Recorder merges the refusals of one incarnation of a gateway and appends them to the stream in batches. It
// is safe for concurrent use.
type Recorder struct {
	gateway     string
	incarnation string
	now         func() time.Time

	mu sync.Mutex
	// pending has the refusals that aren't in a batch yet.
	pending *entryTable
	// inFlight is the batch that is being appended. It doesn't change until an append of it succeeds, since
	// it may already be in the stream.
	inFlight *v1.RefusalBatch
	// appendedCount and appendedSeq are the cumulative count and the sequence number of the last batch whose
	// append succeeded.
	appendedCount uint64
	appendedSeq   uint64
	total         uint64
	numbers       numberAllocator
}

// NewRecorder returns a recorder without refusals. The function now is its clock.
func NewRecorder(gateway, incarnation string, now func() time.Time) *Recorder {
	return &Recorder{gateway: gateway, incarnation: incarnation, now: now, pending: newEntryTable(), numbers: newNumberAllocator()}
}

// Add records a refusal and returns the id that the caller receives.
func (r *Recorder) Add(refusal Refusal) string {
	key := entryKey{
		team: sanitize(refusal.Team, MaxFieldBytes), keyID: sanitize(refusal.KeyID, MaxFieldBytes),
		pool: sanitize(refusal.Pool, MaxFieldBytes), rule: string(refusal.Kind), version: refusal.ConfigVersion,
	}
	nowMS := r.now().UnixMilli()
	r.mu.Lock()
	defer r.mu.Unlock()
	number, firstOfBlock := r.numbers.allocate(key)
	r.total++
	key.firstOfBlock = firstOfBlock
	if existing := r.pending.entries[key]; existing != nil {
		existing.Count++
		existing.LastNumber = number
		existing.LastUnixMs = max(existing.GetLastUnixMs(), nowMS)
		return FormatID(r.incarnation, number)
	}
	r.pending.add(key, &v1.RefusalEntry{
		Team: key.team, KeyId: key.keyID, Pool: key.pool, Rule: key.rule, ConfigVersion: key.version, Count: 1,
		FirstNumber: number, LastNumber: number, FirstUnixMs: nowMS, LastUnixMs: nowMS,
		SampleFree: refusal.Free, SampleNeeded: refusal.Needed, SampleDetail: sanitize(refusal.Detail, MaxDetailBytes),
	}, r.pendingLimit())
	return FormatID(r.incarnation, number)
}

// maxBatchEntries leaves a quarter of MaxEntries for refusals that occur while a batch is being appended.
const maxBatchEntries = MaxEntries * 3 / 4

// pendingLimit returns how many entries pending may have. r.mu must be held.
func (r *Recorder) pendingLimit() int {
	if r.inFlight == nil {
		return maxBatchEntries
	}
	return MaxEntries - len(r.inFlight.GetEntries())
}

// Total returns the number of refusals of the incarnation so far.
func (r *Recorder) Total() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// notAppended returns the number of refusals whose append hasn't succeeded.
func (r *Recorder) notAppended() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total - r.appendedCount
}

// EntryCount returns the number of entries in memory, including those of the batch that is being appended.
func (r *Recorder) EntryCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending.entries) + len(r.inFlight.GetEntries())
}

// Run appends a batch every FlushInterval until ctx ends, and then tries once to append the remaining refusals.
func (r *Recorder) Run(ctx context.Context, appender Appender, logger *logrus.Entry) error {
	ticker := time.NewTicker(FlushInterval)
	defer ticker.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			if err := r.flushAll(context.WithoutCancel(ctx), appender); err != nil {
				logger.WithField("event", "refusals_left").WithField("refusals", r.notAppended()).WithError(err).
					Warn("refusals can't be appended before the gateway stops; a peer may have a copy")
			}
			return nil
		case <-ticker.C:
		}
		err := r.Flush(ctx, appender)
		if (err != nil) != failing {
			failing = err != nil
			logAppendChange(logger.WithField("entries", r.EntryCount()), err)
		}
	}
}

// logAppendChange logs the first append that fails, or the first one that succeeds again.
func logAppendChange(logger *logrus.Entry, err error) {
	if err != nil {
		logger.WithField("event", "refusals_append_failed").WithError(err).Warn("refusals can't be appended and are merged in memory")
		return
	}
	logger.WithField("event", "refusals_append_recovered").Info("refusals are appended again")
}

// flushAll appends the batch in flight, if any, and then the pending refusals. It returns the first error.
func (r *Recorder) flushAll(ctx context.Context, appender Appender) error {
	for r.EntryCount() > 0 {
		if err := r.Flush(ctx, appender); err != nil {
			return err
		}
	}
	return nil
}

// Flush appends the batch in flight, or else a new batch with all pending refusals. After an error, the next
// call appends the same batch again.
func (r *Recorder) Flush(ctx context.Context, appender Appender) error {
	batch := r.nextBatch()
	if batch == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	if err := appender.AppendRefusals(ctx, batch); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight != batch {
		return nil
	}
	r.inFlight = nil
	r.appendedCount = batch.GetCumulativeCount()
	r.appendedSeq = batch.GetSeq()
	return nil
}

// nextBatch returns the batch in flight, or else makes one of all pending refusals. It returns nil if there
// are none.
func (r *Recorder) nextBatch() *v1.RefusalBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight != nil {
		return r.inFlight
	}
	if len(r.pending.entries) == 0 {
		return nil
	}
	r.inFlight = r.newBatch(r.pending.sortedByNumber())
	r.pending = newEntryTable()
	return r.inFlight
}

// newBatch returns a batch that follows the last appended one. r.mu must be held.
func (r *Recorder) newBatch(entries []*v1.RefusalEntry) *v1.RefusalBatch {
	return &v1.RefusalBatch{
		Schema: Schema, Gateway: r.gateway, Incarnation: r.incarnation, Seq: r.appendedSeq + 1,
		Entries: entries, CumulativeCount: r.appendedCount + countRefusals(entries), AppendedBy: r.gateway,
	}
}

// CopyForPeer returns all refusals whose append hasn't succeeded yet as one batch, which a peer appends if
// this gateway is lost. It includes those of the batch in flight: a reader that finds both batches uses the
// one that covers more. If there are no such refusals, the batch has no entries. It is never nil, so that the
// peer knows that it holds the copy.
func (r *Recorder) CopyForPeer() *v1.RefusalBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := make([]*v1.RefusalEntry, 0, len(r.pending.entries)+len(r.inFlight.GetEntries()))
	for _, entry := range r.inFlight.GetEntries() {
		entries = append(entries, proto.CloneOf(entry))
	}
	for _, entry := range r.pending.sortedByNumber() {
		entries = append(entries, proto.CloneOf(entry))
	}
	return r.newBatch(entries)
}
