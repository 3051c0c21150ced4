package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"turmericyoke/internal/boottime"
	"turmericyoke/internal/duty"
	"turmericyoke/internal/entry"
	"turmericyoke/internal/entry/peer"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/session"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/telemetry"
	"turmericyoke/platform"
)

const (
	// leaseShare of the longest lease that the platform allows is what workers get, so that the
	// platform's own rounding never shortens it.
	leaseShare = 0.95
	// hostOrderMargin is added to the platform's bound for holders that take turns at one host.
	hostOrderMargin = 1500 * time.Millisecond
	// stopShare of the grace time is used for open connections after SIGTERM.
	stopShare = 0.6
	// closeTime bounds the answers to requests that are under way when the listeners close. With
	// stopShare it stays within the shortest grace time of the platform, 6 s.
	closeTime = 1500 * time.Millisecond
	// resignTime bounds giving the duty away; a store that is down doesn't delay the rest of the stop.
	resignTime = 1300 * time.Millisecond
	// memoryShare of the host's memory is the runtime's soft limit.
	memoryShare = 0.6
	// garbagePercent trades memory for processor time: the heap is a few MB.
	garbagePercent = 400
	// maxBodyBytes and maxHeaderBytes bound requests of callers; larger ones are refused unread.
	maxBodyBytes   = 512 << 10
	maxHeaderBytes = 16 << 10
	// headerTimeout and idleTimeout end connections of callers that send nothing.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	// maxCallers bounds open connections of callers, far below the host's descriptors.
	maxCallers = 2500
)

// process is one running entry process.
type process struct {
	settings *platform.Settings
	logger   *logrus.Entry
	entry    *entry.Entry
	keeper   *duty.Elector
	draining atomic.Bool
}

// run serves until SIGTERM.
func run(_ context.Context, settings *platform.Settings, out io.Writer) error {
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Limits.MemoryMb) * (1 << 20)))
	logs := telemetry.NewAsyncWriter(out)
	defer logs.Close()
	logger := telemetry.NewLogger(logs, "entry", settings.Zone).WithField("name", settings.NodeName)
	registry := telemetry.NewRegistry()
	services := platform.NewServices(settings, logger)
	self := settings.GroupMember()
	incarnation := structs.NewIncarnation(time.Now(), "")

	p := &process{settings: settings, logger: logger}
	p.keeper = &duty.Elector{Self: self, Nonce: incarnation, Log: services.Log, Group: services.Group, Logger: logger, Clock: boottime.Now}
	p.entry = &entry.Entry{Self: self, Election: p.keeper, PeerClients: peer.NewClients(), ConfigSource: services.ConfigSource, DecodeConfig: platform.DecodeConfig, Logger: logger}
	config := session.Config{
		Log: services.Log, Workers: services.Workers, Hosts: services.Hosts, NewDirectory: services.Directory, Status: services.WaveStatus, Advice: services.Advice,
		Clock: boottime.Now, WallClock: time.Now, Logger: logger, Metrics: scheduler.NewMetrics(registry),
		Options: scheduler.Options{
			Lease:             time.Duration(leaseShare * float64(platform.Millis(settings.Bounds.HoldMaxMs))),
			EndedJobRetention: platform.Seconds(settings.Bounds.StatusS + 1),
			HostMoveTime:      platform.Seconds(settings.Bounds.MoveS),
			HostOrderDelay:    platform.Millis(settings.Bounds.LeaseMs) + hostOrderMargin,
		},
		ConfigureCore: p.entry.ConfigureCore, AttachCore: p.entry.AttachCore, DetachCore: p.entry.DetachCore,
	}
	p.keeper.RunTerm = func(ctx context.Context, term int64) { session.Run(ctx, config, term) }
	p.keeper.Eligible = func() bool { return !p.draining.Load() && p.entry.Config() != nil }
	logger.WithFields(logrus.Fields{"event": "started", "version": version, "incarnation": incarnation, "listen": settings.Listen.Front}).Info("entry started")
	err := p.serve(registry)
	logger.WithField("event", "stopped").WithError(err).Info("entry stopped")
	return err
}

