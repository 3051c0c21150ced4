package gateway_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway"
	"turmericyoke/internal/gateway/account"
	"turmericyoke/internal/gateway/admit"
	"turmericyoke/internal/gateway/endpoints"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/gateway/peerclient"
	"turmericyoke/internal/gateway/queue"
	"turmericyoke/internal/gateway/server"
	"turmericyoke/internal/rights"
	"turmericyoke/internal/standin/endpointsvc"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/transport"
)

// newPeerClients returns a pool of clients that call gateways without TLS.
func newPeerClients(tb testing.TB) *peerclient.ClientPool {
	link, err := transport.New(transport.TLS{Plaintext: true})
	assert.NilError(tb, err)
	return peerclient.NewClientPool(link.PeerClient(), link.URL)
}

// fakeRights implements rights.Source with a fixed number of rights for each team.
type fakeRights struct {
	mu     sync.Mutex
	free   map[string]uint64
	lapsed bool
}

func (r *fakeRights) Acquire(team string) (rights.AcquiredRight, *fault.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lapsed {
		return rights.AcquiredRight{}, fault.New(fault.LeaseLapsed, "no lease")
	}
	if r.free[team] == 0 {
		return rights.AcquiredRight{}, fault.New(fault.TeamLimit, "no right")
	}
	r.free[team]--
	return rights.AcquiredRight{Release: func() { r.release(team) }}, nil
}

func (r *fakeRights) release(team string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free[team]++
}

func (r *fakeRights) Free(team string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.free[team]
}

func (r *fakeRights) LeaseHeld() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lapsed
}

// fakeLease implements exchange.Lease and exchange.PendingRefusals. It permits all renewals, makes no vows
// and has no refusals.
type fakeLease struct{}

func (fakeLease) RecordReport(string, string)               {}
func (fakeLease) RecordRenewal(string, string, time.Time)   {}
func (fakeLease) MayRenew(string, string) bool              { return true }
func (fakeLease) Vow(string, string) *v1.Vow                { return nil }
func (fakeLease) RefusalsFor(string) *v1.RefusalBatch       { return nil }
func (fakeLease) StoreRefusalCopy(*v1.RefusalBatch)         {}
func (fakeLease) RecordRefusalTotal(string, string, uint64) {}

// testZone is an availability zone of gateways and endpoints that listen on loopback.
type testZone struct {
	t         testing.TB
	ctx       context.Context
	view      structs.View
	endpoints []*endpointsvc.Endpoint
	gateways  []*testGateway
}

// testGateway is a running gateway with the fakes that it uses.
type testGateway struct {
	*gateway.Gateway
	name, address string
	store         *fleet.Store
	rights        *fakeRights
	sink          *account.CountingSink
	stop          context.CancelFunc
	// suspended is the time for which the host of the gateway was suspended, in nanoseconds.
	suspended atomic.Int64
}

// secretA is the secret of the key of team a.
const secretA = "key-a-secret"

func hashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// newTestZone returns a zone with two teams and two pools, but without gateways and endpoints.
func newTestZone(t testing.TB) *testZone {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return &testZone{t: t, ctx: ctx, view: structs.View{
		Offset: 1, ConfigVersion: 7,
		Teams: []structs.Team{{Name: "a", Share: 1, UpperLimit: 100}, {Name: "b", Share: 1, UpperLimit: 100}},
		Keys:  []structs.Key{{ID: "key-a", Team: "a", Hash: hashSecret(secretA)}, {ID: "key-b", Team: "b", Hash: hashSecret("key-b-secret")}},
		Pools: []structs.Pool{{Name: "desk", IdempotencyKeys: true}, {Name: "open", OpenTeam: "b"}},
	}}
}

// listen returns a listener on a free port of the loopback address.
func listen(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}

// addEndpoint starts an endpoint of the pool in zone z1 and adds it to the view.
func (z *testZone) addEndpoint(pool string, config endpointsvc.Config) *endpointsvc.Endpoint {
	endpoint := endpointsvc.New(config)
	listener := listen(z.t)
	go func() { _ = endpoint.Serve(listener) }()
	z.t.Cleanup(func() { _ = listener.Close() })
	z.endpoints = append(z.endpoints, endpoint)
	slots := config.Slots
	if slots == 0 {
		slots = endpointsvc.DefaultSlots
	}
	z.view.Endpoints = append(z.view.Endpoints, structs.Endpoint{
		Host: fmt.Sprintf("h%d", len(z.view.Endpoints)), Address: listener.Addr().String(),
		Pool: pool, Zone: "z1", Slots: slots, Connections: 64, Epoch: 1,
	})
	return endpoint
}

