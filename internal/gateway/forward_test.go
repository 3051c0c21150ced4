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

// settle waits until the gateways have heard each other. It blocks on their own exchange.
func (b *bed) settle(ctx context.Context) {
	for _, n := range b.nodes {
		n.AwaitMembers(ctx, len(b.nodes))
	}
}

// Guards a limit of 1: gateways without the right send their requests to the holder, and no two run at a time.
func TestLimitOfOneWithManyGateways(t *testing.T) {
	b := newBed(t)
	e := b.addEndpoint("desk", endpointsvc.Config{Work: time.Millisecond})
	b.addGateway("z1", map[string]uint64{"a": 1}, nil)
	b.addGateway("z1", nil, nil)
	b.addGateway("z1", nil, nil)
	b.view.Gateways[0].Rights = map[string]uint64{"a": 1}
	b.publish()
	b.settle(t.Context())
	var calls sync.WaitGroup
	for i := range 12 {
		calls.Go(func() {
			got := call(t, b.nodes[i%3], "POST", "/v1/pools/desk/x", "body")
			assert.Check(t, got.outcome == "done" && got.body == "body" && e.Runs(got.id) == 1, "%+v", got)
		})
	}
	calls.Wait()
	assert.Equal(t, e.Stats().Peak, 1)
}

// Guards skewed arrivals: one gateway gets all requests, and uses the slots that the others own
// without sending any endpoint more than it can run.
func TestSkewedArrivalsUseAllSlots(t *testing.T) {
	b := newBed(t)
	var running atomic.Int32
	full := make(chan struct{})
	e := b.addEndpoint("desk", endpointsvc.Config{Work: 300 * time.Millisecond, OnRun: onRun(&running, 8, full)})
	for range 3 {
		b.addGateway("z1", map[string]uint64{"a": 100}, nil)
	}
	b.publish()
	b.settle(t.Context())
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() {
			assert.Check(t, call(t, b.nodes[0], "POST", "/v1/pools/desk/x", "body").outcome == "done")
		})
	}
	<-full
	calls.Wait()
	assert.Equal(t, e.Stats().Refused, 0)
	assert.Equal(t, e.Stats().MostRuns, 1)
}

// Guards endpoints that a peer knows to be leaving against new work, and that the news is passed on.
func TestLeavingIsLearnedFromPeers(t *testing.T) {
	b := newBed(t)
	leaving := b.addEndpoint("desk", endpointsvc.Config{Slots: 9})
	b.addEndpoint("desk", endpointsvc.Config{})
	n := b.addGateway("z1", map[string]uint64{"a": 100}, nil)
	address := b.view.Gateways[0].Address
	b.view.Gateways = append(b.view.Gateways, structs.GatewayEntry{Name: "peer", Incarnation: "peer-1", Zone: "z1", Address: "127.0.0.1:1"})
	b.publish()
	client := plainPool(t).ExchangeClient(address)
	response, err := client.Exchange(t.Context(), &v1.ExchangeRequest{Load: &v1.GatewayLoad{
		Gateway: "peer", Incarnation: "peer-1", Zone: "z1", Seq: 1, Draining: true,
		Leaving: []*v1.LeavingEndpoint{{Endpoint: "h0", HostEpoch: 1}},
	}})
	assert.NilError(t, err)
	assert.Equal(t, response.GetLoad().GetLeaving()[0].GetEndpoint(), "h0")
	for range 5 {
		assert.Equal(t, call(t, n, "POST", "/v1/pools/desk/x", "").outcome, "done")
	}
	assert.Equal(t, leaving.Stats().Runs, 0)
}

// Guards a gateway that leaves: what waits there is handed over to a peer.
func TestDrainingGatewayHandsOver(t *testing.T) {
	b := newBed(t)
	e := b.addEndpoint("desk", endpointsvc.Config{})
	leaves := b.addGateway("z1", map[string]uint64{"a": 100}, nil)
	b.addGateway("z1", nil, nil)
	b.publish()
	b.settle(t.Context())
	leaves.Drain()
	leaves.AwaitMembers(t.Context(), 1)
	for range 10 {
		got := call(t, leaves, "POST", "/v1/pools/desk/x", "body")
		assert.Equal(t, got.outcome, "done")
		assert.Equal(t, e.Runs(got.id), 1)
	}
	assert.Equal(t, leaves.rights.Free("a"), uint64(100))
}

// Guards against two runs of a forwarded request, and against false claims about its run, when the
// connection between the gateways breaks at any byte of the call.
func TestForwardCutAtEachByte(t *testing.T) {
	b := newBed(t)
	b.addEndpoint("desk", endpointsvc.Config{})
	b.addGateway("z1", nil, nil)
	b.addGateway("z1", map[string]uint64{"a": 100}, nil)
	b.view.Gateways[1].Rights = map[string]uint64{"a": 1}
	proxy := newCuttingProxy(t, b.view.Gateways[1].Address)
	b.view.Gateways[1].Address = proxy.address
	b.publish()
	b.settle(t.Context())
	ended := map[string]int{}
	for cut := range 900 {
		proxy.cutAfter(cut)
		got := call(t, b.nodes[0], "POST", "/v1/pools/desk/x", "a tally")
		proxy.cutAfter(never)
		checkTrue(t, got, b.endpoints[0].Runs(got.id), "a tally")
		ended[got.outcome]++
	}
	t.Logf("%v", ended)
	assert.Equal(t, b.endpoints[0].Stats().MostRuns, 1)
	assert.Assert(t, ended["done"] > 0 && ended["outcome_unknown"] > 0)
}

// never is a cut that doesn't come.
const never = 1 << 40

// cuttingProxy passes bytes to a gateway and closes its connections after a number of them.
type cuttingProxy struct {
	address string
	left    atomic.Int64
}

func newCuttingProxy(t *testing.T, target string) *cuttingProxy {
	p := &cuttingProxy{}
	p.left.Store(never)
	listener := listen(t)
	p.address = listener.Addr().String()
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go p.pass(near, far)
			go func() { _, _ = io.Copy(near, far); _ = near.Close() }()
		}
	}()
	return p
}

func (p *cuttingProxy) cutAfter(bytes int) { p.left.Store(int64(bytes)) }

func (p *cuttingProxy) pass(near, far net.Conn) {
	defer near.Close()
	defer far.Close()
	var one [1]byte
	for {
		if _, err := near.Read(one[:]); err != nil {
			return
		}
		if p.left.Add(-1) < 0 {
			return
		}
		if _, err := far.Write(one[:]); err != nil {
			return
		}
	}
}
