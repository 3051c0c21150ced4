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
	return &faultyConn{Conn: conn, endpoint: l.endpoint}, nil
}

// faultyConn counts the bytes of one connection.
type faultyConn struct {
	net.Conn
	endpoint       *Endpoint
	received, sent int
}

// Read implements net.Conn.
func (c *faultyConn) Read(b []byte) (int, error) {
	faults, _ := c.endpoint.switches()
	if faults.CloseAtByte > 0 {
		left := faults.CloseAtByte - c.received
		if left <= 0 {
			_ = c.Conn.Close()
			return 0, io.EOF
		}
		b = b[:min(len(b), left)]
	}
	n, err := c.Conn.Read(b)
	c.received += n
	return n, err
}

// Write implements net.Conn.
func (c *faultyConn) Write(b []byte) (int, error) {
	faults, _ := c.endpoint.switches()
	if faults.CutAnswerAt > 0 {
		left := max(faults.CutAnswerAt-c.sent, 0)
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
