package refusal

import (
	"context"
	"math"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/logreader"
)

// maxReadRecords bounds the records of one read.
const maxReadRecords = 256

// Cursor is how far a reader has come on the refusals stream.
type Cursor struct {
	// After is the offset of the last record that was read, and Head the newest one known.
	After int64
	Head  int64
	// Skipped is the number of records that aren't read because they are older than the first one,
	// Expired the number of those that the log dropped before they were read, and Damaged the
	// number of those that can't be decoded.
	Skipped int64
	Expired int64
	Damaged int64
}

// RecentCursor returns the place a number of records before the head, or the oldest kept record.
func RecentCursor(ctx context.Context, log logreader.Log, records int64) (Cursor, error) {
	bounds, err := readStream(ctx, log, math.MaxInt64-1)
	if err != nil {
		return Cursor{}, err
	}
	after := max(bounds.GetHeadOffset()-records, bounds.GetOldestOffset()-1, 0)
	return Cursor{After: after, Head: bounds.GetHeadOffset(), Skipped: after}, nil
}

// ReadRecords reads the next records of the refusals stream.
func ReadRecords(ctx context.Context, log logreader.Log, after int64) (*v1.ReadResponse, error) {
	return readStream(ctx, log, after)
}

func readStream(ctx context.Context, log logreader.Log, after int64) (*v1.ReadResponse, error) {
	response, err := log.Read(ctx, &v1.ReadRequest{Stream: Stream, AfterOffset: after, MaxRecords: maxReadRecords})
	if err != nil {
		return nil, fault.Wrap(fault.LogUnavailable, err, "stream %s can't be read", Stream)
	}
	return response, nil
}

// Advance folds a batch that was read after the place, and moves on. It returns 0 at the head.
func (p *Cursor) Advance(reader *Reader, batch *v1.ReadResponse) int {
	p.Head = batch.GetHeadOffset()
	// The log answers a read of expired records with none, so the next read starts at the oldest.
	oldest := batch.GetOldestOffset()
	if len(batch.GetRecords()) == 0 && oldest > p.After+1 && oldest <= p.Head {
		p.Expired += oldest - 1 - p.After
		p.After = oldest - 1
		return 1
	}
	for _, record := range batch.GetRecords() {
		p.Expired += record.GetOffset() - p.After - 1
		p.After = record.GetOffset()
		if addRecord(reader, record) != nil {
			p.Damaged++
		}
	}
	return len(batch.GetRecords())
}
