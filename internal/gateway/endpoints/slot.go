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

// DialFunc opens a connection to the endpoint at address within timeout.
type DialFunc func(address string, timeout time.Duration) (net.Conn, error)

// idleTimeout is how long an unused connection is kept open. It is shorter than the idle timeouts that
// endpoints commonly have (30 s and more), so that a request is rarely sent on a connection that the
// endpoint is closing.
const idleTimeout = 10 * time.Second

// endpointSlot is one slot of an endpoint, with at most one connection. Only one request uses the slot
// at a time, so all bytes on the connection during an attempt belong to that request.
type endpointSlot struct {
	endpoint *endpointState
	table    *Table
	client   fasthttp.HostClient
	attempt  attempt
}

func newEndpointSlot(t *Table, e *endpointState) *endpointSlot {
	s := &endpointSlot{endpoint: e, table: t}
	s.client = fasthttp.HostClient{
		Addr:                          e.Address,
		DialTimeout:                   s.dial,
		MaxConns:                      1,
		MaxIdleConnDuration:           idleTimeout,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
		ReadBufferSize:                t.limits.HeaderBytes,
		MaxResponseBodySize:           t.limits.ResponseBytes,
	}
	return s
}

// neverRetry keeps the HTTP client from sending a request twice; the dispatch filter decides about retries.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dial opens the connection of the slot, or records why that failed.
func (s *endpointSlot) dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > s.table.limits.ConnectTimeout {
		timeout = s.table.limits.ConnectTimeout
	}
	conn, err := s.table.dial(address, timeout)
	if err != nil {
		s.recordDialError(err)
		return nil, err
	}
	return &trackedConn{Conn: conn, slot: s}, nil
}

func (s *endpointSlot) recordDialError(err error) {
	a := &s.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused = errors.Is(err, syscall.ECONNREFUSED)
	a.unreachable = !a.refused
}

// Host implements pipe.Slot.
func (s *endpointSlot) Host() string { return s.endpoint.Host }

// Do implements pipe.Slot. On any error the HTTP client closes the connection, so that a late response
// can't be taken for the response to another request.
func (s *endpointSlot) Do(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, deadline time.Time) pipe.AttemptReport {
	s.resetAttempt()
	cancelled := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(cancelled)
		s.cancel()
	})
	err := s.client.DoDeadline(request, response, deadline)
	if !stop() {
		// Otherwise cancel could hit the next request on the slot.
		<-cancelled
	}
	return s.buildReport(err)
}

func (s *endpointSlot) resetAttempt() {
	a := &s.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	a.phase = pipe.PhaseUnsent
	a.runEnded, a.refused, a.unreachable = false, false, false
	a.cancelled, a.connChecked = false, false
	a.conn = nil
}

// cancel is called when the context of the request ends. It closes the write side of the connection,
// which tells the endpoint to end the run.
func (s *endpointSlot) cancel() {
	a := &s.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	if a.conn != nil {
		a.conn.closeWrite()
	}
}

// buildReport reports how far the request got. The run has provably ended if the response is complete,
// the endpoint closed the connection, or nothing was sent.
func (s *endpointSlot) buildReport(err error) pipe.AttemptReport {
	a := &s.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	ended := err == nil || a.runEnded || a.phase == pipe.PhaseUnsent
	return pipe.AttemptReport{Err: err, Phase: a.phase, ConnectionRefused: a.refused, Unreachable: a.unreachable, RunEnded: ended}
}

// CloseConnection implements pipe.Slot.
func (s *endpointSlot) CloseConnection() { s.client.CloseIdleConnections() }

// Release implements pipe.Slot.
func (s *endpointSlot) Release() { s.table.release(s) }
