package serve

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

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

// applyRecord folds one more record.
func (f *fakeFollower) applyRecord(t *testing.T) {
	t.Helper()
	data, err := fold.EncodeRecord(&v1.Record{
		Schema: fold.Schema, Proposer: "g1", Incarnation: "g1-1", Seq: uint64(f.state.Offset()) + 1,
		Payload: &v1.Record_Heartbeat{Heartbeat: &v1.Heartbeat{}},
	})
	assert.NilError(t, err)
	_, err = f.state.Apply(f.state.Offset()+1, data)
	assert.NilError(t, err)
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

// Guards against a gateway that takes a view for current at a time when the log already had the withdrawal of a key,
// because it gets a shared view with the freshness of a newer state.
func TestSharedViewHasItsOwnFreshness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower := &fakeFollower{state: fold.New(), ready: true}
		service := New(Config{Follower: follower, Metrics: NewMetrics(prometheus.NewRegistry(), follower)})
		follower.applyRecord(t)
		_, err := service.View(t.Context(), &v1.ViewRequest{Gateway: "g1"})
		assert.NilError(t, err)

		const age = minViewInterval - 100*time.Millisecond
		time.Sleep(age)
		follower.applyRecord(t)
		response, err := service.View(t.Context(), &v1.ViewRequest{Gateway: "g2"})
		assert.NilError(t, err)
		assert.Equal(t, response.GetOffset(), int64(1))
		assert.Assert(t, response.GetFreshnessMs() >= uint64(age.Milliseconds()), "%d ms", response.GetFreshnessMs())
	})
}
