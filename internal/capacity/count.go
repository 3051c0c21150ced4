// Package capacity measures the processor time, memory and traffic of controllers and of the client
// with which a gateway follows the view, against a stand-in for the platform's log. It uses only
// loopback connections.
package capacity

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"turmericyoke/internal/transport"
)

// dialTimeout bounds the connection setup. All connections are on loopback, so it is ample.
const dialTimeout = 2 * time.Second

// Traffic counts the bytes that its clients receive and send as TCP payload, which includes headers,
// framing and idle polls.
type Traffic struct {
	received, sent atomic.Int64
}

// Bytes holds numbers of bytes received and sent.
type Bytes struct {
	Received, Sent int64
}

// Total returns the bytes counted so far.
func (t *Traffic) Total() Bytes { return Bytes{Received: t.received.Load(), Sent: t.sent.Load()} }

// Sub returns the difference from an earlier count.
func (b Bytes) Sub(earlier Bytes) Bytes {
	return Bytes{Received: b.Received - earlier.Received, Sent: b.Sent - earlier.Sent}
}

// Add returns the sum of both counts.
func (b Bytes) Add(other Bytes) Bytes {
	return Bytes{Received: b.Received + other.Received, Sent: b.Sent + other.Sent}
}

// Client returns an HTTP client set up as for calls between processes, whose bytes t counts.
func (t *Traffic) Client() (*http.Client, error) {
	link, err := transport.New(transport.TLS{Plaintext: true})
	if err != nil {
		return nil, err
	}
	client := link.Client()
	dialer := &net.Dialer{Timeout: dialTimeout}
	client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: t}, nil
	}
	return client, nil
}

// countedConn adds the bytes of a connection to traffic.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}
