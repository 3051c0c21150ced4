package rights

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// stepInterval is how often the holder looks for something to say; records are at least
	// recordInterval apart.
	stepInterval = 250 * time.Millisecond
	// suspicionInterval is how often lost holders are looked for.
	suspicionInterval = time.Second
)

// Run joins the fleet and moves rights until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, stepInterval, h.Step) })
	// Collecting vows waits for peers, which must not delay heartbeats.
	group.Go(func() error { return every(ctx, suspicionInterval, h.StepSuspicion) })
	return group.Wait()
}

// every calls step at once, then each interval.
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
