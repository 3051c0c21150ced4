package gateway_test

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/netpeek"
	"turmericyoke/internal/standin/endpointsvc"
)

// checkOutcome fails if the outcome in the response contradicts the number of runs or the body.
func checkOutcome(t *testing.T, got callerResponse, runs int, wantBody string) {
	t.Helper()
	switch got.outcome {
	case "done":
		assert.Equal(t, runs, 1)
		assert.Equal(t, got.body, wantBody)
	case "not_run":
		assert.Equal(t, runs, 0, "the outcome is not_run, but the request ran")
	case "outcome_unknown":
		assert.Assert(t, runs <= 1)
	default:
		t.Fatalf("the response has the unexpected outcome %q", got.outcome)
	}
}

// Guards against a second run of a non-idempotent request, and against a wrong outcome in its response, if
// the endpoint closes the connection at any byte of the request. This is tested on a new connection and on a
// reused one, on which HTTP clients commonly send a request again by themselves.
func TestEndpointClosesAtEachByteOfRequest(t *testing.T) {
	const body = "a tally that must count once"
	for _, reused := range []bool{false, true} {
		countByOutcome := map[string]int{}
		for cut := 0; cut < 260; cut++ {
			got, runs := sendWithRequestCut(t, reused, cut, body)
			checkOutcome(t, got, runs, body)
			countByOutcome[got.outcome]++
		}
		t.Logf("reused connection %t, requests by outcome: %v", reused, countByOutcome)
		assert.Assert(t, countByOutcome["done"] > 0 && countByOutcome["outcome_unknown"] > 0)
	}
}

// sendWithRequestCut sends one POST request to an endpoint that closes the connection after cut bytes of the
// request. It returns the response and the number of runs.
func sendWithRequestCut(t *testing.T, reused bool, cut int, body string) (callerResponse, int) {
	zone := newTestZone(t)
	endpoint := zone.addEndpoint("desk", endpointsvc.Config{Slots: 1})
	gw := zone.addGateway("z1", map[string]uint64{"a": 10}, nil)
	zone.publish()
	if reused {
		// The first request sets up the connection. The second one has the same size, since the number of digits of
		// its ID and deadline is the same.
		sendRequest(t, gw, "POST", "/v1/pools/desk/x", body)
		cut += endpoint.ReceivedBytes()
	}
	endpoint.SetFaults(endpointsvc.Faults{CloseAtByte: max(cut, 1)})
	got := sendRequest(t, gw, "POST", "/v1/pools/desk/x", body)
	return got, endpoint.Runs(got.id)
}

// Guards against a truncated response that is returned as complete, and against a retry of a request that
// ran, if the response of the endpoint ends at any byte.
func TestResponseCutAtEachByte(t *testing.T) {
	body := strings.Repeat("pearl ", 20)
	for cut := range 300 {
		zone := newTestZone(t)
		endpoint := zone.addEndpoint("desk", endpointsvc.Config{})
		gw := zone.addGateway("z1", map[string]uint64{"a": 10}, nil)
		zone.publish()
		endpoint.SetFaults(endpointsvc.Faults{CutResponse: true, CutResponseAt: cut})
		got := sendRequest(t, gw, "POST", "/v1/pools/desk/x", body)
		assert.Equal(t, endpoint.Runs(got.id), 1)
		if got.outcome == "done" {
			assert.Equal(t, got.body, body)
			continue
		}
		assert.Equal(t, got.outcome, "outcome_unknown")
		if cut > 0 {
			assert.Equal(t, got.kind, string(fault.ResponseTruncated))
		}
		assert.Equal(t, gw.rights.Free("a"), uint64(10), "the endpoint closed the connection, so the run has ended and its right must be released")
	}
}

