package gateway_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/standin/endpointsvc"
)

// Guards the whole path of a request, and the filters that refuse it.
func TestRequestPath(t *testing.T) {
	b := newTestZone(t)
	e := b.addEndpoint("desk", endpointsvc.Config{})
	n := b.addGateway("z1", map[string]uint64{"a": 10}, nil)
	b.publish()

	got := sendRequest(t, n, "POST", "/v1/pools/desk/tally?day=1", "42")
	assert.DeepEqual(t, got.outcome, "done")
	assert.Equal(t, got.body, "42")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, e.Runs(got.id), 1)

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
	for _, c := range refusals {
		got := sendRequest(t, n, "POST", c.path, "", "Authorization", c.key)
		assert.Equal(t, got.kind, string(c.kind))
		assert.Equal(t, got.outcome, "not_run")
		assert.Equal(t, n.sink.Last().ID, got.id)
		assert.Equal(t, n.sink.Last().ConfigVersion, uint64(7))
	}
	assert.Equal(t, e.Stats().Runs, 1)
}
