package endpointsvc

import (
	"io"
	"net"
	"syscall"
)

// faultyListener breaks connections as the faults of its endpoint say.
type faultyListener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept implements net.Listener.
func (l *faultyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.endpoint.noteAccepted()
	return &faultyConn{Conn: conn, endpoint: l.endpoint}, nil
}

func (e *Endpoint) noteAccepted() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accepted++
}

func (e *Endpoint) noteReceived(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received += count
}

// ReceivedBytes returns the bytes that all connections received.
func (e *Endpoint) ReceivedBytes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received
}

// faultyConn counts the bytes of one connection.
type faultyConn struct {
	net.Conn
	endpoint       *Endpoint
	received, sent int
}

// Read implements net.Conn. The fault is looked up after the bytes arrived, since a kept
// connection already waits for them when the fault is switched on.
func (c *faultyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	faults, _ := c.endpoint.switches()
	if left := faults.CloseAtByte - c.received; faults.CloseAtByte > 0 && n >= left {
		_ = c.Conn.Close()
		n, err = max(left, 0), io.EOF
	}
	c.received += n
	c.endpoint.noteReceived(n)
	return n, err
}

// Write implements net.Conn.
func (c *faultyConn) Write(b []byte) (int, error) {
	faults, _ := c.endpoint.switches()
	if faults.CutResponse {
		left := max(faults.CutResponseAt-c.sent, 0)
		if left < len(b) {
			n, _ := c.Conn.Write(b[:left])
			_ = c.Conn.Close()
			return n, io.ErrClosedPipe
		}
	}
	n, err := c.Conn.Write(b)
	c.sent += n
	return n, err
}

// SyscallConn gives access to the descriptor, so that a run can look whether its connection is open.
func (c *faultyConn) SyscallConn() (syscall.RawConn, error) {
	if source, ok := c.Conn.(syscall.Conn); ok {
		return source.SyscallConn()
	}
	return nil, syscall.EINVAL
}
