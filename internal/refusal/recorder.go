package refusal

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// Recorder merges the refusals of one incarnation of a gateway and appends a batch each second.
type Recorder struct {
	gateway     string
	incarnation string
	now         func() time.Time

	mu sync.Mutex
	// pending holds refusals that aren't in a batch.
	pending *entryTable
	// inFlight is the batch that is being appended. Its content stays the same until the log has
	// answered, since it may be on the stream already.
	inFlight *v1.RefusalBatch
	// appendedCount and seq are the cumulative count and number of the last batch whose append was answered.
	appendedCount uint64
	appendedSeq   uint64
	total         uint64
	numbers       numberAllocator
}

// NewRecorder returns a recorder without refusals. now is the clock.
func NewRecorder(gateway, incarnation string, now func() time.Time) *Recorder {
	return &Recorder{gateway: gateway, incarnation: incarnation, now: now, pending: newEntryTable(), numbers: newNumberAllocator()}
}

// Add records a refusal and returns its id.
func (r *Recorder) Add(refusal Refusal) string {
	k := entryKey{
		team: truncate(refusal.Team, MaxFieldBytes), keyID: truncate(refusal.KeyID, MaxFieldBytes),
		pool: truncate(refusal.Pool, MaxFieldBytes), rule: string(refusal.Kind), version: refusal.ConfigVersion,
	}
	at := r.now().UnixMilli()
	r.mu.Lock()
	defer r.mu.Unlock()
	number, block := r.numbers.allocate(k)
	r.total++
	k.firstOfBlock = block
	if into := r.pending.entries[k]; into != nil {
		into.Count++
		into.LastNumber = number
		into.LastUnixMs = max(into.GetLastUnixMs(), at)
		return FormatID(r.incarnation, number)
	}
	r.pending.add(k, &v1.RefusalEntry{
		Team: k.team, KeyId: k.keyID, Pool: k.pool, Rule: k.rule, ConfigVersion: k.version, Count: 1,
		FirstNumber: number, LastNumber: number, FirstUnixMs: at, LastUnixMs: at,
		SampleFree: refusal.Free, SampleNeeded: refusal.Needed, SampleDetail: truncate(refusal.Detail, MaxDetailBytes),
	}, r.pendingLimit())
	return FormatID(r.incarnation, number)
}

// maxBatchEntries leaves room for refusals that come while a batch is appended.
const maxBatchEntries = MaxEntries * 3 / 4

// pendingLimit returns the number of entries that pending may hold.
func (r *Recorder) pendingLimit() int {
	if r.inFlight == nil {
		return maxBatchEntries
	}
	return MaxEntries - len(r.inFlight.GetEntries())
}

// Total returns the refusals of the incarnation.
func (r *Recorder) Total() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// EntryCount returns the number of entries held in memory.
func (r *Recorder) EntryCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending.entries) + len(r.inFlight.GetEntries())
}

// Run appends a batch each second until ctx ends, and then appends what is left.
func (r *Recorder) Run(ctx context.Context, appender Appender, log *logrus.Entry) error {
	ticker := time.NewTicker(FlushInterval)
	defer ticker.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return r.flushAll(context.WithoutCancel(ctx), appender)
		case <-ticker.C:
		}
		err := r.Flush(ctx, appender)
		if (err != nil) != failing {
			failing = err != nil
			logAppendChange(log.WithField("entries", r.EntryCount()), err)
		}
	}
}

// logAppendChange reports the first failed append, and the first that succeeds again.
func logAppendChange(log *logrus.Entry, err error) {
	if err != nil {
		log.WithField("event", "refusals_append_failed").WithError(err).Warn("refusals can't be appended and are merged in memory")
		return
	}
	log.WithField("event", "refusals_append_recovered").Info("refusals are appended again")
}

// flushAll appends what is left: the batch in flight, and what came after it.
func (r *Recorder) flushAll(ctx context.Context, appender Appender) error {
	for r.EntryCount() > 0 {
		if err := r.Flush(ctx, appender); err != nil {
			return err
		}
	}
	return nil
}

// Flush appends the batch in flight, or a new one with all that is pending. After an error the
// next Flush appends the same batch again.
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

// newBatch returns a batch that follows the settled one.
func (r *Recorder) newBatch(entries []*v1.RefusalEntry) *v1.RefusalBatch {
	return &v1.RefusalBatch{
		Schema: Schema, Gateway: r.gateway, Incarnation: r.incarnation, Seq: r.appendedSeq + 1,
		Entries: entries, CumulativeCount: r.appendedCount + countRefusals(entries), AppendedBy: r.gateway,
	}
}

// CopyForPeer returns all refusals that aren't settled as one batch, for a peer to append if this gateway
// is lost. The batch covers the one in flight, so that a reader that meets both keeps the one that
// covers more. Without such refusals it has no entries; it is never nil, so that a peer knows that
// it holds the copy.
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
