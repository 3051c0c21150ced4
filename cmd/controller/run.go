package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/auth"
	"turmericyoke/internal/boottime"
	"turmericyoke/internal/controller/demand"
	"turmericyoke/internal/controller/gauges"
	"turmericyoke/internal/controller/member"
	"turmericyoke/internal/controller/ops"
	"turmericyoke/internal/controller/serve"
	"turmericyoke/internal/follower"
	"turmericyoke/internal/proposer"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/telemetry"
	"turmericyoke/internal/transport"
)

// shutdownTimeout bounds how long a server waits for calls in progress when it shuts down. Long polls are
// cancelled at once. It also bounds the time to read request headers on the operators' address.
const shutdownTimeout = 5 * time.Second

// process holds the components and servers of one running controller.
type process struct {
	config       *config
	logger       *logrus.Entry
	rpcTransport *transport.Transport
	registry     *prometheus.Registry
	components   components
	membership   *member.Membership
	// servers holds the API server first, then the server for operators.
	servers []httpServer
	// draining is set once the process has begun to shut down.
	draining atomic.Bool
}

// run runs a controller until ctx ends or one of its components fails.
func run(ctx context.Context, config *config, logs io.Writer) error {
	p, err := newProcess(config, logs)
	if err != nil {
		return err
	}
	p.logger.WithFields(logrus.Fields{"event": "started", "version": version, "incarnation": p.components.incarnation, "listen": config.Listen}).Info("controller started")
	err = p.listen()
	if err == nil {
		err = p.serve(ctx)
	}
	if err == nil || (ctx.Err() != nil && errors.Is(err, context.Canceled)) {
		p.logger.WithField("event", "stopped").Info("controller stopped")
		return nil
	}
	p.logger.WithField("event", "failed").WithError(err).Error("controller failed")
	return err
}

// newProcess creates the components of a controller. None of them runs before serve.
func newProcess(config *config, logs io.Writer) (*process, error) {
	rpcTransport, err := transport.New(config.TLS)
	if err != nil {
		return nil, err
	}
	logger := telemetry.NewLogger(logs, "controller", config.Zone).WithField("name", config.Name)
	if err := setLogLevel(logger, config.LogLevel); err != nil {
		return nil, err
	}
	rpcTransport.LogReloads(logger)
	httpClient := rpcTransport.Client()
	platform := platformClients{
		log:     turmericyokev1connect.NewLogServiceClient(httpClient, rpcTransport.URL(config.Log)),
		hosts:   turmericyokev1connect.NewHostServiceClient(httpClient, rpcTransport.URL(config.Hosts)),
		workers: turmericyokev1connect.NewWorkerServiceClient(httpClient, rpcTransport.URL(config.Workers)),
	}
	incarnation := structs.NewIncarnation(time.Now(), "")
	stateFollower := follower.New(follower.Config{
		Name: config.Name, Incarnation: incarnation, Zone: config.Zone,
		Log: platform.log, Peers: followerPeers(config, rpcTransport, httpClient), Logger: logger,
		BootClock: boottime.Now,
	})
	recordProposer := proposer.New(config.Name, incarnation, platform.log, stateFollower)
	registry := telemetry.NewRegistry()
	demandTable := demand.New(demandPeers(config, rpcTransport, httpClient), time.Now)
	return &process{
		config: config, logger: logger, rpcTransport: rpcTransport, registry: registry,
		components: components{
			name: config.Name, incarnation: incarnation, follower: stateFollower, proposer: recordProposer,
			platform: platform, demand: demandTable, logger: logger,
			gauges: gauges.New(registry, stateFollower, demandTable, time.Now),
		},
		membership: &member.Membership{
			Name: config.Name, Incarnation: incarnation, Zone: config.Zone, Address: config.Address(),
			Proposer: recordProposer, State: stateFollower, Logger: logger,
		},
	}, nil
}

// setLogLevel applies the log level of the settings; an empty level keeps the logger's default.
func setLogLevel(logger *logrus.Entry, level string) error {
	if level == "" {
		return nil
	}
	logLevel, err := logrus.ParseLevel(level)
	if err != nil {
		return err
	}
	logger.Logger.SetLevel(logLevel)
	return nil
}

// followerPeers returns the clients through which the follower reads from the other controllers.
func followerPeers(config *config, rpcTransport *transport.Transport, httpClient *http.Client) []follower.Peer {
	var peers []follower.Peer
	for _, peer := range config.Controllers {
		peers = append(peers, follower.Peer{
			Name: peer.Name, Zone: peer.Zone,
			Client: turmericyokev1connect.NewControllerServiceClient(httpClient, rpcTransport.URL(peer.Address)),
		})
	}
	return peers
}

