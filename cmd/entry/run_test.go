package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/election"
	"turmericyoke/internal/entry"
	"turmericyoke/internal/entry/peer"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/infra/infratest"
	"turmericyoke/internal/policy"
	"turmericyoke/internal/relay"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
	"turmericyoke/platform"
)

// graceTime is the time from SIGTERM until the platform kills the process.
const graceTime = 6 * time.Second

// clockFrom returns a clock that started an hour before start.
func clockFrom(start time.Time) func() time.Duration {
	return func() time.Duration { return time.Hour + time.Since(start) }
}

// newIdleProcess returns a process without configuration whose log is log.
func newIdleProcess(t *testing.T, log infra.Log, output io.Writer) *process {
	logger := logrus.New()
	logger.SetOutput(output)
	p := &process{settings: &platform.Settings{}, logger: logrus.NewEntry(logger), group: &leavableGroup{Group: &infratest.Group{}}, relay: &relay.Server{}}
	p.terms, p.endTerms = context.WithCancel(t.Context())
	p.settings.Bounds.GraceS = graceTime.Seconds()
	p.elector = &election.Elector{Self: infra.Member{Name: "n"}, Log: log, Group: p.group, Logger: p.logger, Clock: clockFrom(time.Now())}
	p.entry = &entry.Entry{Self: infra.Member{Name: "n"}, Election: p.elector, PeerClients: peer.NewClients(), Logger: p.logger}
	p.callers = platform.NewCallerAPI(p.entry, p.logger, prometheus.NewRegistry())
	return p
}

// newProcess returns a process that is configured, and whose submissions never have an outcome.
func newProcess(t *testing.T, log infra.Log, output io.Writer) *process {
	p := newIdleProcess(t, log, output)
	p.entry.ConfigSource = &infratest.ConfigSource{Config: &work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Prefix: "/q/", Open: true}}}}
	// Batches of this core are never committed.
	p.entry.AttachCore(scheduler.New(1, scheduler.Options{}, clockFrom(time.Now()), time.Now, p.logger, nil))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- p.entry.FollowConfig(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	synctest.Wait()
	return p
}

// hangingLog is a log whose appends have no response.
type hangingLog struct{ infra.Log }

func (hangingLog) Append(ctx context.Context, _ string, _ []infra.Record, _ infra.AppendOptions) (int64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// Guards against a shutdown that is longer than the grace time because the log doesn't respond: the process is then
// killed while it still has connections.
func TestHangingResignationDoesNotDelayShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProcess(t, hangingLog{}, io.Discard)
		signalAt := time.Now()
		p.drain(t.Context())
		shutdown := time.Since(signalAt) + closeTimeout
		assert.Assert(t, shutdown < graceTime, "the shutdown takes %s", shutdown)
	})
}

// serveCallers runs the server for callers until it is shut down.
func serveCallers(t *testing.T, p *process) (*fasthttp.Server, *fasthttputil.InmemoryListener) {
	listener := fasthttputil.NewInmemoryListener()
	server := newCallerServer(p.callers.Handle)
	served := make(chan error)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		assert.NilError(t, server.Shutdown())
		assert.NilError(t, <-served)
		// A goroutine of the server ends only with its next check for idle workers.
		time.Sleep(fasthttp.DefaultMaxIdleConnDuration)
	})
	return server, listener
}

// closeAfter calls wait and then closes the connections of callers. The returned function waits for that and returns
// the error.
func closeAfter(t *testing.T, p *process, server *fasthttp.Server, wait func()) func() error {
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		wait()
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		err = p.closeCallers(ctx, server)
	}()
	result := func() error {
		<-done
		return err
	}
	t.Cleanup(func() { _ = result() })
	return result
}

// caller is a connection of a caller.
type caller struct {
	net.Conn
	responses *bufio.Reader
}

func dial(t *testing.T, listener *fasthttputil.InmemoryListener) *caller {
	conn, err := listener.Dial()
	assert.NilError(t, err)
	return &caller{Conn: conn, responses: bufio.NewReader(conn)}
}

