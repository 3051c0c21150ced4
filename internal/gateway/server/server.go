// Package server accepts the HTTP requests of callers, and those forwarded by other gateways, and runs them
// through the filter chain.
package server

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/pipe"
	"turmericyoke/internal/gateway/route"
)

// Limits are the limits of requests and connections of callers.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of the header and the body of a request.
	HeaderBytes, BodyBytes int
	// BufferedBytes is the maximum total size of the bodies of all requests in progress.
	BufferedBytes int64
	// Connections is the maximum number of open connections.
	Connections int
	// ReadTimeout is the longest time to receive a request.
	ReadTimeout time.Duration
	// WriteTimeout is the longest time to send a response.
	WriteTimeout time.Duration
	// IdleTimeout is how long a connection is kept open between two requests.
	IdleTimeout time.Duration
}

// Config configures a Server.
type Config struct {
	// Incarnation is the gateway's incarnation, with which request IDs begin.
	Incarnation string
	Limits      Limits
	Chain       *pipe.Chain
	// Recorder records requests that can't be read and therefore don't reach the chain.
	Recorder pipe.Recorder
	// FreeCapacity returns the free slots of the pool and the free rights of the team.
	FreeCapacity func(pool, team string) (slots, rights uint64)
	// Draining reports whether connections are to be closed after the next response.
	Draining func() bool
	Now      func() time.Time
}

// Server receives requests and runs them through the filter chain.
type Server struct {
	config  Config
	http    *fasthttp.Server
	watcher *watcher
	// lastNumber is the number of the last request.
	lastNumber atomic.Uint64
	// bufferedBytes is the memory reserved for the bodies of requests in progress.
	bufferedBytes atomic.Int64
}

// New returns a server that accepts no connections until Serve.
func New(config Config) *Server {
	s := &Server{config: config, watcher: newWatcher()}
	limits := config.Limits
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.refuseUnreadable,
		ReadBufferSize:        limits.HeaderBytes,
		MaxRequestBodySize:    limits.BodyBytes,
		Concurrency:           limits.Connections,
		ReadTimeout:           limits.ReadTimeout,
		IdleTimeout:           limits.IdleTimeout,
		WriteTimeout:          limits.WriteTimeout,
		StreamRequestBody:     true,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		NoDefaultDate:         true,
		LogAllErrors:          false,
		Logger:                discardLogger{},
	}
	return s
}

// discardLogger drops fasthttp's log lines about single connections, which metrics count instead.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections of callers on listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// Watch cancels the requests of callers that disconnect, until ctx ends.
func (s *Server) Watch(ctx context.Context) error { return s.watcher.run(ctx) }

// Shutdown stops accepting connections and waits for the requests in progress until ctx ends. It then cancels
// those that are still in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.watcher.cancelAll()
	return s.http.ShutdownWithContext(ctx)
}

// NextID returns the ID and number of a new request.
func (s *Server) NextID() (string, uint64) {
	number := s.lastNumber.Add(1)
	buffer := make([]byte, 0, len(s.config.Incarnation)+21)
	buffer = append(buffer, s.config.Incarnation...)
	buffer = append(buffer, '-')
	buffer = strconv.AppendUint(buffer, number, 10)
	return string(buffer), number
}

// handle runs the request of a caller and writes the response.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	r := &pipe.Request{Arrived: s.config.Now(), HTTPRequest: &ctx.Request, HTTPResponse: &ctx.Response}
	r.ID, r.Number = s.NextID()
	watched := s.watcher.add(ctx.Conn())
	defer s.watcher.remove(watched)
	r.Ctx = watched
	reserved, err := s.readBody(ctx)
	defer s.bufferedBytes.Add(-reserved)
	if err != nil {
		r.Fail(err)
		s.config.Recorder.Record(r)
		writeResponse(r)
		ctx.Response.SetConnectionClose()
		return
	}
	s.run(r, string(ctx.Request.Header.RequestURI()))
	if s.config.Draining() {
		ctx.Response.SetConnectionClose()
	}
}

func (s *Server) run(r *pipe.Request, uri string) {
	r.PoolName, r.Path, _ = route.Split(uri)
	s.config.Chain.Run(r)
	writeResponse(r)
}

// refuseUnreadable refuses a request whose header couldn't be read.
func (s *Server) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	r := &pipe.Request{Arrived: s.config.Now(), HTTPRequest: &ctx.Request, HTTPResponse: &ctx.Response}
	r.ID, r.Number = s.NextID()
	kind := fault.RequestInvalid
	var tooSmall *fasthttp.ErrSmallBuffer
	if errors.As(err, &tooSmall) {
		kind = fault.RequestTooLarge
	}
	r.Fail(fault.New(kind, "the request can't be read: %v", err))
	if !connectionEnded(err) {
		s.config.Recorder.Record(r)
	}
	writeResponse(r)
	ctx.Response.SetConnectionClose()
}

// connectionEnded reports whether the connection ended or timed out before a complete header arrived. Such a
// connection isn't recorded as a request: load balancers open connections in advance and leave them idle.
func connectionEnded(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
