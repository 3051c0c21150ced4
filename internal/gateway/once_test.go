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

// checkOutcome fails if the answer claims something about the run that isn't so.
func checkOutcome(t *testing.T, got callerResponse, runs int, want string) {
	t.Helper()
	switch got.outcome {
	case "done":
		assert.Equal(t, runs, 1)
		assert.Equal(t, got.body, want)
	case "not_run":
		assert.Equal(t, runs, 0, "a refusal said not run, but the request ran")
	case "outcome_unknown":
		assert.Assert(t, runs <= 1)
	default:
		t.Fatalf("outcome %q", got.outcome)
	}
}

// Guards against a second run of a non-idempotent request, and against false claims about its run,
// when the endpoint closes the connection at any byte of the request: on a new connection, and on a
// kept one, where HTTP clients commonly send again by themselves.
func TestEndpointClosesAtEachByteOfRequest(t *testing.T) {
	const body = "a tally that must count once"
	for _, kept := range []bool{false, true} {
		ended := map[string]int{}
		for cut := 0; cut < 260; cut++ {
			got, runs := sendWithRequestCut(t, kept, cut, body)
			checkOutcome(t, got, runs, body)
			ended[got.outcome]++
		}
		t.Logf("kept connection %t: %v", kept, ended)
		assert.Assert(t, ended["done"] > 0 && ended["outcome_unknown"] > 0)
	}
}

// sendWithRequestCut sends one POST on a connection that closes after cut bytes of it.
func sendWithRequestCut(t *testing.T, kept bool, cut int, body string) (callerResponse, int) {
	b := newTestZone(t)
	e := b.addEndpoint("desk", endpointsvc.Config{Slots: 1})
	n := b.addGateway("z1", map[string]uint64{"a": 10}, nil)
	b.publish()
	if kept {
		// The first request has a known size, since its id and deadline have a known number of digits.
		sendRequest(t, n, "POST", "/v1/pools/desk/x", body)
		cut += e.Received()
	}
	e.SetFaults(endpointsvc.Faults{CloseAtByte: max(cut, 1)})
	got := sendRequest(t, n, "POST", "/v1/pools/desk/x", body)
	return got, e.Runs(got.id)
}

// Guards against a short answer that is passed on as complete, and against a retry of a request
// that ran, when the answer ends at any byte.
func TestResponseCutAtEachByte(t *testing.T) {
	body := strings.Repeat("pearl ", 20)
	for cut := range 300 {
		b := newTestZone(t)
		e := b.addEndpoint("desk", endpointsvc.Config{})
		n := b.addGateway("z1", map[string]uint64{"a": 10}, nil)
		b.publish()
		e.SetFaults(endpointsvc.Faults{CutAnswer: true, CutAnswerAt: cut})
		got := sendRequest(t, n, "POST", "/v1/pools/desk/x", body)
		assert.Equal(t, e.Runs(got.id), 1)
		if got.outcome == "done" {
			assert.Equal(t, got.body, body)
			continue
		}
		assert.Equal(t, got.outcome, "outcome_unknown")
		if cut > 0 {
			assert.Equal(t, got.kind, string(fault.ResponseTruncated))
		}
		assert.Equal(t, n.rights.Free("a"), uint64(10), "the endpoint closed, so the run has ended")
	}
}

// Guards answers that have no body, and so no length, against being taken for cut ones.
func TestResponsesWithoutBody(t *testing.T) {
	status := 200
	b := newTestZone(t)
	b.addEndpoint("desk", endpointsvc.Config{Body: []byte("12345"), OnRun: func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(status) }})
	n := b.addGateway("z1", map[string]uint64{"a": 10}, nil)
	b.publish()
	for _, status = range []int{200, 204, 304, 404} {
		for _, method := range []string{"HEAD", "GET", "POST"} {
			got := sendRequest(t, n, method, "/v1/pools/desk/x", "")
			assert.Equal(t, got.outcome, "done", "%s %d", method, status)
			assert.Equal(t, got.status, status)
			assert.Equal(t, got.body == "12345", method != "HEAD" && status != 204 && status != 304)
		}
	}
}

// Guards the retry of idempotent requests: on another endpoint, and not for others.
func TestRetryGoesToAnotherEndpoint(t *testing.T) {
	for _, c := range []struct {
		method, key string
		outcome     string
	}{{"GET", "", "done"}, {"POST", "k1", "done"}, {"POST", "", "outcome_unknown"}} {
		b := newTestZone(t)
		broken := b.addEndpoint("desk", endpointsvc.Config{Slots: 9})
		healthy := b.addEndpoint("desk", endpointsvc.Config{Slots: 8})
		n := b.addGateway("z1", map[string]uint64{"a": 10}, nil)
		b.publish()
		broken.SetFaults(endpointsvc.Faults{CutAnswer: true, CutAnswerAt: 30})
		got := sendRequest(t, n, c.method, "/v1/pools/desk/x", "", "Idempotency-Key", c.key)
		assert.Equal(t, got.outcome, c.outcome)
		assert.Equal(t, broken.Runs(got.id), 1)
		if c.outcome == "done" {
			assert.Equal(t, healthy.Runs(got.id), 1)
		} else {
			assert.Equal(t, healthy.Stats().Runs, 0)
		}
	}
}

