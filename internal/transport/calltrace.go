package transport

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"connectrpc.com/connect"
)

// CallTrace tells of one call to another process whether its request can have arrived. A call that failed after a
// connection was made may have taken effect, also if its error looks like that of an unavailable server.
type CallTrace struct{ connected atomic.Bool }

// Context returns the context for the call.
func (c *CallTrace) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { c.connected.Store(true) },
	})
}

// Unsent reports whether the call, which failed with err, provably didn't send its request: there was no connection
// or, after one that was closed before it processed the request, no other one.
func (c *CallTrace) Unsent(err error) bool {
	var netErr *net.OpError
	dialFailed := errors.As(err, &netErr) && netErr.Op == "dial"
	return !c.connected.Load() || dialFailed
}

// IsUnavailableAnswer reports whether err is the answer of a server that is unavailable, in contrast to a call without
// an answer, whose error has the same code. A controller that answers so has not appended the proposal.
func IsUnavailableAnswer(err error) bool {
	return connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeUnavailable
}
