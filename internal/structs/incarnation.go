package structs

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"
)

// incarnationTimeDigits is the number of hexadecimal digits of the time part; 12 digits of
// milliseconds last beyond the year 10000.
const incarnationTimeDigits = 12

// NewIncarnation returns an identifier for one process life. Identifiers of one proposer must
// rise in string order, so that the fold can reject a late duplicate of a Join that it has
// forgotten. The result is above previous even if the wall clock was set back; previous is empty
// or an earlier result.
func NewIncarnation(now time.Time, previous string) string {
	ms := now.UnixMilli()
	if len(previous) >= incarnationTimeDigits {
		last, err := strconv.ParseInt(previous[:incarnationTimeDigits], 16, 64)
		if err == nil && ms <= last {
			ms = last + 1
		}
	}
	var random [5]byte
	// Read never returns an error; it ends the process when the system has no randomness.
	_, _ = rand.Read(random[:])
	return fmt.Sprintf("%0*x-%s", incarnationTimeDigits, ms, hex.EncodeToString(random[:]))
}
