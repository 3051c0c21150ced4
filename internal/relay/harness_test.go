package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	_ "turmericyoke/internal/fixedseed"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/nettest"
	"turmericyoke/internal/work"
)

// sentCall is a call that reached a worker.
type sentCall struct {
	kind   callKind
	worker string
	run    int64
	at     time.Duration
}

// fakeWorkers are workers as one process reaches them.
type fakeWorkers struct {
	clock func() time.Duration
	mu    sync.Mutex
	sent  []sentCall
	// unreachable holds the workers that this process doesn't reach.
	unreachable map[string]bool
	// takes is how long a worker takes for each call.
	takes time.Duration
	err   error
}

func (f *fakeWorkers) call(ctx context.Context, kind callKind, worker string, run int64) error {
	f.mu.Lock()
	unreachable, takes, err := f.unreachable[worker], f.takes, f.err
	if !unreachable {
		f.sent = append(f.sent, sentCall{kind, worker, run, f.clock()})
	}
	f.mu.Unlock()
	if unreachable {
		takes, err = 300*time.Millisecond, &infra.Error{Kind: infra.Unknown, Op: "call", Detail: "no response"}
	}
	timer := time.NewTimer(takes)
	defer timer.Stop()
	select {
	case <-timer.C:
		return err
	case <-ctx.Done():
		return &infra.Error{Kind: infra.Unknown, Op: "call", Cause: ctx.Err()}
	}
}

func (f *fakeWorkers) Start(ctx context.Context, worker infra.WorkerRef, order infra.StartOrder) (int64, error) {
	return order.LeaseEndMs, f.call(ctx, callStart, worker.ID, order.Run)
}

func (f *fakeWorkers) Stop(ctx context.Context, worker infra.WorkerRef, _ work.ItemID, run, token int64) (int64, error) {
	return token, f.call(ctx, callStop, worker.ID, run)
}

func (f *fakeWorkers) SetPace(ctx context.Context, worker infra.WorkerRef, _ work.ItemID, run int64, percent int, _ int64) (int64, error) {
	return int64(percent), f.call(ctx, callPace, worker.ID, run)
}

func (f *fakeWorkers) RenewLease(ctx context.Context, worker infra.WorkerRef, request infra.LeaseRenewal) (infra.WorkerReport, error) {
	report := infra.WorkerReport{ClockMs: request.LeaseEndMs, Running: []infra.ActiveRun{{Item: testItem, Run: 7, Checkpoint: "c", ProgressPercent: 41, Load: 8900}},
		Ended: []infra.EndedRun{{Sequence: 3, Item: testItem, Run: 6, Cause: infra.EndDone}}}
	return report, f.call(ctx, callRenewal, worker.ID, request.Token)
}

// calls returns the calls that reached workers.
func (f *fakeWorkers) calls() []sentCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]sentCall(nil), f.sent...)
}

func (f *fakeWorkers) setUnreachable(worker string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[worker] = true
}

var testItem = work.ItemID{Job: "5c0e7a21d94b36f8", Step: 1, Index: 2}

// testDirectory lists workers w-0 to w-9.
type testDirectory struct{ polled bool }

func (d *testDirectory) Poll(context.Context) (infra.WorkerUpdate, error) {
	update := infra.WorkerUpdate{Full: !d.polled}
	if !d.polled {
		for n := range 10 {
			worker := testWorker(n)
			update.Entries = append(update.Entries, infra.WorkerEntry{ID: worker.ID, Address: worker.Address, Zone: worker.Zone})
		}
	}
	d.polled = true
	return update, nil
}

func testWorker(n int) infra.WorkerRef {
	return infra.WorkerRef{ID: fmt.Sprint("w-", n), Address: fmt.Sprintf("10.0.0.%d:1", n), Zone: "z"}
}

// testRelay is an entry process that relays.
type testRelay struct {
	member   infra.Member
	server   *Server
	workers  *fakeWorkers
	listener *nettest.Listener
	http     *http.Server
	term     atomic.Int64
}

// fixture is a scheduling process with relays.
type fixture struct {
	t       *testing.T
	clock   func() time.Duration
	network *nettest.Network
	direct  *fakeWorkers
	router  *Router
	mu      sync.Mutex
	members []infra.Member
	cancel  context.CancelFunc
	ended   chan struct{}
}

func quietLogger() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func newFixture(t *testing.T) *fixture {
	begin := time.Now()
	f := &fixture{t: t, clock: func() time.Duration { return time.Hour + time.Since(begin) }, network: nettest.NewNetwork(), ended: make(chan struct{})}
	f.direct = f.newWorkers()
	f.router = NewRouter(f.direct, infra.Member{Name: "leader", Zone: "z", CPUMilli: 1}, f.peers, f.clock, quietLogger())
	f.router.Dial = f.network.Dial
	return f
}

func (f *fixture) newWorkers() *fakeWorkers {
	return &fakeWorkers{clock: f.clock, unreachable: map[string]bool{}}
}

func (f *fixture) peers() []infra.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]infra.Member(nil), f.members...)
}

// addRelay starts a relay and lists it.
func (f *fixture) addRelay(name, zone string) *testRelay {
	relay := f.startRelay(name, zone)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, relay.member)
	return relay
}

// startRelay starts a relay whose address is its name.
func (f *fixture) startRelay(name, zone string) *testRelay {
	relay := &testRelay{member: infra.Member{Name: name, Zone: zone, Address: name, CPUMilli: 800}, workers: f.newWorkers(),
		listener: f.network.Listen(name)}
	relay.server = &Server{Workers: relay.workers, NewDirectory: func() infra.Directory { return &testDirectory{} }, NewestTerm: relay.term.Load, Clock: f.clock, Logger: quietLogger()}
	mux := http.NewServeMux()
	mux.Handle(Path, relay.server)
	relay.http = &http.Server{Handler: mux}
	go func() { _ = relay.http.Serve(relay.listener) }()
	return relay
}

// run runs the router and makes it use relays.
func (f *fixture) run() {
	ctx, cancel := context.WithCancel(f.t.Context())
	f.cancel = cancel
	go func() {
		defer close(f.ended)
		f.router.Run(ctx)
	}()
	time.Sleep(maintainInterval / 2)
	// On so small a processor a few calls a second are worth relays.
	for range 10 {
		f.router.counters.calls.Add(1)
	}
	f.settle()
}

// settle waits until links are open and the relays have read their lists.
func (f *fixture) settle() {
	time.Sleep(time.Second)
	synctest.Wait()
}

// close ends all processes.
func (f *fixture) close() {
	if f.cancel != nil {
		f.cancel()
		<-f.ended
	}
	f.network.Close()
	time.Sleep(time.Minute)
}

// start sends a start of the run to worker n.
func (f *fixture) start(n int, run int64) error {
	_, err := f.router.Start(f.t.Context(), testWorker(n), infra.StartOrder{Item: testItem, Run: run, Token: 5})
	return err
}

// inFixture runs a test with simulated time.
func inFixture(t *testing.T, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.close()
		test(t, f)
	})
}

func assertKind(t *testing.T, err error, want infra.ErrorKind) {
	t.Helper()
	assert.Equal(t, infra.KindOf(err), want, "%v", err)
}
