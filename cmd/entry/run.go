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
	"turmericyoke/internal/election"
	"turmericyoke/internal/entry"
	"turmericyoke/internal/entry/peer"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/journal"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/policy"
	"turmericyoke/internal/relay"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/session"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/telemetry"
	"turmericyoke/platform"
)

const (
	// leaseFraction is the fraction of the platform's maximum lease that workers are given. It is below 1 so
	// that rounding by the platform never shortens a lease.
	leaseFraction = 0.95
	// hostOrderMargin is added to the minimum time that the platform requires between orders to one host by
	// different lease holders.
	hostOrderMargin = 1500 * time.Millisecond
	// drainFraction is the fraction of the grace time after SIGTERM in which open connections are still served.
	drainFraction = 0.6
	// closeTimeout bounds the time to finish requests in progress once the listeners close. Together with
	// drainFraction it fits into the platform's shortest grace time, 6 s.
	closeTimeout = 1500 * time.Millisecond
	// componentsTimeout bounds the wait for all components once the listeners close: the servers need up to
	// closeTimeout, and log what they have cut off.
	componentsTimeout = closeTimeout + 200*time.Millisecond
	// resignTimeout bounds the call that gives up leadership, so that an outage of the log doesn't delay the
	// shutdown.
	resignTimeout = 1300 * time.Millisecond
	// leaveTimeout bounds the call that leaves the group.
	leaveTimeout = time.Second
	// memoryFraction is the fraction of the memory granted by the platform that is set as the Go runtime's
	// soft memory limit.
	memoryFraction = 0.6
	// stateFraction is the fraction of that memory which the state of jobs may take. The garbage collector needs as much
	// again, and so does a process that loads the state.
	stateFraction = 0.3
	// garbagePercent makes garbage collections rarer than by default, which saves processor time. The heap
	// is only a few MB, so the additional memory doesn't matter.
	garbagePercent = 400
	// maxBodyBytes and maxHeaderBytes bound requests of callers; larger ones are refused without being read.
	maxBodyBytes   = 512 << 10
	maxHeaderBytes = 16 << 10
	// headerTimeout and idleTimeout close connections whose client sends nothing.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	// maxCallerConnections bounds the open connections of callers. It is far below the host's limit on file
	// descriptors.
	maxCallerConnections = 2500
)

// process holds the components of a running entry process.
type process struct {
	settings *platform.Settings
	policy   policy.Policy
	logger   *logrus.Entry
	entry    *entry.Entry
	elector  *election.Elector
	group    *leavableGroup
	callers  *platform.CallerAPI
	// relay calls workers for the scheduling process.
	relay *relay.Server
	// peerCalls measures the calls of other entry processes.
	peerCalls *telemetry.Stage
	// isolation is nil unless an isolated process reports that it isn't ready.
	isolation *entry.Isolation
	// signals receives the signals of catchSignals.
	signals  <-chan os.Signal
	draining atomic.Bool
	// terms ends when this process must not schedule any more.
	terms    context.Context
	endTerms context.CancelFunc
}

