package gateway_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/standin/endpointsvc"
	"turmericyoke/internal/structs"
)

// awaitMembers waits until each gateway has received load reports of all others, so that they all own slots.
func (z *testZone) awaitMembers(ctx context.Context) {
	for _, gw := range z.gateways {
		gw.AwaitMembers(ctx, len(z.gateways))
	}
}

// Guards a team limit of 1 on several gateways: those without the right forward their requests to the gateway
// that holds it, and no two requests run at the same time.
func TestLimitOfOneWithManyGateways(t *testing.T) {
	zone := newTestZone(t)
	endpoint := zone.addEndpoint("desk", endpointsvc.Config{RunTime: time.Millisecond})
	zone.addGateway("z1", map[string]uint64{"a": 1}, nil)
	zone.addGateway("z1", nil, nil)
	zone.addGateway("z1", nil, nil)
	zone.view.Gateways[0].Rights = map[string]uint64{"a": 1}
	zone.publish()
	zone.awaitMembers(t.Context())
	var calls sync.WaitGroup
	for i := range 12 {
		calls.Go(func() {
			got := sendRequest(t, zone.gateways[i%3], "POST", "/v1/pools/desk/x", "body")
			assert.Check(t, got.outcome == "done" && got.body == "body" && endpoint.Runs(got.id) == 1, "%+v", got)
		})
	}
	calls.Wait()
	assert.Equal(t, endpoint.Stats().PeakRunning, 1)
}

// Guards against idle slots if one gateway receives all requests: it must use the slots that the other
// gateways own, without sending any endpoint more requests than it has slots.
func TestSkewedArrivalsUseAllSlots(t *testing.T) {
	zone := newTestZone(t)
	var running atomic.Int32
	allRunning := make(chan struct{})
	endpoint := zone.addEndpoint("desk", endpointsvc.Config{RunTime: 300 * time.Millisecond, OnRun: closeAtRunCount(&running, 8, allRunning)})
	for range 3 {
		zone.addGateway("z1", map[string]uint64{"a": 100}, nil)
	}
	zone.publish()
	zone.awaitMembers(t.Context())
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() {
			assert.Check(t, sendRequest(t, zone.gateways[0], "POST", "/v1/pools/desk/x", "body").outcome == "done")
		})
	}
	<-allRunning
	calls.Wait()
	assert.Equal(t, endpoint.Stats().Refused, 0)
	assert.Equal(t, endpoint.Stats().MaxRunsPerRequest, 1)
}

// Guards against new requests to an endpoint that a peer has reported as leaving, and against a load report
// of this gateway without that endpoint.
func TestLeavingEndpointsAreLearnedFromPeers(t *testing.T) {
	zone := newTestZone(t)
	leaving := zone.addEndpoint("desk", endpointsvc.Config{Slots: 9})
	zone.addEndpoint("desk", endpointsvc.Config{})
	gw := zone.addGateway("z1", map[string]uint64{"a": 100}, nil)
	address := zone.view.Gateways[0].Address
	zone.view.Gateways = append(zone.view.Gateways, structs.GatewayEntry{Name: "peer", Incarnation: "peer-1", Zone: "z1", Address: "127.0.0.1:1"})
	zone.publish()
	client := newPeerClients(t).ExchangeClient(address)
	response, err := client.Exchange(t.Context(), &v1.ExchangeRequest{Load: &v1.GatewayLoad{
		Gateway: "peer", Incarnation: "peer-1", Zone: "z1", Seq: 1, Draining: true,
		Leaving: []*v1.LeavingEndpoint{{Endpoint: "h0", HostEpoch: 1}},
	}})
	assert.NilError(t, err)
	assert.Equal(t, response.GetLoad().GetLeaving()[0].GetEndpoint(), "h0")
	for range 5 {
		assert.Equal(t, sendRequest(t, gw, "POST", "/v1/pools/desk/x", "").outcome, "done")
	}
	assert.Equal(t, leaving.Stats().Runs, 0)
}

// Guards against requests that are lost when a gateway leaves: they must be forwarded to a peer.
func TestDrainingGatewayHandsOverRequests(t *testing.T) {
	zone := newTestZone(t)
	endpoint := zone.addEndpoint("desk", endpointsvc.Config{})
	draining := zone.addGateway("z1", map[string]uint64{"a": 100}, nil)
	zone.addGateway("z1", nil, nil)
	zone.publish()
	zone.awaitMembers(t.Context())
	draining.Drain()
	draining.AwaitMembers(t.Context(), 1)
	for range 10 {
		got := sendRequest(t, draining, "POST", "/v1/pools/desk/x", "body")
		assert.Equal(t, got.outcome, "done")
		assert.Equal(t, endpoint.Runs(got.id), 1)
	}
	assert.Equal(t, draining.rights.Free("a"), uint64(100))
}

// Guards against a second run of a forwarded request, and against a wrong outcome in its response, if the
// connection between the gateways breaks at any byte of the call.
func TestForwardCutAtEachByte(t *testing.T) {
	zone := newTestZone(t)
	zone.addEndpoint("desk", endpointsvc.Config{})
	zone.addGateway("z1", nil, nil)
	zone.addGateway("z1", map[string]uint64{"a": 100}, nil)
	zone.view.Gateways[1].Rights = map[string]uint64{"a": 1}
	proxy := newCuttingProxy(t, zone.view.Gateways[1].Address)
	zone.view.Gateways[1].Address = proxy.address
	zone.publish()
	zone.awaitMembers(t.Context())
	countByOutcome := map[string]int{}
	for cut := range 900 {
		proxy.cutAfter(cut)
		got := sendRequest(t, zone.gateways[0], "POST", "/v1/pools/desk/x", "a tally")
		proxy.cutAfter(noCut)
		checkOutcome(t, got, zone.endpoints[0].Runs(got.id), "a tally")
		countByOutcome[got.outcome]++
	}
	t.Logf("requests by outcome: %v", countByOutcome)
	assert.Equal(t, zone.endpoints[0].Stats().MaxRunsPerRequest, 1)
	assert.Assert(t, countByOutcome["done"] > 0 && countByOutcome["outcome_unknown"] > 0)
}

// noCut is a number of bytes that a cuttingProxy never reaches.
const noCut = 1 << 40

// cuttingProxy forwards connections to a gateway, and closes them after a number of bytes to the gateway.
type cuttingProxy struct {
	address   string
	bytesLeft atomic.Int64
}

// newCuttingProxy starts a proxy to the target address. It cuts no connection until cutAfter is called.
func newCuttingProxy(t *testing.T, target string) *cuttingProxy {
	p := &cuttingProxy{}
	p.bytesLeft.Store(noCut)
	listener := listen(t)
	p.address = listener.Addr().String()
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go p.forwardBytes(client, server)
			go func() { _, _ = io.Copy(client, server); _ = client.Close() }()
		}
	}()
	return p
}

// cutAfter sets the number of bytes after which the proxy closes a connection.
func (p *cuttingProxy) cutAfter(bytes int) { p.bytesLeft.Store(int64(bytes)) }

// forwardBytes forwards single bytes from the client to the server until bytesLeft is used up.
func (p *cuttingProxy) forwardBytes(client, server net.Conn) {
	defer client.Close()
	defer server.Close()
	var buffer [1]byte
	for {
		if _, err := client.Read(buffer[:]); err != nil {
			return
		}
		if p.bytesLeft.Add(-1) < 0 {
			return
		}
		if _, err := server.Write(buffer[:]); err != nil {
			return
		}
	}
}
