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
func plainPool(tb testing.TB) *peerclient.ClientPool {
	link, err := transport.New(transport.TLS{Plaintext: true})
	assert.NilError(tb, err)
	return peerclient.NewClientPool(link.PeerClient(), link.URL)
}

// memoryRights holds a fixed number of rights for each team.
type memoryRights struct {
	mu     sync.Mutex
	free   map[string]uint64
	lapsed bool
}

func (m *memoryRights) Acquire(team string) (rights.Use, *fault.Error) {
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

func (m *memoryRights) release(team string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free[team]++
}

func (m *memoryRights) Free(team string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.free[team]
}

func (m *memoryRights) LeaseHeld() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.lapsed
}

// noLease renews everybody and vows against nobody.
type noLease struct{}

func (noLease) Heard(string, string)              {}
func (noLease) Renewed(string, string, time.Time) {}
func (noLease) MayRenew(string, string) bool      { return true }
func (noLease) Vow(string, string) *v1.Vow        { return nil }
func (noLease) Copy(string) *v1.RefusalBatch      { return nil }
func (noLease) Keep(*v1.RefusalBatch)             {}
func (noLease) Observe(string, string, uint64)    {}

// bed is a zone of gateways and endpoints on loopback.
type bed struct {
	t         testing.TB
	ctx       context.Context
	view      structs.View
	endpoints []*endpointsvc.Endpoint
	nodes     []*node
}

// node is one gateway of the bed.
type node struct {
	*gateway.Gateway
	name, address string
	store         *fleet.Store
	rights        *memoryRights
	sink          *account.CountingSink
	stop          context.CancelFunc
}

const secret = "key-a-secret"

func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func newBed(t testing.TB) *bed {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return &bed{t: t, ctx: ctx, view: structs.View{
		Offset: 1, ConfigVersion: 7,
		Teams: []structs.Team{{Name: "a", Share: 1, UpperLimit: 100}, {Name: "b", Share: 1, UpperLimit: 100}},
		Keys:  []structs.Key{{ID: "key-a", Team: "a", Hash: hashOf(secret)}, {ID: "key-b", Team: "b", Hash: hashOf("key-b-secret")}},
		Pools: []structs.Pool{{Name: "desk", IdempotencyKeys: true}, {Name: "open", OpenTeam: "b"}},
	}}
}

func listen(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}

// addEndpoint serves an endpoint of a pool in zone z1.
func (b *bed) addEndpoint(pool string, config endpointsvc.Config) *endpointsvc.Endpoint {
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
func (b *bed) addGateway(zone string, rightsOf map[string]uint64, dial endpoints.DialFunc) *node {
	if dial == nil {
		dial = func(address string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, timeout)
		}
	}
	n := &node{
		name: fmt.Sprintf("g%d", len(b.nodes)), store: fleet.NewStore(),
		rights: &memoryRights{free: rightsOf}, sink: &account.CountingSink{},
	}
	n.Gateway = gateway.New(gateway.Config{
		Name: n.name, Incarnation: n.name + "-1", Zone: zone, Region: []string{"z1", "z2"}, Seed: 1,
		Server: server.Limits{
			HeaderBytes: 4096, BodyBytes: 64 << 10, BufferedBytes: 16 << 20, Connections: 1024,
			ReadTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second,
		},
		Admit:     admit.Limits{BodyBytes: 64 << 10, QueueWait: 2 * time.Second},
		Queue:     queue.Limits{Waiting: 256, Bytes: 1 << 20},
		Endpoints: endpoints.Limits{ConnectTimeout: time.Second, HeaderBytes: 4096, AnswerBytes: 1 << 20},
		Store:     n.store, Rights: n.rights, Sink: n.sink, Lease: noLease{}, Pending: noLease{},
		Registry: prometheus.NewRegistry(), Clients: plainPool(b.t), Dial: dial, Now: time.Now,
	})
	b.start(n, zone)
	b.nodes = append(b.nodes, n)
	return n
}

func (b *bed) start(n *node, zone string) {
	callers, peers := listen(b.t), listen(b.t)
	ctx, cancel := context.WithCancel(b.ctx)
	n.stop = cancel
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
func (b *bed) publish() { b.publishAt(time.Now()) }

// publishAt gives the view, as known to be current at freshAt.
func (b *bed) publishAt(freshAt time.Time) {
	b.view.Offset++
	for _, n := range b.nodes {
		view := b.view
		view.Teams = slices.Clone(view.Teams)
		view.Keys = slices.Clone(view.Keys)
		view.Endpoints = slices.Clone(view.Endpoints)
		view.Gateways = slices.Clone(view.Gateways)
		n.store.Update(&view, freshAt)
	}
}

// onRun closes full once count runs have begun.
func onRun(running *atomic.Int32, count int32, full chan struct{}) func(*fasthttp.RequestCtx) {
	return func(*fasthttp.RequestCtx) {
		if running.Add(1) == count {
			close(full)
		}
	}
}

// answer is what a caller received.
type answer struct {
	status            int
	id, outcome, kind string
	retryAfter        string
	body              string
}

// callers sends what the test says, once.
var callers = fasthttp.Client{DisablePathNormalizing: true, MaxIdemponentCallAttempts: 1}

// call sends one request with key a to the gateway.
func call(t testing.TB, n *node, method, path, body string, headers ...string) answer {
	req, out := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(out)
	req.SetRequestURI("http://" + n.address + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+secret)
	req.SetBodyString(body)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
		if headers[i+1] == "" {
			req.Header.Del(headers[i])
		}
	}
	assert.NilError(t, callers.Do(req, out))
	return answer{
		status: out.StatusCode(), body: string(out.Body()),
		id: string(out.Header.Peek("X-Request-Id")), outcome: string(out.Header.Peek("X-Outcome")),
		kind: string(out.Header.Peek("X-Refusal-Kind")), retryAfter: string(out.Header.Peek("Retry-After")),
	}
}
