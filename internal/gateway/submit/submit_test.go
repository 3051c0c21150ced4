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

// fakeSubmitter keeps the submissions, and refuses them with an error if there is one.
type fakeSubmitter struct {
	submissions []schedule.Submission
	err         *fault.Error
}

func (s *fakeSubmitter) Submit(_ context.Context, submission schedule.Submission) (schedule.Accepted, *fault.Error) {
	s.submissions = append(s.submissions, submission)
	return schedule.Accepted{Job: "clips/1"}, s.err
}

// countingRecorder takes the account.
type countingRecorder struct{ ended int }

func (r *countingRecorder) Record(*pipe.Request) { r.ended++ }

// nextFilter is the next filter of the chain.
type nextFilter struct{ count int }

func (p *nextFilter) Apply(r *pipe.Request) *fault.Error {
	p.count++
	r.Complete()
	return nil
}

func runChain(t *testing.T, s *fakeSubmitter, path, method string) (*pipe.Request, int) {
	t.Helper()
	r := &pipe.Request{
		HTTPRequest: &fasthttp.Request{}, HTTPResponse: &fasthttp.Response{}, Ctx: t.Context(), Deadline: time.Now().Add(time.Minute),
		PoolName: "counting", Team: "clips", KeyID: "clips-1", Path: path,
	}
	r.HTTPRequest.Header.SetMethod(method)
	next := &nextFilter{}
	pipe.NewChain(&countingRecorder{}, New(s), next).Run(r)
	return r, next.count
}

// Guards against a job that is also sent to an endpoint, against one that is taken for another team,
// and against an acceptance that is answered although the log refused it.
func TestSubmission(t *testing.T) {
	s := &fakeSubmitter{}
	r, forwarded := runChain(t, s, "/jobs", "POST")
	assert.Equal(t, forwarded, 0)
	assert.Equal(t, r.HTTPResponse.StatusCode(), fasthttp.StatusAccepted)
	assert.Equal(t, r.Outcome, pipe.OutcomeDone)
	assert.Equal(t, s.submissions[0].Team, "clips")

	s.err = fault.New(fault.AppendUnsettled, "the log didn't answer")
	r, forwarded = runChain(t, s, "/jobs", "POST")
	assert.Equal(t, forwarded, 0)
	assert.Equal(t, r.Outcome, pipe.OutcomeUnknown)

	_, forwarded = runChain(t, s, "/jobs/7", "GET")
	assert.Equal(t, forwarded, 1)
}
