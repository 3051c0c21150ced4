package logreader

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

// repeatingLog returns the same records for each read.
type repeatingLog struct {
	offsets []int64
	reads   int
}

func (l *repeatingLog) Read(context.Context, *v1.ReadRequest) (*v1.ReadResponse, error) {
	const maxReads = 10
	if l.reads++; l.reads > maxReads {
		return nil, errors.New("the reader doesn't stop")
	}
	response := &v1.ReadResponse{}
	for _, offset := range l.offsets {
		response.Records = append(response.Records, &v1.LogRecord{Offset: offset})
	}
	return response, nil
}

// Guards against a reader that visits the same records for ever, because offsets go back.
func TestOffsetsThatGoBackEndTheRead(t *testing.T) {
	for _, offsets := range [][]int64{{1}, {1, 2, 2}, {5, 4}, {-1}, {0}} {
		log := &repeatingLog{offsets: offsets}
		visited := int64(0)
		_, err := Each(t.Context(), log, "s", 0, func(record *v1.LogRecord, missing int64) error {
			assert.Assert(t, record.GetOffset() > visited && missing >= 0)
			visited = record.GetOffset()
			return nil
		})
		assert.Equal(t, fault.KindOf(err), fault.LogUnavailable)
		assert.Assert(t, log.reads <= 2, "%d reads", log.reads)
	}
}

// expiredLog has records up to an offset, and keeps none of them.
type expiredLog int64

func (l expiredLog) Read(context.Context, *v1.ReadRequest) (*v1.ReadResponse, error) {
	return &v1.ReadResponse{OldestOffset: int64(l) + 1, HeadOffset: int64(l)}, nil
}

// Checks that a stream of which the log keeps no record isn't taken for an empty one.
func TestExpiredRecordsAreCounted(t *testing.T) {
	visit := func(*v1.LogRecord, int64) error {
		t.Error("record visited")
		return nil
	}
	for after, want := range map[int64]int64{0: 7, 5: 2, 7: 0, 9: 0} {
		missingAtEnd, err := Each(t.Context(), expiredLog(7), "s", after, visit)
		assert.NilError(t, err)
		assert.Equal(t, missingAtEnd, want)
	}
}