// run starts all components and serves until SIGTERM or an interrupt.
func run(_ context.Context, settings *platform.Settings, rules policy.Policy, out io.Writer) error {
	signals := catchSignals()
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(memoryFraction * float64(settings.Limits.MemoryMb) * (1 << 20)))
	logs := telemetry.NewAsyncWriter(out)
	defer logs.Close()
	logger := telemetry.NewLogger(logs, "entry", settings.Zone).WithField("name", settings.NodeName)
	registry := telemetry.NewRegistry()
	usage := telemetry.NewUsage(registry)
	telemetry.TimeLogging(logger, usage)
	services := platform.NewServices(settings, logger, usage)
	registry.MustRegister(services.Skipped)
	self := settings.GroupMember()
	incarnation := structs.NewIncarnation(time.Now(), "")

	p := &process{settings: settings, policy: rules, logger: logger, signals: signals}
	if rules.Zones.UnlessIsolated() {
		p.isolation = &entry.Isolation{Self: self, Clock: boottime.Now, Logger: logger, Metrics: entry.NewIsolationMetrics(registry)}
	}
	p.group = &leavableGroup{Group: p.isolation.ObserveGroup(services.Group)}
	p.peerCalls = usage.Stage("peer")
	p.terms, p.endTerms = context.WithCancel(context.Background())
	defer p.endTerms()
	p.elector = &election.Elector{Self: self, Nonce: incarnation, Log: p.isolation.ObserveLog(services.Log), Group: p.group, Logger: logger, Clock: boottime.Now}
	p.entry = &entry.Entry{Self: self, Election: p.elector, PeerClients: peer.NewClients(), ConfigSource: services.ConfigSource, DecodeConfig: platform.DecodeConfig, Logger: logger}
	if p.isolation != nil {
		p.isolation.Election = p.elector
		p.isolation.Reachable = func(ctx context.Context, m infra.Member) bool {
			return p.entry.PeerClients.At(m.Address).Reachable(ctx)
		}
	}
	p.relay = &relay.Server{Workers: services.Workers, NewDirectory: services.Directory, NewestTerm: func() int64 { return p.elector.Current().Term }, Clock: boottime.Now, Logger: logger}
	config := session.Config{
		Log: services.Log, LogLimits: journal.Limits{Record: settings.Platform.RecordBytes, Call: settings.Platform.CallBytes}, Workers: services.Workers, Hosts: services.Hosts, NewDirectory: services.Directory, Status: services.WaveStatus, Advice: services.Advice,
		Clock: boottime.Now, WallClock: time.Now, Logger: logger, Metrics: scheduler.NewMetrics(registry), JournalMetrics: journal.NewMetrics(registry),
		Options: scheduler.Options{
			MaxLease:          platform.Millis(settings.Bounds.HoldMaxMs),
			Lease:             time.Duration(leaseFraction * float64(platform.Millis(settings.Bounds.HoldMaxMs))),
			EntryInterval:     platform.Millis(settings.HeartbeatMs),
			EndedJobRetention: platform.Seconds(settings.Bounds.StatusS + 1),
			HostMoveTime:      platform.Seconds(settings.Bounds.MoveS),
			HostOrderDelay:    platform.Millis(settings.Bounds.LeaseMs) + hostOrderMargin,
			MaxStateBytes:     int64(stateFraction * float64(settings.Limits.MemoryMb) * (1 << 20)),
			Policy:            rules,
		},
		ConfigureCore: p.entry.ConfigureCore, AttachCore: p.entry.AttachCore, DetachCore: p.entry.DetachCore, Usage: usage,
	}
	p.elector.RunTerm = func(ctx context.Context, term int64) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(p.terms, cancel)()
		router := relay.NewRouter(services.Workers, self, p.elector.Peers, boottime.Now, logger.WithField("term", term))
		config := config
		config.Workers = router
		go router.Run(ctx)
		go router.Log(ctx)
		go services.Traffic.Log(ctx, logger.WithField("term", term))
		go usage.Log(ctx, logger.WithField("term", term))
		session.Run(ctx, config, term)
	}
	p.elector.Eligible = func() bool { return !p.draining.Load() && p.entry.Config() != nil }
	logger.WithFields(logrus.Fields{"event": "started", "version": version, "incarnation": incarnation, "listen": settings.Listen.Front, "predictions": rules.Predictions.By, "overload": rules.Overload.Order, "placement": rules.Zones.Placement, "readiness": rules.Zones.Readiness}).Info("entry started")
	err := p.serve(registry)
	logger.WithField("event", "stopped").WithError(err).Info("entry stopped")
	return err
}

// serve opens the listeners and runs all components until a component fails, or until most of the grace
// time after SIGTERM has passed and the servers are closed.
func (p *process) serve(registry *prometheus.Registry) error {
	p.callers = platform.NewCallerAPI(p.entry, p.logger, registry)
	callerServer := newCallerServer(p.callers.Handle)
	readinessServer := &fasthttp.Server{Handler: p.handleReadiness, NoDefaultServerHeader: true, Logger: discardLogger{}, ReadTimeout: headerTimeout, IdleTimeout: idleTimeout}
	peerServer := &http.Server{Handler: p.peerHandler(), ReadHeaderTimeout: headerTimeout}
	metricsServer := &http.Server{Handler: metricsHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})), ReadHeaderTimeout: headerTimeout}

	group, ctx := errgroup.WithContext(context.Background())
	for _, server := range []struct {
		address  string
		serve    func(net.Listener) error
		shutdown func(context.Context) error
	}{
		{p.settings.Listen.Front, callerServer.Serve, func(ctx context.Context) error { return p.closeCallers(ctx, callerServer) }},
		{p.settings.Listen.Readiness, readinessServer.Serve, readinessServer.ShutdownWithContext},
		{p.settings.GroupMember().Address, peerServer.Serve, peerServer.Shutdown},
		{p.settings.MetricsAddress(), metricsServer.Serve, metricsServer.Shutdown},
	} {
		listener, err := net.Listen("tcp4", server.address)
		if err != nil {
			return err
		}
		group.Go(func() error { return server.serve(listener) })
		group.Go(func() error {
			<-ctx.Done()
			shutdownCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
			defer cancel()
			return server.shutdown(shutdownCtx)
		})
	}
	group.Go(func() error { return p.entry.FollowConfig(ctx) })
	if p.isolation != nil {
		group.Go(func() error { return p.isolation.Run(ctx) })
	}
	group.Go(func() error {
		if err := p.elector.Run(ctx); ctx.Err() == nil && !p.draining.Load() {
			return err
		}
		return nil
	})
	group.Go(func() error { return p.awaitStopSignal(ctx) })
	if err := awaitComponents(ctx, group); !errors.Is(err, errStopSignal) {
		return err
	}
	return nil
}

