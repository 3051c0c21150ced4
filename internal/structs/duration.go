package structs

import (
	"fmt"
	"time"
)

// Duration is a time.Duration whose text form has a unit, such as "4s".
type Duration time.Duration

// Duration returns d as a time.Duration.
func (d Duration) Duration() time.Duration { return time.Duration(d) }

// MarshalText returns d with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: want a number with a unit, such as 4s or 250ms", text)
	}
	*d = Duration(parsed)
	return nil
}
