package server

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/pipe"
)

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Kind    fault.Kind `json:"kind"`
	ID      string     `json:"id"`
	Outcome string     `json:"outcome"`
	Detail  string     `json:"detail"`
}

// finish completes the answer to the caller.
func finish(r *pipe.Request) {
	if r.Fault != nil {
		writeRefusal(r.Out, r.ID, r.Outcome, r.Fault)
		return
	}
	r.Out.Header.Set(pipe.HeaderRequestID, r.ID)
	r.Out.Header.Set(pipe.HeaderOutcome, r.Outcome.String())
}

func writeRefusal(out *fasthttp.Response, id string, outcome pipe.Outcome, err *fault.Error) {
	answer := fault.AnswerFor(err.Kind)
	out.Reset()
	out.SetStatusCode(answer.HTTPStatus)
	out.Header.Set(pipe.HeaderRequestID, id)
	out.Header.Set(pipe.HeaderOutcome, outcome.String())
	out.Header.Set(pipe.HeaderRefusalKind, string(err.Kind))
	if answer.RetryAfterSeconds > 0 {
		out.Header.Set("Retry-After", strconv.Itoa(answer.RetryAfterSeconds))
	}
	// A struct of strings always encodes.
	body, _ := json.Marshal(refusalBody{Kind: err.Kind, ID: id, Outcome: outcome.String(), Detail: err.Detail})
	out.Header.SetContentType("application/json")
	out.SetBodyRaw(body)
}
