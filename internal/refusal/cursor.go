package refusal

import (
	"context"
	"math"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/logreader"
)

// maxReadRecords limits the records of one read.
const maxReadRecords = 256

// Cursor is the position of a reader in the refusals stream.
type Cursor struct {
	// After is the offset of the last record that was read. Head is the head offset in the last response.
	After int64
	Head  int64
	// Skipped is the number of records before the start of reading. Expired is the number of later records
	// that the log dropped before they were read. Damaged is the number of records that were read, but
	// couldn't be added to the reader.
	Skipped int64
	Expired int64
	Damaged int64
}

// RecentCursor returns a cursor that starts the given number of records before the head, or at the oldest
// record that the log still keeps if there are fewer.
func RecentCursor(ctx context.Context, log logreader.Log, records int64) (Cursor, error) {
	bounds, err := readStream(ctx, log, math.MaxInt64-1)
	if err != nil {
		return Cursor{}, err
	}
	after := max(bounds.GetHeadOffset()-records, bounds.GetOldestOffset()-1, 0)
	return Cursor{After: after, Head: bounds.GetHeadOffset(), Skipped: after}, nil
}

// ReadRecords reads records of the refusals stream after an offset.
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

// Advance adds the records of a response of ReadRecords after the cursor to the reader, and moves the cursor
// past them. It returns the number of records, or 1 if it only skipped expired ones, and 0 once the cursor is
// at the head.
func (c *Cursor) Advance(reader *Reader, response *v1.ReadResponse) int {
	c.Head = response.GetHeadOffset()
	// If the next record has expired, the log returns no records, and the next read has to start at the
	// oldest one.
	oldest := response.GetOldestOffset()
	if len(response.GetRecords()) == 0 && oldest > c.After+1 && oldest <= c.Head {
		c.Expired += oldest - 1 - c.After
		c.After = oldest - 1
		return 1
	}
	for _, record := range response.GetRecords() {
		c.Expired += record.GetOffset() - c.After - 1
		c.After = record.GetOffset()
		if addRecord(reader, record) != nil {
			c.Damaged++
		}
	}
	return len(response.GetRecords())
}
