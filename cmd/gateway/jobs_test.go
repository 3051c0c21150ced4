package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/controller/schedule"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/transport"
)

// fakeController answers proposals and lookups of jobs with fixed responses.
type fakeController struct {
	turmericyokev1connect.UnimplementedControllerServiceHandler
	// abortProposals closes the connection of each proposal after it was read.
	abortProposals bool
	proposeErr     error
	verdict        *v1.ProposeResponse
	proposals      atomic.Int64
	found          schedule.LookupResult
}

func (c *fakeController) Propose(context.Context, *v1.ProposeRequest) (*v1.ProposeResponse, error) {
	c.proposals.Add(1)
	if c.abortProposals {
		panic(http.ErrAbortHandler)
	}
	return c.verdict, c.proposeErr
}

func (c *fakeController) Query(context.Context, *v1.QueryRequest) (*v1.QueryResponse, error) {
	data, err := json.Marshal(c.found)
	return &v1.QueryResponse{Json: data}, err
}

// newJobClient returns a client of the controllers. A controller that is nil refuses connections.
func newJobClient(t *testing.T, controllers ...*fakeController) jobClient {
	t.Helper()
	link, err := transport.New(transport.TLS{Plaintext: true})
	assert.NilError(t, err)
	clients := &processClients{}
	for _, controller := range controllers {
		server := httptest.NewUnstartedServer(nil)
		if controller != nil {
			_, server.Config.Handler = turmericyokev1connect.NewControllerServiceHandler(controller)
		}
		server.Start()
		t.Cleanup(server.Close)
		if controller == nil {
			server.Close()
		}
		address := server.Listener.Addr().String()
		clients.controllers = append(clients.controllers, turmericyokev1connect.NewControllerServiceClient(link.Client(), link.URL(address)))
	}
	return jobClient{clients}
}

// Guards against a submission that one controller still appends after the caller was told, because of the verdict on a
// copy at another controller, that the job hasn't run and never will.
func TestLostConnectionLeavesSubmissionUnsettled(t *testing.T) {
	lost := &fakeController{abortProposals: true}
	full := &fakeController{verdict: &v1.ProposeResponse{Kind: string(fault.QueueFull)}}

	err := newJobClient(t, lost, full).Propose(t.Context(), &v1.Record{})
	assert.Equal(t, fault.KindOf(err), fault.AppendUnsettled)
	assert.Equal(t, lost.proposals.Load(), int64(1))
	assert.Equal(t, full.proposals.Load(), int64(0))
}

// Guards against submissions that fail although a controller takes them, after others that can't be reached or that
// answer that they aren't ready.
func TestSubmissionGoesToNextController(t *testing.T) {
	notReady := &fakeController{proposeErr: connect.NewError(connect.CodeUnavailable, fault.New(fault.NotReady, "no state"))}
	accepting := &fakeController{verdict: &v1.ProposeResponse{Accepted: true}}

	assert.NilError(t, newJobClient(t, nil, notReady, accepting).Propose(t.Context(), &v1.Record{}))
	assert.Equal(t, accepting.proposals.Load(), int64(1))
}

// Guards against a job that counts as unknown because the first controller that answers lags behind.
func TestLookupAsksControllersThatMayBeNewer(t *testing.T) {
	lagging, current := &fakeController{}, &fakeController{found: schedule.LookupResult{Found: true, Digest: "d"}}

	result, err := newJobClient(t, lagging, current).LookupJob(t.Context(), "a/tally-7")
	assert.NilError(t, err)
	assert.Equal(t, result, current.found)

	_, err = newJobClient(t, nil, lagging).LookupJob(t.Context(), "a/tally-7")
	assert.Equal(t, fault.KindOf(err), fault.NotReady)
}
