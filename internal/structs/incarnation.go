package structs

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"
)

// incarnationTimeDigits is the number of hexadecimal digits of the time in an incarnation. 12 digits of Unix
// milliseconds are enough beyond the year 10000.
const incarnationTimeDigits = 12

// NewIncarnation returns an identifier for one process lifetime. Identifiers of one proposer must increase in
// string order, so that the fold can reject a delayed duplicate of a Join that it no longer remembers. The
// result is greater than previous even if the wall clock was set back. previous is empty or an earlier
// result.
func NewIncarnation(now time.Time, previous string) string {
	ms := now.UnixMilli()
	if len(previous) >= incarnationTimeDigits {
		last, err := strconv.ParseInt(previous[:incarnationTimeDigits], 16, 64)
		if err == nil && ms <= last {
			ms = last + 1
		}
	}
	var random [5]byte
	// rand.Read never returns an error; it crashes the program if the system can't provide random numbers.
	_, _ = rand.Read(random[:])
	return fmt.Sprintf("%0*x-%s", incarnationTimeDigits, ms, hex.EncodeToString(random[:]))
}
