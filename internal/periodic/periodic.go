// Package periodic repeats steps and pauses until a context ends.
package periodic

import (
	"context"
	"time"
)

// minPause is the pause after a step that took longer than its interval.
const minPause = time.Millisecond

// Every calls step at once and then at each interval until ctx ends, and returns the error of ctx.
//
// It makes a timer for each pause. A ticker that is due already when a select looks at it crashes
// the race detector inside a bubble of testing/synctest (Go 1.26), after steps longer than the interval.
func Every(ctx context.Context, interval time.Duration, step func(context.Context)) error {
	for ctx.Err() == nil {
		start := time.Now()
		step(ctx)
		_ = Pause(ctx, max(minPause, interval-time.Since(start)))
	}
	return ctx.Err()
}

// Pause waits for span, or returns the error of ctx when that ends first. Loops that look at ctx
// themselves need not look at the error.
func Pause(ctx context.Context, span time.Duration) error { return Wait(ctx, span, nil) }

// Wait is a Pause that a value in wake ends early.
func Wait(ctx context.Context, span time.Duration, wake <-chan struct{}) error {
	if span <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-wake:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Wake leaves a value in a channel that holds one, unless one is there already.
func Wake(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
