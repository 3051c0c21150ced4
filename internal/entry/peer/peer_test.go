package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// submitAsync submits a job to the process at address and returns the channel for the error. The context ends when
// cancel is called.
func submitAsync(t *testing.T, clients *Clients, address string) (cancel func(), result <-chan error) {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	errs := make(chan error, 1)
	go func() {
		_, err := clients.At(address).Submit(ctx, &SubmitRequest{Job: &work.Job{ID: "j"}})
		errs <- err
	}()
	return cancel, errs
}

// Guards against a call that counts as possibly carried out although its time limit passed while the connection was
// being opened: behind a network partition that takes longer than what is left of some callers' time limits.
func TestCallWithoutAConnectionHadNoEffect(t *testing.T) {
	clients := NewClients()
	dialing := make(chan struct{})
	client := clients.At("10.0.0.1:1")
	client.http.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		close(dialing)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	cancel, result := submitAsync(t, clients, "10.0.0.1:1")
	<-dialing
	cancel()
	assert.Assert(t, HadNoEffect(<-result))
}

// silentService accepts its first job. It then gives no more responses.
type silentService struct {
	Service
	calls   atomic.Int64
	reached chan struct{}
}

func (s *silentService) Submit(ctx context.Context, _ *SubmitRequest) (*OutcomeResponse, error) {
	if s.calls.Add(1) == 1 {
		return &OutcomeResponse{Kind: scheduler.OutcomeDone}, nil
	}
	s.reached <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a call that counts as not carried out although it was sent, and against further calls on idle
// connections to a process that has left one unanswered: whether these were carried out wouldn't be known either.
func TestUnansweredCallClosesIdleConnections(t *testing.T) {
	service := &silentService{reached: make(chan struct{}, 1)}
	server := httptest.NewServer(NewHandler(service))
	defer server.Close()
	clients, address := NewClients(), server.Listener.Addr().String()
	cancel, result := submitAsync(t, clients, address)
	assert.NilError(t, <-result)
	defer cancel()
	idleClosed := make(chan struct{})
	client := clients.At(address)
	client.http.Transport = &closeRecorder{Transport: client.http.Transport.(*http.Transport), closed: idleClosed}
	cancelLost, lost := submitAsync(t, clients, address)
	<-service.reached
	cancelLost()
	assert.Assert(t, !HadNoEffect(<-lost))
	<-idleClosed
}

// closeRecorder is a transport that reports when its idle connections are closed.
type closeRecorder struct {
	*http.Transport
	closed chan struct{}
}

func (r *closeRecorder) CloseIdleConnections() {
	r.Transport.CloseIdleConnections()
	close(r.closed)
}

// frozenService responds to nothing while it is frozen, and counts the submissions that reach it.
type frozenService struct {
	Service
	frozen      atomic.Bool
	submissions atomic.Int64
	reached     chan struct{}
}

func (s *frozenService) Submit(ctx context.Context, _ *SubmitRequest) (*OutcomeResponse, error) {
	s.submissions.Add(1)
	s.reached <- struct{}{}
	if s.frozen.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &OutcomeResponse{Kind: scheduler.OutcomeDone}, nil
}

func (s *frozenService) Config(ctx context.Context, _ *ConfigRequest) (*ConfigResponse, error) {
	if s.frozen.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &ConfigResponse{}, nil
}

// Guards against submissions to a process that is frozen and still takes connections: the outcome of each of them is
// unknown to its caller.
func TestSuspectProcessIsProbedBeforeCalls(t *testing.T) {
	service := &frozenService{reached: make(chan struct{}, 8)}
	server := httptest.NewServer(NewHandler(service))
	defer server.Close()
	clients, address := NewClients(), server.Listener.Addr().String()
	service.frozen.Store(true)
	cancel, lost := submitAsync(t, clients, address)
	<-service.reached
	cancel()
	assert.Assert(t, !HadNoEffect(<-lost))
	_, unsent := submitAsync(t, clients, address)
	assert.Assert(t, HadNoEffect(<-unsent))
	// A caller that leaves isn't held until the end of the probe.
	left, cancelLeft := context.WithCancel(t.Context())
	cancelLeft()
	_, err := clients.At(address).Submit(left, &SubmitRequest{Job: &work.Job{ID: "j"}})
	assert.Assert(t, HadNoEffect(err))
	assert.Equal(t, service.submissions.Load(), int64(1), "a submission was sent to a process that doesn't respond")
	service.frozen.Store(false)
	_, answered := submitAsync(t, clients, address)
	assert.NilError(t, <-answered)
}
