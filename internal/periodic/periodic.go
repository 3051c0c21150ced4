// Package periodic calls functions at intervals and provides pauses that end with a context.
package periodic

import (
	"context"
	"time"
)

// minPause is the pause after a step that took longer than the interval. It keeps such a loop from spinning.
const minPause = time.Millisecond

// Every calls step immediately and then once per interval until ctx ends, and returns the error of ctx. A
// step that takes longer than the interval delays the next one.
//
// It creates a timer for each pause instead of using a ticker. After a step longer than the interval, a ticker
// would already be due when the select evaluates it, which crashes the race detector inside a testing/synctest
// bubble (Go 1.26).
func Every(ctx context.Context, interval time.Duration, step func(context.Context)) error {
	for ctx.Err() == nil {
		start := time.Now()
		step(ctx)
		_ = Pause(ctx, max(minPause, interval-time.Since(start)))
	}
	return ctx.Err()
}

// Pause waits for the duration. If ctx ends first, it returns the error of ctx; loops that check ctx
// themselves can ignore it.
func Pause(ctx context.Context, duration time.Duration) error { return Wait(ctx, duration, nil) }

// Wait is like Pause, but also returns nil as soon as it receives a value from wake.
func Wait(ctx context.Context, duration time.Duration, wake <-chan struct{}) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
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

// Wake sends a value to wake without blocking. With a channel of capacity 1, a value stays pending for the
// receiver, and further calls have no effect until it is received.
func Wake(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Drain removes the value that is pending on wake, if there is one.
func Drain(wake <-chan struct{}) {
	select {
	case <-wake:
	default:
	}
}