// demandPeers returns the clients through which the demand table reads the other controllers' demand.
func demandPeers(config *config, rpcTransport *transport.Transport, httpClient *http.Client) map[string]demand.Peer {
	peers := make(map[string]demand.Peer, len(config.Controllers))
	for _, peer := range config.Controllers {
		peers[peer.Name] = turmericyokev1connect.NewControllerServiceClient(httpClient, rpcTransport.URL(peer.Address))
	}
	return peers
}

// serve runs all components until ctx ends or one of them fails. On shutdown, the control loops end first,
// then the controller leaves the fleet, then the servers close, and the follower and the proposer end last.
func (p *process) serve(ctx context.Context) error {
	baseCtx, stopBase := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBase()
	group, groupCtx := errgroup.WithContext(baseCtx)
	group.Go(func() error { return p.components.follower.Run(baseCtx) })
	group.Go(func() error { return p.components.proposer.Run(baseCtx) })
	group.Go(func() error { return p.components.gauges.Run(baseCtx) })
	for _, server := range p.servers {
		group.Go(server.run)
	}
	group.Go(func() error {
		defer stopBase()
		loopsCtx, stopLoops := context.WithCancel(ctx)
		defer stopLoops()
		// A component that fails stops the control loops as well.
		unregister := context.AfterFunc(groupCtx, stopLoops)
		defer unregister()
		err := p.joinAndRunLoops(loopsCtx)
		p.draining.Store(true)
		p.membership.Leave()
		for _, server := range p.servers {
			server.stop()
		}
		return err
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return nil
	}
	return err
}

// joinAndRunLoops joins the fleet and then runs the control loops, until ctx ends or a loop fails.
func (p *process) joinAndRunLoops(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.membership.Run(ctx) })
	for _, loop := range controlLoops(p.components) {
		group.Go(func() error {
			if err := p.awaitJoin(ctx); err != nil {
				return err
			}
			p.logger.WithField("event", "loop_started").WithField("loop", loop.name).Info("control loop started")
			return loop.run(ctx)
		})
	}
	return group.Wait()
}

// joinPollInterval is how often a control loop checks whether the controller has joined the fleet.
const joinPollInterval = 250 * time.Millisecond

// awaitJoin waits until the controller has joined the fleet or ctx ends.
func (p *process) awaitJoin(ctx context.Context) error {
	ticker := time.NewTicker(joinPollInterval)
	defer ticker.Stop()
	for !p.membership.Joined() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// httpServer is an HTTP server with its open listener.
type httpServer struct {
	server   *http.Server
	listener net.Listener
}

// run serves until stop is called.
func (s httpServer) run() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop shuts the server down. Calls still in progress after shutdownTimeout are cut off.
func (s httpServer) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
}

// listen opens the listeners of the API, which gateways, controllers and operators' tools call, and of the
// operators' address with health and metrics.
func (p *process) listen() error {
	apiListener, err := p.rpcTransport.Listen(p.config.Listen)
	if err != nil {
		return err
	}
	opsListener, err := net.Listen("tcp", p.config.OperatorsListen)
	if err != nil {
		return errors.Join(err, apiListener.Close())
	}
	apiServer := p.rpcTransport.Server(p.apiHandler())
	// Long polls are cancelled when the shutdown begins, so that it needn't wait for them.
	pollCtx, cancelPolls := context.WithCancel(context.Background())
	apiServer.BaseContext = func(net.Listener) context.Context { return pollCtx }
	apiServer.RegisterOnShutdown(cancelPolls)
	p.servers = []httpServer{
		{server: apiServer, listener: apiListener},
		{server: &http.Server{Handler: p.opsHandler(), ReadHeaderTimeout: shutdownTimeout}, listener: opsListener},
	}
	return nil
}

// apiHandler returns the handler of the ControllerService, with authentication of operators.
func (p *process) apiHandler() http.Handler {
	stateFollower := p.components.follower
	service := serve.New(serve.Config{
		Follower: stateFollower, Proposer: p.components.proposer, Joined: p.membership.Joined,
		Metrics: serve.NewMetrics(p.registry, stateFollower), Demand: p.components.demand,
	})
	mux := http.NewServeMux()
	mux.Handle(turmericyokev1connect.NewControllerServiceHandler(service,
		connect.WithInterceptors(auth.NewInterceptor(p.config.Operators)),
		connect.WithReadMaxBytes(transport.MaxMessageBytes)))
	return mux
}

// opsHandler returns the handler of the operators' address: health, metrics and profiles.
func (p *process) opsHandler() http.Handler {
	return ops.Handler(ops.Config{
		Registry: p.registry, Status: p.components.follower.Status, Stopped: p.components.follower.Stopped,
		Draining: p.draining.Load, Joined: p.membership.Joined,
	})
}
