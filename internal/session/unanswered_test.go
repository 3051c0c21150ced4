package session

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// unansweringWorkers are workers that follow the platform's rules, but leave some calls unanswered and carry these out
// seconds later. They are also the directory that lists them. Their runs take runTime.
type unansweringWorkers struct {
	infra.Workers
	t       *testing.T
	begin   time.Time
	runTime time.Duration
	// cpuMilli is the capacity of each worker.
	cpuMilli int64
	// unanswered reports whether the n-th call of its kind to the worker, counted from 0, has no response.
	unanswered func(worker, kind string, n int) bool

	mu      sync.Mutex
	workers map[string]*unansweringWorker
	// runsOf counts the runs of each item that are present on any worker.
	runsOf map[work.ItemID]int
}

// unansweringWorker is the state of one of the workers.
type unansweringWorker struct {
	calls      map[string]int
	running    map[work.ItemID]int64
	highestRun map[work.ItemID]int64
	ended      []infra.EndedRun
	lastEnd    int64
	// ends is closed and replaced when a run ends.
	ends chan struct{}
}

// lateBy is how long after its sending an unanswered call is carried out.
const lateBy = 3 * time.Second

func newUnansweringWorkers(t *testing.T, runTime time.Duration, ids ...string) *unansweringWorkers {
	u := &unansweringWorkers{t: t, begin: time.Now(), runTime: runTime, cpuMilli: 4000, workers: map[string]*unansweringWorker{}, runsOf: map[work.ItemID]int{}}
	for _, id := range ids {
		u.workers[id] = &unansweringWorker{calls: map[string]int{}, running: map[work.ItemID]int64{}, highestRun: map[work.ItemID]int64{}, ends: make(chan struct{})}
	}
	return u
}

func (u *unansweringWorkers) Poll(context.Context) (infra.WorkerUpdate, error) {
	update := infra.WorkerUpdate{Full: true}
	for id := range u.workers {
		update.Entries = append(update.Entries, infra.WorkerEntry{ID: id, Pool: "p", Zone: "z", Address: id, Capacity: work.Resources{CPUMilli: u.cpuMilli}})
	}
	slices.SortFunc(update.Entries, func(a, b infra.WorkerEntry) int { return int(a.ID[0]) - int(b.ID[0]) })
	return update, nil
}

// answers counts a call, and reports whether it has a response. A call without one takes timeLimit and is carried out later.
func (u *unansweringWorkers) answers(ctx context.Context, worker, kind string, timeLimit time.Duration, late func()) bool {
	u.mu.Lock()
	n := u.workers[worker].calls[kind]
	u.workers[worker].calls[kind]++
	u.mu.Unlock()
	if u.unanswered == nil || !u.unanswered(worker, kind, n) {
		time.Sleep(time.Millisecond)
		return true
	}
	time.AfterFunc(lateBy, late)
	select {
	case <-ctx.Done():
	case <-time.After(timeLimit):
	}
	return false
}

// orderTimeLimit is the adapter's time limit for orders.
const orderTimeLimit = 300 * time.Millisecond

var errUnanswered = &infra.Error{Kind: infra.Unknown, Op: "test", Detail: "no response"}

func (u *unansweringWorkers) Start(ctx context.Context, worker infra.WorkerRef, order infra.StartOrder) (int64, error) {
	if !u.answers(ctx, worker.ID, "start", orderTimeLimit, func() { _ = u.start(worker.ID, order) }) {
		return 0, errUnanswered
	}
	return 0, u.start(worker.ID, order)
}

// start begins a run unless it is there, or a run that isn't lower has ended or was stopped there.
func (u *unansweringWorkers) start(worker string, order infra.StartOrder) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.workers[worker]
	if w.running[order.Item] == order.Run {
		return nil
	}
	if w.highestRun[order.Item] >= order.Run {
		return &infra.Error{Kind: infra.Superseded, Op: "start"}
	}
	w.running[order.Item] = order.Run
	if u.runsOf[order.Item]++; u.runsOf[order.Item] > 1 {
		u.t.Errorf("%s: a second run of %s begins on %s", time.Since(u.begin), order.Item, worker)
	}
	time.AfterFunc(u.runTime, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if w.running[order.Item] == order.Run {
			u.end(w, order.Item, infra.EndDone)
		}
	})
	return nil
}

// end ends a run that is there.
func (u *unansweringWorkers) end(w *unansweringWorker, id work.ItemID, cause infra.EndCause) {
	w.lastEnd++
	w.ended = append(w.ended, infra.EndedRun{Sequence: w.lastEnd, Item: id, Run: w.running[id], Cause: cause})
	w.highestRun[id] = max(w.highestRun[id], w.running[id])
	delete(w.running, id)
	u.runsOf[id]--
	close(w.ends)
	w.ends = make(chan struct{})
}

func (u *unansweringWorkers) Stop(ctx context.Context, worker infra.WorkerRef, item work.ItemID, run, _ int64) (int64, error) {
	stop := func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		w := u.workers[worker.ID]
		if w.running[item] > 0 && w.running[item] <= run {
			u.end(w, item, infra.EndStopped)
		}
		w.highestRun[item] = max(w.highestRun[item], run)
	}
	if !u.answers(ctx, worker.ID, "stop", orderTimeLimit, stop) {
		return 0, errUnanswered
	}
	stop()
	return 0, nil
}

