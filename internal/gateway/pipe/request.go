// Package pipe defines the request that the filters of a gateway process, and the chain of filters.
package pipe

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/rights"
	"turmericyoke/internal/structs"
)

// Outcome is what is known about the run of a request on an endpoint.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeUnset means that the request hasn't ended.
	OutcomeUnset Outcome = iota
	// OutcomeDone means that the complete response was received.
	OutcomeDone
	// OutcomeNotRun means that the request provably didn't run.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// String returns the name of the outcome that callers receive in the X-Outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not_run"
	case OutcomeUnknown:
		return "outcome_unknown"
	}
	return "unset"
}

// HTTP headers of requests from callers and to endpoints, and of their responses.
const (
	// HeaderRequestID is the ID of the request. An endpoint returns it unchanged in its response.
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline is the time left for the run in milliseconds, after which the endpoint ends it.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderNotRun is "1" in a 503 response of an endpoint that didn't run the request.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving is "1" in a response of an endpoint that accepts no new requests because it is leaving.
	HeaderLeaving = "X-Leaving"
	// HeaderOutcome is the outcome in a response to the caller.
	HeaderOutcome = "X-Outcome"
	// HeaderRefusalKind is the kind of the fault in a response to the caller.
	HeaderRefusalKind = "X-Refusal-Kind"
	// HeaderIdempotencyKey marks a request as idempotent in pools that permit that.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Request is a request that a gateway processes.
type Request struct {
	// ID identifies the request in the fleet. It consists of the incarnation of the gateway that accepted the
	// request and its number there.
	ID string
	// Number is the sequence number of the request on this gateway. It increases with each request of the
	// gateway's incarnation.
	Number  uint64
	Arrived time.Time
	// RefusalID is the ID of the record of the refusal. It is empty if the request wasn't recorded as refused.
	RefusalID string
	// Ctx ends when the caller disconnects or the gateway stops.
	Ctx context.Context

	// HTTPRequest is the caller's request, and HTTPResponse the response to it.
	HTTPRequest  *fasthttp.Request
	HTTPResponse *fasthttp.Response

	// PoolName is the name of the pool in the path.
	PoolName string
	// Path is the part of the URI after the pool, with the query.
	Path string
	// Pool is the pool in the configuration document.
	Pool  structs.Pool
	Team  string
	KeyID string
	// Share is the weight of the team in the division of a full pool.
	Share int
	// ConfigVersion is the configuration version with which the request was authenticated.
	ConfigVersion uint64
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Deadline is the latest end of the run, and QueueDeadline the latest end of the wait for a right and a slot.
	Deadline      time.Time
	QueueDeadline time.Time

	// Forwarded is set if another gateway forwarded the request to this one.
	Forwarded bool
	// RightHeld is set if the forwarding gateway keeps the right of the team.
	RightHeld bool
	// CrossedZone is set if the request was forwarded from another availability zone.
	CrossedZone bool
	// Hops is the number of times that the request was forwarded before it reached this gateway.
	Hops uint32

	// ExcludedHost is the host whose endpoint the next attempt must not use. It is empty if there is none.
	ExcludedHost string
	// Placement is set each time the request leaves the queue.
	Placement Placement

	// Outcome and Fault are set when the request ends. Fault is nil if the outcome is OutcomeDone.
	Outcome Outcome
	Fault   *fault.Error
	// Shortage is set if the request was refused because rights or slots were lacking.
	Shortage Shortage
}

// Shortage is the number of rights or slots that were free and needed when a request was refused.
type Shortage struct {
	Free, Needed uint64
}

// Placement is the right and the slot or peer that a request has when it leaves the queue.
type Placement struct {
	// Slot is set if the request runs on an endpoint of this gateway.
	Slot Slot
	// Peer is set if the request is forwarded to another gateway.
	Peer *Peer
	// Right is the right that the request uses. It is nil if the peer acquires one, or if the forwarding gateway
	// keeps it.
	Right *rights.AcquiredRight
}

// Peer is the gateway to which a request is forwarded, with the conditions under which it may run there.
type Peer struct {
	Name    string
	Address string
	// CrossesZone is set if the peer is in another availability zone.
	CrossesZone bool
	// RightHeld is set if the forwarding gateway keeps the right, so that the peer only needs a slot.
	RightHeld bool
	// MayQueue is set if the request may wait in the peer's queue.
	MayQueue bool
}

// Slot is a slot of an endpoint that was taken for one request.
type Slot interface {
	// Host returns the name of the endpoint's host.
	Host() string
	// Do sends the request once and reads the complete response, until the deadline.
	Do(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, deadline time.Time) AttemptReport
	// CloseConnection closes the connection of the slot, since its responses can't be trusted any more.
	CloseConnection()
	// Release returns the slot. It must be called exactly once.
	Release()
}

// Phase is the progress of an attempt.
type Phase uint8

// Phases of an attempt, in order.
const (
	// PhaseUnsent means that no byte of the request can have reached the endpoint.
	PhaseUnsent Phase = iota
	// PhaseSent means that bytes of the request were sent, but no byte of a response was received.
	PhaseSent
	// PhaseResponseStarted means that the first bytes of a response were received.
	PhaseResponseStarted
)

// AttemptReport is the report of an attempt to run a request on an endpoint.
type AttemptReport struct {
	// Err is nil if a complete response was received.
	Err   error
	Phase Phase
	// ConnectionRefused is set if the endpoint refused the connection.
	ConnectionRefused bool
	// Unreachable is set if no connection could be made for another reason.
	Unreachable bool
	// RunEnded is set if the run has provably ended or never began.
	RunEnded bool
}

// Fail ends the request with a fault. The outcome is OutcomeNotRun if the kind of the fault proves that the
// request didn't run, and otherwise OutcomeUnknown.
func (r *Request) Fail(err *fault.Error) {
	r.Fault = err
	r.Outcome = OutcomeUnknown
	if fault.ResponseFor(err.Kind).NotRun {
		r.Outcome = OutcomeNotRun
	}
}

// Complete ends the request with a complete response.
func (r *Request) Complete() {
	r.Fault = nil
	r.Outcome = OutcomeDone
}
