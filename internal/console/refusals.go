package console

import (
	"context"
	"sync"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/logreader"
	"turmericyoke/internal/refusal"
)

const (
	// maxHeldEntries bounds the entries that a console holds: at about 300 bytes each, 20 MB.
	maxHeldEntries = 1 << 16
	// maxBacklog bounds the records before the head that the first page reads on from. Nine gateways
	// that refuse all the time write as many in an hour.
	maxBacklog = 1 << 15
	// maxRecordsPerPage bounds what one page reads; the next page reads on.
	maxRecordsPerPage = 1 << 13
)

// refusals follows the refusals stream as pages ask for it.
type refusals struct {
	log logreader.Log
	// reading holds one token; the page that has it reads on.
	reading chan struct{}

	mu     sync.Mutex
	reader *refusal.Reader
	place  refusal.Cursor
	begun  bool
}

func newRefusals(log logreader.Log) *refusals {
	return &refusals{log: log, reading: make(chan struct{}, 1), reader: refusal.NewReaderWithLimit(maxHeldEntries)}
}

// use reads on and calls look with what is held. It calls look also when the log can't be read, and
// then returns the error.
func (f *refusals) use(ctx context.Context, look func(*refusal.Reader, refusal.Cursor)) error {
	err := f.readOn(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	look(f.reader, f.place)
	return err
}

// readOn reads up to maxRecordsPerPage records.
func (f *refusals) readOn(ctx context.Context) error {
	select {
	case f.reading <- struct{}{}:
		defer func() { <-f.reading }()
	case <-ctx.Done():
		return fault.Wrap(fault.LogUnavailable, ctx.Err(), "another page still reads refusals")
	}
	if err := f.begin(ctx); err != nil {
		return err
	}
	for read := 0; read < maxRecordsPerPage; {
		count, err := f.readBatch(ctx)
		if err != nil {
			return err
		}
		if count == 0 {
			return nil
		}
		read += count
	}
	return nil
}

// begin finds where to start: a bounded number of records before the head.
func (f *refusals) begin(ctx context.Context) error {
	if f.begun {
		return nil
	}
	place, err := refusal.RecentCursor(ctx, f.log, maxBacklog)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.place, f.begun = place, true
	return nil
}

// readBatch reads one answer of the log without holding up pages that only look.
func (f *refusals) readBatch(ctx context.Context) (int, error) {
	batch, err := refusal.ReadRecords(ctx, f.log, f.place.After)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.place.Advance(f.reader, batch), nil
}
