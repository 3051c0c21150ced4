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

// shutdownTimeout bounds the wait for calls in progress; long polls end at once.
const shutdownTimeout = 5 * time.Second

// process is one running controller.
type process struct {
	config     *config
	logger     *logrus.Entry
	link       *transport.Transport
	registry   *prometheus.Registry
	components components
	membership *member.Membership
	// servers are the open listeners with their servers.
	servers  []httpServer
	draining atomic.Bool
}

// run serves until ctx ends or a part fails.
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

func newProcess(config *config, logs io.Writer) (*process, error) {
	link, err := transport.New(config.TLS)
	if err != nil {
		return nil, err
	}
	logger := telemetry.NewLogger(logs, "controller", config.Zone).WithField("name", config.Name)
	if err := setLogLevel(logger, config.LogLevel); err != nil {
		return nil, err
	}
	client := link.Client()
	clients := platformClients{
		log:     turmericyokev1connect.NewLogServiceClient(client, link.URL(config.Log)),
		hosts:   turmericyokev1connect.NewHostServiceClient(client, link.URL(config.Hosts)),
		workers: turmericyokev1connect.NewWorkerServiceClient(client, link.URL(config.Workers)),
	}
	incarnation := structs.NewIncarnation(time.Now(), "")
	reader := follower.New(follower.Config{
		Name: config.Name, Incarnation: incarnation, Zone: config.Zone,
		Log: clients.log, Peers: followerPeers(config, link, client), Logger: logger,
	})
	writer := proposer.New(config.Name, incarnation, clients.log, reader)
	registry := telemetry.NewRegistry()
	asked := demand.New(demandPeers(config, link, client), time.Now)
	return &process{
		config: config, logger: logger, link: link, registry: registry,
		components: components{
			name: config.Name, incarnation: incarnation, follower: reader, proposer: writer,
			platform: clients, demand: asked, logger: logger,
			gauges: gauges.New(registry, reader, asked, time.Now),
		},
		membership: &member.Membership{
			Name: config.Name, Incarnation: incarnation, Zone: config.Zone, Address: config.Address(),
			Proposer: writer, State: reader, Logger: logger,
		},
	}, nil
}

func setLogLevel(logger *logrus.Entry, level string) error {
	if level == "" {
		return nil
	}
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return err
	}
	logger.Logger.SetLevel(parsed)
	return nil
}

func followerPeers(config *config, link *transport.Transport, client *http.Client) []follower.Peer {
	var list []follower.Peer
	for _, peer := range config.Controllers {
		list = append(list, follower.Peer{
			Name: peer.Name, Zone: peer.Zone,
			Client: turmericyokev1connect.NewControllerServiceClient(client, link.URL(peer.Address)),
		})
	}
	return list
}

func demandPeers(config *config, link *transport.Transport, client *http.Client) map[string]demand.Peer {
	peers := make(map[string]demand.Peer, len(config.Controllers))
	for _, peer := range config.Controllers {
		peers[peer.Name] = turmericyokev1connect.NewControllerServiceClient(client, link.URL(peer.Address))
	}
	return peers
}

// serve runs all parts. On shutdown, the control loops end first, then the controller leaves the
// fleet, then the services close, and the reader and the proposer end last.
func (p *process) serve(ctx context.Context) error {
	base, stopBase := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBase()
	group, failed := errgroup.WithContext(base)
	group.Go(func() error { return p.components.follower.Run(base) })
	group.Go(func() error { return p.components.proposer.Run(base) })
	group.Go(func() error { return p.components.gauges.Run(base) })
	for _, service := range p.servers {
		group.Go(service.run)
	}
	group.Go(func() error {
		defer stopBase()
		work, stopWork := context.WithCancel(ctx)
		defer stopWork()
		stopAfter := context.AfterFunc(failed, stopWork)
		defer stopAfter()
		err := p.joinAndRunLoops(work)
		p.draining.Store(true)
		p.membership.Leave()
		for _, service := range p.servers {
			service.stop()
		}
		return err
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return nil
	}
	return err
}

// joinAndRunLoops joins and runs the control loops until ctx ends.
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

// joinPollInterval is how often a control loop asks whether the controller has joined.
const joinPollInterval = 250 * time.Millisecond

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

// httpServer is one HTTP server with its listener.
type httpServer struct {
	server   *http.Server
	listener net.Listener
}

func (s httpServer) run() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s httpServer) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
}

// listen opens the service for other processes and the one for operators.
func (p *process) listen() error {
	listener, err := p.link.Listen(p.config.Listen)
	if err != nil {
		return err
	}
	operators, err := net.Listen("tcp", p.config.OperatorsListen)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	main := p.link.Server(p.apiHandler())
	// Long polls end when the process drains, so that the shutdown needn't wait for them.
	polls, endPolls := context.WithCancel(context.Background())
	main.BaseContext = func(net.Listener) context.Context { return polls }
	main.RegisterOnShutdown(endPolls)
	p.servers = []httpServer{
		{server: main, listener: listener},
		{server: &http.Server{Handler: p.opsHandler(), ReadHeaderTimeout: shutdownTimeout}, listener: operators},
	}
	return nil
}

func (p *process) apiHandler() http.Handler {
	reader := p.components.follower
	api := serve.New(serve.Config{
		Follower: reader, Proposer: p.components.proposer, Joined: p.membership.Joined,
		Metrics: serve.NewMetrics(p.registry, reader), Demand: p.components.demand,
	})
	mux := http.NewServeMux()
	mux.Handle(turmericyokev1connect.NewControllerServiceHandler(api,
		connect.WithInterceptors(auth.NewInterceptor(p.config.Operators)),
		connect.WithReadMaxBytes(transport.MaxMessageBytes)))
	return mux
}

func (p *process) opsHandler() http.Handler {
	return ops.Handler(ops.Config{
		Registry: p.registry, Status: p.components.follower.Status, Stopped: p.components.follower.Stopped,
		Draining: p.draining.Load, Joined: p.membership.Joined,
	})
}
