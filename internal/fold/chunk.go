package fold

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

// Sizes of the chunks of a snapshot. A whole chunk with its header stays within MaxChunkBytes.
const (
	MaxChunkBytes       = 64 << 10
	maxChunkHeaderBytes = 512
	chunkDataBytes      = MaxChunkBytes - maxChunkHeaderBytes
	// MaxChunks bounds the chunks of one snapshot that a reader puts together, to 8 MiB.
	MaxChunks = 128
)

// SplitSnapshot returns the chunks of a snapshot in order. The last chunk carries no data, so that a
// controller learns from a short record that the snapshot was written.
func SplitSnapshot(snapshot []byte, proposer, incarnation string, offset int64, stateHash []byte) []*v1.SnapshotChunk {
	count := (len(snapshot)+chunkDataBytes-1)/chunkDataBytes + 1
	chunks := make([]*v1.SnapshotChunk, 0, count)
	for i := range count {
		size := min(chunkDataBytes, len(snapshot))
		chunks = append(chunks, &v1.SnapshotChunk{
			Schema: Schema, Proposer: proposer, Incarnation: incarnation, Offset: offset,
			Index: uint32(i), Count: uint32(count), Data: snapshot[:size], StateHash: stateHash,
		})
		snapshot = snapshot[size:]
	}
	return chunks
}

// DecodeChunk reads one record of the snapshots stream.
func DecodeChunk(raw []byte) (*v1.SnapshotChunk, *fault.Error) {
	chunk := &v1.SnapshotChunk{}
	if schema := peekSchema(raw); schema > Schema {
		return nil, fault.New(fault.SchemaUnsupported, "chunk with schema %d: want at most %d", schema, Schema)
	}
	if err := proto.Unmarshal(raw, chunk); err != nil {
		return nil, fault.Wrap(fault.RecordCorrupt, err, "chunk can't be decoded")
	}
	if chunk.GetSchema() == 0 || chunk.GetIndex() >= chunk.GetCount() || chunk.GetCount() > MaxChunks {
		return nil, fault.New(fault.RecordCorrupt, "chunk %d of %d with schema %d", chunk.GetIndex(), chunk.GetCount(), chunk.GetSchema())
	}
	return chunk, nil
}

// ChunkAssembler puts chunks of several snapshots together, in any order and with copies.
type ChunkAssembler struct {
	chunks map[snapshotKey][]*v1.SnapshotChunk
}

// snapshotKey identifies one snapshot; two controllers may write one at the same offset.
type snapshotKey struct {
	incarnation string
	offset      int64
	count       uint32
}

// Add takes one chunk and returns the whole snapshot's chunks once it has all of them.
func (a *ChunkAssembler) Add(chunk *v1.SnapshotChunk) ([]*v1.SnapshotChunk, bool) {
	if a.chunks == nil {
		a.chunks = map[snapshotKey][]*v1.SnapshotChunk{}
	}
	key := snapshotKey{chunk.GetIncarnation(), chunk.GetOffset(), chunk.GetCount()}
	group := a.chunks[key]
	if group == nil {
		group = make([]*v1.SnapshotChunk, chunk.GetCount())
		a.chunks[key] = group
	}
	group[chunk.GetIndex()] = chunk
	for _, part := range group {
		if part == nil {
			return nil, false
		}
	}
	return group, true
}

// AssembleSnapshot decodes a whole snapshot and checks it against the header of its chunks. The error is of
// kind RecordCorrupt or SchemaUnsupported.
func AssembleSnapshot(chunks []*v1.SnapshotChunk) (*State, *fault.Error) {
	var data []byte
	for _, chunk := range chunks {
		data = append(data, chunk.GetData()...)
	}
	state, err := DecodeSnapshot(data)
	if err != nil {
		return nil, err
	}
	first := chunks[0]
	if state.offset != first.GetOffset() || !bytes.Equal(state.hash, first.GetStateHash()) {
		return nil, fault.New(fault.RecordCorrupt, "snapshot at offset %d has chunks for offset %d", state.offset, first.GetOffset())
	}
	return state, nil
}
