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

// Guards against a run that goes on after its caller has disconnected, and against a right or slot that isn't
// released then. This is tested on the gateway that accepted the request, and on a peer to which it was
// forwarded.
func TestCallerDisconnects(t *testing.T) {
	for gatewayCount := 1; gatewayCount <= 2; gatewayCount++ {
		zone := newTestZone(t)
		started, closed := make(chan struct{}), make(chan struct{})
		endpoint := zone.addEndpoint("desk", endpointsvc.Config{
			Slots: 8, RunTime: time.Hour,
			OnRun:        func(*fasthttp.RequestCtx) { started <- struct{}{} },
			OnDisconnect: func() { closed <- struct{}{} },
		})
		for range gatewayCount {
			zone.addGateway("z1", map[string]uint64{}, nil)
		}
		zone.gateways[gatewayCount-1].rights.free["a"] = 1
		zone.publish()
		zone.awaitMembers(t.Context())
		for range 2 {
			conn, err := net.Dial("tcp", zone.gateways[0].address)
			assert.NilError(t, err)
			_, err = fmt.Fprintf(conn, "POST /v1/pools/desk/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", secretA)
			assert.NilError(t, err)
			<-started
			assert.NilError(t, conn.Close())
			<-closed
		}
		assert.Equal(t, endpoint.Stats().PeakRunning, 1)
	}
}

// Guards against endpoints that receive the caller's key or its hop-by-hop headers, against the loss of other
// headers, and against changes to the path.
func TestHeadersRemovedBeforeEndpoint(t *testing.T) {
	zone := newTestZone(t)
	var headers, uri string
	zone.addEndpoint("desk", endpointsvc.Config{OnRun: func(ctx *fasthttp.RequestCtx) {
		headers = string(ctx.Request.Header.Header())
		uri = string(ctx.RequestURI())
	}})
	gw := zone.addGateway("z1", map[string]uint64{"a": 1}, nil)
	zone.publish()
	got := sendRequest(t, gw, "POST", "/v1/pools/desk/a%2Fb/../c?q=1", "", "Connection", "X-Hop, keep-alive", "X-Hop", "1",
		"Te", "trailers", "Proxy-Authorization", "p", "X-Request-Id", "mine", "X-Kept", "yes")
	for _, name := range []string{secretA, "X-Hop", "Te:", "Proxy-", "Connection", "mine"} {
		assert.Assert(t, !strings.Contains(headers, name), "the endpoint received %s in %s", name, headers)
	}
	assert.Assert(t, strings.Contains(headers, "X-Kept: yes"))
	assert.Assert(t, strings.Contains(headers, "X-Request-Id: "+got.id))
	assert.Assert(t, strings.Contains(headers, "X-Deadline-Ms: "))
	assert.Equal(t, uri, "/a%2Fb/../c?q=1")
}

// Guards against requests beyond the limits on bodies and headers that reach an endpoint, and against invalid
// requests that are refused without a record.
func TestRequestLimits(t *testing.T) {
	zone := newTestZone(t)
	endpoint := zone.addEndpoint("desk", endpointsvc.Config{})
	gw := zone.addGateway("z1", map[string]uint64{"a": 1}, nil)
	zone.publish()
	large := strings.Repeat("x", 64<<10)
	assert.Equal(t, sendRequest(t, gw, "POST", "/v1/pools/desk/x", large).outcome, "done")
	assert.Equal(t, sendRequest(t, gw, "POST", "/v1/pools/desk/x", large+"x").kind, string(fault.RequestTooLarge))
	assert.Equal(t, sendRequest(t, gw, "POST", "/v1/pools/desk/x", "", "X-Big", large[:5000]).kind, string(fault.RequestTooLarge))
	assert.Equal(t, sendChunked(t, gw, large+"x"), string(fault.RequestTooLarge))
	assert.Equal(t, sendChunked(t, gw, large), "")
	assert.Equal(t, sendRequest(t, gw, "POST", "/v1/pools/desk/x", "", "X-Deadline-Ms", "soon").kind, string(fault.RequestInvalid))
	assert.Equal(t, gw.sink.Count(fault.RequestTooLarge), uint64(3))
	sendRaw(t, gw, "GET /v1/po")
	assert.Equal(t, sendRaw(t, gw, "no request line\r\n\r\n"), string(fault.RequestInvalid))
	// One of them is the request with the invalid deadline. An incomplete request line isn't recorded.
	assert.Equal(t, gw.sink.Count(fault.RequestInvalid), uint64(2))
	assert.Equal(t, endpoint.Stats().Runs, 2)
}

