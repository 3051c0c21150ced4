package submit

import (
	"context"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/controller/schedule"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/pipe"
)

// fakeSubmitter records the submissions. It refuses them with err if that is set.
type fakeSubmitter struct {
	submissions []schedule.Submission
	err         *fault.Error
}

func (s *fakeSubmitter) Submit(_ context.Context, submission schedule.Submission) (schedule.SubmitResult, *fault.Error) {
	s.submissions = append(s.submissions, submission)
	return schedule.SubmitResult{Job: "clips/1"}, s.err
}

// countingRecorder counts the recorded requests.
type countingRecorder struct{ records int }

func (r *countingRecorder) Record(*pipe.Request) { r.records++ }

// nextFilter is the filter after the one under test. It counts the requests that reach it, and completes them.
type nextFilter struct{ calls int }

func (f *nextFilter) Apply(r *pipe.Request) *fault.Error {
	f.calls++
	r.Complete()
	return nil
}

// runChain runs a request through the filter and the next one. It returns the request and how often the next
// filter was called.
func runChain(t *testing.T, submitter *fakeSubmitter, path, method string) (*pipe.Request, int) {
	t.Helper()
	r := &pipe.Request{
		HTTPRequest: &fasthttp.Request{}, HTTPResponse: &fasthttp.Response{}, Ctx: t.Context(), Deadline: time.Now().Add(time.Minute),
		PoolName: "counting", Team: "clips", KeyID: "clips-1", Path: path,
	}
	r.HTTPRequest.Header.SetMethod(method)
	next := &nextFilter{}
	pipe.NewChain(&countingRecorder{}, New(submitter), next).Run(r)
	return r, next.calls
}

// Guards against a submission that also reaches an endpoint, against a job that is submitted for another
// team, against a submission that is reported as accepted although the log didn't confirm it, and against
// other requests that are taken for submissions.
func TestSubmission(t *testing.T) {
	submitter := &fakeSubmitter{}
	r, nextCalls := runChain(t, submitter, "/jobs", "POST")
	assert.Equal(t, nextCalls, 0)
	assert.Equal(t, r.HTTPResponse.StatusCode(), fasthttp.StatusAccepted)
	assert.Equal(t, r.Outcome, pipe.OutcomeDone)
	assert.Equal(t, submitter.submissions[0].Team, "clips")

	submitter.err = fault.New(fault.AppendUnsettled, "the log didn't answer")
	r, nextCalls = runChain(t, submitter, "/jobs", "POST")
	assert.Equal(t, nextCalls, 0)
	assert.Equal(t, r.Outcome, pipe.OutcomeUnknown)

	_, nextCalls = runChain(t, submitter, "/jobs/7", "GET")
	assert.Equal(t, nextCalls, 1)
}