// Guards the retry budget: with every answer cut, retries stay within a tenth of the requests and the reserve.
func TestRetryBudget(t *testing.T) {
	b := newTestZone(t)
	for range 2 {
		b.addEndpoint("desk", endpointsvc.Config{}).SetFaults(endpointsvc.Faults{CutAnswer: true, CutAnswerAt: 30})
	}
	n := b.addGateway("z1", map[string]uint64{"a": 10}, nil)
	b.publish()
	const requests = 100
	for range requests {
		sendRequest(t, n, "GET", "/v1/pools/desk/x", "")
	}
	runs := b.endpoints[0].Stats().Runs + b.endpoints[1].Stats().Runs
	assert.Assert(t, runs > requests && runs <= requests+requests/10+3, "%d runs", runs)
}

// Guards against a late answer that reaches the next request: the connection of a timed-out request is closed.
func TestTimedOutConnectionIsNotReused(t *testing.T) {
	b := newTestZone(t)
	e := b.addEndpoint("desk", endpointsvc.Config{Slots: 2, Work: 150 * time.Millisecond})
	n := b.addGateway("z1", map[string]uint64{"a": 10}, nil)
	b.publish()
	e.SetFaults(endpointsvc.Faults{IgnoreDeadline: true})
	late := sendRequest(t, n, "POST", "/v1/pools/desk/x", "first", "X-Deadline-Ms", "30")
	assert.Equal(t, late.outcome, "outcome_unknown")
	assert.Equal(t, n.rights.Free("a"), uint64(9), "the run may go on until its deadline has passed at the endpoint")
	next := sendRequest(t, n, "POST", "/v1/pools/desk/x", "second")
	assert.Equal(t, next.body, "second")
	assert.Equal(t, e.Stats().Accepted, 2)
}

// Guards against unknown outcomes for requests that meet a connection which the endpoint had closed
// while it was idle: nothing was sent on it, so another one is used.
func TestIdleConnectionClosedByEndpoint(t *testing.T) {
	b := newTestZone(t)
	e := b.addEndpoint("desk", endpointsvc.Config{Slots: 1, IdleTimeout: time.Millisecond})
	var kept net.Conn
	n := b.addGateway("z1", map[string]uint64{"a": 1}, func(address string, timeout time.Duration) (net.Conn, error) {
		conn, err := net.DialTimeout("tcp", address, timeout)
		kept = conn
		return conn, err
	})
	b.publish()
	for range 3 {
		assert.Equal(t, sendRequest(t, n, "POST", "/v1/pools/desk/x", "body").outcome, "done")
		for netpeek.Look(kept) != netpeek.Closed {
			runtime.Gosched()
		}
	}
	assert.Equal(t, e.Stats().MostRuns, 1)
	assert.Equal(t, e.Stats().Accepted, 3)
}

// Guards against answers of other requests, also when such an answer says that nothing ran.
func TestResponsesToOtherRequestsAreNotTrusted(t *testing.T) {
	for _, faults := range []endpointsvc.Faults{{Crossed: true}, {Anonymous: true}} {
		for _, draining := range []bool{false, true} {
			b := newTestZone(t)
			e := b.addEndpoint("desk", endpointsvc.Config{})
			n := b.addGateway("z1", map[string]uint64{"a": 10}, nil)
			b.publish()
			e.SetFaults(faults)
			e.SetDraining(draining)
			got := sendRequest(t, n, "POST", "/v1/pools/desk/x", "mine")
			assert.Equal(t, got.outcome, "outcome_unknown")
			assert.Equal(t, got.kind, string(fault.OutcomeUnknown))
		}
	}
}

// Guards against new work for endpoints that refuse connections or say that they are leaving, also
// when a stale view still has them, until their host epoch rises.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		t.Run(fmt.Sprintf("refuses=%t", refuses), func(t *testing.T) {
			b := newTestZone(t)
			leaving := b.addEndpoint("desk", endpointsvc.Config{Slots: 9})
			b.addEndpoint("desk", endpointsvc.Config{})
			dials := 0
			refused := listen(t)
			assert.NilError(t, refused.Close())
			n := b.addGateway("z1", map[string]uint64{"a": 10}, func(address string, timeout time.Duration) (net.Conn, error) {
				if address == b.view.Endpoints[0].Address {
					dials++
					if refuses {
						address = refused.Addr().String()
					}
				}
				return net.DialTimeout("tcp", address, timeout)
			})
			b.publish()
			leaving.SetDraining(true)
			for range 5 {
				assert.Equal(t, sendRequest(t, n, "POST", "/v1/pools/desk/x", "").outcome, "done")
				b.publish()
			}
			assert.Equal(t, dials, 1)
			leaving.SetDraining(false)
			refuses = false
			b.view.Endpoints[0].Epoch = 2
			b.publish()
			got := sendRequest(t, n, "POST", "/v1/pools/desk/x", "")
			assert.Equal(t, leaving.Runs(got.id), 1)
		})
	}
}