// peerHandler returns the handler for calls of other entry processes.
func (p *process) peerHandler() http.Handler {
	mux := http.NewServeMux()
	calls := peer.NewHandler(p.entry.PeerService())
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		defer p.peerCalls.Since(time.Now())
		calls.ServeHTTP(w, r)
	})
	mux.Handle(relay.Path, p.relay)
	return mux
}

// awaitComponents waits until all components of the group have ended, but once ctx, the context of the group, has
// ended, no longer than componentsTimeout. Calls to the platform don't end with ctx, and a term that is loading its
// state makes many in a row.
func awaitComponents(ctx context.Context, group *errgroup.Group) error {
	ended := make(chan error, 1)
	go func() { ended <- group.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	timer := time.NewTimer(componentsTimeout)
	defer timer.Stop()
	select {
	case err := <-ended:
		return err
	case <-timer.C:
		return context.Cause(ctx)
	}
}

// newCallerServer returns the server for callers.
func newCallerServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true,
		MaxRequestBodySize: maxBodyBytes, ReadBufferSize: maxHeaderBytes, ReadTimeout: headerTimeout, IdleTimeout: idleTimeout,
		Concurrency: maxCallerConnections, DisablePreParseMultipartForm: true, Logger: discardLogger{}, CloseOnShutdown: true,
	}
}

// errStopSignal makes the group stop all components after SIGTERM or an interrupt.
var errStopSignal = errors.New("stopped by a signal")

// catchSignals returns a channel that receives the signals of the platform. They are caught from the start of the process
// until it ends: with its default effect, one would cut off requests.
func catchSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	return signals
}

// awaitStopSignal waits for SIGTERM or an interrupt. It gives up leadership at once and lets open
// connections be served until most of the grace time has passed; each response then closes its connection.
func (p *process) awaitStopSignal(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case received := <-p.signals:
			if received == syscall.SIGHUP {
				p.logger.WithField("event", "reloaded").Info("SIGHUP ignored: no setting can change while the process runs")
				continue
			}
		}
		p.drain(ctx)
		return errStopSignal
	}
}

// drain gives up leadership and serves open connections for the drain time. That begins with the signal, as the
// grace time does, so that a resignation that hangs doesn't delay the rest of the shutdown. Meanwhile the process
// still follows the claims: requests that it takes have to find the next leader.
func (p *process) drain(ctx context.Context) {
	closeListenersAt := time.Now().Add(p.drainTime())
	p.callers.StopBy(closeListenersAt.Add(closeTimeout))
	p.draining.Store(true)
	p.logger.WithField("event", "stopping").Info("stopping gracefully")
	p.resign()
	p.endTerms()
	p.relay.Stop()
	p.leaveGroup()
	_ = periodic.Pause(ctx, time.Until(closeListenersAt))
}

// drainTime returns how long open connections are served after a stop signal.
func (p *process) drainTime() time.Duration {
	return time.Duration(drainFraction * float64(platform.Seconds(p.settings.Bounds.GraceS)))
}

// closeCallers closes the listener for callers, waits until the requests in progress are answered or ctx ends, and
// closes the connections.
func (p *process) closeCallers(ctx context.Context, server *fasthttp.Server) error {
	// This is needed if a component has failed without a stop signal.
	p.callers.StopBy(time.Now().Add(closeTimeout))
	err := server.ShutdownWithContext(ctx)
	// fasthttp subtracts one for the listener, which isn't counted any more.
	p.callers.Stopped(int(server.GetOpenConnectionsCount()) + 1)
	return err
}

// resign gives up leadership, if this process has it, within resignTimeout.
func (p *process) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	p.elector.Resign(ctx)
}

// leaveGroup leaves the group within leaveTimeout, so that other processes don't wait for this one.
func (p *process) leaveGroup() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := p.group.Leave(ctx, p.elector.Self); err != nil {
		p.logger.WithField("event", "leave_failed").WithError(err).Info("can't leave the group; the membership ends when its TTL has passed")
	}
}

// handleReadiness responds to the platform's load balancer: 503 while the process is stopping, has no fleet
// configuration yet or is isolated, and 200 otherwise.
func (p *process) handleReadiness(ctx *fasthttp.RequestCtx) {
	if p.draining.Load() || p.entry.Config() == nil || p.isolation.Isolated() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// metricsHandler serves the metrics at /metrics.
func metricsHandler(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics)
	return mux
}

// discardLogger drops the messages of the HTTP library, which report connections that callers broke off.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
