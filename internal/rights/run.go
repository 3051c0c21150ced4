package rights

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// stepInterval is the time between calls of Step. New records are at least recordInterval apart.
	stepInterval = 250 * time.Millisecond
	// failureDetectionInterval is the time between calls of StepFailureDetection.
	failureDetectionInterval = time.Second
)

// Run joins the fleet, moves rights and reclaims those of lost holders until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, stepInterval, h.Step) })
	// This runs in a goroutine of its own since it waits for vows of peers, which must not delay heartbeats.
	group.Go(func() error { return every(ctx, failureDetectionInterval, h.StepFailureDetection) })
	return group.Wait()
}

// every calls step immediately and then in each interval, until ctx ends.
func every(ctx context.Context, interval time.Duration, step func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
