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

// MaxSnapshotBytes bounds a decoded snapshot, so that a corrupt one can't exhaust memory.
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

func (s *State) body() *snapshotBody {
	return &snapshotBody{
		Schema: Schema, Offset: s.offset, Version: s.version, Hash: s.hash, Document: s.doc,
		Escrow: s.Escrow, Inventory: s.Inventory, Jobs: s.Jobs,
		RecentVerdicts: s.recentVerdicts.list(), OperatorVerdicts: s.operatorVerdicts.list(),
	}
}

// EncodeCanonical returns the canonical encoding of the whole state: equal states have equal encodings.
func (s *State) EncodeCanonical() ([]byte, error) {
	data, err := json.Marshal(s.body())
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "state can't be encoded")
	}
	return data, nil
}

// EncodeSnapshot returns the state as the SHA-256 of the canonical encoding, followed by that
// encoding, compressed.
func (s *State) EncodeSnapshot() ([]byte, error) {
	data, err := s.EncodeCanonical()
	if err != nil {
		return nil, err
	}
	return PackSnapshot(data)
}

// PackSnapshot compresses a canonical encoding into a snapshot.
func PackSnapshot(canonical []byte) ([]byte, error) {
	sum := sha256.Sum256(canonical)
	var out bytes.Buffer
	out.Write(sum[:])
	writer := gzip.NewWriter(&out)
	if _, err := writer.Write(canonical); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "snapshot can't be compressed")
	}
	if err := writer.Close(); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "snapshot can't be compressed")
	}
	return out.Bytes(), nil
}

// DecodeSnapshot reads what EncodeSnapshot wrote. The error is of kind RecordCorrupt, or
// SchemaUnsupported for a snapshot of a newer format.
func DecodeSnapshot(data []byte) (*State, *fault.Error) {
	canonical, err := unpackSnapshot(data)
	if err != nil {
		return nil, err
	}
	var head struct {
		Schema uint32 `json:"schema"`
	}
	if err := json.Unmarshal(canonical, &head); err != nil {
		return nil, corruptSnapshot(err)
	}
	if head.Schema > Schema {
		return nil, fault.New(fault.SchemaUnsupported, "snapshot with schema %d: want at most %d", head.Schema, Schema)
	}
	return decodeCanonical(canonical)
}

// unpackSnapshot returns the canonical encoding after a check of its digest.
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
		return nil, fault.New(fault.RecordCorrupt, "snapshot exceeds %d bytes", MaxSnapshotBytes)
	}
	sum := sha256.Sum256(canonical)
	if !bytes.Equal(sum[:], data[:sha256.Size]) {
		return nil, fault.New(fault.RecordCorrupt, "snapshot has digest %x: want %x", sum, data[:sha256.Size])
	}
	return canonical, nil
}

func decodeCanonical(canonical []byte) (*State, *fault.Error) {
	state := New()
	body := state.body()
	body.Document = &structs.Document{}
	decoder := json.NewDecoder(bytes.NewReader(canonical))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return nil, corruptSnapshot(err)
	}
	if body.Document == nil || body.Offset < 0 || len(body.Hash) != hashBytes ||
		body.Escrow == nil || body.Inventory == nil || body.Jobs == nil {
		return nil, fault.New(fault.RecordCorrupt, "snapshot lacks a part of the state")
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
