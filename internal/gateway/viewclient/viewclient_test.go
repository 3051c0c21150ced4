package viewclient

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/telemetry"
)

// fakeController is a controller that serves an empty view at an offset, and fails while it is down.
type fakeController struct {
	offset atomic.Int64
	down   atomic.Bool
	polls  atomic.Int64
}

func controllerAt(offset int64) *fakeController {
	c := &fakeController{}
	c.offset.Store(offset)
	return c
}

func (c *fakeController) View(ctx context.Context, request *v1.ViewRequest) (*v1.ViewResponse, error) {
	c.polls.Add(1)
	if c.down.Load() {
		return nil, errors.New("the controller is down")
	}
	offset := c.offset.Load()
	response := &v1.ViewResponse{Offset: offset, FreshnessMs: 500}
	if offset > request.GetAfterOffset() {
		response.View, _ = json.Marshal(&structs.View{Offset: offset})
		return response, nil
	}
	time.Sleep(time.Duration(request.GetWaitMs()) * time.Millisecond)
	return response, nil
}

// The view must not go back to an older one of another controller, and must be updated while the gateway's own
// controller is down. Freshness must count from when the poll was sent, not from the response.
func TestFollowerOnlyMovesForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home, behind, ahead := controllerAt(10), controllerAt(5), controllerAt(12)
		store := fleet.NewStore()
		sources := []Source{{"home", home}, {"behind", behind}, {"ahead", ahead}}
		f := New("g1", sources, store, telemetry.NewLogger(io.Discard, "g1", "z1"), time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		var offsets []int64
		store.OnChange(func(s *fleet.Snapshot) { offsets = append(offsets, s.View.Offset) })
		go func() { done <- f.Run(ctx) }()

		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, store.Current().View.Offset, int64(10))
		assert.Equal(t, time.Since(store.Current().FreshAt), 2*time.Second, "the poll was sent 1.5 s ago, at an age of 0.5 s")
		home.down.Store(true)
		time.Sleep(3 * time.Second)
		assert.Equal(t, store.Current().View.Offset, int64(12))
		home.offset.Store(13)
		home.down.Store(false)
		ahead.down.Store(true)
		time.Sleep(10 * time.Second)
		polls := home.polls.Load()
		time.Sleep(5 * time.Second)
		assert.Assert(t, home.polls.Load() > polls, "the gateway's own controller isn't polled again")
		cancel()
		assert.NilError(t, <-done)
		assert.DeepEqual(t, offsets, []int64{10, 12, 13})
	})
}
