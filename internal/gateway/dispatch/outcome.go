package dispatch

import (
	"github.com/valyala/fasthttp"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/endpoints"
	"turmericyoke/internal/gateway/pipe"
)

// attemptResult is the result of one attempt to run a request on an endpoint or through a peer.
type attemptResult struct {
	outcome pipe.Outcome
	// fault is nil if the outcome is OutcomeDone.
	fault *fault.Error
	// condition is the condition in which the attempt found the endpoint, or nil if it showed nothing new.
	condition *endpoints.Condition
	// host is the endpoint's host. It is empty if the attempt went through a peer, or if its right was no longer
	// usable.
	host string
	// runEnded is set if the run has provably ended or never began, so that its right can be released.
	runEnded bool
	// wrongResponse is set if the connection carried the response to another request.
	wrongResponse bool
	// peerConnectionLost is set if the call to a peer failed after the peer may have received the request.
	peerConnectionLost bool
}

// notRunResult returns the result of an attempt in which the request provably didn't run.
func notRunResult(kind fault.Kind, format string, args ...any) attemptResult {
	return attemptResult{outcome: pipe.OutcomeNotRun, fault: fault.New(kind, format, args...), runEnded: true}
}

// unknownResult returns the result of an attempt in which the request may have run.
func unknownResult(kind fault.Kind, runEnded bool, format string, args ...any) attemptResult {
	return attemptResult{outcome: pipe.OutcomeUnknown, fault: fault.New(kind, format, args...), runEnded: runEnded}
}

// withCondition returns the result with the condition of the endpoint.
func (r attemptResult) withCondition(condition endpoints.Condition) attemptResult {
	r.condition = &condition
	return r
}

// classifyAttempt derives the result of an attempt on an endpoint from its report and its response.
func classifyAttempt(r *pipe.Request, report pipe.AttemptReport) attemptResult {
	if report.Err != nil {
		return classifyError(report)
	}
	response := r.HTTPResponse
	if string(response.Header.Peek(pipe.HeaderRequestID)) != r.ID {
		// The response to another request proves nothing about this one, even if it is a 503 with X-Not-Run.
		res := unknownResult(fault.OutcomeUnknown, false, "the endpoint's answer belongs to another request")
		res.wrongResponse = true
		return res
	}
	leaving := hasFlag(response, pipe.HeaderLeaving)
	if response.StatusCode() == fasthttp.StatusServiceUnavailable && hasFlag(response, pipe.HeaderNotRun) {
		if leaving {
			return notRunResult(fault.EndpointUnavailable, "the endpoint is leaving").withCondition(endpoints.ConditionLeaving)
		}
		return notRunResult(fault.EndpointUnavailable, "the endpoint is busy").withCondition(endpoints.ConditionBusy)
	}
	if response.Header.ContentLength() == lengthUntilClose && hasBody(response) {
		return unknownResult(fault.ResponseTruncated, true, "the answer has no length, so its end can't be told from a lost connection")
	}
	res := attemptResult{outcome: pipe.OutcomeDone, runEnded: true}
	if leaving {
		return res.withCondition(endpoints.ConditionLeaving)
	}
	return res
}

// lengthUntilClose is the content length that fasthttp reports for a response that ends when its connection
// closes.
const lengthUntilClose = -2

// hasBody reports whether the response may have a body (RFC 9110, section 6.4.1).
func hasBody(response *fasthttp.Response) bool {
	status := response.StatusCode()
	return !response.SkipBody && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// hasFlag reports whether the named header of the response is "1".
func hasFlag(response *fasthttp.Response, name string) bool {
	return string(response.Header.Peek(name)) == "1"
}

// classifyError derives the result of an attempt that ended with an error.
func classifyError(report pipe.AttemptReport) attemptResult {
	switch {
	case report.ConnectionRefused:
		return notRunResult(fault.EndpointUnavailable, "the endpoint refused the connection").withCondition(endpoints.ConditionLeaving)
	case report.Unreachable:
		return notRunResult(fault.EndpointUnavailable, "no connection to the endpoint: %v", report.Err).withCondition(endpoints.ConditionUnreachable)
	case report.Phase == pipe.PhaseUnsent:
		return notRunResult(fault.EndpointUnavailable, "not sent: %v", report.Err)
	case report.Phase == pipe.PhaseResponseStarted && report.RunEnded:
		return unknownResult(fault.ResponseTruncated, true, "the answer ended early: %v", report.Err)
	}
	return unknownResult(fault.OutcomeUnknown, report.RunEnded, "no complete answer: %v", report.Err)
}
