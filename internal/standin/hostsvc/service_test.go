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

// Guards against a stand-in that is more lenient than the platform: a list without lag, calls with a
// stale epoch that are accepted, lost responses whose calls have no effect, and reboots that don't
// hang. Over connect, controllers must be able to tell a stale epoch from an unavailable host by the
// error code.
func TestFaultsOverConnect(t *testing.T) {
	now := time.Unix(0, 0)
	service := New(Options{ListLag: 30 * time.Second, RebootTime: time.Minute, Now: func() time.Time { return now }},
		[]Host{{Name: "a", Zone: "z", Rack: "r", Pool: "p"}, {Name: "b", Zone: "z", Rack: "r", Pool: "p"}})
	_, handler := service.Handler()
	server := httptest.NewServer(handler)
	defer server.Close()
	client := turmericyokev1connect.NewHostServiceClient(server.Client(), server.URL)
	ctx := context.Background()
	request := func(epoch uint64) *v1.HostRequest { return &v1.HostRequest{Host: "a", HostEpoch: epoch} }

	service.LoseResponses(MethodReboot, 1)
	_, err := client.Drain(ctx, request(4))
	assert.NilError(t, err)
	_, err = client.Reboot(ctx, request(4))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	response, err := client.Probe(ctx, request(4))
	assert.NilError(t, err)
	assert.Assert(t, !response.GetHealthy() && response.GetBootCount() == 2)
	list, err := client.List(ctx, &v1.ListRequest{})
	assert.NilError(t, err)
	assert.Equal(t, list.GetHosts()[0].GetState(), v1.HostState_HOST_STATE_LIVE)

	now = now.Add(time.Minute)
	response, err = client.Undrain(ctx, request(5))
	assert.NilError(t, err)
	assert.Assert(t, response.GetHealthy() && !response.GetDraining())
	_, err = client.Reboot(ctx, request(4))
	assert.Equal(t, connect.CodeOf(err), fault.ResponseFor(fault.HostEpochStale).ConnectCode)

	service.SetPartitioned(ByZone("z"), true)
	_, err = client.Probe(ctx, request(5))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	service.SetPartitioned(ByZone("z"), false)
	service.SetRebootStuck(ByName("a"), true)
	_, err = client.Reboot(ctx, request(6))
	assert.NilError(t, err)
	now = now.Add(time.Hour)
	response, err = client.Probe(ctx, request(6))
	assert.NilError(t, err)
	assert.Assert(t, !response.GetHealthy())
}