// Guards against responses without a body, and therefore without a length, that are taken for truncated ones.
func TestResponsesWithoutBody(t *testing.T) {
	status := 200
	zone := newTestZone(t)
	zone.addEndpoint("desk", endpointsvc.Config{Body: []byte("12345"), OnRun: func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(status) }})
	gw := zone.addGateway("z1", map[string]uint64{"a": 10}, nil)
	zone.publish()
	for _, status = range []int{200, 204, 304, 404} {
		for _, method := range []string{"HEAD", "GET", "POST"} {
			got := sendRequest(t, gw, method, "/v1/pools/desk/x", "")
			assert.Equal(t, got.outcome, "done", "%s %d", method, status)
			assert.Equal(t, got.status, status)
			assert.Equal(t, got.body == "12345", method != "HEAD" && status != 204 && status != 304)
		}
	}
}

// Guards the retry of idempotent requests on another endpoint, and against a retry of other requests.
func TestRetryGoesToAnotherEndpoint(t *testing.T) {
	for _, test := range []struct {
		method, key string
		outcome     string
	}{{"GET", "", "done"}, {"POST", "k1", "done"}, {"POST", "", "outcome_unknown"}} {
		zone := newTestZone(t)
		broken := zone.addEndpoint("desk", endpointsvc.Config{Slots: 9})
		healthy := zone.addEndpoint("desk", endpointsvc.Config{Slots: 8})
		gw := zone.addGateway("z1", map[string]uint64{"a": 10}, nil)
		zone.publish()
		broken.SetFaults(endpointsvc.Faults{CutResponse: true, CutResponseAt: 30})
		got := sendRequest(t, gw, test.method, "/v1/pools/desk/x", "", "Idempotency-Key", test.key)
		assert.Equal(t, got.outcome, test.outcome)
		assert.Equal(t, broken.Runs(got.id), 1)
		if test.outcome == "done" {
			assert.Equal(t, healthy.Runs(got.id), 1)
		} else {
			assert.Equal(t, healthy.Stats().Runs, 0)
		}
	}
}

// Guards against an idempotent request that is reported as not run because its retry wasn't, although its first
// attempt ran.
func TestRetryThatIsRefusedLeavesOutcomeUnknown(t *testing.T) {
	zone := newTestZone(t)
	broken := zone.addEndpoint("desk", endpointsvc.Config{Slots: 9})
	leaving := zone.addEndpoint("desk", endpointsvc.Config{Slots: 8})
	gw := zone.addGateway("z1", map[string]uint64{"a": 10}, nil)
	zone.publish()
	broken.SetFaults(endpointsvc.Faults{CutResponse: true, CutResponseAt: 30})
	leaving.SetDraining(true)
	got := sendRequest(t, gw, "PUT", "/v1/pools/desk/x", "body")
	assert.Equal(t, broken.Runs(got.id), 1)
	assert.Equal(t, leaving.Stats().Refused, 1)
	assert.Equal(t, got.outcome, "outcome_unknown")
	assert.Equal(t, got.kind, string(fault.OutcomeUnknown))
}

// Guards the retry budget: if all responses are truncated, there are at most a tenth as many retries as
// requests, and the 3 initial ones.
func TestRetryBudget(t *testing.T) {
	zone := newTestZone(t)
	for range 2 {
		zone.addEndpoint("desk", endpointsvc.Config{}).SetFaults(endpointsvc.Faults{CutResponse: true, CutResponseAt: 30})
	}
	gw := zone.addGateway("z1", map[string]uint64{"a": 10}, nil)
	zone.publish()
	const requests = 100
	for range requests {
		sendRequest(t, gw, "GET", "/v1/pools/desk/x", "")
	}
	runs := zone.endpoints[0].Stats().Runs + zone.endpoints[1].Stats().Runs
	assert.Assert(t, runs > requests && runs <= requests+requests/10+3, "%d runs of the requests", runs)
}

