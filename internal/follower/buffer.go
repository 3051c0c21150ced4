package follower

import (
	v1 "turmericyoke/api/turmericyoke/v1"
)

// Limits of the raw records that are kept in memory. The newest record is kept even if it is larger than
// maxBufferedBytes.
const (
	maxBufferedRecords = 8192
	maxBufferedBytes   = 4 << 20
	// recordOverheadBytes is the memory that a buffered record takes in addition to its data.
	recordOverheadBytes = 96
)

// recordBuffer keeps the newest raw records for peers, with the running hash after each of them.
type recordBuffer struct {
	records []bufferedRecord
	bytes   int
}

// bufferedRecord is a raw record with the running hash after it.
type bufferedRecord struct {
	offset int64
	data   []byte
	hash   []byte
}

// add appends a record, which must follow the newest one, and drops the oldest records beyond the limits.
func (b *recordBuffer) add(record bufferedRecord) {
	b.records = append(b.records, record)
	b.bytes += len(record.data) + recordOverheadBytes
	dropped := 0
	for len(b.records)-dropped > 1 && (b.bytes > maxBufferedBytes || len(b.records)-dropped > maxBufferedRecords) {
		b.bytes -= len(b.records[dropped].data) + recordOverheadBytes
		b.records[dropped] = bufferedRecord{}
		dropped++
	}
	b.records = b.records[dropped:]
}

func (b *recordBuffer) clear() { *b = recordBuffer{} }

// find returns the record at offset, or nil if it isn't kept. The offsets of the records have no gaps.
func (b *recordBuffer) find(offset int64) *bufferedRecord {
	if len(b.records) == 0 {
		return nil
	}
	index := offset - b.records[0].offset
	if index < 0 || index >= int64(len(b.records)) {
		return nil
	}
	return &b.records[index]
}

// recordsAfter returns records after offset up to both limits, but at least one record unless maxRecords is
// 0. It returns false if the first of them isn't kept.
func (b *recordBuffer) recordsAfter(offset int64, maxRecords, maxBytes int) ([]*v1.TailRecord, bool) {
	first := b.find(offset + 1)
	if first == nil {
		return nil, false
	}
	var records []*v1.TailRecord
	size := 0
	for _, record := range b.records[offset+1-b.records[0].offset:] {
		if len(records) >= maxRecords || (size > 0 && size+len(record.data) > maxBytes) {
			break
		}
		size += len(record.data)
		records = append(records, &v1.TailRecord{Offset: record.offset, Data: record.data})
	}
	return records, true
}
