// Package nettest implements a network in memory, for tests of processes that freeze or lose messages. It works with
// the simulated time of package synctest.
package nettest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Network connects processes. Data that a process doesn't read is buffered, as by a kernel.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
}

// NewNetwork returns a network without processes.
func NewNetwork() *Network { return &Network{listeners: map[string]*Listener{}} }

// Listen returns a listener for the connections to address. It replaces an earlier one.
func (n *Network) Listen(address string) *Listener {
	listener := &Listener{network: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = listener
	return listener
}

// Dial connects to address.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	listener := n.listeners[address]
	n.mu.Unlock()
	if listener == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	client, clientEnd := net.Pipe()
	serverEnd, server := net.Pipe()
	go carry(serverEnd, clientEnd, &listener.DropsRequests, &listener.requestDelay)
	go carry(clientEnd, serverEnd, &listener.DropsResponses, &atomic.Int64{})
	select {
	case listener.conns <- &freezableConn{Conn: server, listener: listener}:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close stops all listeners. Connections stay open.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, listener := range n.listeners {
		delete(n.listeners, address)
		close(listener.closed)
	}
}

// carry copies data from one connection to another through an unbounded buffer, with a delay. Data is lost while drops is
// set.
func carry(to, from net.Conn, drops *atomic.Bool, delay *atomic.Int64) {
	chunks := make(chan []byte, 1<<16)
	go func() {
		defer to.Close()
		for chunk := range chunks {
			time.Sleep(time.Duration(delay.Load()))
			if _, err := to.Write(chunk); err != nil {
				return
			}
		}
	}()
	defer close(chunks)
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !drops.Load() {
			chunks <- append([]byte(nil), buffer[:n]...)
		}
		if err != nil {
			return
		}
	}
}

// Listener takes the connections to one address, for one process.
type Listener struct {
	network *Network
	address string
	conns   chan net.Conn
	closed  chan struct{}

	// DropsRequests and DropsResponses make data to and from the process get lost, without an error.
	DropsRequests, DropsResponses atomic.Bool

	requestDelay atomic.Int64

	mu          sync.Mutex
	frozenUntil time.Time
}

// DelayRequests delays data to the process.
func (l *Listener) DelayRequests(delay time.Duration) { l.requestDelay.Store(int64(delay)) }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It has no effect; Stop makes the network refuse connections.
func (l *Listener) Close() error { return nil }

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }

// Stop makes the network refuse further connections, unless another process listens at the address.
func (l *Listener) Stop() {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	close(l.closed)
}

// Freeze freezes the process for a time: it takes connections, but reads and writes nothing.
func (l *Listener) Freeze(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozenUntil = time.Now().Add(duration)
}

// awaitThaw returns once the process isn't frozen.
func (l *Listener) awaitThaw() {
	l.mu.Lock()
	until := l.frozenUntil
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// freezableConn is a connection of a process that may be frozen.
type freezableConn struct {
	net.Conn
	listener *Listener
}

func (c *freezableConn) Read(p []byte) (int, error) {
	c.listener.awaitThaw()
	n, err := c.Conn.Read(p)
	c.listener.awaitThaw()
	return n, err
}

func (c *freezableConn) Write(p []byte) (int, error) {
	c.listener.awaitThaw()
	return c.Conn.Write(p)
}
