package main

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/boottime"
	"turmericyoke/internal/controller/schedule"
	"turmericyoke/internal/gateway"
	"turmericyoke/internal/gateway/admit"
	"turmericyoke/internal/gateway/endpoints"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/gateway/operator"
	"turmericyoke/internal/gateway/peerclient"
	"turmericyoke/internal/gateway/queue"
	"turmericyoke/internal/gateway/server"
	"turmericyoke/internal/gateway/viewclient"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/settings"
	"turmericyoke/internal/telemetry"
	"turmericyoke/internal/transport"
)

// process holds the components of a running gateway and its listeners and servers.
type process struct {
	config       *settings.Gateway
	log          *logrus.Entry
	store        *fleet.Store
	viewClock    *fleet.Clock
	holder       *holder
	registry     *prometheus.Registry
	rpcTransport *transport.Transport
	clients      processClients
	gateway      *gateway.Gateway
	operator     *operator.Handler

	callerListener   net.Listener
	peerListener     net.Listener
	operatorListener net.Listener
	peerServer       *http.Server
	operatorServer   *http.Server
}

// run serves until ctx ends, and then shuts down without interrupting requests.
func run(ctx context.Context, config *settings.Gateway, out io.Writer) error {
	p, err := newProcess(config, out)
	if err != nil {
		return err
	}
	if err := p.listen(); err != nil {
		return err
	}
	return p.run(ctx)
}

// run starts the components, shuts down in order once ctx ends or a component fails, and returns when all
// components have stopped.
func (p *process) run(ctx context.Context) error {
	p.log.WithField("event", "started").WithField("listen", p.config.Listen).Info("gateway started")
	// The components run until the shutdown is complete, and not just until the signal that cancels ctx.
	componentCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, componentCtx := errgroup.WithContext(componentCtx)
	p.startComponents(componentCtx, group)
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-componentCtx.Done():
		}
		defer stop()
		return p.shutdown(context.WithoutCancel(ctx))
	})
	err := group.Wait()
	p.log.WithField("event", "stopped").Info("gateway stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func newProcess(config *settings.Gateway, out io.Writer) (*process, error) {
	rpcTransport, err := transport.New(config.TLS)
	if err != nil {
		return nil, err
	}
	p := &process{
		config: config, log: telemetry.NewLogger(out, config.Name, config.Zone),
		store: fleet.NewStore(), viewClock: fleet.NewClock(time.Now, boottime.Now), registry: telemetry.NewRegistry(), rpcTransport: rpcTransport,
	}
	rpcTransport.LogReloads(p.log)
	peers := peerclient.NewClientPool(rpcTransport.PeerClient(), rpcTransport.URL)
	p.clients = newClients(config, rpcTransport, peers)
	waitingByTeam := func() map[string]uint64 { return p.gateway.WaitingByTeam() }
	p.holder = newHolder(config, p.clients, p.store, p.viewClock, waitingByTeam, p.log)
	p.gateway = gateway.New(gateway.Config{
		Name: config.Name, Incarnation: p.holder.Incarnation(), HolderIncarnation: p.holder.Incarnation,
		Zone: config.Zone, OtherZones: otherZones(config), Seed: rand.Uint64(),
		Server: server.Limits{
			HeaderBytes: config.Limits.HeaderBytes, BodyBytes: config.Limits.BodyBytes,
			BufferedBytes: config.Limits.BufferedBytes, Connections: config.Limits.Connections,
			ReadTimeout: config.Timeouts.Read.Duration(), WriteTimeout: config.Timeouts.Write.Duration(),
			IdleTimeout: config.Timeouts.Idle.Duration(),
		},
		Admit: admit.Limits{BodyBytes: config.Limits.BodyBytes, QueueWait: config.Timeouts.QueueWait.Duration()},
		Queue: queue.Limits{Waiting: config.Limits.QueueWaiting, Bytes: config.Limits.QueueBytes},
		Endpoints: endpoints.Limits{
			ConnectTimeout: config.Timeouts.Connect.Duration(),
			HeaderBytes:    config.Limits.HeaderBytes, ResponseBytes: config.Limits.AnswerBytes,
		},
		Store: p.store, Rights: p.holder, RefusalSink: p.holder, Lease: p.holder, PendingRefusals: p.holder,
		Registry: p.registry, PeerClients: peers, Submitter: p.submitter(), DialEndpoint: dialEndpoint, Now: time.Now,
		ViewNow: p.viewClock.Now,
	})
	p.operator = operator.New(p.registry, p.ready)
	return p, nil
}

