// Package gateway assembles a gateway from the filters, the queue, the endpoint table and the load exchange
// with other gateways.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/gateway/account"
	"turmericyoke/internal/gateway/admit"
	"turmericyoke/internal/gateway/authenticate"
	"turmericyoke/internal/gateway/choose"
	"turmericyoke/internal/gateway/dispatch"
	"turmericyoke/internal/gateway/endpoints"
	"turmericyoke/internal/gateway/exchange"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/gateway/peerclient"
	"turmericyoke/internal/gateway/pipe"
	"turmericyoke/internal/gateway/queue"
	"turmericyoke/internal/gateway/route"
	"turmericyoke/internal/gateway/server"
	"turmericyoke/internal/gateway/submit"
	"turmericyoke/internal/rights"
)

// Config configures a gateway.
type Config struct {
	// Name, Incarnation and Zone identify the gateway.
	Name, Incarnation, Zone string
	// OtherZones lists the other availability zones of the gateway's region, in the order in which they are tried.
	OtherZones []string
	// HolderIncarnation returns the current incarnation of the gateway's holder of rights, which changes if the
	// holder joins again. If it is nil, Incarnation is used.
	HolderIncarnation func() string
	// Seed seeds the random choice of peers.
	Seed uint64

	Server    server.Limits
	Admit     admit.Limits
	Queue     queue.Limits
	Endpoints endpoints.Limits

	Store           *fleet.Store
	Rights          rights.Source
	RefusalSink     account.Sink
	Lease           exchange.Lease
	PendingRefusals exchange.PendingRefusals
	Registry        prometheus.Registerer
	// PeerClients provides the clients of other gateways.
	PeerClients *peerclient.ClientPool
	// Submitter accepts jobs. If it is nil, requests that submit jobs are sent to endpoints like others.
	Submitter    submit.Submitter
	DialEndpoint endpoints.DialFunc
	Now          func() time.Time
	// ViewNow reads the clock on which the age of views is measured, such as that of a fleet.Clock.
	ViewNow func() time.Time
}

// Gateway runs the requests of callers on the endpoints of its availability zone.
type Gateway struct {
	config   Config
	table    *endpoints.Table
	peers    *exchange.Peers
	queue    *queue.Queue
	recorder *account.Recorder
	server   *server.Server
	exchange *exchange.Exchange
	// mu guards memberCount, the number of gateways that own slots of the zone, and memberCountChanged, which is
	// closed and replaced when that number changes.
	mu                 sync.Mutex
	memberCount        int
	memberCountChanged chan struct{}
	// draining is set by Drain, and refusing at the end of Shutdown. While refusing is set, requests that peers
	// still forward are refused.
	draining, refusing atomic.Bool
}

// New returns a gateway. Run and Serve start it.
func New(config Config) *Gateway {
	g := &Gateway{config: config, memberCount: 1, memberCountChanged: make(chan struct{})}
	g.peers = exchange.NewPeers(config.Name, config.Zone, config.OtherZones, config.Seed, config.Now)
	g.table = endpoints.New(endpoints.Config{
		Self: config.Name, Zone: config.Zone, Limits: config.Endpoints,
		Dial: config.DialEndpoint, Now: config.Now, OnSlotFreed: func(pool string) { g.queue.PlaceWaiting(pool) },
	})
	placer := choose.New(g.table, config.Rights, g.peers)
	g.queue = queue.New(config.Queue, placer, g.peers, config.Now)
	g.recorder = account.New(config.RefusalSink, config.Registry, config.Now)
	clients := config.PeerClients
	forwarder := peerclient.NewForwarder(clients, g.peers, g.queue.PlaceWaiting, config.Now)
	filters := []pipe.Filter{
		authenticate.New(config.Store, config.ViewNow),
		route.New(config.Store, config.ViewNow),
		admit.New(config.Admit, config.Store, config.Rights, g.refusing.Load, config.Now),
	}
	if config.Submitter != nil {
		filters = append(filters, submit.New(config.Submitter))
	}
	filters = append(filters, dispatch.New(g.queue, placer.AttemptEnded, g.table, forwarder, config.Now))
	chain := pipe.NewChain(g.recorder, filters...)
	g.server = server.New(server.Config{
		Incarnation: config.Incarnation, Limits: config.Server, Chain: chain, Recorder: g.recorder,
		FreeCapacity: g.freeCapacity, Draining: g.draining.Load, Now: config.Now,
	})
	g.exchange = g.newExchange(clients)
	g.registerGauges()
	config.Store.OnChange(g.applySnapshot)
	return g
}