// addGateway starts a gateway in the zone with the given rights of each team. The default dial function is
// used if dial is nil.
func (z *testZone) addGateway(zone string, freeRights map[string]uint64, dial endpoints.DialFunc) *testGateway {
	if dial == nil {
		dial = func(address string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, timeout)
		}
	}
	gw := &testGateway{
		name: fmt.Sprintf("g%d", len(z.gateways)), store: fleet.NewStore(),
		rights: &fakeRights{free: freeRights}, sink: &account.CountingSink{},
	}
	gw.Gateway = gateway.New(gateway.Config{
		Name: gw.name, Incarnation: gw.name + "-1", Zone: zone, OtherZones: []string{"z1", "z2"}, Seed: 1,
		Server: server.Limits{
			HeaderBytes: 4096, BodyBytes: 64 << 10, BufferedBytes: 16 << 20, Connections: 1024,
			ReadTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second,
		},
		Admit:     admit.Limits{BodyBytes: 64 << 10, QueueWait: 2 * time.Second},
		Queue:     queue.Limits{Waiting: 256, Bytes: 1 << 20},
		Endpoints: endpoints.Limits{ConnectTimeout: time.Second, HeaderBytes: 4096, ResponseBytes: 1 << 20},
		Store:     gw.store, Rights: gw.rights, RefusalSink: gw.sink, Lease: fakeLease{}, PendingRefusals: fakeLease{},
		Registry: prometheus.NewRegistry(), PeerClients: newPeerClients(z.t), DialEndpoint: dial, Now: time.Now,
		ViewNow: func() time.Time { return time.Now().Add(time.Duration(gw.suspended.Load())) },
	})
	z.serveGateway(gw, zone)
	z.gateways = append(z.gateways, gw)
	return gw
}

// serveGateway serves callers and peers of the gateway, runs it and adds it to the view.
func (z *testZone) serveGateway(gw *testGateway, zone string) {
	callers, peers := listen(z.t), listen(z.t)
	ctx, cancel := context.WithCancel(z.ctx)
	gw.stop = cancel
	gw.address = callers.Addr().String()
	z.view.Gateways = append(z.view.Gateways, structs.GatewayEntry{
		Name: gw.name, Incarnation: gw.name + "-1", Zone: zone, Address: peers.Addr().String(),
	})
	mux := http.NewServeMux()
	mux.Handle(gw.PeerHandler())
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	peerServer := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = peerServer.Serve(peers) }()
	go func() { _ = gw.Serve(callers) }()
	go func() { _ = gw.Run(ctx) }()
	z.t.Cleanup(func() {
		cancel()
		_ = peerServer.Close()
		_ = callers.Close()
	})
}

// publish passes the view to all gateways, as current now.
func (z *testZone) publish() { z.publishAt(time.Now()) }

// publishAt passes the view to all gateways, as last known to be current at freshAt.
func (z *testZone) publishAt(freshAt time.Time) {
	z.view.Offset++
	for _, gw := range z.gateways {
		view := z.view
		view.Teams = slices.Clone(view.Teams)
		view.Keys = slices.Clone(view.Keys)
		view.Endpoints = slices.Clone(view.Endpoints)
		view.Gateways = slices.Clone(view.Gateways)
		gw.store.Update(&view, freshAt)
	}
}

// closeAtRunCount returns an OnRun function that closes the channel once count runs have begun.
func closeAtRunCount(running *atomic.Int32, count int32, reached chan struct{}) func(*fasthttp.RequestCtx) {
	return func(*fasthttp.RequestCtx) {
		if running.Add(1) == count {
			close(reached)
		}
	}
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status            int
	id, outcome, kind string
	retryAfter        string
	body              string
}

// callerClient sends each request exactly once, without changes to its path.
var callerClient = fasthttp.Client{DisablePathNormalizing: true, MaxIdemponentCallAttempts: 1}

// sendRequest sends one request to the gateway, with the key of team a. headers contains alternating names
// and values. An empty value removes the header.
func sendRequest(t testing.TB, gw *testGateway, method, path, body string, headers ...string) callerResponse {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + gw.address + path)
	request.Header.SetMethod(method)
	request.Header.Set("Authorization", "Bearer "+secretA)
	request.SetBodyString(body)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
		if headers[i+1] == "" {
			request.Header.Del(headers[i])
		}
	}
	assert.NilError(t, callerClient.Do(request, response))
	return callerResponse{
		status: response.StatusCode(), body: string(response.Body()),
		id: string(response.Header.Peek("X-Request-Id")), outcome: string(response.Header.Peek("X-Outcome")),
		kind: string(response.Header.Peek("X-Refusal-Kind")), retryAfter: string(response.Header.Peek("Retry-After")),
	}
}
