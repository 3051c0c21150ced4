// Package logreader reads all kept records of one stream of the platform's log.
package logreader

import (
	"context"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

// batch bounds the records of one read.
const batch = 256

// Log is the platform's log; connect's LogServiceClient implements it.
type Log interface {
	Read(context.Context, *v1.ReadRequest) (*v1.ReadResponse, error)
}

// Each calls visit for each kept record after the offset, up to the head. The argument missing is
// the number of records just before this one that the log no longer keeps.
func Each(ctx context.Context, log Log, stream string, after int64, visit func(record *v1.LogRecord, missing int64) error) error {
	// next is where to read on; it passes expired records, while after is the last one visited.
	next := after
	for {
		response, err := log.Read(ctx, &v1.ReadRequest{Stream: stream, AfterOffset: next, MaxRecords: batch})
		if err != nil {
			return fault.Wrap(fault.LogUnavailable, err, "stream %s can't be read", stream)
		}
		// The log answers a read of expired records with none, so the next read starts at the oldest.
		if oldest := response.GetOldestOffset(); len(response.GetRecords()) == 0 && oldest > next+1 && oldest <= response.GetHeadOffset() {
			next = oldest - 1
			continue
		}
		if len(response.GetRecords()) == 0 {
			return nil
		}
		for _, record := range response.GetRecords() {
			if err := visit(record, record.GetOffset()-after-1); err != nil {
				return err
			}
			after = record.GetOffset()
		}
		next = after
	}
}