func (u *unansweringWorkers) RenewLease(ctx context.Context, worker infra.WorkerRef, request infra.LeaseRenewal) (infra.WorkerReport, error) {
	if !u.answers(ctx, worker.ID, "hold", request.Wait+request.ResponseTime, func() {}) {
		return infra.WorkerReport{}, errUnanswered
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.workers[worker.ID]
	w.ended = slices.DeleteFunc(w.ended, func(e infra.EndedRun) bool { return e.Sequence <= request.AckedEnd })
	if ends := w.ends; len(w.ended) == 0 {
		u.mu.Unlock()
		select {
		case <-ends:
		case <-time.After(request.Wait):
		case <-ctx.Done():
		}
		u.mu.Lock()
	}
	report := infra.WorkerReport{ClockMs: time.Since(u.begin).Milliseconds() + 1, Ended: slices.Clone(w.ended)}
	for id, run := range w.running {
		report.Running = append(report.Running, infra.ActiveRun{Item: id, Run: run})
	}
	return report, nil
}

// runJob runs a session until the job is completed, and returns how long that took.
func (u *unansweringWorkers) runJob(t *testing.T, steps ...work.Step) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	queue := work.Queue{Name: "q", Pool: "p", Slack: 2, Target: time.Second}
	took := time.Duration(0)
	config := newTestConfig(u, u.begin, queue)
	config.AttachCore = func(core *scheduler.Core) {
		go func() {
			time.Sleep(time.Second)
			core.Submit(&work.Job{ID: "j", Queue: queue, Steps: steps}, make(chan scheduler.Outcome, 1))
			for submittedAt := time.Now(); ctx.Err() == nil; time.Sleep(time.Millisecond) {
				if state, _ := core.State("j"); state == scheduler.JobCompleted {
					took = time.Since(submittedAt)
					cancel()
				}
			}
		}()
	}
	Run(ctx, config, 1)
	assert.Assert(t, took > 0, "the job isn't completed")
	// Orders that are still to be carried out may start a run.
	time.Sleep(2 * lateBy)
	return took
}

// chain returns steps of single items that run one after the other, for runTime each.
func chain(length int, runTime time.Duration) []work.Step {
	var steps []work.Step
	for n := range length {
		step := work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: runTime}
		if n > 0 {
			step.After = []int{n - 1}
		}
		steps = append(steps, step)
	}
	return steps
}

// Guards against ends of runs that are noticed only when the long time limit of a renewal without a response is over: on
// days on which workers leave three calls in ten unanswered, this delayed each step of a job by up to 1.4 s.
func TestEndsAreNoticedDespiteUnansweredRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const runTime, length = 100 * time.Millisecond, 12
		u := newUnansweringWorkers(t, runTime, "a")
		u.unanswered = func(_, kind string, n int) bool { return kind == "hold" && n%3 == 1 }
		took := u.runJob(t, chain(length, runTime)...)
		// One time limit of 1.4 s, before the worker is known for this, and 0.3 s for each step.
		limit := 1400*time.Millisecond + length*(runTime+300*time.Millisecond)
		assert.Assert(t, took < limit, "took %s, not %s", took, limit)
	})
}

// Guards against starts that wait for the whole time limit of an attempt without a response, although a worker responds
// within milliseconds if it does: this delayed a step of a job by 0.3 s for each such attempt.
func TestStartsWithoutAResponseAreRepeatedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const runTime, length = 100 * time.Millisecond, 12
		u := newUnansweringWorkers(t, runTime, "a")
		u.unanswered = func(_, kind string, n int) bool { return kind == "start" && n%3 != 2 }
		took := u.runJob(t, chain(length, runTime)...)
		// The two attempts before the worker is known for this take 0.3 s each. Later ones take 0.2 s for each step.
		limit := 600*time.Millisecond + length*(runTime+200*time.Millisecond)
		assert.Assert(t, took < limit, "took %s, not %s", took, limit)
	})
}

// Guards against a work item that stays behind a worker which leaves its starts unanswered because the stop that frees
// it is repeated only after its long time limit, and against a second run of the item when a start is carried out after
// the stop.
func TestStopsWithoutAResponseAreRepeatedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const runTime = 5 * time.Second
		u := newUnansweringWorkers(t, runTime, "a", "b")
		u.unanswered = func(worker, kind string, n int) bool {
			return worker == "a" && (kind == "start" && n < 5 || kind == "stop" && n < 3)
		}
		took := u.runJob(t, chain(1, runTime)...)
		// The start is given up after 1.1 s. Three attempts to stop it take 0.42 s, the renewal that shows its absence
		// less than 0.25 s.
		const limit = runTime + 1800*time.Millisecond
		assert.Assert(t, took > runTime+time.Second && took < limit, "took %s, not %s", took, limit)
	})
}

// Guards against a step whose last items wait behind a worker that leaves all starts unanswered while another worker
// answers, and against second runs when these starts are carried out late.
func TestStepEndsDespiteAWorkerThatConfirmsNoStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const runTime = 300 * time.Millisecond
		u := newUnansweringWorkers(t, runTime, "a", "b")
		u.unanswered = func(worker, kind string, _ int) bool { return worker == "a" && kind == "start" }
		took := u.runJob(t, work.Step{Count: 16, Need: work.Resources{CPUMilli: 1000}, Estimate: runTime})
		// The first four starts are given up after 1.2 s and their items run elsewhere, while the four that b can have at
		// the same time take four rounds of 0.5 s.
		const limit = 3500 * time.Millisecond
		assert.Assert(t, took < limit, "took %s, not %s", took, limit)
	})
}
