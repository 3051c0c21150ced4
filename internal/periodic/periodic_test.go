package periodic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a rate that depends on the duration of the steps, and against steps longer than the interval
// that stop the loop or make it spin.
func TestEveryKeepsTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for stepDuration, wantSteps := range map[time.Duration]int{0: 10, 400 * time.Millisecond: 10, 3 * time.Second: 4} {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second-time.Millisecond)
			steps := 0
			err := Every(ctx, time.Second, func(context.Context) {
				steps++
				time.Sleep(stepDuration)
			})
			cancel()
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			assert.Equal(t, steps, wantSteps, stepDuration)
		}
	})
}
