// Package refusal records refused requests. A gateway merges its refusals in limited memory, appends them to
// the refusals stream in batches, and keeps copies of other gateways' refusals, which it appends if such a
// gateway is lost. Readers of the stream explain and list refusals.
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
	// Free and Needed are the numbers of units or slots that were free and needed.
	Free   uint64
	Needed uint64
	Detail string
}

// Appender appends a batch to the refusals stream. After an error the batch may or may not be in the stream,
// and the caller appends the same batch again.
type Appender interface {
	AppendRefusals(ctx context.Context, batch *v1.RefusalBatch) error
}

const (
	// Schema is the version of the batch format.
	Schema = 1
	// MaxEntries limits the entries that a gateway has in memory, including those of the batch in flight.
	MaxEntries = 4096
	// FlushInterval is the time between batches.
	FlushInterval = time.Second
	// AppendTimeout limits one append, so that an unresponsive log doesn't delay the next attempt.
	AppendTimeout = 5 * time.Second
	// MinBlockSize and MaxBlockSize limit the size of a block of refusal numbers. Each block with refusals in
	// a batch is one entry, so the blocks of a busy key get larger: an hour at 1,000 refusals per second then
	// takes about 13 entries.
	MinBlockSize = 1 << 10
	MaxBlockSize = 1 << 20
	// MaxDetailBytes and MaxFieldBytes limit the texts of an entry, which may come from callers.
	MaxDetailBytes = 200
	MaxFieldBytes  = 63
)

// FormatID returns the id of a refusal, which the refused caller receives.
func FormatID(incarnation string, number uint64) string {
	return incarnation + "-" + strconv.FormatUint(number, 10)
}

// ParseID parses an id that FormatID returned.
func ParseID(id string) (incarnation string, number uint64, err *fault.Error) {
	hyphen := strings.LastIndexByte(id, '-')
	if hyphen < 1 {
		return "", 0, fault.New(fault.RequestInvalid, "refusal id %q: want <incarnation>-<number>", id)
	}
	number, parseErr := strconv.ParseUint(id[hyphen+1:], 10, 64)
	if parseErr != nil {
		return "", 0, fault.New(fault.RequestInvalid, "refusal id %q: want a number after the last hyphen", id)
	}
	return id[:hyphen], number, nil
}

// sanitize shortens a text that is longer than maxBytes, and replaces invalid UTF-8, also that of a character split at
// the end, by question marks. A batch with invalid UTF-8 can't be encoded.
func sanitize(text string, maxBytes int) string {
	return strings.ToValidUTF8(text[:min(len(text), maxBytes)], "?")
}
