// Package endpointsvc is a stand-in for the endpoints of the platform. It observes the contract with
// gateways, violates it on demand, and counts the runs of each request.
package endpointsvc

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"turmericyoke/internal/netpeek"
)

// Defaults of an endpoint.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
)

// Faults are the ways in which an endpoint can violate its contract. The zero value has no faults.
type Faults struct {
	// CloseAtByte closes each connection once this many bytes are received, if above 0.
	CloseAtByte int
	// CutResponse closes each connection once CutResponseAt bytes are sent.
	CutResponse   bool
	CutResponseAt int
	// WrongRequestID puts the ID of another request into responses.
	WrongRequestID bool
	// IgnoreDeadline continues runs after their deadline and after their connection has closed.
	IgnoreDeadline bool
	// OmitRequestID leaves the request ID out of responses.
	OmitRequestID bool
}

// Config configures an endpoint.
type Config struct {
	Slots, Connections int
	// RunTime is the duration of each run.
	RunTime time.Duration
	// IdleTimeout is the time after which idle keep-alive connections are closed, if above 0.
	IdleTimeout time.Duration
	// Body is the body of responses; if nil, the body of the request is returned.
	Body []byte
	// OnRun is called with the request at the start of each run.
	OnRun func(ctx *fasthttp.RequestCtx)
	// OnDisconnect is called when a run ends because its connection has closed.
	OnDisconnect func()
}

// Endpoint is a simulated endpoint.
type Endpoint struct {
	config Config
	server *fasthttp.Server
	slots  chan struct{}

	mu       sync.Mutex
	faults   Faults
	draining bool
	// runs is the number of runs by request ID.
	runs map[string]int
	// refused is the number of requests that were refused with X-Not-Run.
	refused     int
	peakRunning int
	running     int
	ended       int
	// disconnected is the number of runs that ended because their connection closed.
	disconnected        int
	acceptedConnections int
	receivedBytes       int
}

// New returns an endpoint; Serve starts it.
func New(config Config) *Endpoint {
	if config.Slots == 0 {
		config.Slots = DefaultSlots
	}
	if config.Connections == 0 {
		config.Connections = DefaultConnections
	}
	e := &Endpoint{config: config, slots: make(chan struct{}, config.Slots), runs: map[string]int{}}
	e.server = &fasthttp.Server{
		Handler: e.handle, Concurrency: config.Connections, IdleTimeout: config.IdleTimeout,
		NoDefaultServerHeader: true, NoDefaultDate: true, Logger: discardLogger{},
	}
	return e
}

// discardLogger discards the server's log lines, which are about connections closed by faults.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections until the listener closes.
func (e *Endpoint) Serve(listener net.Listener) error {
	return e.server.Serve(&faultyListener{Listener: listener, endpoint: e})
}

// Shutdown closes the listener and waits for runs in progress until ctx is done.
func (e *Endpoint) Shutdown(ctx context.Context) error { return e.server.ShutdownWithContext(ctx) }

// SetFaults replaces the faults. Requests in progress keep their request faults; connection faults
// apply to open connections as well.
func (e *Endpoint) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// SetDraining makes the endpoint refuse new requests with 503, while runs in progress continue.
func (e *Endpoint) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

func (e *Endpoint) handle(ctx *fasthttp.RequestCtx) {
	faults, draining := e.currentState()
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	if !faults.OmitRequestID {
		ctx.Response.Header.Set("X-Request-Id", responseID(id, faults))
	}
	if draining {
		ctx.Response.Header.Set("X-Leaving", "1")
		e.refuse(ctx)
		return
	}
	select {
	case e.slots <- struct{}{}:
	default:
		e.refuse(ctx)
		return
	}
	defer func() { <-e.slots }()
	e.run(ctx, id, faults)
}

func responseID(id string, faults Faults) string {
	if faults.WrongRequestID {
		return "other-" + id
	}
	return id
}

// refuse responds that the request wasn't run.
func (e *Endpoint) refuse(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	e.refused++
	e.mu.Unlock()
	ctx.Response.Header.Set("X-Not-Run", "1")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// currentState returns the faults and whether the endpoint is draining.
func (e *Endpoint) currentState() (Faults, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.draining
}

func (e *Endpoint) run(ctx *fasthttp.RequestCtx, id string, faults Faults) {
	e.beginRun(id)
	defer e.endRun()
	if e.config.OnRun != nil {
		e.config.OnRun(ctx)
	}
	if !e.simulateRun(ctx, faults) {
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
		return
	}
	if e.config.Body != nil {
		ctx.SetBody(e.config.Body)
		return
	}
	ctx.SetBody(ctx.Request.Body())
}

func (e *Endpoint) beginRun(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	e.running++
	e.peakRunning = max(e.peakRunning, e.running)
}

func (e *Endpoint) endRun() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.ended++
}

// connectionCheckInterval is how often a run checks whether its connection is still open.
const connectionCheckInterval = 5 * time.Millisecond

// simulateRun waits for the configured run time. It returns false if the deadline passes or the
// connection closes first.
func (e *Endpoint) simulateRun(ctx *fasthttp.RequestCtx, faults Faults) bool {
	if e.config.RunTime == 0 {
		return true
	}
	completion := time.NewTimer(e.config.RunTime)
	defer completion.Stop()
	deadline := time.NewTimer(requestTimeout(ctx, faults))
	defer deadline.Stop()
	connectionCheck := time.NewTicker(connectionCheckInterval)
	defer connectionCheck.Stop()
	for {
		select {
		case <-completion.C:
			return true
		case <-deadline.C:
			return false
		case <-connectionCheck.C:
			if netpeek.Peek(ctx.Conn()) == netpeek.Closed && !faults.IgnoreDeadline {
				e.countDisconnect()
				return false
			}
		}
	}
}

func (e *Endpoint) countDisconnect() {
	e.mu.Lock()
	e.disconnected++
	e.mu.Unlock()
	if e.config.OnDisconnect != nil {
		e.config.OnDisconnect()
	}
}

// defaultTimeout applies to requests without a deadline and if deadlines are ignored.
const defaultTimeout = time.Hour

func requestTimeout(ctx *fasthttp.RequestCtx, faults Faults) time.Duration {
	milliseconds, err := strconv.Atoi(string(ctx.Request.Header.Peek("X-Deadline-Ms")))
	if err != nil || faults.IgnoreDeadline {
		return defaultTimeout
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// Stats are the statistics of an endpoint since its start.
type Stats struct {
	// Runs is the number of runs, and Requests the number of distinct request IDs among them.
	Runs, Requests int
	// MaxRunsPerRequest is the highest number of runs with the same request ID.
	MaxRunsPerRequest int
	// Refused is the number of requests that were refused without a run.
	Refused int
	// Ended is the number of runs that ended, and Disconnected the number of those that ended because
	// their connection closed.
	Ended, Disconnected int
	// PeakRunning is the highest number of concurrent runs.
	PeakRunning int
	// AcceptedConnections is the number of connections accepted.
	AcceptedConnections int
}

// Stats returns the statistics since the start.
func (e *Endpoint) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := Stats{Requests: len(e.runs), Refused: e.refused, Ended: e.ended, Disconnected: e.disconnected, PeakRunning: e.peakRunning, AcceptedConnections: e.acceptedConnections}
	for _, count := range e.runs {
		stats.Runs += count
		stats.MaxRunsPerRequest = max(stats.MaxRunsPerRequest, count)
	}
	return stats
}

// Running returns the number of runs in progress.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Runs returns the number of runs of the request with the ID.
func (e *Endpoint) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}
