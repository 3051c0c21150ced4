package fold

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

// Sizes of snapshot chunks. An encoded chunk with all its fields has at most MaxChunkBytes.
const (
	MaxChunkBytes       = 64 << 10
	maxChunkHeaderBytes = 512
	chunkDataBytes      = MaxChunkBytes - maxChunkHeaderBytes
	// MaxChunks bounds the chunks of one snapshot, which limits a snapshot that a reader assembles to 8 MiB.
	MaxChunks = 128
)

// SplitSnapshot returns the chunks of a snapshot in order. The last chunk has no data, so that
// a controller need only read that small record to find the newest snapshot that was written whole.
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

// DecodeChunk decodes one record of the snapshot stream.
func DecodeChunk(raw []byte) (*v1.SnapshotChunk, *fault.Error) {
	chunk := &v1.SnapshotChunk{}
	if schema := peekSchema(raw); schema > Schema {
		return nil, fault.New(fault.SchemaUnsupported, "snapshot chunk has schema %d: want at most %d", schema, Schema)
	}
	if err := proto.Unmarshal(raw, chunk); err != nil {
		return nil, fault.Wrap(fault.RecordCorrupt, err, "snapshot chunk can't be decoded")
	}
	if chunk.GetSchema() == 0 || chunk.GetIndex() >= chunk.GetCount() || chunk.GetCount() > MaxChunks {
		return nil, fault.New(fault.RecordCorrupt, "snapshot chunk is invalid: index %d, count %d, schema %d", chunk.GetIndex(), chunk.GetCount(), chunk.GetSchema())
	}
	return chunk, nil
}

// ChunkAssembler collects the chunks of several snapshots, which may arrive interleaved, in any order
// and more than once.
type ChunkAssembler struct {
	chunks map[snapshotKey][]*v1.SnapshotChunk
}

// snapshotKey identifies one snapshot. Two controllers may each write a snapshot at the same offset.
type snapshotKey struct {
	incarnation string
	offset      int64
	count       uint32
}

// Add adds a chunk. Once it has all chunks of the chunk's snapshot, it returns them in order, and true.
func (a *ChunkAssembler) Add(chunk *v1.SnapshotChunk) ([]*v1.SnapshotChunk, bool) {
	if a.chunks == nil {
		a.chunks = map[snapshotKey][]*v1.SnapshotChunk{}
	}
	key := snapshotKey{chunk.GetIncarnation(), chunk.GetOffset(), chunk.GetCount()}
	parts := a.chunks[key]
	if parts == nil {
		parts = make([]*v1.SnapshotChunk, chunk.GetCount())
		a.chunks[key] = parts
	}
	parts[chunk.GetIndex()] = chunk
	for _, part := range parts {
		if part == nil {
			return nil, false
		}
	}
	return parts, true
}

// AssembleSnapshot decodes a snapshot from all its chunks, and checks its offset and state hash against
// those of the first chunk. The error is of kind RecordCorrupt or SchemaUnsupported.
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
		return nil, fault.New(fault.RecordCorrupt, "snapshot at offset %d doesn't match the state hash, or the offset %d, of its first chunk", state.offset, first.GetOffset())
	}
	return state, nil
}
