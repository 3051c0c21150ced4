package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/standin/endpointsvc"
	"turmericyoke/internal/structs"
)

// Guards against work that goes on for a caller who has left, and against its right and slot being
// lost, on the gateway that accepted the request and on the peer that runs it.
func TestCallerDisconnects(t *testing.T) {
	for gateways := 1; gateways <= 2; gateways++ {
		b := newTestZone(t)
		started, closed := make(chan struct{}), make(chan struct{})
		e := b.addEndpoint("desk", endpointsvc.Config{
			Slots: 8, Work: time.Hour,
			OnRun:    func(*fasthttp.RequestCtx) { started <- struct{}{} },
			OnClosed: func() { closed <- struct{}{} },
		})
		for range gateways {
			b.addGateway("z1", map[string]uint64{}, nil)
		}
		b.gateways[gateways-1].rights.free["a"] = 1
		b.publish()
		b.awaitMembers(t.Context())
		for range 2 {
			conn, err := net.Dial("tcp", b.gateways[0].address)
			assert.NilError(t, err)
			_, err = fmt.Fprintf(conn, "POST /v1/pools/desk/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", secretA)
			assert.NilError(t, err)
			<-started
			assert.NilError(t, conn.Close())
			<-closed
		}
		assert.Equal(t, e.Stats().Peak, 1)
	}
}

// Guards the endpoint against the caller's key and hop-by-hop headers.
func TestHeadersRemovedBeforeEndpoint(t *testing.T) {
	b := newTestZone(t)
	var seen, uri string
	b.addEndpoint("desk", endpointsvc.Config{OnRun: func(ctx *fasthttp.RequestCtx) {
		seen = string(ctx.Request.Header.Header())
		uri = string(ctx.RequestURI())
	}})
	n := b.addGateway("z1", map[string]uint64{"a": 1}, nil)
	b.publish()
	got := sendRequest(t, n, "POST", "/v1/pools/desk/a%2Fb/../c?q=1", "", "Connection", "X-Hop, keep-alive", "X-Hop", "1",
		"Te", "trailers", "Proxy-Authorization", "p", "X-Request-Id", "mine", "X-Kept", "yes")
	for _, name := range []string{secretA, "X-Hop", "Te:", "Proxy-", "Connection", "mine"} {
		assert.Assert(t, !strings.Contains(seen, name), "%s in %s", name, seen)
	}
	assert.Assert(t, strings.Contains(seen, "X-Kept: yes"))
	assert.Assert(t, strings.Contains(seen, "X-Request-Id: "+got.id))
	assert.Assert(t, strings.Contains(seen, "X-Deadline-Ms: "))
	assert.Equal(t, uri, "/a%2Fb/../c?q=1")
}

// Guards the bounds on what callers send, and that a request beyond them is refused on record.
func TestRequestBounds(t *testing.T) {
	b := newTestZone(t)
	e := b.addEndpoint("desk", endpointsvc.Config{})
	n := b.addGateway("z1", map[string]uint64{"a": 1}, nil)
	b.publish()
	large := strings.Repeat("x", 64<<10)
	assert.Equal(t, sendRequest(t, n, "POST", "/v1/pools/desk/x", large).outcome, "done")
	assert.Equal(t, sendRequest(t, n, "POST", "/v1/pools/desk/x", large+"x").kind, string(fault.RequestTooLarge))
	assert.Equal(t, sendRequest(t, n, "POST", "/v1/pools/desk/x", "", "X-Big", large[:5000]).kind, string(fault.RequestTooLarge))
	assert.Equal(t, sendChunked(t, n, large+"x"), string(fault.RequestTooLarge))
	assert.Equal(t, sendChunked(t, n, large), "")
	assert.Equal(t, sendRequest(t, n, "POST", "/v1/pools/desk/x", "", "X-Deadline-Ms", "soon").kind, string(fault.RequestInvalid))
	assert.Equal(t, n.sink.Count(fault.RequestTooLarge), uint64(3))
	sendRaw(t, n, "GET /v1/po")
	assert.Equal(t, sendRaw(t, n, "no request line\r\n\r\n"), string(fault.RequestInvalid))
	// One comes from the deadline above; half a request line is no request on record.
	assert.Equal(t, n.sink.Count(fault.RequestInvalid), uint64(2))
	assert.Equal(t, e.Stats().Runs, 2)
}

