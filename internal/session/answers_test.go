package session

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/entry"
	"turmericyoke/internal/entry/peer"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/infra/infratest"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// severedLog is a log that a process may be cut off from: calls then end without a response after a time limit.
type severedLog struct {
	infra.Log
	severed atomic.Bool
}

const severedCallTimeout = 1200 * time.Millisecond

func (l *severedLog) Append(ctx context.Context, topic string, records []infra.Record, options infra.AppendOptions) (int64, error) {
	if l.severed.Load() {
		time.Sleep(severedCallTimeout)
		return 0, &infra.Error{Kind: infra.Unknown, Op: "append"}
	}
	return l.Log.Append(ctx, topic, records, options)
}

// startLog counts the starts by job, and is a worker that reports nothing.
type startLog struct {
	slowStarts
	mu     sync.Mutex
	starts map[string]int
}

func (w *startLog) Start(_ context.Context, _ infra.WorkerRef, order infra.StartOrder) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[order.Item.Job]++
	return 0, nil
}

func (w *startLog) startsOf(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[job]
}

// answeringFleet runs sessions of several terms over one log, each with the service that its process offers to others.
type answeringFleet struct {
	log     *infratest.Log
	workers *startLog
	begin   time.Time
}

func newAnsweringFleet() *answeringFleet {
	return &answeringFleet{log: &infratest.Log{}, workers: &startLog{starts: map[string]int{}}, begin: time.Now()}
}

// contextOfSessions returns a context that ends before the test does, with time for calls in progress to end.
func contextOfSessions(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		time.Sleep(2 * severedCallTimeout)
	})
	return ctx
}

var answersQueue = work.Queue{Name: "q", Pool: "p"}

// lead runs the scheduler of a term until ctx ends, and returns the service of its process and the process's access to
// the log.
func (f *answeringFleet) lead(ctx context.Context, term int64) (peer.Service, *severedLog) {
	log := &severedLog{Log: f.log}
	config := newTestConfig(f.workers, f.begin, answersQueue)
	config.Log = log
	process := &entry.Entry{Logger: config.Logger}
	configure := config.ConfigureCore
	config.AttachCore = func(core *scheduler.Core) { process.AttachCore(core); configure(core) }
	config.DetachCore = process.DetachCore
	go Run(ctx, config, term)
	synctest.Wait()
	return process.PeerService(), log
}

func answersJob(id string) *peer.SubmitRequest {
	return &peer.SubmitRequest{Job: &work.Job{ID: id, Queue: answersQueue, Customer: "a", Steps: []work.Step{{Count: 1, Need: work.Resources{CPUMilli: 1}, Estimate: time.Minute}}}}
}

// submitDone submits a job and expects that it is accepted.
func submitDone(t *testing.T, service peer.Service, id string) {
	t.Helper()
	response, err := service.Submit(t.Context(), answersJob(id))
	assert.NilError(t, err)
	assert.Equal(t, response.Kind, scheduler.OutcomeDone)
}

const callerTimeout = 2900 * time.Millisecond

// checkDeniesNothing expects that a process whose term is over doesn't answer that the job doesn't exist, is cancelled or
// is never accepted.
func checkDeniesNothing(t *testing.T, service peer.Service, id string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
	defer cancel()
	cancelled, err := service.Cancel(ctx, &peer.CancelRequest{Job: id})
	assert.Check(t, err != nil || cancelled.Kind != scheduler.OutcomeNotFound && cancelled.Kind != scheduler.OutcomeDone, "the cancellation was acknowledged")
	state, err := service.State(ctx, &peer.StateRequest{Job: id})
	assert.Check(t, err != nil || state.Known, "an accepted job is unknown")
	submitted, err := service.Submit(ctx, answersJob(id))
	assert.Check(t, err != nil || submitted.Kind != scheduler.OutcomeRejected && submitted.Kind != scheduler.OutcomeInvalid, "an accepted job was rejected")
}

// Guards against a leader that has been replaced without knowing it and answers that a job doesn't exist which its
// successor has accepted (incident 0021).
func TestReplacedLeaderDoesNotDenyAcceptedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := contextOfSessions(t)
		f := newAnsweringFleet()
		former, log := f.lead(ctx, 1)
		log.severed.Store(true)
		successor, _ := f.lead(ctx, 2)
		// The list of workers hasn't been read yet, so that the job is pending.
		submitDone(t, successor, "job")
		checkDeniesNothing(t, former, "job")
		// Callers allow for counts that are 2 s old.
		time.Sleep(2 * time.Second)
		checkDeniesNothing(t, former, "job")
		pending, err := former.Pending(t.Context(), &peer.PendingRequest{Queue: answersQueue.Name})
		assert.Check(t, err != nil || pending.Pending > 0, "no job is pending")
	})
}

// Guards against the same between two appends of a leader that reaches the log, as after a pause of its process.
func TestResumedLeaderDoesNotDenyAcceptedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := contextOfSessions(t)
		f := newAnsweringFleet()
		former, _ := f.lead(ctx, 1)
		successor, _ := f.lead(ctx, 2)
		submitDone(t, successor, "job")
		checkDeniesNothing(t, former, "job")
	})
}

// Guards against work of a job whose cancellation was acknowledged before its submission arrived, also at a later leader
// (incident 0021).
func TestSubmissionAfterItsCancellationStartsNothing(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx := contextOfSessions(t)
			f := newAnsweringFleet()
			leader, _ := f.lead(ctx, 1)
			cancelled, err := leader.Cancel(t.Context(), &peer.CancelRequest{Job: "job"})
			assert.NilError(t, err)
			assert.Equal(t, cancelled.Kind, scheduler.OutcomeNotFound)
			if leaderChanges {
				leader, _ = f.lead(ctx, 2)
			}
			_, err = leader.Submit(t.Context(), answersJob("job"))
			assert.NilError(t, err)
			submitDone(t, leader, "other")
			time.Sleep(10 * time.Second)
			assert.Check(t, f.workers.startsOf("other") > 0)
			assert.Equal(t, f.workers.startsOf("job"), 0, "a cancelled job was started; leader changes: %t", leaderChanges)
		})
	}
}
