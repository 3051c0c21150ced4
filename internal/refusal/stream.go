package refusal

import (
	"context"

	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/logreader"
)

// Stream is the stream of the log that has the refusal batches.
const Stream = "refusals"

// Log appends records; connect's LogServiceClient implements it.
type Log interface {
	Append(context.Context, *v1.AppendRequest) (*v1.AppendResponse, error)
}

// LogAppender appends batches to the refusals stream.
type LogAppender struct{ Log Log }

// AppendRefusals implements Appender.
func (a LogAppender) AppendRefusals(ctx context.Context, batch *v1.RefusalBatch) error {
	data, err := proto.Marshal(batch)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "refusal batch can't be encoded")
	}
	request := &v1.AppendRequest{Stream: Stream, Records: [][]byte{data}}
	if _, err := a.Log.Append(ctx, request); err != nil {
		return fault.Wrap(fault.LogUnavailable, err, "append of refusal batch failed; the batch may or may not be in the stream")
	}
	return nil
}

// ReadAll adds all records of the refusals stream that the log keeps to the reader. It returns the number of
// records that the log no longer keeps, whose refusals can't be explained.
func ReadAll(ctx context.Context, log logreader.Log, reader *Reader) (expired int64, err error) {
	missingAtEnd, err := logreader.Each(ctx, log, Stream, 0, func(record *v1.LogRecord, missing int64) error {
		expired += missing
		return addRecord(reader, record)
	})
	return expired + missingAtEnd, err
}

// addRecord decodes a record of the refusals stream and adds its batch to the reader.
func addRecord(reader *Reader, record *v1.LogRecord) error {
	batch := &v1.RefusalBatch{}
	if err := proto.Unmarshal(record.GetData(), batch); err != nil {
		return fault.Wrap(fault.RecordCorrupt, err, "refusal batch at offset %d", record.GetOffset())
	}
	if err := reader.Add(batch); err != nil {
		return err
	}
	return nil
}
