// Package gateway joins the filters, the endpoint table and the exchange to one gateway.
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

// Config is what a gateway needs.
type Config struct {
	// Name, Incarnation and Zone identify the gateway, and Region lists the other zones of its region.
	Name, Incarnation, Zone string
	Region                  []string
	// Holder returns the incarnation of the holder of rights; nil means Incarnation.
	Holder func() string
	// Seed starts the random choice of peers.
	Seed uint64

	Server    server.Limits
	Admit     admit.Limits
	Queue     queue.Limits
	Endpoints endpoints.Limits

	Store    *fleet.Store
	Rights   rights.Source
	Sink     account.Sink
	Lease    exchange.Lease
	Pending  exchange.Pending
	Registry prometheus.Registerer
	// Clients call the other gateways.
	Clients *peerclient.ClientPool
	// Submitter accepts jobs; nil passes their requests on to endpoints.
	Submitter submit.Submitter
	Dial      endpoints.DialFunc
	Now       func() time.Time
}

// Gateway is one gateway.
type Gateway struct {
	config   Config
	table    *endpoints.Table
	peers    *exchange.Peers
	queue    *queue.Queue
	account  *account.Filter
	server   *server.Server
	exchange *exchange.Exchange
	// members counts the gateways that own slots, and changed is closed when that number changes.
	mu      sync.Mutex
	members int
	changed chan struct{}
	// draining is set once the gateway leaves; closing once it takes no new requests.
	draining, closing atomic.Bool
}

// New returns a gateway that doesn't run yet.
func New(config Config) *Gateway {
	g := &Gateway{config: config, members: 1, changed: make(chan struct{})}
	g.peers = exchange.NewPeers(config.Name, config.Zone, config.Region, config.Seed, config.Now)
	g.table = endpoints.New(endpoints.Config{
		Self: config.Name, Zone: config.Zone, Limits: config.Endpoints,
		Dial: config.Dial, Now: config.Now, OnSlotFreed: func(pool string) { g.queue.PlaceWaiting(pool) },
	})
	chooser := choose.New(g.table, config.Rights, g.peers)
	g.queue = queue.New(config.Queue, chooser, g.peers, config.Now)
	g.account = account.New(config.Sink, config.Registry, config.Now)
	clients := config.Clients
	forwarder := peerclient.NewForwarder(clients, g.peers, g.queue.PlaceWaiting, config.Now)
	filters := []pipe.Filter{
		authenticate.New(config.Store, config.Now),
		route.New(config.Store),
		admit.New(config.Admit, config.Store, config.Rights, g.closing.Load, config.Now),
	}
	if config.Submitter != nil {
		filters = append(filters, submit.New(config.Submitter))
	}
	filters = append(filters, dispatch.New(g.queue, chooser.Ended, g.table, forwarder, config.Now))
	chain := pipe.NewChain(g.account, filters...)
	g.server = server.New(server.Config{
		Incarnation: config.Incarnation, Limits: config.Server, Chain: chain, Recorder: g.account,
		FreeCapacity: g.room, Draining: g.draining.Load, Now: config.Now,
	})
	g.exchange = g.newExchange(clients)
	g.registerGauges()
	config.Store.OnChange(g.adopt)
	return g
}

func (g *Gateway) newExchange(clients *peerclient.ClientPool) *exchange.Exchange {
	return exchange.New(exchange.Config{
		Self: g.config.Name, Zone: g.config.Zone, Incarnation: g.holder,
		Peers: g.peers, Load: g.load, Client: clients.ExchangeClient,
		Lease: g.config.Lease, Pending: g.config.Pending,
		OnReport: g.learn, OnMembers: g.setMembers, Now: g.config.Now,
	})
}

func (g *Gateway) holder() string {
	if g.config.Holder == nil {
		return g.config.Incarnation
	}
	return g.config.Holder()
}

func (g *Gateway) room(pool, team string) (slots, rights uint64) {
	return uint64(g.table.Room(pool).Free), g.config.Rights.Free(team)
}

func (g *Gateway) adopt(snapshot *fleet.Snapshot) {
	g.peers.ApplySnapshot(snapshot)
	g.table.ApplySnapshot(snapshot)
}

