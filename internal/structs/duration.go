package structs

import (
	"fmt"
	"time"
)

// Duration is a time span written with its unit, such as "4s".
type Duration time.Duration

// Duration returns d as a time.Duration.
func (d Duration) Duration() time.Duration { return time.Duration(d) }

// MarshalText writes d with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a span with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: want a number with a unit, such as 4s or 250ms", text)
	}
	*d = Duration(span)
	return nil
}
