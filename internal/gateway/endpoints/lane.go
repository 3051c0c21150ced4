package endpoints

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"turmericyoke/internal/gateway/pipe"
)

// DialFunc connects to an endpoint within timeout.
type DialFunc func(address string, timeout time.Duration) (net.Conn, error)

// idleTimeout closes kept connections before endpoints commonly do (30 s and more), so that a
// request rarely meets a connection that is being closed.
const idleTimeout = 10 * time.Second

// lane is one slot of an endpoint with at most one connection. Since only one request uses it at
// a time, what passes over the connection belongs to that request.
type lane struct {
	entry   *entry
	table   *Table
	client  fasthttp.HostClient
	attempt attempt
}

func newLane(t *Table, e *entry) *lane {
	l := &lane{entry: e, table: t}
	l.client = fasthttp.HostClient{
		Addr:                          e.Address,
		DialTimeout:                   l.dial,
		MaxConns:                      1,
		MaxIdleConnDuration:           idleTimeout,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
		ReadBufferSize:                t.limits.HeaderBytes,
		MaxResponseBodySize:           t.limits.AnswerBytes,
	}
	return l
}

// neverRetry keeps the client from sending a request twice; retries are decided by the dispatch filter.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

func (l *lane) dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > l.table.limits.ConnectTimeout {
		timeout = l.table.limits.ConnectTimeout
	}
	conn, err := l.table.dial(address, timeout)
	if err != nil {
		l.noteDialError(err)
		return nil, err
	}
	return &trackedConn{Conn: conn, lane: l}, nil
}

func (l *lane) noteDialError(err error) {
	a := &l.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused = errors.Is(err, syscall.ECONNREFUSED)
	a.unreachable = !a.refused
}

// Host implements pipe.Slot.
func (l *lane) Host() string { return l.entry.Host }

// Do implements pipe.Slot. On any error the client closes the connection, so that a late answer
// can't be taken for the answer to another request.
func (l *lane) Do(ctx context.Context, req *fasthttp.Request, out *fasthttp.Response, deadline time.Time) pipe.AttemptReport {
	l.begin()
	stop := context.AfterFunc(ctx, l.cancel)
	err := l.client.DoDeadline(req, out, deadline)
	stop()
	return l.finish(err)
}

func (l *lane) begin() {
	a := &l.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	a.phase = pipe.PhaseUnsent
	a.ended, a.refused, a.unreachable = false, false, false
	a.cancelled, a.checked = false, false
	a.conn = nil
}

func (l *lane) cancel() {
	a := &l.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	if a.conn != nil {
		a.conn.closeWrite()
	}
}

func (l *lane) finish(err error) pipe.AttemptReport {
	a := &l.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	ended := err == nil || a.ended || a.phase == pipe.PhaseUnsent
	return pipe.AttemptReport{Err: err, Phase: a.phase, ConnectionRefused: a.refused, Unreachable: a.unreachable, RunEnded: ended}
}

// CloseConnection implements pipe.Slot.
func (l *lane) CloseConnection() { l.client.CloseIdleConnections() }

// Release implements pipe.Slot.
func (l *lane) Release() { l.table.release(l) }
