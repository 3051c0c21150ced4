package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/boottime"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
)

// maxCallsInProgress bounds the calls that one connection has in progress. A lease renewal may wait at its worker for a
// second, and one relay may serve all workers of a large fleet.
const maxCallsInProgress = 8192

// Server makes calls to workers for the scheduling process. It makes none for a process that it knows to be superseded,
// and calls only workers that are in its own list.
type Server struct {
	Workers infra.Workers
	// NewDirectory returns a directory whose first Poll returns the whole list of workers.
	NewDirectory func() infra.Directory
	// NewestTerm returns the newest term that this process has read from the log.
	NewestTerm func() int64
	// Clock also advances while the host is suspended.
	Clock  boottime.Clock
	Logger *logrus.Entry

	// newestToken is the highest fencing token of a call so far.
	newestToken atomic.Int64
	stopping    atomic.Bool
	list        workerList
}

// Stop makes the server refuse further calls. Calls in progress go on.
func (s *Server) Stop() { s.stopping.Store(true) }

// ServeHTTP accepts a connection of a scheduling process.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hijacker, ok := w.(http.Hijacker)
	if !ok || r.Header.Get("Upgrade") != protocol || s.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn, buffered, err := hijacker.Hijack()
	if err != nil {
		s.Logger.WithField("event", "relay_upgrade_failed").WithError(err).Warn("relay connection can't be taken over from the HTTP server")
		return
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
		s.Logger.WithField("event", "relay_upgrade_failed").WithError(err).Info("relay connection was closed before it was used")
		_ = conn.Close() // Nothing was sent or received.
		return
	}
	s.serve(conn, buffered.Reader)
}

// serve serves a connection until it ends or breaks.
func (s *Server) serve(conn net.Conn, reader *bufio.Reader) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &servedConn{server: s, conn: conn, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1)}
	s.list.retain(s)
	defer s.list.release()
	s.Logger.WithFields(logrus.Fields{"event": "relay_connected", "from": conn.RemoteAddr().String()}).Info("a scheduling process sends calls to workers through this process")
	var writer sync.WaitGroup
	writer.Go(func() { c.guarded(c.writeOutcomes) })
	c.guarded(func() error { return c.readCalls(reader) })
	cancel()
	writer.Wait()
	_ = conn.Close() // The peer has closed the connection, or it is broken.
	s.Logger.WithFields(logrus.Fields{"event": "relay_disconnected", "calls": c.calls.Load(), "not_sent": c.notSent.Load()}).WithError(c.err).Info("a connection for calls to workers has ended")
}

// servedConn is a connection of a scheduling process.
type servedConn struct {
	server *Server
	conn   net.Conn
	ctx    context.Context
	cancel context.CancelFunc
	// received counts the batches that were read, calls the calls in them, and notSent those that weren't sent.
	received, calls, notSent atomic.Int64
	// inProgress is the number of calls whose outcomes aren't in the queue yet.
	inProgress atomic.Int64

	mu sync.Mutex
	// outcomes are the outcomes that are to be written; wake gets a value when there are some.
	outcomes []outcome
	wake     chan struct{}
	err      error
}

// guarded runs a part of the connection. An error or a panic, for example in a decoder, ends this connection only.
func (c *servedConn) guarded(run func() error) {
	defer c.cancel()
	// Wakes the other part. It fails only on a closed connection, which does so too.
	defer func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) }()
	defer func() {
		if cause := recover(); cause != nil {
			c.server.Logger.WithFields(logrus.Fields{"event": "relay_panicked", "cause": cause, "stack": string(debug.Stack())}).Error("a connection for calls to workers panicked; closing it")
		}
	}()
	err := run()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
}

// readCalls reads batches and begins their calls.
func (c *servedConn) readCalls(buffered *bufio.Reader) error {
	// The HTTP server may have read the first batch already.
	first := io.LimitReader(buffered, int64(buffered.Buffered()))
	decoder := newDecoder(io.MultiReader(first, patientReader{conn: c.conn, limit: idleLimit}))
	for c.ctx.Err() == nil {
		var batch callBatch
		if err := decoder.read(&batch); err != nil {
			return err
		}
		c.received.Add(1)
		for n := range batch.Calls {
			c.begin(&batch.Calls[n], time.Duration(batch.Echo))
		}
	}
	return c.ctx.Err()
}

