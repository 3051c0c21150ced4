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

// endpointSlot is one slot of an endpoint with at most one connection. Since only one request uses it at
// a time, what passes over the connection belongs to that request.
type endpointSlot struct {
	endpoint *endpointState
	table    *Table
	client   fasthttp.HostClient
	attempt  attempt
}

func newEndpointSlot(t *Table, e *endpointState) *endpointSlot {
	l := &endpointSlot{endpoint: e, table: t}
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

func (l *endpointSlot) dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > l.table.limits.ConnectTimeout {
		timeout = l.table.limits.ConnectTimeout
	}
	conn, err := l.table.dial(address, timeout)
	if err != nil {
		l.recordDialError(err)
		return nil, err
	}
	return &trackedConn{Conn: conn, slot: l}, nil
}

func (l *endpointSlot) recordDialError(err error) {
	a := &l.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused = errors.Is(err, syscall.ECONNREFUSED)
	a.unreachable = !a.refused
}

// Host implements pipe.Slot.
func (l *endpointSlot) Host() string { return l.endpoint.Host }

// Do implements pipe.Slot. On any error the client closes the connection, so that a late answer
// can't be taken for the answer to another request.
func (l *endpointSlot) Do(ctx context.Context, req *fasthttp.Request, out *fasthttp.Response, deadline time.Time) pipe.Report {
	l.resetAttempt()
	stop := context.AfterFunc(ctx, l.cancel)
	err := l.client.DoDeadline(req, out, deadline)
	stop()
	return l.buildReport(err)
}

func (l *endpointSlot) resetAttempt() {
	a := &l.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	a.phase = pipe.PhaseUnsent
	a.runEnded, a.refused, a.unreachable = false, false, false
	a.cancelled, a.connChecked = false, false
	a.conn = nil
}

func (l *endpointSlot) cancel() {
	a := &l.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	if a.conn != nil {
		a.conn.closeWrite()
	}
}

func (l *endpointSlot) buildReport(err error) pipe.Report {
	a := &l.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	ended := err == nil || a.runEnded || a.phase == pipe.PhaseUnsent
	return pipe.Report{Err: err, Phase: a.phase, Refused: a.refused, Unreachable: a.unreachable, Ended: ended}
}

// Discard implements pipe.Slot.
func (l *endpointSlot) Discard() { l.client.CloseIdleConnections() }

// Release implements pipe.Slot.
func (l *endpointSlot) Release() { l.table.release(l) }
