// Package endpointsvc is a stand-in for the endpoints of the platform. It keeps the contract with
// gateways, can break it in known ways, and records each run.
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

// Faults are the ways in which an endpoint breaks its contract. The zero value keeps it.
type Faults struct {
	// CloseAtByte closes each connection after this many received bytes, if above 0.
	CloseAtByte int
	// CutResponse closes each connection after CutAnswerAt sent bytes.
	CutResponse   bool
	CutResponseAt int
	// WrongRequestID answers with the id of another request.
	WrongRequestID bool
	// IgnoreDeadline answers after the deadline.
	IgnoreDeadline bool
	// OmitRequestID answers without the request id.
	OmitRequestID bool
}

// Config sets up an endpoint.
type Config struct {
	Slots, Connections int
	// RunTime is the time that each run takes.
	RunTime time.Duration
	// IdleTimeout closes kept connections, if above 0.
	IdleTimeout time.Duration
	// Body is the answer's body; without one the answer repeats the request's body.
	Body []byte
	// OnRun is called at the start of each run with its request.
	OnRun func(ctx *fasthttp.RequestCtx)
	// OnDisconnect is called when a run ends because its connection closed.
	OnDisconnect func()
}

// Endpoint is one endpoint.
type Endpoint struct {
	config Config
	server *fasthttp.Server
	slots  chan struct{}

	mu       sync.Mutex
	faults   Faults
	draining bool
	// runs counts the runs of each request id.
	runs map[string]int
	// refused counts the requests that were answered with X-Not-Run.
	refused     int
	peakRunning int
	running     int
	ended       int
	// disconnected counts runs that ended because their connection closed.
	disconnected int
	// acceptedConnections counts connections.
	acceptedConnections int
	receivedBytes       int
}

// New returns an endpoint that isn't served yet.
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

// discardLogger drops the server's log lines about cut connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections until the listener closes.
func (e *Endpoint) Serve(listener net.Listener) error {
	return e.server.Serve(&faultyListener{Listener: listener, endpoint: e})
}

// Shutdown closes the listener and waits for runs in progress until ctx ends.
func (e *Endpoint) Shutdown(ctx context.Context) error { return e.server.ShutdownWithContext(ctx) }

// SetFaults switches faults for connections and requests that begin afterwards.
func (e *Endpoint) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// SetDraining makes the endpoint answer new work with 503 and go on with what runs.
func (e *Endpoint) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

func (e *Endpoint) handle(ctx *fasthttp.RequestCtx) {
	faults, draining := e.currentFaults()
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

func (e *Endpoint) refuse(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	e.refused++
	e.mu.Unlock()
	ctx.Response.Header.Set("X-Not-Run", "1")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

func (e *Endpoint) currentFaults() (Faults, bool) {
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

// connectionCheckInterval is how often a run looks whether its connection is still open.
const connectionCheckInterval = 5 * time.Millisecond

// simulateRun takes the configured time, and reports whether it came to its end before the deadline and
// with the connection still open.
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

// defaultTimeout is the deadline of requests without one.
const defaultTimeout = time.Hour

func requestTimeout(ctx *fasthttp.RequestCtx, faults Faults) time.Duration {
	milliseconds, err := strconv.Atoi(string(ctx.Request.Header.Peek("X-Deadline-Ms")))
	if err != nil || faults.IgnoreDeadline {
		return defaultTimeout
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// Stats are the counts of an endpoint since its start.
type Stats struct {
	// Runs counts all runs, and Requests those with different ids.
	Runs, Requests int
	// MaxRunsPerRequest is the highest number of runs of one request.
	MaxRunsPerRequest int
	// Refused counts requests that weren't run.
	Refused int
	// Ended counts the runs that came to an end, and Closed those that ended as their connection closed.
	Ended, Disconnected int
	// PeakRunning is the highest number of runs at a time.
	PeakRunning int
	// AcceptedConnections counts the connections.
	AcceptedConnections int
}

// Stats returns the counts.
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

// Running returns the number of requests that run now.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Runs returns the number of runs of a request.
func (e *Endpoint) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}