// newExchange returns the load exchange with the other gateways.
func (g *Gateway) newExchange(clients *peerclient.ClientPool) *exchange.Exchange {
	return exchange.New(exchange.Config{
		Self: g.config.Name, Zone: g.config.Zone, Incarnation: g.holderIncarnation,
		Peers: g.peers, Load: g.currentLoad, Client: clients.ExchangeClient,
		Lease: g.config.Lease, PendingRefusals: g.config.PendingRefusals,
		OnReport: g.applyPeerLoad, OnMembers: g.setMembers, Now: g.config.Now, ViewNow: g.config.ViewNow,
	})
}

// holderIncarnation returns the current incarnation of the holder of rights.
func (g *Gateway) holderIncarnation() string {
	if g.config.HolderIncarnation == nil {
		return g.config.Incarnation
	}
	return g.config.HolderIncarnation()
}

// freeCapacity returns the free slots of the pool and the free rights of the team.
func (g *Gateway) freeCapacity(pool, team string) (slots, rights uint64) {
	return uint64(g.table.SlotCounts(pool).Free), g.config.Rights.Free(team)
}

// applySnapshot updates the gateways and endpoints from a new view.
func (g *Gateway) applySnapshot(snapshot *fleet.Snapshot) {
	g.peers.ApplySnapshot(snapshot)
	g.table.ApplySnapshot(snapshot)
}

// setMembers sets the gateways that own slots of the zone.
func (g *Gateway) setMembers(members []string) {
	g.table.SetMembers(members)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(members) != g.memberCount {
		g.memberCount = len(members)
		close(g.memberCountChanged)
		g.memberCountChanged = make(chan struct{})
	}
}

