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

// deltaController serves whole views at first and deltas afterwards, as a real one does.
type deltaController struct {
	view    *structs.View
	tracker viewdelta.Tracker
	// wrongBase makes the next delta start after the gateway's view.
	wrongBase bool
	fullViews int
}

func (c *deltaController) advance(limit uint64) {
	c.view = &structs.View{
		Offset: c.view.Offset + 1,
		Teams:  []structs.Team{{Name: "a", UpperLimit: limit}, {Name: "b", UpperLimit: 1}},
		// A gateway's rights change without its entry.
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

// Guards against a gateway that fetches the whole view for each record, that differs from the
// controller after a delta, or that stays behind when a delta doesn't fit its view.
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
