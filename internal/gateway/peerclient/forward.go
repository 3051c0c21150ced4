package peerclient

import (
	"context"
	"math"
	"time"

	"github.com/valyala/fasthttp"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/dispatch"
	"turmericyoke/internal/gateway/pipe"
	"turmericyoke/internal/transport"
)

// PeerObserver is informed of the results of forwarded requests.
type PeerObserver interface {
	// ForwardRefused records that the peer didn't run a request of the pool and team.
	ForwardRefused(peer *pipe.Peer, pool, team string)
	// UpdateFree sets the free slots and rights that the peer reported when a request ended.
	UpdateFree(peer *pipe.Peer, pool, team string, slots, rights uint64)
	// ForwardEnded records that a forwarded request is no longer in progress.
	ForwardEnded(peer *pipe.Peer, pool, team string)
}

// Forwarder forwards requests to other gateways. It implements dispatch.Forwarder.
type Forwarder struct {
	PeerObserver
	clients *ClientPool
	// onSlotsFree is called when a peer reports free slots of the pool.
	onSlotsFree func(pool string)
	now         func() time.Time
}

// NewForwarder returns a Forwarder that calls peers with clients. onSlotsFree is called when a peer reports
// free slots of the pool.
func NewForwarder(clients *ClientPool, observer PeerObserver, onSlotsFree func(pool string), now func() time.Time) *Forwarder {
	return &Forwarder{PeerObserver: observer, clients: clients, onSlotsFree: onSlotsFree, now: now}
}

// Forward implements dispatch.Forwarder. A call that the peer may have processed is never repeated: it is a
// POST without an idempotency key, which net/http sends again only if no byte of it was processed.
func (f *Forwarder) Forward(ctx context.Context, peer *pipe.Peer, r *pipe.Request) dispatch.ForwardResult {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	defer f.ForwardEnded(peer, r.PoolName, r.Team)
	var trace transport.CallTrace
	response, err := f.clients.ForwardClient(peer.Address).Forward(trace.Context(ctx), f.forwardRequest(peer, r))
	if err != nil {
		return failedCall(peer, err, trace.Unsent(err))
	}
	f.UpdateFree(peer, r.PoolName, r.Team, response.GetFreeSlots(), response.GetFreeRights())
	if response.GetFreeSlots() > 0 {
		f.onSlotsFree(r.PoolName)
	}
	return forwardedResult(r.HTTPResponse, response)
}

// failedCall returns the result of a call that failed without a response. If no connection was made, the
// request can't have reached the peer and provably did not run; otherwise its outcome is unknown.
func failedCall(peer *pipe.Peer, err error, unsent bool) dispatch.ForwardResult {
	if unsent {
		return dispatch.ForwardResult{
			Outcome: pipe.OutcomeNotRun,
			Fault:   fault.Wrap(fault.EndpointUnavailable, err, "no connection to gateway %s", peer.Name),
		}
	}
	return dispatch.ForwardResult{
		Outcome: pipe.OutcomeUnknown, ConnectionLost: true,
		Fault: fault.Wrap(fault.OutcomeUnknown, err, "lost contact to gateway %s", peer.Name),
	}
}

// forwardRequest returns the message that forwards r to peer.
func (f *Forwarder) forwardRequest(peer *pipe.Peer, r *pipe.Request) *v1.ForwardRequest {
	now := f.now()
	message := &v1.ForwardRequest{
		Pool: r.PoolName, Team: r.Team, KeyId: r.KeyID,
		Method: string(r.HTTPRequest.Header.Method()), Path: r.Path, Body: r.HTTPRequest.Body(),
		TimeoutMs: milliseconds(r.Deadline.Sub(now)), QueueMs: milliseconds(r.QueueDeadline.Sub(now)), Idempotent: r.Idempotent,
		RightHeld: peer.RightHeld, CrossedZone: r.CrossedZone || peer.CrossesZone, Hops: r.Hops + 1,
	}
	for name, value := range r.HTTPRequest.Header.All() {
		message.Headers = append(message.Headers, &v1.Header{Name: string(name), Value: string(value)})
	}
	return message
}

// milliseconds returns duration in milliseconds, at least 1.
func milliseconds(duration time.Duration) uint32 {
	return uint32(min(max(duration.Milliseconds(), 1), math.MaxUint32))
}

// forwardedResult converts the peer's response, and copies the endpoint's response to httpResponse if it is
// complete. An outcome that this gateway doesn't know is treated as unknown.
func forwardedResult(httpResponse *fasthttp.Response, response *v1.ForwardResponse) dispatch.ForwardResult {
	switch response.GetOutcome() {
	case v1.RequestOutcome_REQUEST_OUTCOME_DONE:
		copyResponse(httpResponse, response)
		return dispatch.ForwardResult{Outcome: pipe.OutcomeDone}
	case v1.RequestOutcome_REQUEST_OUTCOME_NOT_RUN:
		return dispatch.ForwardResult{Outcome: pipe.OutcomeNotRun, Fault: peerFault(response, fault.EndpointUnavailable, true)}
	}
	return dispatch.ForwardResult{Outcome: pipe.OutcomeUnknown, Fault: peerFault(response, fault.OutcomeUnknown, false)}
}

// peerFault returns the fault in the peer's response. The kind is replaced by fallback if it is
// internal, or if it disagrees with notRun about whether the request ran.
func peerFault(response *v1.ForwardResponse, fallback fault.Kind, notRun bool) *fault.Error {
	kind := fault.Kind(response.GetKind())
	if kind == fault.Internal || fault.ResponseFor(kind).NotRun != notRun {
		kind = fallback
	}
	return fault.New(kind, "%s", response.GetDetail())
}

// copyResponse copies the endpoint's response, which the peer's response contains, to httpResponse.
func copyResponse(httpResponse *fasthttp.Response, response *v1.ForwardResponse) {
	httpResponse.Reset()
	httpResponse.SetStatusCode(int(response.GetStatus()))
	for _, header := range response.GetHeaders() {
		httpResponse.Header.Add(header.GetName(), header.GetValue())
	}
	httpResponse.SetBodyRaw(response.GetBody())
}
