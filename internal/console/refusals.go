package console

import (
	"context"
	"sync"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/logreader"
	"turmericyoke/internal/refusal"
)

const (
	// maxRetainedEntries bounds the entries that a console holds: at about 300 bytes each, 20 MB.
	maxRetainedEntries = 1 << 16
	// maxBacklogRecords bounds the records before the head that the first page reads on from. Nine gateways
	// that refuse all the time write as many in an hour.
	maxBacklogRecords = 1 << 15
	// maxRecordsPerPage bounds what one page reads; the next page reads on.
	maxRecordsPerPage = 1 << 13
)

// refusalsFollower follows the refusals stream as pages ask for it.
type refusalsFollower struct {
	log logreader.Log
	// readSemaphore holds one token; the page that has it reads on.
	readSemaphore chan struct{}

	mu       sync.Mutex
	reader   *refusal.Reader
	position refusal.Place
	started  bool
}

func newRefusalsFollower(log logreader.Log) *refusalsFollower {
	return &refusalsFollower{log: log, readSemaphore: make(chan struct{}, 1), reader: refusal.NewReaderOf(maxRetainedEntries)}
}

// readAndView reads on and calls look with what is held. It calls look also when the log can't be read, and
// then returns the error.
func (f *refusalsFollower) readAndView(ctx context.Context, view func(*refusal.Reader, refusal.Place)) error {
	err := f.readNew(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	view(f.reader, f.position)
	return err
}

// readNew reads up to maxRecordsPerPage records.
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

// findStart finds where to start: a bounded number of records before the head.
func (f *refusalsFollower) findStart(ctx context.Context) error {
	if f.started {
		return nil
	}
	place, err := refusal.Recent(ctx, f.log, maxBacklogRecords)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position, f.started = place, true
	return nil
}

// readBatch reads one answer of the log without holding up pages that only look.
func (f *refusalsFollower) readBatch(ctx context.Context) (int, error) {
	batch, err := refusal.ReadBatch(ctx, f.log, f.position.After)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position.Take(f.reader, batch), nil
}
