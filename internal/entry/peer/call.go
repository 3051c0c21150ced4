package peer

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
)

const (
	// suspectDelay is how long a call may stay without a response before its process counts as suspect. A process that
	// is well responds within a few milliseconds, or within half a second while the log is slow.
	suspectDelay = 300 * time.Millisecond
	// probeTimeout is the time limit of a probe, which the process answers without the scheduler or the log.
	probeTimeout = 250 * time.Millisecond
)

// errNotSent is the error of a call that certainly wasn't sent.
var errNotSent = errors.New("the call wasn't sent")

// connectDeadlineKey is the key of the context value that ConnectBefore sets.
type connectDeadlineKey struct{}

// ConnectBefore returns a context in which calls end unsent at the deadline if they have no connection by then. It doesn't limit
// calls that are sent before.
func ConnectBefore(ctx context.Context, deadline time.Time) context.Context {
	return context.WithValue(ctx, connectDeadlineKey{}, deadline)
}

// callUnary calls the process of c. An error wraps errNotSent if no connection was open before the call ended. After a
// call without a response its idle connections are closed, which may be dead as well, and the process is suspect if the
// call timed out.
func callUnary[Request, Response any](ctx context.Context, c *Client, client *connect.Client[Request, Response], request *Request) (*Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	if deadline, limited := ctx.Value(connectDeadlineKey{}).(time.Time); limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		unsent := time.AfterFunc(time.Until(deadline), func() {
			if !connected.Load() {
				cancel()
			}
		})
		defer unsent.Stop()
	}
	slow := time.AfterFunc(suspectDelay, func() { c.suspect.Store(true) })
	response, err := client.CallUnary(ctx, connect.NewRequest(request))
	slow.Stop()
	switch {
	case err == nil:
		c.suspect.Store(false)
		return response.Msg, nil
	case connect.IsWireError(err):
		c.suspect.Store(false)
	case !connected.Load():
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	default:
		if timedOut(err) {
			c.suspect.Store(true)
		}
		c.http.CloseIdleConnections()
	}
	return nil, err
}

// timedOut reports whether a call ended before there was a response. Otherwise its connection was broken off, as when
// the process ends.
func timedOut(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeDeadlineExceeded || code == connect.CodeCanceled
}

// callVerified is callUnary, but a process that is suspect is probed first: one that is frozen or cut off takes
// connections and requests without carrying them out, and the outcome of each request wouldn't be known. Calls that come
// at the same time share a probe.
func callVerified[Request, Response any](ctx context.Context, c *Client, client *connect.Client[Request, Response], request *Request) (*Response, error) {
	if c.suspect.Load() {
		if err := c.probe(ctx); err != nil {
			return nil, fmt.Errorf("%w: the process doesn't respond: %w", errNotSent, err)
		}
	}
	return callUnary(ctx, c, client, request)
}

// probe returns an error if the process of c doesn't respond within probeTimeout, or before ctx or the time to connect ends.
func (c *Client) probe(ctx context.Context) error {
	if deadline, limited := ctx.Value(connectDeadlineKey{}).(time.Time); limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	results := c.probes.DoChan("", func() (any, error) {
		probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		return c.Config(probeCtx, &ConfigRequest{Version: math.MaxInt64})
	})
	select {
	case result := <-results:
		if errors.Is(result.Err, errNotSent) || timedOut(result.Err) && !connect.IsWireError(result.Err) {
			return result.Err
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
