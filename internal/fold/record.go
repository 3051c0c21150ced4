package fold

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// Streams of the log.
const (
	// FleetStream contains the proposals.
	FleetStream = "fleet"
	// SnapshotStream contains snapshot chunks, which controllers read when they start.
	SnapshotStream = "snapshots"
)

// Schema is the record format that this version writes, and the newest one that it reads.
const Schema = 1

// MaxRecordBytes bounds one encoded record. The largest is the first change set, which contains a
// whole document.
const MaxRecordBytes = document.MaxBytes + 64<<10

// schemaField is the field number of Record.schema. The field is encoded first and has the same number
// in all formats, so that a reader recognises a newer format that it can't decode.
const schemaField = 1

// EncodeRecord encodes a record for the log. The error is of kind RequestTooLarge if the encoding
// exceeds MaxRecordBytes.
func EncodeRecord(record *v1.Record) ([]byte, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	if err != nil {
		return nil, fault.Wrap(fault.RequestInvalid, err, "record can't be encoded")
	}
	if len(raw) > MaxRecordBytes {
		return nil, fault.New(fault.RequestTooLarge, "record of %d bytes: want at most %d", len(raw), MaxRecordBytes)
	}
	return raw, nil
}

// DecodeRecord decodes a record. The error is of kind SchemaUnsupported or RecordCorrupt. The payload is
// the last field of a record, so a truncated record either fails to decode or has no payload.
func DecodeRecord(raw []byte) (*v1.Record, *fault.Error) {
	if schema := peekSchema(raw); schema > Schema {
		return nil, fault.New(fault.SchemaUnsupported, "schema %d: want at most %d", schema, Schema)
	}
	record := &v1.Record{}
	if err := proto.Unmarshal(raw, record); err != nil {
		return nil, fault.Wrap(fault.RecordCorrupt, err, "record of %d bytes can't be decoded", len(raw))
	}
	if record.GetSchema() > Schema {
		return nil, fault.New(fault.SchemaUnsupported, "schema %d: want at most %d", record.GetSchema(), Schema)
	}
	if field := missingField(record); field != "" {
		return nil, fault.New(fault.RecordCorrupt, "record of %d bytes has no %s", len(raw), field)
	}
	return record, nil
}

// peekSchema returns the schema if it is the first field of an encoded message, and otherwise 0.
func peekSchema(raw []byte) uint64 {
	number, wireType, tagBytes := protowire.ConsumeTag(raw)
	if tagBytes < 0 || number != schemaField || wireType != protowire.VarintType {
		return 0
	}
	schema, valueBytes := protowire.ConsumeVarint(raw[tagBytes:])
	if valueBytes < 0 {
		return 0
	}
	return schema
}

// missingField names the first required field that the record lacks, or returns "".
func missingField(record *v1.Record) string {
	switch {
	case record.GetSchema() == 0:
		return "schema"
	case record.GetProposer() == "":
		return "proposer"
	case record.GetIncarnation() == "":
		return "incarnation"
	case record.GetSeq() == 0:
		return "seq"
	case record.GetPayload() == nil:
		return "payload"
	}
	return ""
}

func envelopeOf(offset int64, record *v1.Record) structs.Envelope {
	return structs.Envelope{
		Offset: offset, Proposer: record.GetProposer(), Incarnation: record.GetIncarnation(),
		Seq: record.GetSeq(), TimeUnixMS: record.GetTimeUnixMs(),
	}
}
