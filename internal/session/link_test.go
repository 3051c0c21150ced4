package session

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/infra/infratest"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// Properties of narrowLink.
const (
	narrowLinkZones = 5
	// narrowLinkOrderTimeout is the caller's time limit for an order.
	narrowLinkOrderTimeout = 300 * time.Millisecond
)

// narrowLink is a fleet with a worker in each availability zone, all behind one link that carries one order at a time
// in the order of their arrival. An order whose caller has reached its time limit still occupies the link and takes
// effect. Lease renewals don't use the link.
type narrowLink struct {
	noHosts
	// orderTime is the time that one order occupies the link.
	orderTime time.Duration
	mu        sync.Mutex
	// freeAt is when the link has carried all orders so far.
	freeAt          time.Time
	started         map[work.ItemID]bool
	orders, stopped int
}

// carry waits until the link has carried an order, or until the caller's time limit.
func (l *narrowLink) carry() error {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(l.orderTime)
	l.orders++
	queueTime := l.freeAt.Sub(now)
	l.mu.Unlock()
	if queueTime > narrowLinkOrderTimeout {
		time.Sleep(narrowLinkOrderTimeout)
		return &infra.Error{Kind: infra.Unknown, Op: "order"}
	}
	time.Sleep(queueTime)
	return nil
}

func (l *narrowLink) Start(_ context.Context, _ infra.WorkerRef, order infra.StartOrder) (int64, error) {
	err := l.carry()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started[order.Item] = true
	return 0, err
}

func (l *narrowLink) Stop(context.Context, infra.WorkerRef, work.ItemID, int64, int64) (int64, error) {
	err := l.carry()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped++
	return 0, err
}

func (l *narrowLink) SetPace(context.Context, infra.WorkerRef, work.ItemID, int64, int, int64) (int64, error) {
	return 0, nil
}

func (l *narrowLink) RenewLease(_ context.Context, _ infra.WorkerRef, request infra.LeaseRenewal) (infra.WorkerReport, error) {
	time.Sleep(request.Wait)
	// A partial report says nothing about runs that it doesn't list.
	return infra.WorkerReport{ClockMs: time.Now().UnixMilli(), Partial: true}, nil
}

func (l *narrowLink) Poll(context.Context) (infra.WorkerUpdate, error) {
	update := infra.WorkerUpdate{Full: true}
	for zone := range narrowLinkZones {
		update.Entries = append(update.Entries, infra.WorkerEntry{ID: fmt.Sprint("w-", zone), Pool: "p", Zone: fmt.Sprint("z-", zone), Address: "a:1", Capacity: work.Resources{CPUMilli: 100}})
	}
	return update, nil
}

// Guards against a scheduler that sends more starts than its link carries: they reach their time limits in the queue of
// the link, and their repetitions and the stops that follow keep it full. On the small twin of scale-1 of
// vaalkant-ops-large, 854 of 870 starts had no response within five seconds.
func TestStartsDoNotOverloadTheLink(t *testing.T) {
	for _, ordersPerSecond := range []int{100, 200, 400, 800, 3000} {
		t.Run(fmt.Sprint(ordersPerSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testNarrowLink(t, ordersPerSecond) })
		})
	}
}

func testNarrowLink(t *testing.T, ordersPerSecond int) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	link := &narrowLink{started: map[work.ItemID]bool{}, orderTime: time.Second / time.Duration(ordersPerSecond)}
	begin := time.Now()
	const items = 400
	config := Config{Log: &infratest.Log{}, Workers: link, Hosts: link, NewDirectory: func() infra.Directory { return link },
		Clock: func() time.Duration { return time.Since(begin) }, WallClock: time.Now, Logger: logrus.NewEntry(logger),
		Options: scheduler.Options{Lease: 10 * time.Second},
		ConfigureCore: func(core *scheduler.Core) {
			core.SetConfig(&work.Config{Version: 1, Pools: map[string]work.Pool{"p": {Name: "p"}}, Queues: []work.Queue{{Name: "q", Pool: "p"}}})
		},
		DetachCore: func() {},
		AttachCore: func(core *scheduler.Core) {
			core.Submit(&work.Job{ID: "j", Queue: work.Queue{Name: "q", Pool: "p"}, Steps: []work.Step{{Count: items, Need: work.Resources{CPUMilli: 1}, Lasting: true}}}, make(chan scheduler.Outcome, 1))
		}}
	// Twice the time that the link needs for one order for each start.
	ctx, cancel := context.WithTimeout(t.Context(), time.Second+2*items*link.orderTime)
	defer cancel()
	Run(ctx, config, 1)
	// Run doesn't wait for the orders in progress.
	time.Sleep(maxOrderAttempts * narrowLinkOrderTimeout)
	link.mu.Lock()
	defer link.mu.Unlock()
	assert.Equal(t, len(link.started), items)
	assert.Equal(t, link.stopped, 0, "runs were stopped because their starts had no response; %d orders", link.orders)
	assert.Assert(t, link.orders < 2*items, "%d orders for %d starts", link.orders, items)
}

