package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/nettest"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// submitAsync submits the job to the process at address and returns the channel for the error. The context ends when
// cancel is called.
func submitAsync(t *testing.T, clients *Clients, address, job string) (cancel func(), result <-chan error) {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	errs := make(chan error, 1)
	go func() {
		_, err := clients.At(address).Submit(ctx, &SubmitRequest{Job: &work.Job{ID: job}})
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
	cancel, result := submitAsync(t, clients, "10.0.0.1:1", "j")
	<-dialing
	cancel()
	assert.Assert(t, HadNoEffect(<-result))
}

// Guards against a search for the scheduler that lasts beyond its limit while a connection is opened to a host that doesn't
// respond, and against a call that is cut off by that limit although it was sent.
func TestCallsAreLimitedUntilTheyHaveAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address, limit = "10.0.0.1:1", dialTimeout / 4
		network, clients := nettest.NewNetwork(), NewClients()
		listener := network.Listen(address)
		server := &http.Server{Handler: NewHandler(&recordingService{})}
		go func() { _ = server.Serve(listener) }()
		defer time.Sleep(time.Minute) // Until idle connections are closed.
		defer network.Close()
		var blocked atomic.Bool
		clients.At(address).http.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
			if blocked.Load() {
				time.Sleep(dialTimeout)
				return nil, context.DeadlineExceeded
			}
			return network.Dial(ctx, address)
		}
		submit := func() error {
			_, err := clients.At(address).Submit(ConnectBefore(t.Context(), time.Now().Add(limit)), &SubmitRequest{Job: &work.Job{ID: "j"}})
			return err
		}
		begin := time.Now()
		listener.Freeze(2 * limit)
		assert.NilError(t, submit())
		assert.Equal(t, time.Since(begin), 2*limit, "the call that was sent didn't wait for its response")
		clients.At(address).http.CloseIdleConnections()
		blocked.Store(true)
		begin = time.Now()
		assert.Assert(t, HadNoEffect(submit()))
		assert.Equal(t, time.Since(begin), limit)
	})
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
	cancel, result := submitAsync(t, clients, address, "result")
	assert.NilError(t, <-result)
	defer cancel()
	idleClosed := make(chan struct{})
	client := clients.At(address)
	client.http.Transport = &closeRecorder{Transport: client.http.Transport.(*http.Transport), closed: idleClosed}
	cancelLost, lost := submitAsync(t, clients, address, "lost")
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

// recordingService accepts jobs, and records which ones reach it.
type recordingService struct {
	Service
	jobs sync.Map
}

func (s *recordingService) Submit(_ context.Context, request *SubmitRequest) (*OutcomeResponse, error) {
	s.jobs.Store(request.Job.ID, true)
	return &OutcomeResponse{Kind: scheduler.OutcomeDone}, nil
}

func (s *recordingService) Config(context.Context, *ConfigRequest) (*ConfigResponse, error) {
	return &ConfigResponse{}, nil
}

// Guards against submissions to a process that is frozen and still takes connections: the outcome of each of them is
// unknown to its caller.
func TestSuspectProcessIsProbedBeforeCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address, frozen = "10.0.0.1:1", 2 * time.Second
		network, service, clients := nettest.NewNetwork(), &recordingService{}, NewClients()
		listener := network.Listen(address)
		server := &http.Server{Handler: NewHandler(service)}
		go func() { _ = server.Serve(listener) }()
		defer time.Sleep(time.Minute) // Until idle connections are closed.
		defer network.Close()
		client := clients.At(address)
		client.http.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Dial(ctx, address)
		}

		begin := time.Now()
		listener.Freeze(frozen)
		cancel, lost := submitAsync(t, clients, address, "lost")
		synctest.Wait()
		cancel()
		assert.Assert(t, !HadNoEffect(<-lost))
		_, unsent := submitAsync(t, clients, address, "unsent")
		assert.Assert(t, HadNoEffect(<-unsent))
		assert.Equal(t, time.Since(begin), probeTimeout)
		// A caller that leaves isn't held until the end of the probe.
		cancelLeft, left := submitAsync(t, clients, address, "left")
		synctest.Wait()
		cancelLeft()
		assert.Assert(t, HadNoEffect(<-left))
		assert.Equal(t, time.Since(begin), probeTimeout)

		// A probe that waits for the process while it thaws lets calls pass.
		time.Sleep(frozen - probeTimeout - probeTimeout/2)
		_, answered := submitAsync(t, clients, address, "answered")
		assert.NilError(t, <-answered)
		assert.Equal(t, time.Since(begin), frozen)
		synctest.Wait()
		for job, reached := range map[string]bool{"unsent": false, "left": false, "answered": true} {
			_, ok := service.jobs.Load(job)
			assert.Equal(t, ok, reached, job)
		}
	})
}
