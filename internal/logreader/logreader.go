// Package logreader reads all retained records of one stream of the platform's log.
package logreader

import (
	"context"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

// maxRecordsPerRead bounds the records that one read returns.
const maxRecordsPerRead = 256

// Log reads the platform's log. LogServiceClient, the client generated for Connect, implements it.
type Log interface {
	Read(context.Context, *v1.ReadRequest) (*v1.ReadResponse, error)
}

// Each calls visit for each retained record with an offset above after, up to the head of the stream. missing
// is the number of records directly before the visited one that the log no longer retains, and missingAtEnd is the
// number of those after the last visited one. Each stops at the first error of visit and returns it.
func Each(ctx context.Context, log Log, stream string, after int64, visit func(record *v1.LogRecord, missing int64) error) (missingAtEnd int64, err error) {
	// readAfter is the offset after which to read. It skips expired records, while after remains the offset
	// of the last visited record.
	readAfter := after
	for {
		response, err := log.Read(ctx, &v1.ReadRequest{Stream: stream, AfterOffset: readAfter, MaxRecords: maxRecordsPerRead})
		if err != nil {
			return 0, fault.Wrap(fault.LogUnavailable, err, "stream %s can't be read", stream)
		}
		// A read at an expired offset returns no records. Continue with the oldest retained record.
		if oldest := response.GetOldestOffset(); len(response.GetRecords()) == 0 && oldest > readAfter+1 && oldest <= response.GetHeadOffset() {
			readAfter = oldest - 1
			continue
		}
		if len(response.GetRecords()) == 0 {
			return max(0, response.GetOldestOffset()-1-after), nil
		}
		for _, record := range response.GetRecords() {
			if record.GetOffset() <= after {
				return 0, fault.New(fault.LogUnavailable, "stream %s has a record at offset %d after the one at %d", stream, record.GetOffset(), after)
			}
			if err := visit(record, record.GetOffset()-after-1); err != nil {
				return 0, err
			}
			after = record.GetOffset()
		}
		readAfter = after
	}
}
