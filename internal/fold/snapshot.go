package fold

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/json"
	"io"

	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// MaxSnapshotBytes bounds a decompressed snapshot, so that a corrupt one can't exhaust memory.
const MaxSnapshotBytes = 32 << 20

// snapshotBody is the canonical JSON form of the whole state.
type snapshotBody struct {
	Schema           uint32            `json:"schema"`
	Offset           int64             `json:"offset"`
	Version          uint64            `json:"version"`
	Hash             []byte            `json:"hash"`
	Document         *structs.Document `json:"document"`
	Escrow           Section           `json:"escrow"`
	Inventory        Section           `json:"inventory"`
	Jobs             Section           `json:"jobs"`
	RecentVerdicts   []Verdict         `json:"recent"`
	OperatorVerdicts []Verdict         `json:"changes"`
}

// body returns the snapshot body of the state. It shares the sections with the state.
func (s *State) body() *snapshotBody {
	return &snapshotBody{
		Schema: Schema, Offset: s.offset, Version: s.version, Hash: s.hash, Document: s.doc,
		Escrow: s.Escrow, Inventory: s.Inventory, Jobs: s.Jobs,
		RecentVerdicts: s.recentVerdicts.list(), OperatorVerdicts: s.operatorVerdicts.list(),
	}
}

// EncodeCanonical returns the canonical JSON encoding of the whole state. Equal states have equal
// encodings.
func (s *State) EncodeCanonical() ([]byte, error) {
	data, err := json.Marshal(s.body())
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "state can't be encoded")
	}
	return data, nil
}

// EncodeSnapshot returns a snapshot of the state, in the format of PackSnapshot.
func (s *State) EncodeSnapshot() ([]byte, error) {
	data, err := s.EncodeCanonical()
	if err != nil {
		return nil, err
	}
	return PackSnapshot(data)
}

// PackSnapshot makes a snapshot of a canonical encoding: the SHA-256 digest of the encoding, followed by
// the encoding compressed with gzip.
func PackSnapshot(canonical []byte) ([]byte, error) {
	digest := sha256.Sum256(canonical)
	var out bytes.Buffer
	out.Write(digest[:])
	writer := gzip.NewWriter(&out)
	if _, err := writer.Write(canonical); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "snapshot can't be compressed")
	}
	if err := writer.Close(); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "snapshot can't be compressed")
	}
	return out.Bytes(), nil
}

// DecodeSnapshot decodes a snapshot that EncodeSnapshot made. The error is of kind RecordCorrupt, or
// SchemaUnsupported for a snapshot of a newer format.
func DecodeSnapshot(data []byte) (*State, *fault.Error) {
	canonical, err := unpackSnapshot(data)
	if err != nil {
		return nil, err
	}
	var header struct {
		Schema uint32 `json:"schema"`
	}
	if err := json.Unmarshal(canonical, &header); err != nil {
		return nil, corruptSnapshot(err)
	}
	if header.Schema > Schema {
		return nil, fault.New(fault.SchemaUnsupported, "snapshot has schema %d: want at most %d", header.Schema, Schema)
	}
	return decodeCanonical(canonical)
}

// unpackSnapshot decompresses a snapshot, verifies its digest and returns the canonical encoding.
func unpackSnapshot(data []byte) ([]byte, *fault.Error) {
	if len(data) < sha256.Size {
		return nil, fault.New(fault.RecordCorrupt, "snapshot of %d bytes: want at least %d", len(data), sha256.Size)
	}
	reader, err := gzip.NewReader(bytes.NewReader(data[sha256.Size:]))
	if err != nil {
		return nil, corruptSnapshot(err)
	}
	canonical, err := io.ReadAll(io.LimitReader(reader, MaxSnapshotBytes+1))
	if err != nil {
		return nil, corruptSnapshot(err)
	}
	if len(canonical) > MaxSnapshotBytes {
		return nil, fault.New(fault.RecordCorrupt, "decompressed snapshot exceeds %d bytes", MaxSnapshotBytes)
	}
	digest := sha256.Sum256(canonical)
	if !bytes.Equal(digest[:], data[:sha256.Size]) {
		return nil, fault.New(fault.RecordCorrupt, "snapshot has digest %x: want %x", digest, data[:sha256.Size])
	}
	return canonical, nil
}

// decodeCanonical decodes a canonical encoding and checks that it has all parts of the state.
func decodeCanonical(canonical []byte) (*State, *fault.Error) {
	state := New()
	// The sections of body are those of state, so that they are decoded in place.
	body := state.body()
	body.Document = &structs.Document{}
	decoder := json.NewDecoder(bytes.NewReader(canonical))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return nil, corruptSnapshot(err)
	}
	if body.Document == nil || body.Offset < 0 || len(body.Hash) != hashBytes ||
		body.Escrow == nil || body.Inventory == nil || body.Jobs == nil {
		return nil, fault.New(fault.RecordCorrupt, "snapshot lacks a part of the state, or its offset or hash is invalid")
	}
	index, err := document.NewIndex(body.Document)
	if err != nil {
		return nil, corruptSnapshot(err)
	}
	state.offset, state.version, state.hash = body.Offset, body.Version, body.Hash
	state.doc, state.index = body.Document, index
	for _, verdict := range body.RecentVerdicts {
		state.recentVerdicts.add(verdict)
	}
	for _, verdict := range body.OperatorVerdicts {
		state.operatorVerdicts.add(verdict)
	}
	return state, nil
}

func corruptSnapshot(cause error) *fault.Error {
	return fault.Wrap(fault.RecordCorrupt, cause, "snapshot can't be decoded")
}
