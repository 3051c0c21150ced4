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
	// ID is the request ID, and RefusalID the ID of the refusal record, if there is one.
	ID        string `json:"id"`
	RefusalID string `json:"refusalId,omitempty"`
	Outcome   string `json:"outcome"`
	Detail    string `json:"detail"`
}

// writeResponse completes the response to the caller: it adds the headers of the gateway, or writes the refusal.
func writeResponse(r *pipe.Request) {
	if r.Fault != nil {
		writeRefusal(r)
		return
	}
	r.HTTPResponse.Header.Set(pipe.HeaderRequestID, r.ID)
	r.HTTPResponse.Header.Set(pipe.HeaderOutcome, r.Outcome.String())
}

// writeRefusal replaces the response by one that reports the fault of the request.
func writeRefusal(r *pipe.Request) {
	response, err := r.HTTPResponse, r.Fault
	refusal := fault.ResponseFor(err.Kind)
	response.Reset()
	response.SetStatusCode(refusal.HTTPStatus)
	response.Header.Set(pipe.HeaderRequestID, r.ID)
	response.Header.Set(pipe.HeaderOutcome, r.Outcome.String())
	response.Header.Set(pipe.HeaderRefusalKind, string(err.Kind))
	if refusal.RetryAfterSeconds > 0 {
		response.Header.Set("Retry-After", strconv.Itoa(refusal.RetryAfterSeconds))
	}
	// Encoding a struct of strings never fails.
	body, _ := json.Marshal(refusalBody{
		Kind: err.Kind, ID: r.ID, RefusalID: r.RefusalID, Outcome: r.Outcome.String(), Detail: err.Detail,
	})
	response.Header.SetContentType("application/json")
	response.SetBodyRaw(body)
}
