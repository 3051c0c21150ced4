package endpointsvc

import (
	"io"
	"net"
	"syscall"
)

// faultyListener accepts connections that have the faults of its endpoint.
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
	l.endpoint.countConnection()
	return &faultyConn{Conn: conn, endpoint: l.endpoint}, nil
}

func (e *Endpoint) countConnection() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acceptedConnections++
}

func (e *Endpoint) addReceivedBytes(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.receivedBytes += n
}

// ReceivedBytes returns the number of bytes received on all connections.
func (e *Endpoint) ReceivedBytes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.receivedBytes
}

// faultyConn counts the bytes of a connection and closes it as the faults of its endpoint require.
type faultyConn struct {
	net.Conn
	endpoint                 *Endpoint
	receivedBytes, sentBytes int
}

// Read implements net.Conn. The faults are read after data has arrived, since an idle keep-alive
// connection is already blocked in Read when a fault is switched on.
func (c *faultyConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	faults, _ := c.endpoint.currentState()
	if remaining := faults.CloseAtByte - c.receivedBytes; faults.CloseAtByte > 0 && n >= remaining {
		_ = c.Conn.Close()
		n, err = max(remaining, 0), io.EOF
	}
	c.receivedBytes += n
	c.endpoint.addReceivedBytes(n)
	return n, err
}

// Write implements net.Conn.
func (c *faultyConn) Write(data []byte) (int, error) {
	faults, _ := c.endpoint.currentState()
	if faults.CutResponse {
		remaining := max(faults.CutResponseAt-c.sentBytes, 0)
		if remaining < len(data) {
			n, _ := c.Conn.Write(data[:remaining])
			_ = c.Conn.Close()
			return n, io.ErrClosedPipe
		}
	}
	n, err := c.Conn.Write(data)
	c.sentBytes += n
	return n, err
}

// SyscallConn implements syscall.Conn, so that a run can check whether its connection is still open.
func (c *faultyConn) SyscallConn() (syscall.RawConn, error) {
	if source, ok := c.Conn.(syscall.Conn); ok {
		return source.SyscallConn()
	}
	return nil, syscall.EINVAL
}
