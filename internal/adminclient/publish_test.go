package adminclient

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

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
