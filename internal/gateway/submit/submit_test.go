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

// submissions keeps the submissions, and refuses them with an error if there is one.
type submissions struct {
	got []schedule.Submission
	err *fault.Error
}

func (s *submissions) Submit(_ context.Context, submission schedule.Submission) (schedule.SubmitResult, *fault.Error) {
	s.got = append(s.got, submission)
	return schedule.SubmitResult{Job: "clips/1"}, s.err
}

// recorder takes the account.
type recorder struct{ ended int }

func (r *recorder) Record(*pipe.Request) { r.ended++ }

// passed is the next filter of the chain.
type passed struct{ count int }

func (p *passed) Apply(r *pipe.Request) *fault.Error {
	p.count++
	r.Done()
	return nil
}

func run(t *testing.T, s *submissions, path, method string) (*pipe.Request, int) {
	t.Helper()
	r := &pipe.Request{
		In: &fasthttp.Request{}, Out: &fasthttp.Response{}, Ctx: t.Context(), Deadline: time.Now().Add(time.Minute),
		PoolName: "counting", Team: "clips", KeyID: "clips-1", Path: path,
	}
	r.In.Header.SetMethod(method)
	next := &passed{}
	pipe.NewChain(&recorder{}, New(s), next).Run(r)
	return r, next.count
}

// Guards against a job that is also sent to an endpoint, against one that is taken for another team,
// and against an acceptance that is answered although the log refused it.
func TestSubmission(t *testing.T) {
	s := &submissions{}
	r, forwarded := run(t, s, "/jobs", "POST")
	assert.Equal(t, forwarded, 0)
	assert.Equal(t, r.Out.StatusCode(), fasthttp.StatusAccepted)
	assert.Equal(t, r.Outcome, pipe.OutcomeDone)
	assert.Equal(t, s.got[0].Team, "clips")

	s.err = fault.New(fault.AppendUnsettled, "the log didn't answer")
	r, forwarded = run(t, s, "/jobs", "POST")
	assert.Equal(t, forwarded, 0)
	assert.Equal(t, r.Outcome, pipe.OutcomeUnknown)

	_, forwarded = run(t, s, "/jobs/7", "GET")
	assert.Equal(t, forwarded, 1)
}
