// Package pipe holds the typed request that the filters of the gateway pass on, and the chain of filters.
package pipe

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/rights"
	"turmericyoke/internal/structs"
)

// Outcome says what is known about the run of a request.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeUnset is a request that hasn't ended.
	OutcomeUnset Outcome = iota
	// OutcomeDone is a request whose complete answer was received.
	OutcomeDone
	// OutcomeNotRun is a request that provably didn't run.
	OutcomeNotRun
	// OutcomeUnknown is a request that may have run.
	OutcomeUnknown
)

// String returns the name of the outcome as callers see it.
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

// Headers of the contract with callers and endpoints.
const (
	// HeaderRequestID identifies the request; an endpoint returns it unchanged with its answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline is the time left in milliseconds, after which the endpoint ends the run.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderNotRun is "1" on a 503 of an endpoint that did not run the request.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving is "1" on an answer of an endpoint that takes no new work.
	HeaderLeaving = "X-Leaving"
	// HeaderOutcome names the outcome to the caller.
	HeaderOutcome = "X-Outcome"
	// HeaderRefusalKind names the kind of a refusal to the caller.
	HeaderRefusalKind = "X-Refusal-Kind"
	// HeaderIdempotencyKey marks a request as idempotent in pools that permit it.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Request is one request on its way through the filters.
type Request struct {
	// ID is the incarnation of the gateway that accepted the request, and Number.
	ID string
	// Number rises with each request of the incarnation.
	Number  uint64
	Arrived time.Time
	// RefusalID finds the account of a refused request; empty until the refusal is on record.
	RefusalID string
	// Ctx ends when the caller is gone or the gateway stops.
	Ctx context.Context

	// HTTPRequest is the caller's request, and Out the answer to it.
	HTTPRequest  *fasthttp.Request
	HTTPResponse *fasthttp.Response

	// PoolName is the pool that the path names.
	PoolName string
	// Path is the part of the URI behind the pool, with the query.
	Path string
	// Pool is the declared pool.
	Pool  structs.Pool
	Team  string
	KeyID string
	// Share is the weight of the team when the pool is full.
	Share int
	// ConfigVersion is the version that the filters judged the request by.
	ConfigVersion uint64
	// Idempotent permits a second run.
	Idempotent bool
	// Deadline ends the run, and QueueDeadline the wait for a right and a slot.
	Deadline      time.Time
	QueueDeadline time.Time

	// Forwarded is set on requests from other gateways.
	Forwarded bool
	// RightHeld is set when the sending gateway keeps the right of the team.
	RightHeld bool
	// CrossedZone is set once the request left its availability zone.
	CrossedZone bool
	// Hops counts the gateways that the request passed before.
	Hops uint32

	// ExcludedHost is the host of the endpoint that the next attempt must not use.
	ExcludedHost string
	// Placement is set when the request leaves the queue.
	Placement Placement

	// Outcome and Fault are set when the request has ended. Fault is nil for a done request.
	Outcome Outcome
	Fault   *fault.Error
	// Shortage is what was free and needed when the request was refused.
	Shortage Shortage
}

// Shortage is what was free and what was needed at a refusal.
type Shortage struct {
	Free, Needed uint64
}

// Placement is the right and the place that a request took when it left the queue.
type Placement struct {
	// Slot is set for a run on an endpoint.
	Slot Slot
	// Peer is set for a run through another gateway.
	Peer *Peer
	// Right is the use of the team's right; nil when the peer or the sender has it.
	Right *rights.Use
}

// Peer is the gateway that a request is forwarded to.
type Peer struct {
	Name    string
	Address string
	// CrossesZone is set when the peer is in another availability zone.
	CrossesZone bool
	// RightHeld is set when the sender keeps the right and asks only for a slot.
	RightHeld bool
	// MayQueue is set when the request may wait in the peer's queue.
	MayQueue bool
}

// Slot is one free slot of an endpoint that this gateway has taken.
type Slot interface {
	// Host is the name of the endpoint's host.
	Host() string
	// Do sends req once and reads the complete answer into out, until the deadline.
	Do(ctx context.Context, req *fasthttp.Request, out *fasthttp.Response, deadline time.Time) AttemptReport
	// CloseConnection closes the connection of the slot, whose answers can't be trusted any more.
	CloseConnection()
	// Release gives the slot back. It's called once.
	Release()
}

// Phase is how far an attempt came.
type Phase uint8

// Phases of an attempt, in order.
const (
	// PhaseUnsent is an attempt of which no byte can have reached the endpoint.
	PhaseUnsent Phase = iota
	// PhaseSent is an attempt without any byte of an answer.
	PhaseSent
	// PhaseResponseStarted is an attempt whose answer began.
	PhaseResponseStarted
)

// AttemptReport is what an attempt on an endpoint found.
type AttemptReport struct {
	// Err is nil when a complete answer arrived.
	Err   error
	Phase Phase
	// ConnectionRefused is set when the endpoint refused the connection.
	ConnectionRefused bool
	// Unreachable is set when no connection could be made for another reason.
	Unreachable bool
	// RunEnded is set when the endpoint provably ended the run or never began it.
	RunEnded bool
}

// Fail ends the request with the outcome that the kind of err proves.
func (r *Request) Fail(err *fault.Error) {
	r.Fault = err
	r.Outcome = OutcomeUnknown
	if fault.AnswerFor(err.Kind).NotRun {
		r.Outcome = OutcomeNotRun
	}
}

// Complete ends the request with a complete answer.
func (r *Request) Complete() {
	r.Fault = nil
	r.Outcome = OutcomeDone
}
