// Package server accepts the HTTP requests of callers and of other gateways, and runs them through
// the filters.
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

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes bounds the header and BodyBytes the body of a request.
	HeaderBytes, BodyBytes int
	// BufferedBytes bounds the bodies of all requests in progress.
	BufferedBytes int64
	// Connections bounds the callers' connections.
	Connections int
	// ReadTimeout bounds the time to receive a request.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time in which the caller takes its answer.
	WriteTimeout time.Duration
	// IdleTimeout closes kept connections.
	IdleTimeout time.Duration
}

// Config is what a server needs.
type Config struct {
	// Incarnation is the first part of request ids.
	Incarnation string
	Limits      Limits
	Chain       *pipe.Chain
	// Recorder takes the account of requests that can't be read, and so don't reach the chain.
	Recorder pipe.Recorder
	// FreeCapacity returns the free slots of the pool and the free rights of the team.
	FreeCapacity func(pool, team string) (slots, rights uint64)
	// Draining reports whether kept connections are to be closed after their answer.
	Draining func() bool
	Now      func() time.Time
}

// Server runs requests through the chain.
type Server struct {
	config        Config
	http          *fasthttp.Server
	watcher       *watcher
	lastNumber    atomic.Uint64
	bufferedBytes atomic.Int64
}

// New returns a server.
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

// discardLogger drops the lines of fasthttp about single connections; metrics count them.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts callers until Shutdown.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// Watch notices callers that disconnect, until ctx ends.
func (s *Server) Watch(ctx context.Context) error { return s.watcher.run(ctx) }

// Shutdown stops accepting and waits for the requests in progress until ctx ends. Those that are
// still in progress then are cancelled.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.watcher.cancelAll()
	return s.http.ShutdownWithContext(ctx)
}

// NextID returns the id and number of a new request.
func (s *Server) NextID() (string, uint64) {
	number := s.lastNumber.Add(1)
	buffer := make([]byte, 0, len(s.config.Incarnation)+21)
	buffer = append(buffer, s.config.Incarnation...)
	buffer = append(buffer, '-')
	buffer = strconv.AppendUint(buffer, number, 10)
	return string(buffer), number
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	r := &pipe.Request{Arrived: s.config.Now(), In: &ctx.Request, Out: &ctx.Response}
	r.ID, r.Number = s.NextID()
	call := s.watcher.add(ctx.Conn())
	defer s.watcher.remove(call)
	r.Ctx = call
	size, err := s.readBody(ctx)
	defer s.bufferedBytes.Add(-size)
	if err != nil {
		r.Refuse(err)
		s.config.Recorder.Record(r)
		writeAnswer(r)
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
	writeAnswer(r)
}

// refuseUnreadable answers a request whose header couldn't be read.
func (s *Server) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	r := &pipe.Request{Arrived: s.config.Now(), In: &ctx.Request, Out: &ctx.Response}
	r.ID, r.Number = s.NextID()
	kind := fault.RequestInvalid
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		kind = fault.RequestTooLarge
	}
	r.Refuse(fault.New(kind, "the request can't be read: %v", err))
	if !connectionEnded(err) {
		s.config.Recorder.Record(r)
	}
	writeAnswer(r)
	ctx.Response.SetConnectionClose()
}

// connectionEnded reports whether the connection ended before a whole header arrived. Then nobody made a
// request: load balancers open connections ahead and leave them idle.
func connectionEnded(err error) bool {
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
