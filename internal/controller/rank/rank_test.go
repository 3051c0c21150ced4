package rank

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two controllers with the same rank, and against a loss that reorders the others.
func TestOfMatchesOrder(t *testing.T) {
	var names []string
	for i := range 45 {
		names = append(names, fmt.Sprintf("controller-%d", i))
	}
	first := map[string]bool{}
	for i := range 100 {
		subject := PoolSubject(fmt.Sprint(i))
		ordered := Order(subject, names)
		for place, name := range ordered {
			assert.Equal(t, Of(subject, names, name), place)
			assert.Equal(t, Of(subject, ordered[1:], name), max(place-1, 0)+len(ordered[1:])*zeroOr(place))
		}
		first[ordered[0]] = true
	}
	assert.Assert(t, len(first) > 30, "100 pools go to %d of 45 controllers", len(first))
}

// zeroOr returns 1 for the lost controller, which ranks behind all others.
func zeroOr(place int) int {
	if place == 0 {
		return 1
	}
	return 0
}