// submit sends a submission that waits for its outcome for up to a minute.
func (c *caller) submit(t *testing.T, id string) {
	const body = `{"steps":[{"count":1}]}`
	_, err := fmt.Fprintf(c, "POST /q/%s HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 60000\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	assert.NilError(t, err)
}

// response reads a response to the end.
func (c *caller) response(t *testing.T) *fasthttp.Response {
	response := &fasthttp.Response{}
	assert.NilError(t, response.Read(c.responses))
	return response
}

// Guards against requests whose connections close without a response: one that is in progress at the signal, one that
// comes late on a kept-alive connection, and one whose first byte comes when the processing of requests has ended.
func TestShutdownAnswersEachRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &bytes.Buffer{}
		p := newProcess(t, &infratest.Log{}, output)
		server, listener := serveCallers(t, p)

		inProgress, keptAlive, idle := dial(t, listener), dial(t, listener), dial(t, listener)
		inProgress.submit(t, "5c0e7a21d94b36f8")
		for _, c := range []*caller{keptAlive, idle} {
			_, err := fmt.Fprint(c, "GET /q/ HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			assert.Equal(t, c.response(t).StatusCode(), fasthttp.StatusOK)
		}
		synctest.Wait()

		signalAt := time.Now()
		closed := closeAfter(t, p, server, func() { p.drain(t.Context()) })
		time.Sleep(3200 * time.Millisecond)
		keptAlive.submit(t, "5c0e7a21d94b36f9")
		late := dial(t, listener)
		time.Sleep(p.drainTime() + closeTimeout - 200*time.Millisecond - time.Since(signalAt))
		late.submit(t, "5c0e7a21d94b36fa")

		for _, c := range []*caller{inProgress, keptAlive} {
			response := c.response(t)
			after := time.Since(signalAt)
			assert.Assert(t, after < p.drainTime()+closeTimeout, "the response came %s after the signal; the process has ended by then", after)
			assert.Equal(t, response.StatusCode(), fasthttp.StatusBadGateway)
			assert.Assert(t, response.ConnectionClose())
		}
		// 503 would promise that no other process has accepted the job.
		assert.Equal(t, late.response(t).StatusCode(), fasthttp.StatusBadGateway)
		_, err := idle.responses.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
		assert.NilError(t, closed())
		assert.Assert(t, time.Since(signalAt) < graceTime)
		assert.Assert(t, strings.Contains(output.String(), "cut_off=0 event=callers_stopped open=0"), output.String())
		assert.Assert(t, strings.Contains(output.String(), `path=/q/5c0e7a21d94b36fa reason="unconfirmed: the process is stopping"`), "the submission was passed on: %s", output.String())
	})
}

// Guards against requests that are cut off when a component fails: no signal has told them that the process stops.
func TestFailedComponentAnswersRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProcess(t, &infratest.Log{}, io.Discard)
		server, listener := serveCallers(t, p)
		inProgress := dial(t, listener)
		inProgress.submit(t, "5c0e7a21d94b36f8")
		synctest.Wait()
		closed := closeAfter(t, p, server, func() {})
		assert.Equal(t, inProgress.response(t).StatusCode(), fasthttp.StatusBadGateway)
		assert.NilError(t, closed())
	})
}

// Guards against a stopping process that doesn't learn who leads next: what it takes after the signal ends without a
// scheduler, or waits for its whole time limit.
func TestStoppingProcessFollowsTheNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &infratest.Log{}
		p := newProcess(t, log, io.Discard)
		p.elector.Nonce, p.elector.Eligible = "n", func() bool { return !p.draining.Load() }
		ranFor := make(chan time.Duration, 1)
		p.elector.RunTerm = func(ctx context.Context, _ int64) {
			begin := time.Now()
			<-ctx.Done()
			ranFor <- time.Since(begin)
		}
		next := &election.Elector{Self: infra.Member{Name: "next"}, Nonce: "next", Log: log, Group: p.group.Group, Logger: p.logger, Clock: clockFrom(time.Now()),
			Eligible: p.draining.Load, RunTerm: func(ctx context.Context, _ int64) { <-ctx.Done() }}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 2)
		for _, elector := range []*election.Elector{p.elector, next} {
			go func() { ended <- elector.Run(ctx) }()
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, p.elector.Current().Holder.Name, "n")

		p.drain(t.Context())
		assert.Equal(t, p.elector.Current().Holder.Name, "next")
		assert.Assert(t, !p.elector.Current().Resigned)
		assert.Equal(t, len(ranFor), 1, "the term goes on after the resignation")
		members, err := p.group.Members(ctx)
		assert.NilError(t, err)
		assert.DeepEqual(t, members, []infra.Member{{Name: "next"}})
		cancel()
		assert.ErrorIs(t, <-ended, context.Canceled)
		assert.ErrorIs(t, <-ended, context.Canceled)
	})
}

