package viewclient

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/telemetry"
	"turmericyoke/internal/viewdelta"
)

// deltaController is a controller that serves a full view first and deltas afterwards.
type deltaController struct {
	view    *structs.View
	tracker viewdelta.Tracker
	// wrongBase makes the base offset of deltas higher than the gateway's offset.
	wrongBase bool
	// fullViews counts the full views served.
	fullViews int
}

// advance makes a view at the next offset, with the limit for team a.
func (c *deltaController) advance(limit uint64) {
	c.view = &structs.View{
		Offset: c.view.Offset + 1,
		Teams:  []structs.Team{{Name: "a", UpperLimit: limit}, {Name: "b", UpperLimit: 1}},
		// The rights of a gateway change while the rest of its entry stays the same.
		Gateways:    []structs.GatewayEntry{{Name: "g", Rights: map[string]uint64{"a": limit}}},
		Unallocated: map[string]uint64{"a": limit},
	}
	c.tracker.Update(c.view)
}

func (c *deltaController) View(_ context.Context, request *v1.ViewRequest) (*v1.ViewResponse, error) {
	response := &v1.ViewResponse{Offset: c.view.Offset}
	delta, known := c.tracker.Delta(request.GetAfterOffset())
	if !known || !request.GetAcceptDelta() {
		c.fullViews++
		response.View, _ = json.Marshal(c.view)
		return response, nil
	}
	if c.wrongBase {
		delta.BaseOffset = c.view.Offset
	}
	response.Delta, _ = json.Marshal(delta)
	return response, nil
}

func assertSameView(t *testing.T, got, want *structs.View) {
	t.Helper()
	assert.Equal(t, got.Offset, want.Offset)
	assert.DeepEqual(t, got.Teams, want.Teams)
	assert.DeepEqual(t, got.Gateways, want.Gateways)
	assert.DeepEqual(t, got.Unallocated, want.Unallocated)
}

// A gateway must fetch the full view only once, have the same view as the controller after each delta, and
// fetch the full view again if a delta doesn't apply to its view.
func TestFollowsByDeltas(t *testing.T) {
	c := &deltaController{view: &structs.View{}}
	store := fleet.NewStore()
	f := New("g", []Source{{"home", c}}, store, telemetry.NewLogger(io.Discard, "g", "z"), time.Now)
	for limit := range uint64(10) {
		c.advance(limit)
		assert.NilError(t, f.poll(t.Context()))
		assertSameView(t, store.Current().View, c.view)
	}
	assert.Equal(t, c.fullViews, 1)
	c.advance(100)
	c.wrongBase = true
	assert.NilError(t, f.poll(t.Context()))
	assert.NilError(t, f.poll(t.Context()))
	assertSameView(t, store.Current().View, c.view)
	assert.Equal(t, c.fullViews, 2)
}
