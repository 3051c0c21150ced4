// Package capacity measures what a controller and the view of a gateway cost, over a stand-in of
// the platform's log. It only talks over loopback.
package capacity

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"turmericyoke/internal/transport"
)

// dialTimeout is ample on loopback.
const dialTimeout = 2 * time.Second

// Traffic counts bytes of connections as TCP payload: headers, framing and idle polls included.
type Traffic struct {
	in, out atomic.Int64
}

// Bytes are bytes received and sent.
type Bytes struct {
	In, Out int64
}

// Read returns the bytes so far.
func (t *Traffic) Read() Bytes { return Bytes{In: t.in.Load(), Out: t.out.Load()} }

// Minus returns the bytes since earlier.
func (b Bytes) Minus(earlier Bytes) Bytes {
	return Bytes{In: b.In - earlier.In, Out: b.Out - earlier.Out}
}

// Plus returns the sum.
func (b Bytes) Plus(other Bytes) Bytes { return Bytes{In: b.In + other.In, Out: b.Out + other.Out} }

// Client returns the client that processes use between each other, with its connections counted.
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

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	return n, err
}
