package serve

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold"
)

// fakeFollower has a state that is always known to include the head of the log. It has caught up with the log once
// ready is set.
type fakeFollower struct {
	state *fold.State
	ready bool
}

func (f *fakeFollower) Read(use func(*fold.State)) bool {
	use(f.state)
	return true
}

func (f *fakeFollower) Wait(context.Context, int64) (int64, error) { return f.state.Offset(), nil }
func (f *fakeFollower) Ready() bool                                { return f.ready }
func (f *fakeFollower) Status() *v1.StatusResponse {
	return &v1.StatusResponse{Zone: "z1", Offset: f.state.Offset()}
}

func (f *fakeFollower) Tail(*v1.TailRequest) (*v1.TailResponse, error) { return nil, nil }
func (f *fakeFollower) FetchState() (*v1.FetchStateResponse, error)    { return nil, nil }

// Guards against a starting controller that answers that a job, a key or a wave doesn't exist from a snapshot, before it
// has folded the records that follow.
func TestQueryBeforeStateIsComplete(t *testing.T) {
	follower := &fakeFollower{state: fold.New()}
	service := New(Config{Follower: follower, Metrics: NewMetrics(prometheus.NewRegistry(), follower)})
	for _, section := range []string{"job", "jobs", "document", "holders", "verdicts", "waves"} {
		request := &v1.QueryRequest{Section: section, Name: "a/tally-7"}
		follower.ready = false
		_, err := service.Query(t.Context(), request)
		assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable, section)
		follower.ready = true
		_, err = service.Query(t.Context(), request)
		assert.NilError(t, err)
	}
}