func (g *Gateway) setMembers(members []string) {
	g.table.SetMembers(members)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(members) != g.members {
		g.members = len(members)
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

// AwaitMembers waits until count gateways own the slots of the zone, or ctx ends.
func (g *Gateway) AwaitMembers(ctx context.Context, count int) {
	for ctx.Err() == nil {
		g.mu.Lock()
		members, changed := g.members, g.changed
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

// Run runs the exchange, the queue and the watch of callers until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.exchange.Run(ctx) })
	group.Go(func() error { return g.queue.Run(ctx) })
	group.Go(func() error { return g.server.Watch(ctx) })
	return group.Wait()
}

// Serve accepts callers on listener until Shutdown.
func (g *Gateway) Serve(listener net.Listener) error { return g.server.Serve(listener) }

// Drain begins to leave: the gateway closes kept connections after their answers, and gives up its
// slots, so that requests that wait are handed over to peers with free slots.
func (g *Gateway) Drain() {
	g.draining.Store(true)
	g.peers.SetDraining()
}

// Draining reports whether the gateway leaves.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// Shutdown refuses new requests, stops accepting, and waits until no request is in progress or ctx ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.Drain()
	err := g.server.Shutdown(ctx)
	g.closing.Store(true)
	return err
}

// WaitingByTeam returns the queued requests of each team that has some.
func (g *Gateway) WaitingByTeam() map[string]uint64 {
	waiting := map[string]uint64{}
	for _, load := range g.queue.Loads() {
		if load.Waiting > 0 {
			waiting[load.Team] += load.Waiting
		}
	}
	return waiting
}

// Demand returns the slots that running and queued requests of each pool ask for.
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

// Waiting returns the number of queued requests.
func (g *Gateway) Waiting() int { return g.queue.Waiting() }

// exchangeService names the exchange apart from its method Exchange.
type exchangeService = exchange.Exchange

// peerService is the service for other gateways.
type peerService struct {
	*exchangeService
	*server.Server
}

// forwardEnvelope is the room for headers and framing of a forwarded request or answer, in bytes.
const forwardEnvelope = 64 << 10

// PeerHandler returns the HTTP handler of the service for other gateways.
func (g *Gateway) PeerHandler() (string, http.Handler) {
	limit := max(g.config.Server.BodyBytes, g.config.Endpoints.AnswerBytes) + forwardEnvelope
	return turmericyokev1connect.NewPeerServiceHandler(peerService{g.exchange, g.server},
		connect.WithReadMaxBytes(limit), connect.WithCompressMinBytes(peerclient.MinCompressBytes))
}

// load returns the report for other gateways. Only what isn't zero is told.
func (g *Gateway) load() *v1.GatewayLoad {
	snapshot := g.config.Store.Current()
	load := &v1.GatewayLoad{
		Offset: snapshot.View.Offset, Leaving: g.table.Leaving(),
		RefusedTotal: g.account.RefusedTotal(), Draining: g.draining.Load(),
	}
	if !snapshot.FreshAt.IsZero() {
		load.FreshnessKnown = true
		load.FreshnessMs = uint64(max(g.config.Now().Sub(snapshot.FreshAt).Milliseconds()+1, 0))
	}
	loads := g.queue.Loads()
	g.peers.SetLocalRunning(loads)
	for _, l := range loads {
		load.Teams = append(load.Teams, &v1.TeamLoad{Pool: l.Pool, Team: l.Team, Running: l.Running, Queued: l.Waiting})
	}
	g.table.EachPool(func(pool string, room endpoints.SlotCounts) {
		if room.Owned > 0 {
			load.Pools = append(load.Pools, &v1.PoolLoad{Pool: pool, FreeSlots: uint64(room.Free), OwnedSlots: uint64(room.Owned)})
		}
	})
	for _, team := range snapshot.View.Teams {
		if free := g.config.Rights.Free(team.Name); free > 0 {
			load.Rights = append(load.Rights, &v1.RightsLoad{Team: team.Name, Free: free})
		}
	}
	return load
}

// learn uses what another gateway knows: leaving endpoints, and how current a view at the same offset is.
func (g *Gateway) learn(load *v1.GatewayLoad, sentAt time.Time) {
	for _, mark := range load.GetLeaving() {
		g.table.MarkLeaving(mark.GetEndpoint(), mark.GetHostEpoch())
	}
	if load.GetFreshnessKnown() && !sentAt.IsZero() {
		age := time.Duration(min(load.GetFreshnessMs(), uint64(time.Hour.Milliseconds()))) * time.Millisecond
		g.config.Store.Refresh(load.GetOffset(), sentAt.Add(-age))
	}
}