// Guards against a process that is killed at the end of its grace time because a term that was loading its state when
// the stop began, page by page from a slow log, still waits for the log.
func TestLoadingTermDoesNotDelayTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const loadTime = 10 * time.Second
		log := &infratest.Log{}
		p := newProcess(t, log, io.Discard)
		p.elector.Nonce, p.elector.Eligible = "n", func() bool { return !p.draining.Load() }
		loading := make(chan struct{})
		p.elector.RunTerm = func(context.Context, int64) {
			close(loading)
			time.Sleep(loadTime)
		}
		group, ctx := errgroup.WithContext(t.Context())
		group.Go(func() error { return p.elector.Run(ctx) })
		<-loading
		signalAt := time.Now()
		group.Go(func() error {
			p.drain(ctx)
			return errStopSignal
		})
		assert.ErrorIs(t, awaitComponents(ctx, group), errStopSignal)
		shutdown := time.Since(signalAt)
		assert.Assert(t, shutdown >= p.drainTime()+closeTimeout, "the servers had %s to end", shutdown-p.drainTime())
		assert.Assert(t, shutdown < graceTime, "the shutdown takes %s", shutdown)
		time.Sleep(loadTime)
	})
}

// Guards against a signal that ends a process at once while it starts: it may have requests as soon as its listener is
// open, and a changed settings file is no reason to end. Where nothing receives the signal, it would end this test.
func TestSignalDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	signal.Reset(syscall.SIGHUP, syscall.SIGTERM)
	settings := &platform.Settings{PortRange: []int{7000, 7015}}
	settings.Limits.MemoryMb = 1000
	settings.Listen.Front = "no address"
	assert.ErrorContains(t, run(t.Context(), settings, policy.Policy{}, io.Discard), "no address")
	for _, sent := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		assert.NilError(t, syscall.Kill(os.Getpid(), sent))
	}
}

// Guards against a second SIGTERM that ends a stopping process at once, with requests in progress: once nothing
// receives the signal, it has its default effect, which would end this test as well.
func TestSecondSIGTERMDoesNotCutTheShutdown(t *testing.T) {
	p := newIdleProcess(t, &infratest.Log{}, io.Discard)
	// The first signal is sent until it is received, and must not end the test before.
	guard := make(chan os.Signal, 1)
	signal.Notify(guard, syscall.SIGTERM)
	p.settings.Bounds.GraceS = 0
	p.signals = catchSignals()
	done := make(chan error, 1)
	go func() { done <- p.awaitStopSignal(t.Context()) }()
	for len(done) == 0 {
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
		runtime.Gosched()
	}
	assert.ErrorIs(t, <-done, errStopSignal)
	signal.Stop(guard)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
}

// readiness returns the status with which the process responds to the platform's load balancer.
func readiness(p *process) int {
	var ctx fasthttp.RequestCtx
	p.handleReadiness(&ctx)
	return ctx.Response.StatusCode()
}

// Guards against new connections to a process whose zone is partitioned, and against a rule that takes effect where
// operators haven't enabled it: there, the process stays ready.
func TestIsolatedProcessIsNotReady(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			p := newProcess(t, &infratest.Log{}, io.Discard)
			p.elector.Self.Zone = "a"
			if enabled {
				p.isolation = &entry.Isolation{Self: p.elector.Self, Election: partitioned{p.elector}, Clock: clockFrom(time.Now()), Logger: p.logger,
					Reachable: func(ctx context.Context, _ infra.Member) bool { <-ctx.Done(); return false }}
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				go func() { ended <- p.isolation.Run(ctx) }()
				t.Cleanup(func() { cancel(); <-ended })
			}
			assert.Equal(t, readiness(p), fasthttp.StatusOK)
			time.Sleep(2 * time.Second)
			synctest.Wait()
			want := fasthttp.StatusOK
			if enabled {
				want = fasthttp.StatusServiceUnavailable
			}
			assert.Equal(t, readiness(p), want)
			_, err := p.isolation.ObserveLog(&infratest.Log{}).Read(t.Context(), "t", 0, 0)
			assert.NilError(t, err)
			assert.Equal(t, readiness(p), fasthttp.StatusOK)
		})
	}
}

// partitioned is an election whose members are all in other zones.
type partitioned struct{ *election.Elector }

func (partitioned) Peers() []infra.Member {
	return []infra.Member{{Name: "b-0", Zone: "b"}, {Name: "c-0", Zone: "c"}}
}
