package adminclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/standin/controllersvc"
	"turmericyoke/internal/standin/fleetdoc"
	"turmericyoke/internal/transport"
)

// Guards against a team that can't claim rights any more, because a rejected change set was to lower its limit.
func TestRejectedPublishCancelsSurrenders(t *testing.T) {
	doc := fleetdoc.New(fleetdoc.Size{Hosts: 4, Teams: 2, Pools: 1, Zones: 1})
	controller := controllersvc.New(7, *doc)
	server := httptest.NewServer(controller.Handler())
	defer server.Close()
	link, err := transport.New(transport.TLS{Plaintext: true})
	assert.NilError(t, err)
	client := NewClient(link, []string{server.Listener.Addr().String()})
	plan := func(id string, change func(limit *uint64)) *ChangePlan {
		next := *fleetdoc.New(fleetdoc.Size{Hosts: 4, Teams: 2, Pools: 1, Zones: 1})
		change(&next.Teams[0].UpperLimit)
		changePlan, err := client.Plan(t.Context(), id, "ada", "", &next)
		assert.NilError(t, err)
		return changePlan
	}
	accepted := doc.Teams[0].UpperLimit
	lowering := plan("lower", func(limit *uint64) { *limit -= 1 })
	_, err = client.Publish(t.Context(), plan("raise", func(limit *uint64) { *limit += 1 }))
	assert.NilError(t, err)

	_, err = client.Publish(t.Context(), lowering)
	assert.Equal(t, fault.KindOf(err), fault.VersionConflict)
	surrenders := controller.Surrenders()
	assert.Equal(t, len(surrenders), 2)
	assert.Equal(t, surrenders[0].GetTarget(), accepted-1)
	assert.Equal(t, surrenders[1].GetTarget(), accepted+1, "the target is the limit of the change set that was accepted meanwhile")
}

// abortingController closes the connection of each proposal after it was read.
type abortingController struct{ *controllersvc.Controller }

func (abortingController) Propose(context.Context, *v1.ProposeRequest) (*v1.ProposeResponse, error) {
	panic(http.ErrAbortHandler)
}

// Guards against a change set that is reported as rejected, because of the verdict on its copy at another controller,
// and is accepted from the first controller afterwards.
func TestLostConnectionLeavesChangeSetUnsettled(t *testing.T) {
	doc := fleetdoc.New(fleetdoc.Size{Hosts: 4, Teams: 2, Pools: 1, Zones: 1})
	first, second := controllersvc.New(7, *doc), controllersvc.New(8, *doc)
	_, aborting := turmericyokev1connect.NewControllerServiceHandler(abortingController{first})
	client := newTestClient(t, aborting, second.Handler())
	next := *fleetdoc.New(fleetdoc.Size{Hosts: 4, Teams: 2, Pools: 1, Zones: 1})
	next.Teams[0].Share++
	changePlan, err := client.Plan(t.Context(), "change", "ada", "", &next)
	assert.NilError(t, err)

	_, err = client.Publish(t.Context(), changePlan)
	assert.Equal(t, fault.KindOf(err), fault.AppendUnsettled)
}

// conflictingController rejects proposals at an offset that its other answers don't include yet.
type conflictingController struct{ *controllersvc.Controller }

func (conflictingController) Propose(context.Context, *v1.ProposeRequest) (*v1.ProposeResponse, error) {
	return &v1.ProposeResponse{Offset: 20, Kind: string(fault.VersionConflict)}, nil
}

// Guards against a change set that is reported as rejected when it is published again after a lost response, because
// the verdicts are read from a state that is older than the first one.
func TestConflictIsResolvedByVerdictsUpToIt(t *testing.T) {
	doc := fleetdoc.New(fleetdoc.Size{Hosts: 4, Teams: 2, Pools: 1, Zones: 1})
	_, lagging := turmericyokev1connect.NewControllerServiceHandler(conflictingController{controllersvc.New(7, *doc)})
	client := newTestClient(t, lagging)
	next := *fleetdoc.New(fleetdoc.Size{Hosts: 4, Teams: 2, Pools: 1, Zones: 1})
	next.Teams[0].Share++
	changePlan, err := client.Plan(t.Context(), "change", "ada", "", &next)
	assert.NilError(t, err)

	_, err = client.Publish(t.Context(), changePlan)
	assert.Equal(t, fault.KindOf(err), fault.AppendUnsettled)
}

// newTestClient returns a client of the controllers with the handlers.
func newTestClient(t *testing.T, handlers ...http.Handler) *Client {
	t.Helper()
	link, err := transport.New(transport.TLS{Plaintext: true})
	assert.NilError(t, err)
	var addresses []string
	for _, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	return NewClient(link, addresses)
}