// sendChunked sends a request without a Content-Length header, and returns the kind of the refusal, if any.
func sendChunked(t *testing.T, gw *testGateway, body string) string {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + gw.address + "/v1/pools/desk/x")
	request.Header.SetMethod("POST")
	request.Header.Set("Authorization", "Bearer "+secretA)
	request.SetBodyStream(strings.NewReader(body), -1)
	assert.NilError(t, callerClient.Do(request, response))
	return string(response.Header.Peek("X-Refusal-Kind"))
}

// sendRaw sends the text, closes its side of the connection, and returns the kind of the refusal, if any.
func sendRaw(t *testing.T, gw *testGateway, text string) string {
	conn, err := net.Dial("tcp", gw.address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, text)
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	var response fasthttp.Response
	if err := response.Read(bufio.NewReader(conn)); err != nil {
		return ""
	}
	return string(response.Header.Peek("X-Refusal-Kind"))
}

// Guards the admission of requests: keys that fail closed if the view is out of date, requests without a key
// in an open pool, teams with an upper limit of 0, an expired lease, and keys that were removed.
func TestAdmission(t *testing.T) {
	zone := newTestZone(t)
	zone.addEndpoint("desk", endpointsvc.Config{})
	zone.addEndpoint("open", endpointsvc.Config{})
	gw := zone.addGateway("z1", map[string]uint64{"a": 1, "b": 1}, nil)
	zone.view.Keys[0].FailClosedAfter = structs.Duration(time.Minute)
	zone.publishAt(time.Time{})
	assert.Equal(t, sendRequest(t, gw, "GET", "/v1/pools/desk/x", "").kind, string(fault.KeyFreshnessUnknown))
	zone.publishAt(time.Now().Add(-2 * time.Minute))
	assert.Equal(t, sendRequest(t, gw, "GET", "/v1/pools/desk/x", "").kind, string(fault.KeyFreshnessUnknown))
	zone.publishAt(time.Now())
	assert.Equal(t, sendRequest(t, gw, "GET", "/v1/pools/desk/x", "").outcome, "done")
	assert.Equal(t, sendRequest(t, gw, "GET", "/v1/pools/open/x", "", "Authorization", "").outcome, "done")

	zone.view.Teams[1].UpperLimit = 0
	zone.publish()
	assert.Equal(t, sendRequest(t, gw, "GET", "/v1/pools/open/x", "", "Authorization", "").kind, string(fault.TeamLimit))
	gw.rights.mu.Lock()
	gw.rights.lapsed = true
	gw.rights.mu.Unlock()
	got := sendRequest(t, gw, "GET", "/v1/pools/desk/x", "")
	assert.Equal(t, got.kind, string(fault.LeaseLapsed))
	assert.Equal(t, got.retryAfter, "1")
	zone.view.Keys = nil
	zone.publish()
	assert.Equal(t, sendRequest(t, gw, "GET", "/v1/pools/desk/x", "").kind, string(fault.KeyUnknown))
}

