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

// errStale is a kept connection that the endpoint closed, or on which it sent unasked bytes.
var errStale = errors.New("the kept connection isn't usable any more")

// errCancelled is an attempt whose caller left before the first byte was written.
var errCancelled = errors.New("the caller left before the request was sent")

// attempt tracks how far one request came on the connection of a lane.
type attempt struct {
	mu          sync.Mutex
	phase       pipe.Phase
	runEnded    bool
	refused     bool
	unreachable bool
	cancelled   bool
	// connChecked is set once the connection was found usable for this attempt.
	connChecked bool
	conn        *trackedConn
}

// trackedConn is a connection that reports to the attempt of its lane what passes over it.
type trackedConn struct {
	net.Conn
	slot *endpointSlot
	// used is set once a request was written; a later one first checks that the connection is still open.
	used bool
}

// Write sends b unless the attempt was cancelled or the endpoint has closed the connection. Bytes
// count as sent only when the operating system took some of them, since nothing can reach the
// endpoint before.
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

// ensureUsable finds out before the first byte of an attempt whether the connection may carry it.
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
	if c.used && netpeek.Look(c.Conn) != netpeek.Quiet {
		return errStale
	}
	c.used = true
	a.connChecked = true
	a.conn = c
	return nil
}

// Read notes the first byte of the answer and the close of the endpoint's side.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	a := &c.slot.attempt
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > 0 {
		a.phase = pipe.PhaseAnswering
	}
	a.runEnded = a.runEnded || remoteClosed(err)
	return n, err
}

// remoteClosed reports whether err proves that the other side closed the connection. By contract
// an endpoint has ended a run whose connection it closed.
func remoteClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// closeWrite tells the endpoint that the caller left. The answer or the close of the endpoint's
// side then proves that the run has ended.
func (c *trackedConn) closeWrite() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
		return
	}
	_ = c.Conn.Close()
}
