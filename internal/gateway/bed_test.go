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

// plainPool returns clients of gateways without TLS.
func plainPool(tb testing.TB) *peerclient.Pool {
	link, err := transport.New(transport.TLS{Plaintext: true})
	assert.NilError(tb, err)
	return peerclient.NewPool(link.PeerClient(), link.URL)
}

// fakeRights holds a fixed number of rights for each team.
type fakeRights struct {
	mu     sync.Mutex
	free   map[string]uint64
	lapsed bool
}

func (m *fakeRights) Acquire(team string) (rights.Use, *fault.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lapsed {
		return rights.Use{}, fault.New(fault.LeaseLapsed, "no lease")
	}
	if m.free[team] == 0 {
		return rights.Use{}, fault.New(fault.TeamLimit, "no right")
	}
	m.free[team]--
	return rights.Use{Release: func() { m.release(team) }}, nil
}

func (m *fakeRights) release(team string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free[team]++
}

func (m *fakeRights) Free(team string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.free[team]
}

func (m *fakeRights) LeaseHeld() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.lapsed
}

// fakeLease renews everybody and vows against nobody.
type fakeLease struct{}

func (fakeLease) Heard(string, string)              {}
func (fakeLease) Renewed(string, string, time.Time) {}
func (fakeLease) MayRenew(string, string) bool      { return true }
func (fakeLease) Vow(string, string) *v1.Vow        { return nil }
func (fakeLease) Copy(string) *v1.RefusalBatch      { return nil }
func (fakeLease) Keep(*v1.RefusalBatch)             {}
func (fakeLease) Observe(string, string, uint64)    {}

// testZone is a zone of gateways and endpoints on loopback.
type testZone struct {
	t         testing.TB
	ctx       context.Context
	view      structs.View
	endpoints []*endpointsvc.Endpoint
	gateways  []*testGateway
}

// testGateway is one gateway of the bed.
type testGateway struct {
	*gateway.Gateway
	name, address string
	store         *fleet.Store
	rights        *fakeRights
	sink          *account.CountingSink
	stopGateway   context.CancelFunc
}

const secretA = "key-a-secret"

func hashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

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

func listen(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}

// addEndpoint serves an endpoint of a pool in zone z1.
func (b *testZone) addEndpoint(pool string, config endpointsvc.Config) *endpointsvc.Endpoint {
	e := endpointsvc.New(config)
	listener := listen(b.t)
	go func() { _ = e.Serve(listener) }()
	b.t.Cleanup(func() { _ = listener.Close() })
	b.endpoints = append(b.endpoints, e)
	slots := config.Slots
	if slots == 0 {
		slots = endpointsvc.DefaultSlots
	}
	b.view.Endpoints = append(b.view.Endpoints, structs.Endpoint{
		Host: fmt.Sprintf("h%d", len(b.view.Endpoints)), Address: listener.Addr().String(),
		Pool: pool, Zone: "z1", Slots: slots, Connections: 64, Epoch: 1,
	})
	return e
}

// addGateway starts a gateway in the zone with rights for each team.
func (b *testZone) addGateway(zone string, rightsOf map[string]uint64, dial endpoints.DialFunc) *testGateway {
	if dial == nil {
		dial = func(address string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, timeout)
		}
	}
	n := &testGateway{
		name: fmt.Sprintf("g%d", len(b.gateways)), store: fleet.NewStore(),
		rights: &fakeRights{free: rightsOf}, sink: &account.CountingSink{},
	}
	n.Gateway = gateway.New(gateway.Config{
		Name: n.name, Incarnation: n.name + "-1", Zone: zone, RegionZones: []string{"z1", "z2"}, Seed: 1,
		Server: server.Limits{
			HeaderBytes: 4096, BodyBytes: 64 << 10, BufferedBytes: 16 << 20, Connections: 1024,
			ReadTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second,
		},
		Admit:     admit.Limits{BodyBytes: 64 << 10, QueueWait: 2 * time.Second},
		Queue:     queue.Limits{Waiting: 256, Bytes: 1 << 20},
		Endpoints: endpoints.Limits{ConnectTimeout: time.Second, HeaderBytes: 4096, AnswerBytes: 1 << 20},
		Store:     n.store, Rights: n.rights, RefusalSink: n.sink, Lease: fakeLease{}, PendingRefusals: fakeLease{},
		Registry: prometheus.NewRegistry(), PeerClients: plainPool(b.t), DialEndpoint: dial, Now: time.Now,
	})
	b.serveGateway(n, zone)
	b.gateways = append(b.gateways, n)
	return n
}

func (b *testZone) serveGateway(n *testGateway, zone string) {
	callers, peers := listen(b.t), listen(b.t)
	ctx, cancel := context.WithCancel(b.ctx)
	n.stopGateway = cancel
	n.address = callers.Addr().String()
	b.view.Gateways = append(b.view.Gateways, structs.GatewayEntry{
		Name: n.name, Incarnation: n.name + "-1", Zone: zone, Address: peers.Addr().String(),
	})
	mux := http.NewServeMux()
	mux.Handle(n.PeerHandler())
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	peerServer := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = peerServer.Serve(peers) }()
	go func() { _ = n.Serve(callers) }()
	go func() { _ = n.Run(ctx) }()
	b.t.Cleanup(func() {
		cancel()
		_ = peerServer.Close()
		_ = callers.Close()
	})
}

// publish gives the view to all gateways.
func (b *testZone) publish() { b.publishAt(time.Now()) }

// publishAt gives the view, as known to be current at freshAt.
func (b *testZone) publishAt(freshAt time.Time) {
	b.view.Offset++
	for _, n := range b.gateways {
		view := b.view
		view.Teams = slices.Clone(view.Teams)
		view.Keys = slices.Clone(view.Keys)
		view.Endpoints = slices.Clone(view.Endpoints)
		view.Gateways = slices.Clone(view.Gateways)
		n.store.Adopt(&view, freshAt)
	}
}

// closeAtRunCount closes full once count runs have begun.
func closeAtRunCount(running *atomic.Int32, count int32, full chan struct{}) func(*fasthttp.RequestCtx) {
	return func(*fasthttp.RequestCtx) {
		if running.Add(1) == count {
			close(full)
		}
	}
}

// callerResponse is what a caller received.
type callerResponse struct {
	status            int
	id, outcome, kind string
	retryAfter        string
	body              string
}

// callerClient sends what the test says, once.
var callerClient = fasthttp.Client{DisablePathNormalizing: true, MaxIdemponentCallAttempts: 1}

// sendRequest sends one request with key a to the gateway.
func sendRequest(t testing.TB, n *testGateway, method, path, body string, headers ...string) callerResponse {
	req, out := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(out)
	req.SetRequestURI("http://" + n.address + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+secretA)
	req.SetBodyString(body)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
		if headers[i+1] == "" {
			req.Header.Del(headers[i])
		}
	}
	assert.NilError(t, callerClient.Do(req, out))
	return callerResponse{
		status: out.StatusCode(), body: string(out.Body()),
		id: string(out.Header.Peek("X-Request-Id")), outcome: string(out.Header.Peek("X-Outcome")),
		kind: string(out.Header.Peek("X-Refusal-Kind")), retryAfter: string(out.Header.Peek("Retry-After")),
	}
}
