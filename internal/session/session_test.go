package session

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
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

// fencedWorker is a worker that refuses lease renewals because it has seen a higher fencing token. It is also
// the directory that lists only this worker.
type fencedWorker struct{ infra.Workers }

func (fencedWorker) RenewLease(context.Context, infra.WorkerRef, infra.LeaseRenewal) (infra.WorkerReport, error) {
	return infra.WorkerReport{}, &infra.Error{Kind: infra.Fenced, Op: "hold"}
}

func (fencedWorker) Poll(context.Context) (infra.WorkerUpdate, error) {
	// Lists the worker only after the append to the log, which is down by then, has begun.
	time.Sleep(200 * time.Millisecond)
	entry := infra.WorkerEntry{ID: "w", Pool: "p", Address: "a:1", Capacity: work.Resources{CPUMilli: 1000}}
	return infra.WorkerUpdate{Full: true, Entries: []infra.WorkerEntry{entry}}, nil
}

// noHosts is a fleet without hosts.
type noHosts struct{ infra.Hosts }

func (noHosts) List(context.Context) ([]infra.Host, error) { return nil, nil }

// Guards against a term that continues after a worker has refused its fencing token, because its append still
// waits for a log that doesn't respond (incident 0002).
func TestFencedTermEndsWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		log := &infratest.Log{}
		start := time.Now()
		config := Config{Log: log, Workers: fencedWorker{}, Hosts: noHosts{}, NewDirectory: func() infra.Directory { return fencedWorker{} },
			Clock: func() time.Duration { return time.Since(start) }, WallClock: time.Now, Logger: logrus.NewEntry(logger),
			Options:       scheduler.Options{Lease: 5 * time.Second},
			ConfigureCore: func(*scheduler.Core) {}, DetachCore: func() {},
			AttachCore: func(core *scheduler.Core) {
				log.SetDown(true)
				core.Submit(&work.Job{ID: "j", Steps: []work.Step{{Count: 1}}}, make(chan scheduler.Outcome, 1))
			}}
		Run(t.Context(), config, 1)
		assert.Assert(t, time.Since(start) < time.Second, "the fenced term ended only after %s", time.Since(start))
	})
}

// slowStarts is a worker that takes 10 ms for each start, and the directory and the fleet that list only it. It
// counts the starts that it works on at the same time.
type slowStarts struct {
	infra.Workers
	mu                        sync.Mutex
	starting, started, atOnce int
}

func (w *slowStarts) RenewLease(_ context.Context, _ infra.WorkerRef, request infra.LeaseRenewal) (infra.WorkerReport, error) {
	time.Sleep(request.Wait)
	return infra.WorkerReport{ClockMs: time.Now().UnixMilli()}, nil
}

func (w *slowStarts) Start(context.Context, infra.WorkerRef, infra.StartOrder) (int64, error) {
	w.mu.Lock()
	w.starting++
	w.atOnce = max(w.atOnce, w.starting)
	w.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starting--
	w.started++
	return 0, nil
}

func (w *slowStarts) Stop(context.Context, infra.WorkerRef, work.ItemID, int64, int64) (int64, error) {
	return 0, nil
}

func (w *slowStarts) Poll(context.Context) (infra.WorkerUpdate, error) {
	entry := infra.WorkerEntry{ID: "w", Pool: "p", Zone: "z", Address: "a:1", Capacity: work.Resources{CPUMilli: 1 << 30}}
	return infra.WorkerUpdate{Full: true, Entries: []infra.WorkerEntry{entry}}, nil
}

// Guards against starts that time out because thousands are sent at once, as after a takeover: on a simulated day
// of vaalkant-ops-large, 1,275 starts timed out within two seconds.
func TestStartsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		worker := &slowStarts{}
		begin := time.Now()
		const items = 1000
		config := Config{Log: &infratest.Log{}, Workers: worker, Hosts: noHosts{}, NewDirectory: func() infra.Directory { return worker },
			Clock: func() time.Duration { return time.Since(begin) }, WallClock: time.Now, Logger: logrus.NewEntry(logger),
			Options: scheduler.Options{Lease: 5 * time.Second},
			ConfigureCore: func(core *scheduler.Core) {
				core.SetConfig(&work.Config{Version: 1, Pools: map[string]work.Pool{"p": {Name: "p"}}, Queues: []work.Queue{{Name: "q", Pool: "p"}}})
			},
			DetachCore: func() {},
			AttachCore: func(core *scheduler.Core) {
				core.Submit(&work.Job{ID: "j", Queue: work.Queue{Name: "q", Pool: "p"}, Steps: []work.Step{{Count: items, Need: work.Resources{CPUMilli: 1}, Estimate: time.Minute}}}, make(chan scheduler.Outcome, 1))
			}}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		Run(ctx, config, 1)
		worker.mu.Lock()
		defer worker.mu.Unlock()
		assert.Equal(t, worker.started, items, "not all work items were started")
		assert.Assert(t, worker.atOnce <= maxStartsInFlight, "%d starts at the same time", worker.atOnce)
	})
}

// lostList is a directory that can be read only once, and its worker. It counts the starts of the job "late".
type lostList struct {
	slowStarts
	polls      int
	lateStarts atomic.Int64
}

func (l *lostList) Start(_ context.Context, _ infra.WorkerRef, order infra.StartOrder) (int64, error) {
	if order.Item.Job == "late" {
		l.lateStarts.Add(1)
	}
	return 0, nil
}

