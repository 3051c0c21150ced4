package hostsvc

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/fault"
)

// Guards against a stand-in that is kinder than the platform: a list without lag, late calls that
// aren't refused, lost answers that undo the effect, and a reboot that clears the drain mark. It
// also guards the error codes, over connect, by which controllers tell a stale epoch from silence.
func TestFaultsOverConnect(t *testing.T) {
	now := time.Unix(0, 0)
	s := New(Options{ListLag: 30 * time.Second, RebootTime: time.Minute, Now: func() time.Time { return now }},
		[]Host{{Name: "a", Zone: "z", Rack: "r", Pool: "p"}, {Name: "b", Zone: "z", Rack: "r", Pool: "p"}})
	_, handler := s.Handler()
	server := httptest.NewServer(handler)
	defer server.Close()
	client := turmericyokev1connect.NewHostServiceClient(server.Client(), server.URL)
	ctx := context.Background()
	at := func(epoch uint64) *v1.HostRequest { return &v1.HostRequest{Host: "a", HostEpoch: epoch} }

	s.LoseResponses(MethodReboot, 1)
	_, err := client.Drain(ctx, at(4))
	assert.NilError(t, err)
	_, err = client.Reboot(ctx, at(4))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	seen, err := client.Probe(ctx, at(4))
	assert.NilError(t, err)
	assert.Assert(t, !seen.GetHealthy() && seen.GetBootCount() == 2)
	list, err := client.List(ctx, &v1.ListRequest{})
	assert.NilError(t, err)
	assert.Equal(t, list.GetHosts()[0].GetState(), v1.HostState_HOST_STATE_LIVE)

	now = now.Add(time.Minute)
	seen, err = client.Undrain(ctx, at(5))
	assert.NilError(t, err)
	assert.Assert(t, seen.GetHealthy() && !seen.GetDraining())
	_, err = client.Reboot(ctx, at(4))
	assert.Equal(t, connect.CodeOf(err), fault.ResponseFor(fault.HostEpochStale).ConnectCode)

	s.SetPartitioned(ByZone("z"), true)
	_, err = client.Probe(ctx, at(5))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	s.SetPartitioned(ByZone("z"), false)
	s.SetRebootStuck(ByName("a"), true)
	_, err = client.Reboot(ctx, at(6))
	assert.NilError(t, err)
	now = now.Add(time.Hour)
	seen, err = client.Probe(ctx, at(6))
	assert.NilError(t, err)
	assert.Assert(t, !seen.GetHealthy())
}
