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

// Times and sizes of reads of the log.
const (
	// pollWait is the wait of one long poll. The freshness counts from the start of a read, so that
	// on a quiet log it grows to twice this span.
	pollWait = 2 * time.Second
	// pollInterval is the time from one read that returned the newest records to the next. A read for
	// each record costs about 220 bytes in each direction beside the record; 45 holders that write a
	// record a second would make that 20 KB/s.
	pollInterval = 500 * time.Millisecond
	// readTimeout is what a read may take beyond its wait; a slower log counts as down.
	readTimeout = 5 * time.Second
	// pageRecords bounds the records that are folded under one lock.
	pageRecords = 512
	minBackoff  = 250 * time.Millisecond
	maxBackoff  = 5 * time.Second
)

// beyondHead is an offset that no record has; a read after it returns the bounds of the stream.
const beyondHead = math.MaxInt64 - 1

// followLog folds the log's tail until ctx ends or the follower stops.
func (f *Follower) followLog(ctx context.Context) error {
	wait := minBackoff
	for !f.Stopped() {
		if f.pollLog(ctx) {
			wait = minBackoff
			continue
		}
		if err := pause(ctx, wait); err != nil {
			return err
		}
		wait = min(2*wait, maxBackoff)
	}
	<-ctx.Done()
	return ctx.Err()
}

// pollLog does one long poll, and returns false when the next one should wait.
func (f *Follower) pollLog(ctx context.Context) bool {
	start := time.Now()
	response, err := f.readLog(ctx, fold.FleetStream, f.Offset(), pageRecords, pollWait)
	if err != nil {
		f.report(fault.Wrap(fault.LogUnavailable, err, "log can't be read"))
		return false
	}
	f.logAnswered(response.GetHeadOffset())
	if response.GetOldestOffset() > f.Offset()+1 {
		return f.fillGap(ctx, response.GetOldestOffset())
	}
	if !ingest(f, response.GetRecords()) {
		return false
	}
	f.recovered()
	// A head below the own offset is the answer of a lagging replica of the log, and proves nothing.
	if f.Offset() == response.GetHeadOffset() {
		f.markFresh(response.GetHeadOffset(), start)
		f.reachedLogHead()
		if len(response.GetRecords()) > 0 {
			f.spacePolls(ctx, start)
		}
	}
	return true
}

// spacePolls waits until the next poll is due, or a proposer waits for its record.
func (f *Follower) spacePolls(ctx context.Context, start time.Time) {
	timer := time.NewTimer(pollInterval - time.Since(start))
	defer timer.Stop()
	for f.waiting.Load() == 0 {
		select {
		case <-f.wanted:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// fillGap loads state past records that the log no longer keeps.
func (f *Follower) fillGap(ctx context.Context, oldest int64) bool {
	f.report(fault.New(fault.LogGap, "log keeps records from offset %d: want offset %d", oldest, f.Offset()+1))
	if state := f.newestSnapshot(ctx); state != nil && state.Offset()+1 >= oldest && f.replace(state) {
		return true
	}
	return f.fetchState(ctx, oldest-1)
}

func (f *Follower) readLog(ctx context.Context, stream string, after int64, records int, wait time.Duration) (*v1.ReadResponse, error) {
	call, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	return f.cfg.Log.Read(call, &v1.ReadRequest{
		Stream: stream, AfterOffset: after, MaxRecords: uint32(records), WaitMs: uint32(wait.Milliseconds()),
	})
}

// pause waits for about span. The jitter spreads the reads of many controllers after an outage.
func pause(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span/2 + rand.N(span))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
