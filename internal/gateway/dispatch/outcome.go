package dispatch

import (
	"github.com/valyala/fasthttp"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/endpoints"
	"turmericyoke/internal/gateway/pipe"
)

// result is what one attempt came to.
type result struct {
	outcome pipe.Outcome
	// fault is nil when the outcome is done.
	fault *fault.Error
	// lesson is what the attempt showed about the endpoint; nil when nothing new.
	lesson *endpoints.Condition
	// host is the endpoint's host; empty when the attempt went through a peer.
	host string
	// ended is set when the run provably has ended or never began, so that its right is free.
	ended bool
	// foreign is set when the connection carried the answer to another request.
	foreign bool
	// peerLost is set when the contact to a peer was lost after the request was sent.
	peerLost bool
}

func notRun(kind fault.Kind, format string, args ...any) result {
	return result{outcome: pipe.OutcomeNotRun, fault: fault.New(kind, format, args...), ended: true}
}

func unknown(kind fault.Kind, ended bool, format string, args ...any) result {
	return result{outcome: pipe.OutcomeUnknown, fault: fault.New(kind, format, args...), ended: ended}
}

func (r result) teaches(lesson endpoints.Condition) result {
	r.lesson = &lesson
	return r
}

// judge derives the outcome of an attempt on an endpoint from its report and answer.
func judge(r *pipe.Request, report pipe.Report) result {
	if report.Err != nil {
		return judgeError(report)
	}
	out := r.Out
	if string(out.Header.Peek(pipe.HeaderRequestID)) != r.ID {
		// An answer to another request proves nothing about this one, not even a 503 with X-Not-Run.
		res := unknown(fault.OutcomeUnknown, false, "the endpoint's answer belongs to another request")
		res.foreign = true
		return res
	}
	leaving := isSet(out, pipe.HeaderLeaving)
	if out.StatusCode() == fasthttp.StatusServiceUnavailable && isSet(out, pipe.HeaderNotRun) {
		if leaving {
			return notRun(fault.EndpointUnavailable, "the endpoint is leaving").teaches(endpoints.ConditionLeaving)
		}
		return notRun(fault.EndpointUnavailable, "the endpoint is busy").teaches(endpoints.ConditionBusy)
	}
	if out.Header.ContentLength() == identityLength && hasBody(out) {
		return unknown(fault.ResponseTruncated, true, "the answer has no length, so its end can't be told from a lost connection")
	}
	res := result{outcome: pipe.OutcomeDone, ended: true}
	if leaving {
		return res.teaches(endpoints.ConditionLeaving)
	}
	return res
}

// identityLength is what fasthttp returns for an answer that ends with its connection.
const identityLength = -2

// hasBody reports whether the answer may have a body (RFC 9110, section 6.4.1).
func hasBody(out *fasthttp.Response) bool {
	status := out.StatusCode()
	return !out.SkipBody && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

func isSet(out *fasthttp.Response, name string) bool { return string(out.Header.Peek(name)) == "1" }

func judgeError(report pipe.Report) result {
	switch {
	case report.Refused:
		return notRun(fault.EndpointUnavailable, "the endpoint refused the connection").teaches(endpoints.ConditionLeaving)
	case report.Unreachable:
		return notRun(fault.EndpointUnavailable, "no connection to the endpoint: %v", report.Err).teaches(endpoints.ConditionUnreachable)
	case report.Phase == pipe.PhaseUnsent:
		return notRun(fault.EndpointUnavailable, "not sent: %v", report.Err)
	case report.Phase == pipe.PhaseAnswering && report.Ended:
		return unknown(fault.ResponseTruncated, true, "the answer ended early: %v", report.Err)
	}
	return unknown(fault.OutcomeUnknown, report.Ended, "no complete answer: %v", report.Err)
}