// Guards against a late response that is returned for the next request: the connection of a request that
// timed out must be closed.
func TestTimedOutConnectionIsNotReused(t *testing.T) {
	zone := newTestZone(t)
	endpoint := zone.addEndpoint("desk", endpointsvc.Config{Slots: 2, RunTime: 150 * time.Millisecond})
	gw := zone.addGateway("z1", map[string]uint64{"a": 10}, nil)
	zone.publish()
	endpoint.SetFaults(endpointsvc.Faults{IgnoreDeadline: true})
	late := sendRequest(t, gw, "POST", "/v1/pools/desk/x", "first", "X-Deadline-Ms", "30")
	assert.Equal(t, late.outcome, "outcome_unknown")
	assert.Equal(t, gw.rights.Free("a"), uint64(9), "the right must not be released before the deadline has passed at the endpoint")
	next := sendRequest(t, gw, "POST", "/v1/pools/desk/x", "second")
	assert.Equal(t, next.body, "second")
	assert.Equal(t, endpoint.Stats().AcceptedConnections, 2)
}

// Guards against unknown outcomes of requests for which an idle connection is used that the endpoint has
// closed. Nothing can have been sent on it, so a new connection must be used.
func TestIdleConnectionClosedByEndpoint(t *testing.T) {
	zone := newTestZone(t)
	endpoint := zone.addEndpoint("desk", endpointsvc.Config{Slots: 1, IdleTimeout: time.Millisecond})
	var current net.Conn
	gw := zone.addGateway("z1", map[string]uint64{"a": 1}, func(address string, timeout time.Duration) (net.Conn, error) {
		conn, err := net.DialTimeout("tcp", address, timeout)
		current = conn
		return conn, err
	})
	zone.publish()
	for range 3 {
		assert.Equal(t, sendRequest(t, gw, "POST", "/v1/pools/desk/x", "body").outcome, "done")
		for netpeek.Peek(current) != netpeek.Closed {
			runtime.Gosched()
		}
	}
	assert.Equal(t, endpoint.Stats().MaxRunsPerRequest, 1)
	assert.Equal(t, endpoint.Stats().AcceptedConnections, 3)
}

// Guards against responses that belong to another request or carry no request ID. Such a response proves
// nothing, even if it says that the request didn't run.
func TestResponsesToOtherRequestsAreNotTrusted(t *testing.T) {
	for _, faults := range []endpointsvc.Faults{{WrongRequestID: true}, {OmitRequestID: true}} {
		for _, draining := range []bool{false, true} {
			zone := newTestZone(t)
			endpoint := zone.addEndpoint("desk", endpointsvc.Config{})
			gw := zone.addGateway("z1", map[string]uint64{"a": 10}, nil)
			zone.publish()
			endpoint.SetFaults(faults)
			endpoint.SetDraining(draining)
			got := sendRequest(t, gw, "POST", "/v1/pools/desk/x", "mine")
			assert.Equal(t, got.outcome, "outcome_unknown")
			assert.Equal(t, got.kind, string(fault.OutcomeUnknown))
		}
	}
}

// Guards against new requests to an endpoint that refuses connections or reports that it is leaving. It must
// get none until its host epoch increases, even if later views are out of date and still contain it.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		t.Run(fmt.Sprintf("refuses=%t", refuses), func(t *testing.T) {
			zone := newTestZone(t)
			leaving := zone.addEndpoint("desk", endpointsvc.Config{Slots: 9})
			zone.addEndpoint("desk", endpointsvc.Config{})
			dials := 0
			refused := listen(t)
			assert.NilError(t, refused.Close())
			gw := zone.addGateway("z1", map[string]uint64{"a": 10}, func(address string, timeout time.Duration) (net.Conn, error) {
				if address == zone.view.Endpoints[0].Address {
					dials++
					if refuses {
						address = refused.Addr().String()
					}
				}
				return net.DialTimeout("tcp", address, timeout)
			})
			zone.publish()
			leaving.SetDraining(true)
			for range 5 {
				assert.Equal(t, sendRequest(t, gw, "POST", "/v1/pools/desk/x", "").outcome, "done")
				zone.publish()
			}
			assert.Equal(t, dials, 1)
			leaving.SetDraining(false)
			refuses = false
			zone.view.Endpoints[0].Epoch = 2
			zone.publish()
			got := sendRequest(t, gw, "POST", "/v1/pools/desk/x", "")
			assert.Equal(t, leaving.Runs(got.id), 1)
		})
	}
}
