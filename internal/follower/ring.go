package follower

import (
	v1 "turmericyoke/api/turmericyoke/v1"
)

// Limits of the raw records in memory. The newest record is kept even if it is larger than maxRingBytes.
const (
	maxRingRecords = 8192
	maxRingBytes   = 4 << 20
	// entryOverheadBytes is the memory of an entry in addition to its record.
	entryOverheadBytes = 96
)

// recordRing keeps the newest raw records for peers, with the running hash after each of them.
type recordRing struct {
	entries []ringEntry
	bytes   int
}

// ringEntry is a raw record with the running hash after it.
type ringEntry struct {
	offset int64
	data   []byte
	hash   []byte
}

// add appends an entry, which must follow the newest one, and drops the oldest entries beyond the limits.
func (r *recordRing) add(entry ringEntry) {
	r.entries = append(r.entries, entry)
	r.bytes += len(entry.data) + entryOverheadBytes
	dropped := 0
	for len(r.entries)-dropped > 1 && (r.bytes > maxRingBytes || len(r.entries)-dropped > maxRingRecords) {
		r.bytes -= len(r.entries[dropped].data) + entryOverheadBytes
		r.entries[dropped] = ringEntry{}
		dropped++
	}
	r.entries = r.entries[dropped:]
}

func (r *recordRing) clear() { *r = recordRing{} }

// find returns the entry at offset, or nil if it isn't kept. The offsets of the entries have no gaps.
func (r *recordRing) find(offset int64) *ringEntry {
	if len(r.entries) == 0 {
		return nil
	}
	index := offset - r.entries[0].offset
	if index < 0 || index >= int64(len(r.entries)) {
		return nil
	}
	return &r.entries[index]
}

// recordsAfter returns records after offset up to both limits, but at least one record unless maxRecords is
// 0. It returns false if the first of them isn't kept.
func (r *recordRing) recordsAfter(offset int64, maxRecords, maxBytes int) ([]*v1.TailRecord, bool) {
	first := r.find(offset + 1)
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
