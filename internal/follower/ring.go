package follower

import (
	v1 "turmericyoke/api/turmericyoke/v1"
)

// Bounds of the ring of raw records. The newest record is kept even when it exceeds the bytes.
const (
	ringRecords = 8192
	ringBytes   = 4 << 20
	// entryOverheadBytes is what an entry takes beside its record.
	entryOverheadBytes = 96
)

// ring keeps the newest raw records, with the running hash after each, for peers.
type ring struct {
	entries []ringEntry
	bytes   int
}

type ringEntry struct {
	offset int64
	data   []byte
	hash   []byte
}

func (r *ring) add(entry ringEntry) {
	r.entries = append(r.entries, entry)
	r.bytes += len(entry.data) + entryOverheadBytes
	drop := 0
	for len(r.entries)-drop > 1 && (r.bytes > ringBytes || len(r.entries)-drop > ringRecords) {
		r.bytes -= len(r.entries[drop].data) + entryOverheadBytes
		r.entries[drop] = ringEntry{}
		drop++
	}
	r.entries = r.entries[drop:]
}

func (r *ring) clear() { *r = ring{} }

// at returns the entry of the offset, or nil when it isn't kept. Entries have no gaps.
func (r *ring) at(offset int64) *ringEntry {
	if len(r.entries) == 0 {
		return nil
	}
	place := offset - r.entries[0].offset
	if place < 0 || place >= int64(len(r.entries)) {
		return nil
	}
	return &r.entries[place]
}

// after returns records after offset up to the given bounds; false when they aren't kept.
func (r *ring) after(offset int64, maxRecords, maxBytes int) ([]*v1.TailRecord, bool) {
	first := r.at(offset + 1)
	if first == nil {
		return nil, false
	}
	var records []*v1.TailRecord
	size := 0
	for _, entry := range r.entries[offset+1-r.entries[0].offset:] {
		if len(records) >= maxRecords || (size > 0 && size+len(entry.data) > maxBytes) {
			break
		}
		size += len(entry.data)
		records = append(records, &v1.TailRecord{Offset: entry.offset, Data: entry.data})
	}
	return records, true
}
