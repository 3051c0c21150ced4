package structs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A duration without a unit must be rejected, since its meaning would be ambiguous.
func TestDurationRequiresUnit(t *testing.T) {
	var d Duration
	assert.ErrorContains(t, d.UnmarshalText([]byte("4")), "with a unit")
	assert.NilError(t, d.UnmarshalText([]byte("4s")))
	assert.Equal(t, d.Duration(), 4*time.Second)
}
