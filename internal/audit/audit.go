// Package audit exports the records of a log stream before they expire, and verifies such exports. The lines of
// an export form a hash chain, so that Verify detects a changed, missing or added line.
package audit

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/logreader"
	"turmericyoke/internal/refusal"
)

// maxLineBytes bounds one line of an export. A change set with the largest document fits.
const maxLineBytes = 32 << 20

// Line is one exported record.
type Line struct {
	Stream string `json:"stream"`
	Offset int64  `json:"offset"`
	// Missing is the number of records directly before this one that the log no longer retained.
	Missing int64 `json:"missing,omitempty"`
	// Record is the decoded record for human readers. The hash chain doesn't cover it; it covers Data.
	Record json.RawMessage `json:"record,omitempty"`
	Data   []byte          `json:"data"`
	// Chain is the SHA-256 over the previous line's hash, the offset and the data, in hexadecimal digits.
	Chain string `json:"chain"`
}

// Export writes the records of the stream with offsets above afterOffset as JSON lines and returns their
// number. The line after a gap in the offsets states how many records are missing; missingAtEnd is the number of those
// after the last line.
func Export(ctx context.Context, log logreader.Log, stream string, afterOffset int64, out io.Writer) (count int, missingAtEnd int64, err error) {
	encoder := json.NewEncoder(out)
	var chain []byte
	missingAtEnd, err = logreader.Each(ctx, log, stream, afterOffset, func(record *v1.LogRecord, missing int64) error {
		chain = chainHash(chain, record.GetOffset(), record.GetData())
		line := Line{
			Stream: stream, Offset: record.GetOffset(), Missing: missing,
			Record: decodeRecord(stream, record.GetData()), Data: record.GetData(), Chain: hex.EncodeToString(chain),
		}
		if err := encoder.Encode(line); err != nil {
			return fault.Wrap(fault.Internal, err, "export can't be written")
		}
		count++
		return nil
	})
	return count, missingAtEnd, err
}

// decodeRecord returns the record in data as JSON, or nil if it can't be decoded; its data is exported anyway.
func decodeRecord(stream string, data []byte) json.RawMessage {
	var message proto.Message = &v1.Record{}
	if stream == refusal.Stream {
		message = &v1.RefusalBatch{}
	}
	if proto.Unmarshal(data, message) != nil {
		return nil
	}
	encoded, err := protojson.Marshal(message)
	if err != nil {
		return nil
	}
	return encoded
}

// chainHash returns the hash of a line in the chain, given the previous line's hash.
func chainHash(previous []byte, offset int64, data []byte) []byte {
	digest := sha256.New()
	digest.Write(previous)
	var offsetBytes [8]byte
	binary.BigEndian.PutUint64(offsetBytes[:], uint64(offset))
	digest.Write(offsetBytes[:])
	digest.Write(data)
	return digest.Sum(nil)
}

// Report is the result of verifying an export.
type Report struct {
	Lines int `json:"lines"`
	// Missing is the number of records that the log no longer retained when the export was made.
	Missing     int64 `json:"missing"`
	FirstOffset int64 `json:"firstOffset"`
	LastOffset  int64 `json:"lastOffset"`
}

// Verify checks the hash chain and the offsets of an export. If it returns an error, the report covers the
// lines before the faulty one.
func Verify(export io.Reader) (Report, error) {
	report := Report{}
	scanner := bufio.NewScanner(export)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	var chain []byte
	for scanner.Scan() {
		var line Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return report, fault.Wrap(fault.RecordCorrupt, err, "line %d can't be decoded", report.Lines+1)
		}
		chain = chainHash(chain, line.Offset, line.Data)
		if hex.EncodeToString(chain) != line.Chain {
			return report, fault.New(fault.RecordCorrupt, "line %d, offset %d: the hash chain is broken", report.Lines+1, line.Offset)
		}
		if report.Lines > 0 && line.Offset != report.LastOffset+1+line.Missing {
			return report, fault.New(fault.RecordCorrupt, "line %d, offset %d: undeclared gap", report.Lines+1, line.Offset)
		}
		if report.Lines == 0 {
			report.FirstOffset = line.Offset
		}
		report.Lines++
		report.Missing += line.Missing
		report.LastOffset = line.Offset
	}
	if err := scanner.Err(); err != nil {
		return report, fault.Wrap(fault.RecordCorrupt, err, "export can't be read")
	}
	return report, nil
}
