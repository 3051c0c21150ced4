// Package refusal keeps the record of refusals: it merges them in bounded memory, batches them for
// the refusals stream, keeps a copy for a peer and hands the copy over when its gateway is lost.
package refusal

import (
	"context"
	"strconv"
	"strings"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

// Refusal is one refused request.
type Refusal struct {
	Team  string
	KeyID string
	Pool  string
	// Kind is the rule that refused the request.
	Kind          fault.Kind
	ConfigVersion uint64
	// Free and Needed are the units or slots that were free and needed.
	Free   uint64
	Needed uint64
	Detail string
}

// Appender appends a batch to the refusals stream. After an error the batch may or may not be on
// the stream, and the caller appends the same batch again.
type Appender interface {
	AppendRefusals(ctx context.Context, batch *v1.RefusalBatch) error
}

const (
	// Schema is the version of the batch format.
	Schema = 1
	// MaxEntries bounds the entries that a gateway holds, appended batch included.
	MaxEntries = 4096
	// FlushInterval is the time between batches.
	FlushInterval = time.Second
	// AppendTimeout bounds one append, so that a log that hangs doesn't hold up the next try.
	AppendTimeout = 5 * time.Second
	// MinBlockSize and MaxBlockSize bound the numbers that a key takes at a time. Each block of a
	// batch is one entry, so the blocks of a busy key grow: an hour at 1,000 refusals per second
	// then takes about 13 entries.
	MinBlockSize = 1 << 10
	MaxBlockSize = 1 << 20
	// MaxDetailBytes and MaxFieldBytes bound the texts of an entry, which may come from callers.
	MaxDetailBytes = 200
	MaxFieldBytes  = 63
)

// FormatID returns the id that a refused caller receives.
func FormatID(incarnation string, number uint64) string {
	return incarnation + "-" + strconv.FormatUint(number, 10)
}

// ParseID splits a refusal id.
func ParseID(id string) (incarnation string, number uint64, err *fault.Error) {
	cut := strings.LastIndexByte(id, '-')
	if cut < 1 {
		return "", 0, fault.New(fault.RequestInvalid, "refusal id %q: want <incarnation>-<number>", id)
	}
	number, bad := strconv.ParseUint(id[cut+1:], 10, 64)
	if bad != nil {
		return "", 0, fault.New(fault.RequestInvalid, "refusal id %q: want a number after the last hyphen", id)
	}
	return id[:cut], number, nil
}

// truncate cuts a text that may come from a caller.
func truncate(text string, most int) string {
	if len(text) <= most {
		return text
	}
	return strings.ToValidUTF8(text[:most], "")
}