func (l *lostList) Poll(ctx context.Context) (infra.WorkerUpdate, error) {
	if l.polls++; l.polls > 1 {
		return infra.WorkerUpdate{}, &infra.Error{Kind: infra.Unavailable, Op: "log-read"}
	}
	return l.slowStarts.Poll(ctx)
}

// Guards against starts long after the last read of the list of workers, on workers that don't guard their capacity: it may
// have shrunk.
func TestNoStartsWithoutTheListOfWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &lostList{}
		begin := time.Now()
		queue := work.Queue{Name: "q", Pool: "p"}
		config := newTestConfig(list, begin, queue)
		config.AttachCore = func(core *scheduler.Core) {
			time.AfterFunc(4*time.Second, func() {
				core.Submit(&work.Job{ID: "late", Queue: queue, Steps: []work.Step{{Count: 1, Need: work.Resources{CPUMilli: 1}, Estimate: time.Minute}}}, make(chan scheduler.Outcome, 1))
			})
		}
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
		defer cancel()
		Run(ctx, config, 1)
		assert.Equal(t, list.lateStarts.Load(), int64(0))
	})
}

// idleHosts is a fleet of idle hosts, and the directory and the workers of these hosts. It counts the orders that it
// gets.
type idleHosts struct {
	slowStarts
	count int
	moves atomic.Int64
}

func (h *idleHosts) List(context.Context) ([]infra.Host, error) {
	var hosts []infra.Host
	for n := range h.count {
		hosts = append(hosts, infra.Host{ID: fmt.Sprint("h-", n), Pool: "p", State: infra.HostUp, WorkerID: fmt.Sprint("w-", n), Capacity: work.Resources{CPUMilli: 8000}})
	}
	return hosts, nil
}

func (h *idleHosts) Poll(context.Context) (infra.WorkerUpdate, error) {
	update := infra.WorkerUpdate{Full: true}
	for n := range h.count {
		update.Entries = append(update.Entries, infra.WorkerEntry{ID: fmt.Sprint("w-", n), Pool: "p", Address: "a:1", Capacity: work.Resources{CPUMilli: 8000}})
	}
	return update, nil
}

func (h *idleHosts) Move(context.Context, string, string, int64) error {
	h.moves.Add(1)
	return nil
}

func (h *idleHosts) StartMaintenance(context.Context, string, int64, int64) error { return nil }

// Guards against moves that are planned while the log is down: their hosts get no work, although the orders can't be
// sent. In a simulated day of ibarra-cuerdas-grown, 1,100 moves were planned in an outage of six seconds.
func TestNoMovesArePlannedWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &bytes.Buffer{}
		logger := logrus.New()
		logger.SetOutput(output)
		hosts := &idleHosts{count: 20}
		log := &infratest.Log{}
		begin := time.Now()
		config := Config{Log: log, Workers: hosts, Hosts: hosts, NewDirectory: func() infra.Directory { return hosts },
			Clock: func() time.Duration { return time.Hour + time.Since(begin) }, WallClock: time.Now, Logger: logrus.NewEntry(logger),
			Options: scheduler.Options{Lease: 5 * time.Second},
			ConfigureCore: func(core *scheduler.Core) {
				core.SetConfig(&work.Config{Version: 1, Pools: map[string]work.Pool{"p": {Name: "p"}, "rest": {Name: "rest", Standby: true}}, Queues: []work.Queue{{Name: "q", Pool: "p"}}})
			},
			DetachCore: func() {},
			AttachCore: func(core *scheduler.Core) {
				// The work of this job is a peak, after which idle hosts may go to standby.
				core.Submit(&work.Job{ID: "j", Queue: work.Queue{Name: "q", Pool: "p"}, Steps: []work.Step{{Count: 100, Need: work.Resources{CPUMilli: 8000}, Estimate: time.Second}}}, make(chan scheduler.Outcome, 1))
				log.SetDown(true)
			}}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		Run(ctx, config, 1)
		assert.Equal(t, hosts.moves.Load(), int64(0))
		assert.Equal(t, strings.Count(output.String(), "event=host_move_decided"), 0)
	})
}

// slowRenewals is a worker whose responses to lease renewals take 2 s, and the directory that lists only it.
type slowRenewals struct{ slowStarts }

func (*slowRenewals) RenewLease(context.Context, infra.WorkerRef, infra.LeaseRenewal) (infra.WorkerReport, error) {
	time.Sleep(2 * time.Second)
	return infra.WorkerReport{}, &infra.Error{Kind: infra.Unknown, Op: "hold"}
}

// Guards against a core that still gets requests when its term is over, because a call to a worker is in progress: it
// turns away jobs that the next leader could take.
func TestCoreIsDetachedWhenTheTermIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		workers := &slowRenewals{}
		begin := time.Now()
		var detachedAfter []time.Duration
		config := Config{Log: &infratest.Log{}, Workers: workers, Hosts: noHosts{}, NewDirectory: func() infra.Directory { return workers },
			Clock: func() time.Duration { return time.Hour + time.Since(begin) }, WallClock: time.Now, Logger: logrus.NewEntry(logger),
			Options: scheduler.Options{Lease: 5 * time.Second}, ConfigureCore: func(*scheduler.Core) {}, AttachCore: func(*scheduler.Core) {},
			DetachCore: func() { detachedAfter = append(detachedAfter, time.Since(begin)) }}
		const termTime = 3 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), termTime)
		defer cancel()
		Run(ctx, config, 1)
		assert.Assert(t, time.Since(begin) > termTime, "no call to the worker was in progress")
		assert.DeepEqual(t, detachedAfter, []time.Duration{termTime})
	})
}
