package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/gateway"
	"turmericyoke/internal/gateway/account"
	"turmericyoke/internal/gateway/admit"
	"turmericyoke/internal/gateway/endpoints"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/gateway/operator"
	"turmericyoke/internal/gateway/peerclient"
	"turmericyoke/internal/gateway/queue"
	"turmericyoke/internal/gateway/server"
	"turmericyoke/internal/gateway/viewclient"
	"turmericyoke/internal/settings"
	"turmericyoke/internal/telemetry"
)

// process is one running gateway with its servers.
type process struct {
	config   *settings.Gateway
	log      *logrus.Entry
	store    *fleet.Store
	holder   holder
	registry *prometheus.Registry
	client   *http.Client
	gateway  *gateway.Gateway
	operator *operator.Handler

	callers        net.Listener
	peers          net.Listener
	operators      net.Listener
	peerServer     *http.Server
	operatorServer *http.Server
}

// run serves until ctx ends, and then shuts down without cutting requests.
func run(ctx context.Context, config *settings.Gateway, out io.Writer) error {
	p := newProcess(config, out)
	if err := p.listen(); err != nil {
		return err
	}
	return p.run(ctx)
}

func (p *process) run(ctx context.Context) error {
	p.log.WithField("listen", p.config.Listen).Info("gateway started")
	// The parts run until the shutdown is over, and not only until the signal.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	p.start(running, group)
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-running.Done():
		}
		defer stop()
		return p.shutdown(context.WithoutCancel(ctx))
	})
	err := group.Wait()
	p.log.Info("gateway stopped")
	return err
}

func newProcess(config *settings.Gateway, out io.Writer) *process {
	p := &process{
		config: config, log: telemetry.NewLogger(out, config.Name, config.Zone),
		store: fleet.NewStore(), holder: newHolder(), registry: telemetry.NewRegistry(),
		client: peerclient.NewHTTPClient(),
	}
	incarnation, seed := identity(config.Name)
	p.gateway = gateway.New(gateway.Config{
		Name: config.Name, Incarnation: incarnation, Zone: config.Zone, Region: otherZones(config), Seed: seed,
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
			HeaderBytes:    config.Limits.HeaderBytes, AnswerBytes: config.Limits.AnswerBytes,
		},
		Store: p.store, Rights: p.holder, Sink: &account.CountingSink{}, Lease: p.holder, Pending: p.holder,
		Registry: p.registry, HTTP: p.client, Dial: dial, Now: time.Now,
	})
	p.operator = operator.New(p.registry, p.ready)
	return p
}

// identity returns a new incarnation and a seed.
func identity(name string) (incarnation string, seed uint64) {
	var raw [8]byte
	// crypto/rand.Read never fails; it ends the process instead.
	_, _ = rand.Read(raw[:])
	return name + "-" + hex.EncodeToString(raw[:]), binary.BigEndian.Uint64(raw[:])
}

func otherZones(config *settings.Gateway) []string {
	var zones []string
	for _, zone := range config.Region {
		if zone != config.Zone {
			zones = append(zones, zone)
		}
	}
	return zones
}

func dial(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

// ready reports whether the load balancer may send callers here.
func (p *process) ready() bool {
	return p.store.Current().View.Offset > 0 && p.holder.LeaseHeld() && !p.gateway.Draining()
}

func (p *process) listen() error {
	var errs [3]error
	p.callers, errs[0] = net.Listen("tcp", p.config.Listen)
	p.peers, errs[1] = net.Listen("tcp", p.config.PeerListen)
	p.operators, errs[2] = net.Listen("tcp", p.config.OperatorListen)
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(p.gateway.PeerHandler())
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	p.peerServer = &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: headerTimeout}
	p.operatorServer = &http.Server{Handler: p.operator, ReadHeaderTimeout: headerTimeout}
	return nil
}

// headerTimeout bounds the time to receive a header from other processes and operators.
const headerTimeout = 5 * time.Second

func (p *process) start(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return p.gateway.Run(ctx) })
	group.Go(func() error { return p.holder.Run(ctx) })
	group.Go(func() error { return p.gateway.Serve(p.callers) })
	group.Go(func() error { return ignoreClosed(p.peerServer.Serve(p.peers)) })
	group.Go(func() error { return ignoreClosed(p.operatorServer.Serve(p.operators)) })
	follower := viewclient.New(p.config.Name, p.sources(), p.store, p.log, time.Now)
	group.Go(func() error { return follower.Run(ctx) })
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (p *process) sources() []viewclient.Source {
	sources := make([]viewclient.Source, 0, len(p.config.Controllers))
	for _, address := range p.config.Controllers {
		client := turmericyokev1connect.NewControllerServiceClient(p.client, "http://"+address)
		sources = append(sources, viewclient.Source{Name: address, Client: client})
	}
	return sources
}

// shutdown leaves in order: not ready, requests in progress end or are handed over, rights are
// returned, the zone is left, and only then the other parts stop.
func (p *process) shutdown(ctx context.Context) error {
	p.log.Info("gateway leaves")
	p.gateway.Drain()
	wait(ctx, p.config.Timeouts.Drain.Duration())
	ctx, cancel := context.WithTimeout(ctx, p.config.Timeouts.Shutdown.Duration())
	defer cancel()
	return errors.Join(
		p.gateway.Shutdown(ctx),
		p.peerServer.Shutdown(ctx),
		p.holder.Leave(ctx),
		p.operatorServer.Shutdown(ctx),
	)
}

func wait(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
