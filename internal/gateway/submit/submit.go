// Package submit accepts jobs. The gateway handles POST /v1/pools/{pool}/jobs itself instead of sending it to
// an endpoint.
package submit

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"turmericyoke/internal/controller/schedule"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/pipe"
)

// jobsPath is the part of the path after the pool in requests that submit jobs.
const jobsPath = "/jobs"

// Submitter appends jobs to the log. It is implemented by schedule.Submitter.
type Submitter interface {
	Submit(ctx context.Context, submission schedule.Submission) (schedule.SubmitResult, *fault.Error)
}

// Filter is the filter that accepts jobs. It leaves all other requests to the next filter.
type Filter struct{ submitter Submitter }

// New returns the filter.
func New(submitter Submitter) *Filter { return &Filter{submitter: submitter} }

// Apply implements pipe.Filter. It completes a submission once the job is in the log. If it isn't known
// whether the job is in the log, the detail of the refusal names the job, and the caller can repeat the
// submission with the same Idempotency-Key.
func (f *Filter) Apply(r *pipe.Request) *fault.Error {
	if r.Path != jobsPath || string(r.HTTPRequest.Header.Method()) != fasthttp.MethodPost || r.Forwarded {
		return nil
	}
	ctx, cancel := context.WithDeadline(r.Ctx, r.Deadline)
	defer cancel()
	accepted, err := f.submitter.Submit(ctx, schedule.Submission{
		Pool: r.PoolName, Team: r.Team, KeyID: r.KeyID,
		IdempotencyKey: string(r.HTTPRequest.Header.Peek(pipe.HeaderIdempotencyKey)), Body: r.HTTPRequest.Body(),
	})
	if err != nil {
		return err
	}
	body, encodeErr := json.Marshal(accepted)
	if encodeErr != nil {
		return fault.Wrap(fault.Internal, encodeErr, "the answer can't be encoded")
	}
	r.HTTPResponse.SetStatusCode(fasthttp.StatusAccepted)
	r.HTTPResponse.Header.SetContentType("application/json")
	r.HTTPResponse.SetBody(body)
	r.Complete()
	return nil
}
