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

// ReceivedBytes returns the bytes that all connections received.
func (e *Endpoint) ReceivedBytes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.receivedBytes
}

// faultyConn counts the bytes of one connection.
type faultyConn struct {
	net.Conn
	endpoint                 *Endpoint
	receivedBytes, sentBytes int
}

// Read implements net.Conn. The fault is looked up after the bytes arrived, since a kept
// connection already waits for them when the fault is switched on.
func (c *faultyConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	faults, _ := c.endpoint.currentFaults()
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
	faults, _ := c.endpoint.currentFaults()
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

// SyscallConn gives access to the descriptor, so that a run can look whether its connection is open.
func (c *faultyConn) SyscallConn() (syscall.RawConn, error) {
	if source, ok := c.Conn.(syscall.Conn); ok {
		return source.SyscallConn()
	}
	return nil, syscall.EINVAL
}