// serve opens the listeners and runs all parts until SIGTERM and the end of the grace time.
func (p *process) serve(registry *prometheus.Registry) error {
	front := &fasthttp.Server{
		Handler: platform.NewCallerAPI(p.entry, p.draining.Load, p.logger, registry).Handle, NoDefaultServerHeader: true, NoDefaultDate: true,
		MaxRequestBodySize: maxBodyBytes, ReadBufferSize: maxHeaderBytes, ReadTimeout: headerTimeout, IdleTimeout: idleTimeout,
		Concurrency: maxCallers, DisablePreParseMultipartForm: true, Logger: discard{}, CloseOnShutdown: true,
	}
	ready := &fasthttp.Server{Handler: p.ready, NoDefaultServerHeader: true, Logger: discard{}, ReadTimeout: headerTimeout, IdleTimeout: idleTimeout}
	inner := &http.Server{Handler: peer.NewHandler(p.entry.PeerService()), ReadHeaderTimeout: headerTimeout}
	operators := &http.Server{Handler: operatorsHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})), ReadHeaderTimeout: headerTimeout}

	group, ctx := errgroup.WithContext(context.Background())
	for _, part := range []struct {
		address  string
		serve    func(net.Listener) error
		shutdown func(context.Context) error
	}{
		{p.settings.Listen.Front, front.Serve, front.ShutdownWithContext},
		{p.settings.Listen.Readiness, ready.Serve, ready.ShutdownWithContext},
		{p.settings.GroupMember().Address, inner.Serve, inner.Shutdown},
		{p.settings.MetricsAddress(), operators.Serve, operators.Shutdown},
	} {
		listener, err := net.Listen("tcp4", part.address)
		if err != nil {
			return err
		}
		group.Go(func() error { return part.serve(listener) })
		group.Go(func() error {
			<-ctx.Done()
			limit, cancel := context.WithTimeout(context.Background(), closeTime)
			defer cancel()
			return part.shutdown(limit)
		})
	}
	duties, resign := context.WithCancel(ctx)
	defer resign()
	group.Go(func() error { return p.entry.FollowConfig(ctx) })
	group.Go(func() error {
		if err := p.keeper.Run(duties); ctx.Err() == nil && !p.draining.Load() {
			return err
		}
		return nil
	})
	group.Go(func() error { return p.awaitStop(ctx, resign) })
	if err := group.Wait(); !errors.Is(err, errStopped) {
		return err
	}
	return nil
}

// errStopped ends all parts after SIGTERM.
var errStopped = errors.New("stopped")

// awaitStop waits for SIGTERM. It gives the duty away at once, and goes on serving open connections,
// whose answers then close them, until most of the grace time is over.
func (p *process) awaitStop(ctx context.Context, resign func()) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case got := <-signals:
			if got == syscall.SIGHUP {
				p.logger.WithField("event", "reloaded").Info("settings file changed; it holds nothing that can change in a running process")
				continue
			}
		}
		p.draining.Store(true)
		p.logger.WithField("event", "stopping").Info("stopping gracefully")
		p.resign()
		resign()
		_ = periodic.Pause(ctx, time.Duration(stopShare*float64(platform.Seconds(p.settings.Bounds.GraceS))))
		return errStopped
	}
}

// resign gives the duty away, if this process has it, within resignTime.
func (p *process) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), resignTime)
	defer cancel()
	p.keeper.Resign(ctx)
}

// ready answers the platform's balancer.
func (p *process) ready(ctx *fasthttp.RequestCtx) {
	if p.draining.Load() || p.entry.Config() == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func operatorsHandler(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics)
	return mux
}

// discard drops the log of the HTTP library: it reports connections that callers broke.
type discard struct{}

func (discard) Printf(string, ...any) {}
