package session

import (
	"context"
	"slices"
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
	service, _ := f.leadOver(ctx, term, log, 0)
	return service, log
}

// leadOver is lead with a given access to the log, which takes at most callBytes in one append; 0 means no limit. It also
// returns the core.
func (f *answeringFleet) leadOver(ctx context.Context, term int64, log infra.Log, callBytes int) (service peer.Service, core *scheduler.Core) {
	config := newTestConfig(f.workers, f.begin, answersQueue)
	config.Log, config.LogLimits.Call = log, callBytes
	process := &entry.Entry{Logger: config.Logger}
	configure := config.ConfigureCore
	config.AttachCore = func(attached *scheduler.Core) { core = attached; process.AttachCore(attached); configure(attached) }
	config.DetachCore = process.DetachCore
	go Run(ctx, config, term)
	synctest.Wait()
	return process.PeerService(), core
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

// Guards against a leader that is cut off, and answers 503 for a job that its successor has accepted: 503 promises, as 429
// does, that the job never runs.
func TestReplacedLeaderDoesNotPromiseThatAnAcceptedJobNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := contextOfSessions(t)
		f := newAnsweringFleet()
		former, log := f.lead(ctx, 1)
		log.severed.Store(true)
		successor, _ := f.lead(ctx, 2)
		submitDone(t, successor, "job")
		// By now the append in progress of the former leader counts as stalled.
		time.Sleep(2 * time.Second)
		limited, cancel := context.WithTimeout(t.Context(), callerTimeout)
		defer cancel()
		response, err := former.Submit(limited, answersJob("job"))
		assert.Check(t, err != nil || response.Kind != scheduler.OutcomeUnavailable, "an accepted job was answered with 503 (%s)", responseReason(response))
	})
}

func responseReason(response *peer.OutcomeResponse) string {
	if response == nil {
		return ""
	}
	return response.Reason
}

// Guards against a leader that is behind, and rejects a job that its successor has accepted. A takeover isn't bound to the
// age of the leader's last append: others take over once its joins of the group have failed for memberTTL.
func TestReplacedBusyLeaderDoesNotRejectAcceptedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := contextOfSessions(t)
		f := newAnsweringFleet()
		former, core := f.leadOver(ctx, 1, f.log, 0)
		successor, _ := f.lead(ctx, 2)
		submitDone(t, successor, "job")
		core.ObserveDelay(time.Second)
		response, err := former.Submit(t.Context(), answersJob("job"))
		assert.Check(t, err != nil || response.Kind != scheduler.OutcomeRejected, "an accepted job was rejected (%s)", responseReason(response))
	})
}

// tornLog is a log that confirms an append with the definition of a job, and from then on takes nothing more of this process:
// a takeover happens between two appends of one batch.
type tornLog struct {
	severedLog
	definition string
}

func (l *tornLog) Append(ctx context.Context, topic string, records []infra.Record, options infra.AppendOptions) (int64, error) {
	offset, err := l.severedLog.Append(ctx, topic, records, options)
	if slices.ContainsFunc(records, func(r infra.Record) bool { return r.Key == l.definition }) {
		l.severed.Store(true)
	}
	return offset, err
}

// Guards against work of a job whose cancellation was acknowledged, after a takeover between the appends of its definition
// and of its state. A batch is divided at the limit of an append, which is set here so that the two are in different parts.
func TestCancelledJobOfATornBatchStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := contextOfSessions(t)
		f := newAnsweringFleet()
		former, _ := f.leadOver(ctx, 1, &tornLog{severedLog: severedLog{Log: f.log}, definition: "d/job"}, 64)
		cancelled, err := former.Cancel(t.Context(), &peer.CancelRequest{Job: "job"})
		assert.NilError(t, err)
		assert.Equal(t, cancelled.Kind, scheduler.OutcomeNotFound)
		limited, cancel := context.WithTimeout(t.Context(), callerTimeout)
		defer cancel()
		_, err = former.Submit(limited, answersJob("job"))
		assert.Assert(t, err != nil, "the batch wasn't torn")
		successor, _ := f.lead(ctx, 2)
		submitDone(t, successor, "other")
		time.Sleep(20 * time.Second)
		assert.Check(t, f.workers.startsOf("other") > 0)
		assert.Check(t, f.workers.startsOf("job") == 0, "a job was started whose cancellation was acknowledged")
	})
}