func (p *process) submitter() *schedule.Submitter {
	clients := jobClient{&p.clients}
	return &schedule.Submitter{Proposer: clients, Lookup: clients}
}

// newClients returns the clients for calls to other processes.
func newClients(config *settings.Gateway, rpcTransport *transport.Transport, peers *peerclient.ClientPool) processClients {
	client := rpcTransport.Client()
	clients := processClients{
		peerClient: peers.ExchangeClient,
		log:        turmericyokev1connect.NewLogServiceClient(client, rpcTransport.URL(config.Log)),
	}
	for _, address := range config.Controllers {
		clients.controllers = append(clients.controllers, turmericyokev1connect.NewControllerServiceClient(client, rpcTransport.URL(address)))
	}
	return clients
}

// otherZones returns the region's zones without the gateway's own.
func otherZones(config *settings.Gateway) []string {
	var zones []string
	for _, zone := range config.Region {
		if zone != config.Zone {
			zones = append(zones, zone)
		}
	}
	return zones
}

func dialEndpoint(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

// ready reports whether the load balancer may send callers to this gateway.
func (p *process) ready() bool {
	return p.store.Current().View.Offset > 0 && p.holder.LeaseHeld() && !p.gateway.Draining() && p.holder.warmedUp()
}

// listen opens all listeners, so that an address in use fails the start.
func (p *process) listen() error {
	var errs [3]error
	p.callerListener, errs[0] = p.rpcTransport.ListenPublic(p.config.Listen)
	p.peerListener, errs[1] = p.rpcTransport.Listen(p.config.PeerListen)
	p.operatorListener, errs[2] = net.Listen("tcp", p.config.OperatorListen)
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(p.gateway.PeerHandler())
	p.peerServer = p.rpcTransport.Server(mux)
	p.operatorServer = &http.Server{Handler: p.operator, ReadHeaderTimeout: headerTimeout}
	return nil
}

// headerTimeout bounds the time to receive the header of an operator's request.
const headerTimeout = 5 * time.Second

// startComponents adds the gateway's loops and servers to the group.
func (p *process) startComponents(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return p.gateway.Run(ctx) })
	group.Go(func() error { return p.holder.Run(ctx) })
	group.Go(func() error { return p.gateway.Serve(p.callerListener) })
	group.Go(func() error { return ignoreClosed(p.peerServer.Serve(p.peerListener)) })
	group.Go(func() error { return ignoreClosed(p.operatorServer.Serve(p.operatorListener)) })
	viewClient := viewclient.New(p.config.Name, p.viewSources(), p.store, p.log, p.viewClock.Now)
	group.Go(func() error { return viewClient.Run(ctx) })
}

// ignoreClosed returns nil for the error of a server that was shut down in order.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// viewSources returns the controllers as sources of the view, in the order of the settings.
func (p *process) viewSources() []viewclient.Source {
	sources := make([]viewclient.Source, 0, len(p.config.Controllers))
	for i, address := range p.config.Controllers {
		sources = append(sources, viewclient.Source{Name: address, Client: p.clients.controllers[i]})
	}
	return sources
}

// shutdown stops the gateway in order. It reports that it isn't ready and waits for the load balancer to
// notice, ends or hands over requests in progress, returns rights and leaves the zone. The other
// components stop after that.
func (p *process) shutdown(ctx context.Context) error {
	p.log.WithField("event", "leaving").Info("gateway leaves")
	p.gateway.Drain()
	_ = periodic.Pause(ctx, p.config.Timeouts.Drain.Duration())
	ctx, cancel := context.WithTimeout(ctx, p.config.Timeouts.Shutdown.Duration())
	defer cancel()
	err := errors.Join(p.gateway.Shutdown(ctx), p.peerServer.Shutdown(ctx))
	p.leaveZone(ctx)
	return errors.Join(err, p.operatorServer.Shutdown(ctx))
}

// leaveTimeout bounds the wait for the log when the gateway leaves. If the log is down, the gateway's
// rights stay allotted until the other gateways reclaim them.
const leaveTimeout = 5 * time.Second

func (p *process) leaveZone(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := p.holder.Leave(ctx); err != nil {
		p.log.WithError(err).WithField("event", "leave_failed").Warn("the holder's rights stay allotted until they are reclaimed")
	}
}
