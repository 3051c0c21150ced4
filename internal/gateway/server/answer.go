package server

import (
	"encoding/json"
	"strconv"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/pipe"
)

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Kind fault.Kind `json:"kind"`
	// ID is the request id, and RefusalID the id of the refusal record, if there is one.
	ID        string `json:"id"`
	RefusalID string `json:"refusalId,omitempty"`
	Outcome   string `json:"outcome"`
	Detail    string `json:"detail"`
}

// writeAnswer completes the response to the caller: it adds the headers of the gateway, or writes the refusal.
func writeAnswer(r *pipe.Request) {
	if r.Fault != nil {
		writeRefusal(r)
		return
	}
	r.HTTPResponse.Header.Set(pipe.HeaderRequestID, r.ID)
	r.HTTPResponse.Header.Set(pipe.HeaderOutcome, r.Outcome.String())
}

// writeRefusal replaces the response by one that reports the fault of the request.
func writeRefusal(r *pipe.Request) {
	out, err := r.HTTPResponse, r.Fault
	answer := fault.ResponseFor(err.Kind)
	out.Reset()
	out.SetStatusCode(answer.HTTPStatus)
	out.Header.Set(pipe.HeaderRequestID, r.ID)
	out.Header.Set(pipe.HeaderOutcome, r.Outcome.String())
	out.Header.Set(pipe.HeaderRefusalKind, string(err.Kind))
	if answer.RetryAfterSeconds > 0 {
		out.Header.Set("Retry-After", strconv.Itoa(answer.RetryAfterSeconds))
	}
	// Encoding a struct of strings never fails.
	body, _ := json.Marshal(refusalBody{
		Kind: err.Kind, ID: r.ID, RefusalID: r.RefusalID, Outcome: r.Outcome.String(), Detail: err.Detail,
	})
	out.Header.SetContentType("application/json")
	out.SetBodyRaw(body)
}
