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
	// FleetStream holds the proposals.
	FleetStream = "fleet"
	// SnapshotStream holds chunks of snapshots; only starting controllers read it.
	SnapshotStream = "snapshots"
)

// Schema is the newest record format that this version reads, and the one that it writes.
const Schema = 1

// MaxRecordBytes bounds one record. A first publication carries a whole document.
const MaxRecordBytes = document.MaxBytes + 64<<10

// schemaField is the field number of Record.schema. It is written first and keeps its number in all
// formats, so that a reader recognises a newer format that it can't decode.
const schemaField = 1

// EncodeRecord returns the bytes of record for the log. The error is of kind RequestTooLarge when
// the record exceeds MaxRecordBytes.
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

// DecodeRecord reads one record. The error is of kind SchemaUnsupported or RecordCorrupt. The
// payload is the last field of a record, so a truncated record either fails to decode or has no
// payload.
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
	if missing := missingField(record); missing != "" {
		return nil, fault.New(fault.RecordCorrupt, "record of %d bytes has no %s", len(raw), missing)
	}
	return record, nil
}

// peekSchema returns the schema when it is the first field, or 0.
func peekSchema(raw []byte) uint64 {
	number, kind, n := protowire.ConsumeTag(raw)
	if n < 0 || number != schemaField || kind != protowire.VarintType {
		return 0
	}
	schema, m := protowire.ConsumeVarint(raw[n:])
	if m < 0 {
		return 0
	}
	return schema
}

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
