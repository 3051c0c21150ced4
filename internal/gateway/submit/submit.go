// Package submit accepts jobs: POST /v1/pools/{pool}/jobs is answered by the system itself and isn't
// passed on to endpoints.
package submit

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"turmericyoke/internal/controller/schedule"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/pipe"
)

// path follows the pool in the URI of submissions.
const path = "/jobs"

// Submitter puts jobs into the log; schedule.Submitter implements it.
type Submitter interface {
	Submit(ctx context.Context, submission schedule.Submission) (schedule.SubmitResult, *fault.Error)
}

// Filter accepts jobs, and passes all other requests on.
type Filter struct{ submitter Submitter }

// New returns the filter.
func New(submitter Submitter) *Filter { return &Filter{submitter: submitter} }

// Apply answers a submission once the job is in the log. A refusal whose answer isn't "not run"
// names the job, so that the caller can repeat the submission under the same Idempotency-Key.
func (f *Filter) Apply(r *pipe.Request) *fault.Error {
	if r.Path != path || string(r.In.Header.Method()) != fasthttp.MethodPost || r.Forwarded {
		return nil
	}
	ctx, cancel := context.WithDeadline(r.Ctx, r.Deadline)
	defer cancel()
	accepted, err := f.submitter.Submit(ctx, schedule.Submission{
		Pool: r.PoolName, Team: r.Team, KeyID: r.KeyID,
		IdempotencyKey: string(r.In.Header.Peek(pipe.HeaderIdempotencyKey)), Body: r.In.Body(),
	})
	if err != nil {
		return err
	}
	body, encodeErr := json.Marshal(accepted)
	if encodeErr != nil {
		return fault.Wrap(fault.Internal, encodeErr, "the answer can't be encoded")
	}
	r.Out.SetStatusCode(fasthttp.StatusAccepted)
	r.Out.Header.SetContentType("application/json")
	r.Out.SetBody(body)
	r.Done()
	return nil
}
