package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/entry/peer"
)

// silentScheduler doesn't respond to the first call, as a process that is paused, and responds to the next ones.
type silentScheduler struct {
	peer.Service
	calls int
}

func (s *silentScheduler) State(ctx context.Context, _ *peer.StateRequest) (*peer.StateResponse, error) {
	if s.calls++; s.calls == 1 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &peer.StateResponse{Known: true}, nil
}

// Guards against a read that is given up after one attempt without a response, though most of its caller's time is left: the
// time limit of an attempt is longer than schedulerLookupTimeout, so that such an attempt is never repeated.
func TestReadsAreRepeatedAfterAnAttemptWithoutResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Entry{Election: noLeader{}, serviceOverride: &silentScheduler{}}
		ctx, cancel := context.WithTimeout(t.Context(), 2900*time.Millisecond)
		defer cancel()
		begin := time.Now()
		state, err := e.State(ctx, "j")
		assert.Assert(t, err == nil, "given up after %s: %v", time.Since(begin), err)
		assert.Assert(t, state.Known)
	})
}
