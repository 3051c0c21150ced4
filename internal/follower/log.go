package follower

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
)

// Timing and size limits of log reads.
const (
	// longPollWait is how long the log may hold one long poll. Freshness counts from the start of a read,
	// so on a quiet log it grows to twice this time before the next read returns.
	longPollWait = 2 * time.Second
	// pollInterval is the least time between the starts of two reads if the first one returned records and
	// reached the head. Each read costs about 220 bytes in each direction in addition to its records. With
	// one read per record, 45 holders that each write a record per second would cause 20 KB/s.
	pollInterval = 500 * time.Millisecond
	// readTimeoutMargin is how much longer than its wait a read may take. A slower log counts as down.
	readTimeoutMargin = 5 * time.Second
	// maxPageRecords limits how many records are folded while the lock is held.
	maxPageRecords = 512
	minBackoff     = 250 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// beyondHeadOffset is above the offset of any record. A read after it returns just the bounds of the stream.
const beyondHeadOffset = math.MaxInt64 - 1

// followLog folds the log's tail until ctx ends or the follower stops.
func (f *Follower) followLog(ctx context.Context) error {
	backoff := minBackoff
	for !f.Stopped() {
		if f.pollLog(ctx) {
			backoff = minBackoff
			continue
		}
		if err := sleepWithJitter(ctx, backoff); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
	<-ctx.Done()
	return ctx.Err()
}

// pollLog makes one long poll and folds its records. It returns false if the next poll should back off.
func (f *Follower) pollLog(ctx context.Context) bool {
	start, startedAt := time.Now(), f.clock()
	response, err := f.readLog(ctx, fold.FleetStream, f.Offset(), maxPageRecords, longPollWait)
	if err != nil {
		f.reportRecoverableErr(fault.Wrap(fault.LogUnavailable, err, "fleet stream can't be read"))
		return false
	}
	f.recordLogHead(response.GetHeadOffset())
	if response.GetOldestOffset() > f.Offset()+1 {
		return f.loadPastGap(ctx, response.GetOldestOffset())
	}
	if !ingest(f, response.GetRecords()) {
		return false
	}
	f.clearRecoverableErr()
	// A head below the follower's own offset comes from a lagging replica of the log, and proves no
	// freshness.
	if f.Offset() == response.GetHeadOffset() {
		f.updateFreshness(response.GetHeadOffset(), startedAt)
		f.recordHeadReached()
		if len(response.GetRecords()) > 0 {
			f.delayNextPoll(ctx, start)
		}
	}
	return true
}

// delayNextPoll waits until pollInterval has passed since start. It returns early once a call of Outcome
// waits for a record.
func (f *Follower) delayNextPoll(ctx context.Context, start time.Time) {
	timer := time.NewTimer(pollInterval - time.Since(start))
	defer timer.Stop()
	for f.outcomeWaiters.Load() == 0 {
		select {
		case <-f.waiterAdded:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// loadPastGap replaces the state by a snapshot or a peer's state that needs no records older than oldest. It
// is called when the log no longer keeps the record that follows the state.
func (f *Follower) loadPastGap(ctx context.Context, oldest int64) bool {
	f.reportRecoverableErr(fault.New(fault.LogGap, "oldest record in the log has offset %d: records from offset %d are needed", oldest, f.Offset()+1))
	if state := f.newestSnapshot(ctx); state != nil && state.Offset()+1 >= oldest && f.replaceState(state) {
		return true
	}
	return f.loadFromAnyPeer(ctx, oldest-1)
}

// readLog reads records of a stream after an offset. Without such records, the log waits up to the given time
// for one.
func (f *Follower) readLog(ctx context.Context, stream string, after int64, maxRecords int, wait time.Duration) (*v1.ReadResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	return f.cfg.Log.Read(callCtx, &v1.ReadRequest{
		Stream: stream, AfterOffset: after, MaxRecords: uint32(maxRecords), WaitMs: uint32(wait.Milliseconds()),
	})
}

// sleepWithJitter waits for between 0.5 and 1.5 times the mean. The jitter spreads the reads of many
// controllers after an outage.
func sleepWithJitter(ctx context.Context, mean time.Duration) error {
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
