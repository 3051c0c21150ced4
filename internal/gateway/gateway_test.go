package gateway_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/standin/endpointsvc"
)

// Guards the path of a request through all filters to an endpoint and back, and the refusals by the filters:
// each must be recorded, and its request must not run.
func TestRequestPath(t *testing.T) {
	zone := newTestZone(t)
	endpoint := zone.addEndpoint("desk", endpointsvc.Config{})
	gw := zone.addGateway("z1", map[string]uint64{"a": 10}, nil)
	zone.publish()

	got := sendRequest(t, gw, "POST", "/v1/pools/desk/tally?day=1", "42")
	assert.DeepEqual(t, got.outcome, "done")
	assert.Equal(t, got.body, "42")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, endpoint.Runs(got.id), 1)

	refusals := []struct {
		path, key string
		kind      fault.Kind
	}{
		{"/v1/pools/desk/x", "Bearer wrong", fault.KeyUnknown},
		{"/v1/pools/desk/x", "", fault.KeyUnknown},
		{"/v1/pools/none/x", "Bearer " + secretA, fault.PoolUnknown},
		{"/v1/pools/open/x", "Bearer wrong", fault.KeyUnknown},
		{"/v1/pools/desk/x", "Bearer key-b-secret", fault.TeamLimit},
	}
	for _, refusal := range refusals {
		got := sendRequest(t, gw, "POST", refusal.path, "", "Authorization", refusal.key)
		assert.Equal(t, got.kind, string(refusal.kind))
		assert.Equal(t, got.outcome, "not_run")
		assert.Equal(t, gw.sink.Last().ID, got.id)
		assert.Equal(t, gw.sink.Last().ConfigVersion, uint64(7))
	}
	assert.Equal(t, endpoint.Stats().Runs, 1)
}
