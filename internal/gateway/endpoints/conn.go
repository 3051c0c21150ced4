package endpoints

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"turmericyoke/internal/gateway/pipe"
	"turmericyoke/internal/netpeek"
)

// errStale is returned for a reused connection that the endpoint has closed, or on which it has sent
// bytes without a request.
var errStale = errors.New("the kept connection isn't usable any more")

// errCancelled is returned if the caller disconnected before the first byte of its request was written.
var errCancelled = errors.New("the caller left before the request was sent")

// attempt tracks the progress of one request on the connection of a slot.
type attempt struct {
	mu    sync.Mutex
	phase pipe.Phase
	// runEnded is set once the endpoint has closed the connection, which proves that the run has ended.
	runEnded    bool
	refused     bool
	unreachable bool
	cancelled   bool
	// connChecked is set once the connection has been found usable for this attempt.
	connChecked bool
	// conn carries the attempt. It is nil until connChecked is set, and after the attempt.
	conn *trackedConn
}

// trackedConn is a connection that records the progress of reads and writes in the attempt of its slot.
type trackedConn struct {
	net.Conn
	slot *endpointSlot
	// used is set by the first request. Later requests first check that the connection is still open.
	used bool
}

// Write sends b unless the attempt was cancelled or the endpoint has closed the connection. The request
// counts as sent only once the operating system has accepted some bytes, since none can have reached
// the endpoint before that.
func (c *trackedConn) Write(b []byte) (int, error) {
	if err := c.ensureUsable(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	a := &c.slot.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > 0 && a.phase == pipe.PhaseUnsent {
		a.phase = pipe.PhaseSent
	}
	a.runEnded = a.runEnded || remoteClosed(err)
	return n, err
}

// ensureUsable checks, before the first byte of an attempt, that the attempt is not cancelled and that a
// reused connection is still open and has no unread bytes.
func (c *trackedConn) ensureUsable() error {
	a := &c.slot.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.connChecked {
		return nil
	}
	if a.cancelled {
		return errCancelled
	}
	if c.used && netpeek.Peek(c.Conn) != netpeek.Idle {
		return errStale
	}
	c.used = true
	a.connChecked = true
	a.conn = c
	return nil
}

// Read records the arrival of the response, and whether the endpoint closed the connection.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	a := &c.slot.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > 0 {
		a.phase = pipe.PhaseResponseStarted
	}
	a.runEnded = a.runEnded || remoteClosed(err)
	return n, err
}

// remoteClosed reports whether err proves that the endpoint closed the connection. The endpoint contract
// requires that a run has ended before its connection is closed.
func remoteClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// closeWrite tells the endpoint that the caller has disconnected. The read side stays open: the response
// or the close by the endpoint then proves that the run has ended.
func (c *trackedConn) closeWrite() {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
		return
	}
	_ = c.Conn.Close()
}