// slowHosts is a fleet without hosts whose list takes readTime.
type slowHosts struct {
	noHosts
	readTime time.Duration
	reads    int
}

func (h *slowHosts) List(context.Context) ([]infra.Host, error) {
	h.reads++
	time.Sleep(h.readTime)
	return nil, nil
}

// Guards against a list of hosts that takes most of the link or of the processor, because it is read at a fixed
// interval: on the small twin of vaalkant-ops-large it took a third of a link of 2 Mbit/s before there was any work.
func TestLongReadsOfTheHostListAreRare(t *testing.T) {
	for readTime, wantReads := range map[time.Duration]int{0: 66, 37 * time.Millisecond: 54, 110 * time.Millisecond: 19, 800 * time.Millisecond: 6} {
		synctest.Test(t, func(t *testing.T) {
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			workers, hosts := &slowStarts{}, &slowHosts{readTime: readTime}
			begin := time.Now()
			config := Config{Log: &infratest.Log{}, Workers: workers, Hosts: hosts, NewDirectory: func() infra.Directory { return workers },
				Clock: func() time.Duration { return time.Since(begin) }, WallClock: time.Now, Logger: logrus.NewEntry(logger),
				Options: scheduler.Options{Lease: 5 * time.Second}, ConfigureCore: func(*scheduler.Core) {}, AttachCore: func(*scheduler.Core) {}, DetachCore: func() {}}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			Run(ctx, config, 1)
			assert.Assert(t, hosts.reads >= wantReads && hosts.reads <= wantReads+1, "%d reads of %s in 10 s; want %d", hosts.reads, readTime, wantReads)
		})
	}
}

// slowReports is a worker whose responses to lease renewals take 500 ms. It reports what was started.
type slowReports struct {
	slowStarts
	running []infra.ActiveRun
}

func (w *slowReports) Start(_ context.Context, _ infra.WorkerRef, order infra.StartOrder) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	w.running = append(w.running, infra.ActiveRun{Item: order.Item, Run: order.Run, ProgressPercent: 100})
	return 0, nil
}

func (w *slowReports) RenewLease(_ context.Context, _ infra.WorkerRef, request infra.LeaseRenewal) (infra.WorkerReport, error) {
	time.Sleep(request.Wait)
	w.mu.Lock()
	report := infra.WorkerReport{ClockMs: time.Now().UnixMilli(), Running: slices.Clone(w.running)}
	w.mu.Unlock()
	const responseTime = 500 * time.Millisecond
	if time.Sleep(min(responseTime, request.ResponseTime)); request.ResponseTime < responseTime {
		return infra.WorkerReport{}, &infra.Error{Kind: infra.Unknown, Op: "hold"}
	}
	return report, nil
}

// Guards against a worker that counts as lost although it responds to each renewal, since all responses come a little
// later than the time limit: it gets no work, and what it has starts again when its lease has lapsed.
func TestSlowResponsesKeepTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &slowReports{}
		begin := time.Now()
		config := newTestConfig(worker, begin, work.Queue{Name: "q", Pool: "p"})
		config.AttachCore = func(core *scheduler.Core) {
			core.Submit(&work.Job{ID: "j", Queue: work.Queue{Name: "q", Pool: "p"}, Steps: []work.Step{{Count: 3, Need: work.Resources{CPUMilli: 1}, Lasting: true}}}, make(chan scheduler.Outcome, 1))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		Run(ctx, config, 1)
		assert.Equal(t, worker.started, 3, "each work item has to start once")
	})
}

// The window bounds the starts in flight, admits them in order, and is reduced once for starts that fail together.
// The window bounds the starts in flight, admits them in order, and is reduced once for starts that fail together.
func TestStartWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		window := newStartWindow()
		var mu sync.Mutex
		var admitted []int
		for n := range initialStartWindow + 3 {
			window.enqueue(func() {
				mu.Lock()
				defer mu.Unlock()
				admitted = append(admitted, n)
			})
			synctest.Wait()
		}
		assert.Equal(t, len(admitted), initialStartWindow)
		window.release()
		synctest.Wait()
		assert.Equal(t, admitted[initialStartWindow], initialStartWindow, "the first one that waited has its turn")
		window.observe(0, time.Second, false)
		window.observe(time.Second/2, time.Second, false)
		assert.Equal(t, int(window.size), initialStartWindow/2)
		assert.Equal(t, len(window.waiting), 2)
		assert.Equal(t, window.inFlight, initialStartWindow)
	})
}