// Guards against callers who are told that their key or pool doesn't exist by a gateway that has no view yet, or one
// from before the key or pool was accepted.
func TestAbsenceNeedsCurrentView(t *testing.T) {
	zone := newTestZone(t)
	zone.addEndpoint("desk", endpointsvc.Config{})
	gw := zone.addGateway("z1", map[string]uint64{"a": 1}, nil)
	newKey := []string{"Authorization", "Bearer new-key"}
	assert.Equal(t, sendRequest(t, gw, "GET", "/v1/pools/desk/x", "").kind, string(fault.KeyFreshnessUnknown))
	assert.Equal(t, sendRequest(t, gw, "GET", "/v1/pools/open/x", "", "Authorization", "").kind, string(fault.KeyFreshnessUnknown))

	zone.publishAt(time.Now().Add(-time.Minute))
	got := sendRequest(t, gw, "GET", "/v1/pools/desk/x", "", newKey...)
	assert.Equal(t, got.kind, string(fault.KeyFreshnessUnknown))
	assert.Equal(t, got.status, fasthttp.StatusServiceUnavailable)
	got = sendRequest(t, gw, "GET", "/v1/pools/new/x", "")
	assert.Equal(t, got.kind, string(fault.NotReady))
	assert.Equal(t, got.status, fasthttp.StatusServiceUnavailable)
	assert.Equal(t, sendRequest(t, gw, "GET", "/v1/pools/desk/x", "").outcome, "done")

	zone.publish()
	assert.Equal(t, sendRequest(t, gw, "GET", "/v1/pools/desk/x", "", newKey...).kind, string(fault.KeyUnknown))
	assert.Equal(t, sendRequest(t, gw, "GET", "/v1/pools/new/x", "").kind, string(fault.PoolUnknown))
}

// Guards against a key that is accepted after its failClosedAfter because the host was suspended, so that the monotonic
// clock stood still.
func TestKeyFailsClosedAfterASuspension(t *testing.T) {
	zone := newTestZone(t)
	zone.addEndpoint("desk", endpointsvc.Config{})
	gw := zone.addGateway("z1", map[string]uint64{"a": 1}, nil)
	zone.view.Keys[0].FailClosedAfter = structs.Duration(time.Minute)
	zone.publish()
	assert.Equal(t, sendRequest(t, gw, "GET", "/v1/pools/desk/x", "").outcome, "done")
	gw.suspended.Store(int64(time.Hour))
	assert.Equal(t, sendRequest(t, gw, "GET", "/v1/pools/desk/x", "").kind, string(fault.KeyFreshnessUnknown))
}

// Guards against keys that never fail closed in a zone that is cut off, because its gateways take the ages of each other's
// views for lower than they are.
func TestPeersReportTheWholeAgeOfTheirViews(t *testing.T) {
	zone := newTestZone(t)
	zone.addEndpoint("desk", endpointsvc.Config{})
	for range 2 {
		zone.addGateway("z1", map[string]uint64{"a": 1}, nil)
	}
	zone.view.Keys[0].FailClosedAfter = structs.Duration(2 * time.Hour)
	zone.publishAt(time.Now().Add(-3 * time.Hour))
	zone.awaitMembers(t.Context())
	// The gateway with the lower name calls the other one, and learns the age of its view.
	assert.Equal(t, sendRequest(t, zone.gateways[0], "GET", "/v1/pools/desk/x", "").kind, string(fault.KeyFreshnessUnknown))

	zone.publishAt(time.Now().Add(-time.Hour))
	assert.Equal(t, sendRequest(t, zone.gateways[0], "GET", "/v1/pools/desk/x", "").outcome, "done")
}

// Guards against a shutdown that cancels requests: running and waiting ones must complete.
func TestShutdownCompletesRequests(t *testing.T) {
	zone := newTestZone(t)
	const requests, slots = 12, 4
	release := make(chan struct{})
	zone.addEndpoint("desk", endpointsvc.Config{Slots: slots, OnRun: func(*fasthttp.RequestCtx) { <-release }})
	gw := zone.addGateway("z1", map[string]uint64{"a": 100}, nil)
	zone.publish()
	var calls sync.WaitGroup
	responses := make([]callerResponse, requests)
	for i := range requests {
		calls.Go(func() { responses[i] = sendRequest(t, gw, "POST", "/v1/pools/desk/x", "body") })
	}
	for gw.Waiting() < requests-slots {
		runtime.Gosched()
	}
	shutdown := make(chan error)
	go func() { shutdown <- gw.Shutdown(context.Background()) }()
	for !gw.Draining() {
		runtime.Gosched()
	}
	close(release)
	assert.NilError(t, <-shutdown)
	calls.Wait()
	for _, got := range responses {
		assert.Equal(t, got.outcome, "done")
	}
	assert.Equal(t, gw.Waiting(), 0)
}
