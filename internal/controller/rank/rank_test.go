package rank

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two controllers with the same rank, and against a change in the order of the others when a
// controller is lost.
func TestPositionMatchesOrder(t *testing.T) {
	var names []string
	for i := range 45 {
		names = append(names, fmt.Sprintf("controller-%d", i))
	}
	firstRanked := map[string]bool{}
	for i := range 100 {
		subject := PoolSubject(fmt.Sprint(i))
		ordered := Order(subject, names)
		for position, name := range ordered {
			assert.Equal(t, Position(subject, names, name), position)
			assert.Equal(t, Position(subject, ordered[1:], name), max(position-1, 0)+len(ordered[1:])*oneIfFirst(position))
		}
		firstRanked[ordered[0]] = true
	}
	assert.Assert(t, len(firstRanked) > 30, "%d of 45 controllers have rank 0 for 100 pools, want more than 30", len(firstRanked))
}

// oneIfFirst returns 1 for position 0. That controller is the lost one, which ranks after all others.
func oneIfFirst(position int) int {
	if position == 0 {
		return 1
	}
	return 0
}