// sendChunked sends a body without its length, and returns the kind of the refusal.
func sendChunked(t *testing.T, n *testGateway, body string) string {
	req, out := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + n.address + "/v1/pools/desk/x")
	req.Header.SetMethod("POST")
	req.Header.Set("Authorization", "Bearer "+secretA)
	req.SetBodyStream(strings.NewReader(body), -1)
	assert.NilError(t, callerClient.Do(req, out))
	return string(out.Header.Peek("X-Refusal-Kind"))
}

// sendRaw sends text and no more, and returns the kind of the refusal.
func sendRaw(t *testing.T, n *testGateway, text string) string {
	conn, err := net.Dial("tcp", n.address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, text)
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	var out fasthttp.Response
	if err := out.Read(bufio.NewReader(conn)); err != nil {
		return ""
	}
	return string(out.Header.Peek("X-Refusal-Kind"))
}

// Guards keys that fail closed, teams without a limit, requests without a key, and the lease.
func TestAdmission(t *testing.T) {
	b := newTestZone(t)
	b.addEndpoint("desk", endpointsvc.Config{})
	b.addEndpoint("open", endpointsvc.Config{})
	n := b.addGateway("z1", map[string]uint64{"a": 1, "b": 1}, nil)
	b.view.Keys[0].FailClosedAfter = structs.Duration(time.Minute)
	b.publishAt(time.Time{})
	assert.Equal(t, sendRequest(t, n, "GET", "/v1/pools/desk/x", "").kind, string(fault.KeyFreshnessUnknown))
	b.publishAt(time.Now().Add(-2 * time.Minute))
	assert.Equal(t, sendRequest(t, n, "GET", "/v1/pools/desk/x", "").kind, string(fault.KeyFreshnessUnknown))
	b.publishAt(time.Now())
	assert.Equal(t, sendRequest(t, n, "GET", "/v1/pools/desk/x", "").outcome, "done")
	assert.Equal(t, sendRequest(t, n, "GET", "/v1/pools/open/x", "", "Authorization", "").outcome, "done")

	b.view.Teams[1].UpperLimit = 0
	b.publish()
	assert.Equal(t, sendRequest(t, n, "GET", "/v1/pools/open/x", "", "Authorization", "").kind, string(fault.TeamLimit))
	n.rights.mu.Lock()
	n.rights.lapsed = true
	n.rights.mu.Unlock()
	got := sendRequest(t, n, "GET", "/v1/pools/desk/x", "")
	assert.Equal(t, got.kind, string(fault.LeaseLapsed))
	assert.Equal(t, got.retryAfter, "1")
	b.view.Keys = nil
	b.publish()
	assert.Equal(t, sendRequest(t, n, "GET", "/v1/pools/desk/x", "").kind, string(fault.KeyUnknown))
}

// Guards against a planned stop that cuts requests: running and queued ones get their answers.
func TestShutdownCompletesRequests(t *testing.T) {
	b := newTestZone(t)
	const requests, slots = 12, 4
	gate := make(chan struct{})
	b.addEndpoint("desk", endpointsvc.Config{Slots: slots, OnRun: func(*fasthttp.RequestCtx) { <-gate }})
	n := b.addGateway("z1", map[string]uint64{"a": 100}, nil)
	b.publish()
	var calls sync.WaitGroup
	answers := make([]callerResponse, requests)
	for i := range requests {
		calls.Go(func() { answers[i] = sendRequest(t, n, "POST", "/v1/pools/desk/x", "body") })
	}
	for n.Waiting() < requests-slots {
		runtime.Gosched()
	}
	stopped := make(chan error)
	go func() { stopped <- n.Shutdown(context.Background()) }()
	for !n.Draining() {
		runtime.Gosched()
	}
	close(gate)
	assert.NilError(t, <-stopped)
	calls.Wait()
	for _, got := range answers {
		assert.Equal(t, got.outcome, "done")
	}
	assert.Equal(t, n.Waiting(), 0)
}
