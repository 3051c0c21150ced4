package endpoints

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/structs"
)

// scriptedConn is a connection to an endpoint that sends one response.
type scriptedConn struct {
	net.Conn
	response io.Reader
	// onWrite and onRead are called before each write and read.
	onWrite, onRead func()
	closed          atomic.Bool
}

func (c *scriptedConn) Read(b []byte) (int, error) {
	c.onRead()
	return c.response.Read(b)
}

func (c *scriptedConn) Write(b []byte) (int, error) {
	c.onWrite()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return len(b), nil
}

func (c *scriptedConn) Close() error {
	c.closed.Store(true)
	return nil
}

func (*scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (*scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*scriptedConn) SetDeadline(time.Time) error      { return nil }
func (*scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (*scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against a caller that disconnects at the end of its request, and thereby ends the next request on the slot.
func TestLateDisconnectSparesTheNextRequest(t *testing.T) {
	// With one processor, the function that the end of a context calls runs once the caller's goroutine yields.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	disconnecting, disconnect := context.WithCancel(t.Context())
	yield := runtime.Gosched
	conns := []*scriptedConn{{onRead: disconnect, onWrite: func() {}}, {onRead: func() {}, onWrite: yield}}
	for _, conn := range conns {
		conn.response = strings.NewReader("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	}
	dialed := 0
	dial := func(string, time.Duration) (net.Conn, error) {
		dialed++
		return conns[dialed-1], nil
	}
	table := New(Config{Self: "g0", Zone: "z1", Now: time.Now, OnSlotFreed: func(string) {}, Dial: dial, Limits: Limits{ConnectTimeout: time.Second, HeaderBytes: 4096, ResponseBytes: 4096}})
	slot := newEndpointSlot(table, &endpointState{Endpoint: structs.Endpoint{Host: "h0", Address: "10.0.0.1:1"}})
	for _, ctx := range []context.Context{disconnecting, t.Context()} {
		request, response := &fasthttp.Request{}, &fasthttp.Response{}
		request.SetRequestURI("http://10.0.0.1:1/")
		report := slot.Do(ctx, request, response, time.Now().Add(10*time.Second))
		assert.NilError(t, report.Err)
	}
	assert.Equal(t, dialed, 2)
}