// begin makes a call whose batch was written after echoAt. The outcome is written later.
func (c *servedConn) begin(m *call, echoAt time.Duration) {
	c.calls.Add(1)
	if c.inProgress.Load() >= maxCallsInProgress {
		c.finish(outcome{ID: m.ID, NotSent: reasonBusy})
		return
	}
	c.inProgress.Add(1)
	go func() {
		defer c.inProgress.Add(-1)
		result := outcome{ID: m.ID}
		defer func() {
			if cause := recover(); cause != nil {
				c.server.Logger.WithFields(logrus.Fields{"event": "relay_panicked", "cause": cause, "stack": string(debug.Stack())}).Error("a call to a worker panicked; its outcome isn't known")
				result = outcome{ID: m.ID, Kind: infra.Unknown, Op: "relay", Detail: fmt.Sprint("panic: ", cause)}
			}
			c.finish(result)
		}()
		result.NotSent, result.Kind = c.server.check(c.ctx, m, echoAt)
		switch {
		case result.NotSent != "" || result.Kind != "":
		case c.ctx.Err() != nil:
			result.NotSent = reasonStopping
		default:
			result = c.server.send(c.ctx, m)
		}
	}()
}

// finish queues the outcome of a call.
func (c *servedConn) finish(result outcome) {
	if result.NotSent != "" {
		c.notSent.Add(1)
	}
	c.mu.Lock()
	c.outcomes = append(c.outcomes, result)
	c.mu.Unlock()
	periodic.Wake(c.wake)
}

// writeOutcomes writes the outcomes in batches, and empty batches if there are none for heartbeatInterval.
func (c *servedConn) writeOutcomes() error {
	encoder := encoder{conn: c.conn}
	for writtenAt := time.Now(); ; {
		c.mu.Lock()
		batch := outcomeBatch{Stamp: int64(c.server.Clock()), Received: c.received.Load(), Stopping: c.server.stopping.Load(), Outcomes: c.outcomes}
		c.outcomes = nil
		c.mu.Unlock()
		if err := encoder.write(&batch); err != nil {
			return err
		}
		if err := periodic.Wait(c.ctx, heartbeatInterval, c.wake); err != nil {
			return err
		}
		var err error
		if writtenAt, err = pauseBetweenBatches(c.ctx, writtenAt); err != nil {
			return err
		}
	}
}

// check decides whether a call, whose batch was written after echoAt, may be sent. A superseded process gets the kind of
// error by which workers would answer it.
func (s *Server) check(ctx context.Context, m *call, echoAt time.Duration) (reason, infra.ErrorKind) {
	token := m.token()
	if m.Kind < callStart || m.Kind > callRenewal || token <= 0 {
		return reasonInvalid, ""
	}
	if !s.list.await(ctx, m.Worker, min(m.SendWithin-(s.Clock()-echoAt), maxRelayDelay)) {
		return reasonUnlisted, ""
	}
	switch {
	case s.stopping.Load():
		return reasonStopping, ""
	case token < s.NewestTerm() || token < s.noteToken(token):
		return "", infra.Fenced
	case s.Clock()-echoAt > m.SendWithin:
		return reasonExpired, ""
	}
	return "", ""
}

// noteToken records the fencing token of a call and returns the highest one so far.
func (s *Server) noteToken(token int64) int64 {
	for {
		newest := s.newestToken.Load()
		if token <= newest || s.newestToken.CompareAndSwap(newest, token) {
			return max(token, newest)
		}
	}
}

// send makes the call and returns its outcome.
func (s *Server) send(ctx context.Context, m *call) outcome {
	if m.TimeLimit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, m.TimeLimit)
		defer cancel()
	}
	result, err := m.send(ctx, s.Workers)
	result.ID = m.ID
	result.setErr(err)
	return result
}