// AwaitMembers waits until count gateways own slots of the zone, or ctx ends.
func (g *Gateway) AwaitMembers(ctx context.Context, count int) {
	for ctx.Err() == nil {
		g.mu.Lock()
		members, changed := g.memberCount, g.memberCountChanged
		g.mu.Unlock()
		if members == count {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// Run runs the load exchange, the queue and the detection of callers that disconnect, until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.exchange.Run(ctx) })
	group.Go(func() error { return g.queue.Run(ctx) })
	group.Go(func() error { return g.server.Watch(ctx) })
	return group.Wait()
}

// Serve serves callers on the listener until Shutdown.
func (g *Gateway) Serve(listener net.Listener) error { return g.server.Serve(listener) }

// Drain prepares a shutdown. The gateway closes each connection after its next response, and gives up its
// slots, so that waiting requests are forwarded to peers with free slots.
func (g *Gateway) Drain() {
	g.draining.Store(true)
	g.peers.SetDraining()
}

// Draining reports whether Drain was called.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// Shutdown stops accepting connections and waits until no request is in progress or ctx ends. Afterwards the
// gateway refuses all requests.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.Drain()
	err := g.server.Shutdown(ctx)
	g.refusing.Store(true)
	return err
}

// WaitingByTeam returns the number of waiting requests by team. Teams without waiting requests are left out.
func (g *Gateway) WaitingByTeam() map[string]uint64 {
	waiting := map[string]uint64{}
	for _, load := range g.queue.Loads() {
		if load.Waiting > 0 {
			waiting[load.Team] += load.Waiting
		}
	}
	return waiting
}

// Demand returns for each pool the number of slots that its running and waiting requests need.
func (g *Gateway) Demand() []*v1.PoolDemand {
	slots := map[string]uint64{}
	for _, load := range g.queue.Loads() {
		slots[load.Pool] += load.Running + load.Waiting
	}
	demand := make([]*v1.PoolDemand, 0, len(slots))
	for pool, count := range slots {
		if count > 0 {
			demand = append(demand, &v1.PoolDemand{Pool: pool, Slots: count})
		}
	}
	return demand
}

// Waiting returns the number of waiting requests.
func (g *Gateway) Waiting() int { return g.queue.Waiting() }

// exchangeService is an alias under which peerService can embed the exchange: under its own name, the
// embedded field would hide the promoted method Exchange.
type exchangeService = exchange.Exchange

// peerService implements the RPC service for other gateways.
type peerService struct {
	*exchangeService
	*server.Server
}

// forwardOverhead is the permitted size of the headers and framing of a forwarded request or response, in
// bytes.
const forwardOverhead = 64 << 10

// PeerHandler returns the path and the HTTP handler of the RPC service for other gateways.
func (g *Gateway) PeerHandler() (string, http.Handler) {
	limit := max(g.config.Server.BodyBytes, g.config.Endpoints.ResponseBytes) + forwardOverhead
	return turmericyokev1connect.NewPeerServiceHandler(peerService{g.exchange, g.server},
		connect.WithReadMaxBytes(limit), connect.WithCompressMinBytes(peerclient.MinCompressBytes))
}

// currentLoad returns the load report for other gateways. Pools and teams without any load, slots or rights
// are left out.
func (g *Gateway) currentLoad() *v1.GatewayLoad {
	snapshot := g.config.Store.Current()
	load := &v1.GatewayLoad{
		Offset: snapshot.View.Offset, Leaving: g.table.Leaving(),
		RefusedTotal: g.recorder.RefusedTotal(), Draining: g.draining.Load(),
	}
	if !snapshot.FreshAt.IsZero() {
		load.FreshnessKnown = true
		load.FreshnessMs = uint64(max(g.config.ViewNow().Sub(snapshot.FreshAt).Milliseconds()+1, 0))
	}
	loads := g.queue.Loads()
	g.peers.SetLocalRunning(loads)
	for _, teamLoad := range loads {
		load.Teams = append(load.Teams, &v1.TeamLoad{Pool: teamLoad.Pool, Team: teamLoad.Team, Running: teamLoad.Running, Queued: teamLoad.Waiting})
	}
	g.table.EachPool(func(pool string, slots endpoints.SlotCounts) {
		if slots.Owned > 0 {
			load.Pools = append(load.Pools, &v1.PoolLoad{Pool: pool, FreeSlots: uint64(slots.Free), OwnedSlots: uint64(slots.Owned)})
		}
	})
	for _, team := range snapshot.View.Teams {
		if free := g.config.Rights.Free(team.Name); free > 0 {
			load.Rights = append(load.Rights, &v1.RightsLoad{Team: team.Name, Free: free})
		}
	}
	return load
}

// maxReportedAge is the largest age of a view that is taken from a peer. Above it, a sum with the age might overflow.
const maxReportedAge = 365 * 24 * time.Hour

// applyPeerLoad applies the load report of another gateway: its leaving endpoints, and the time at which its
// view was known to be current, if this gateway has a view at the same offset. sentAt is when the call that
// returned the report was sent. It is zero if the peer made the call; the age of the view isn't used then.
func (g *Gateway) applyPeerLoad(load *v1.GatewayLoad, sentAt time.Time) {
	for _, endpoint := range load.GetLeaving() {
		g.table.MarkLeaving(endpoint.GetEndpoint(), endpoint.GetHostEpoch())
	}
	if load.GetFreshnessKnown() && !sentAt.IsZero() && load.GetFreshnessMs() <= uint64(maxReportedAge.Milliseconds()) {
		age := time.Duration(load.GetFreshnessMs()) * time.Millisecond
		g.config.Store.Refresh(load.GetOffset(), sentAt.Add(-age))
	}
}
