package console

import (
	"context"
	"sync"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/logreader"
	"turmericyoke/internal/refusal"
)

const (
	// maxRetainedEntries bounds the entries that a console retains. At about 300 bytes each, they take 20 MB.
	maxRetainedEntries = 1 << 16
	// maxBacklogRecords is the number of records before the head at which the first page starts to read. Nine
	// gateways that refuse requests all the time write as many in an hour.
	maxBacklogRecords = 1 << 15
	// maxRecordsPerPage bounds the records that are read for one page. The next page continues from there.
	maxRecordsPerPage = 1 << 13
)

// refusalsFollower reads the refusals stream whenever a page needs the refusals, and retains the newest of
// them.
type refusalsFollower struct {
	refusalsLog logreader.Log
	// readSemaphore admits one page at a time to read the log. Only that page changes position and started, so it
	// may read these without mu.
	readSemaphore chan struct{}

	mu       sync.Mutex
	reader   *refusal.Reader
	position refusal.Cursor
	started  bool
}

func newRefusalsFollower(log logreader.Log) *refusalsFollower {
	return &refusalsFollower{refusalsLog: log, readSemaphore: make(chan struct{}, 1), reader: refusal.NewReaderWithLimit(maxRetainedEntries)}
}

// readAndView reads new records and calls view with the retained refusals. If the log can't be read, it still
// calls view, with the refusals read before, and returns the error.
func (f *refusalsFollower) readAndView(ctx context.Context, view func(*refusal.Reader, refusal.Cursor)) error {
	err := f.readNew(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	view(f.reader, f.position)
	return err
}

// readNew reads new records up to the head of the stream, or until it has read maxRecordsPerPage records.
func (f *refusalsFollower) readNew(ctx context.Context) error {
	select {
	case f.readSemaphore <- struct{}{}:
		defer func() { <-f.readSemaphore }()
	case <-ctx.Done():
		return fault.Wrap(fault.LogUnavailable, ctx.Err(), "another page still reads refusals")
	}
	if err := f.findStart(ctx); err != nil {
		return err
	}
	for recordsRead := 0; recordsRead < maxRecordsPerPage; {
		count, err := f.readBatch(ctx)
		if err != nil {
			return err
		}
		if count == 0 {
			return nil
		}
		recordsRead += count
	}
	return nil
}

// findStart sets the position on the first read: maxBacklogRecords before the head, or at the oldest record.
func (f *refusalsFollower) findStart(ctx context.Context) error {
	if f.started {
		return nil
	}
	position, err := refusal.RecentCursor(ctx, f.refusalsLog, maxBacklogRecords)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position, f.started = position, true
	return nil
}

// readBatch reads the next records and returns their number, 0 at the head. It calls the log without mu, so
// that other pages can view the retained refusals meanwhile.
func (f *refusalsFollower) readBatch(ctx context.Context) (int, error) {
	batch, err := refusal.ReadRecords(ctx, f.refusalsLog, f.position.After)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position.Advance(f.reader, batch), nil
}
