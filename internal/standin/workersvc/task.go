package workersvc

import (
	"encoding/json"
	"errors"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
)

var (
	errStarted    = errors.New("the attempt was started before")
	errFenced     = errors.New("the attempt is fenced")
	errAnswerLost = errors.New("the answer was lost")
)

// throttledRate is the speed of a throttled task.
const throttledRate = 0.25

// task is one attempt of a job.
type task struct {
	worker, job string
	attempt     uint32
	fenced      bool
	behaviour   Behaviour
	declared    *v1.Resources
	onCompleted func()

	startedAt  time.Time
	settledAt  time.Time
	leaseUntil time.Time
	progress   time.Duration
	// saved is the progress of the last checkpoint.
	saved        time.Duration
	throttled    bool
	checkpointAt time.Time
	ended        bool
	endedAt      time.Time
	outcome      v1.JobOutcome
}

func newTask(request *v1.StartTaskRequest, now time.Time) *task {
	t := &task{
		worker: request.GetWorker(), job: request.GetJob(), attempt: request.GetAttempt(), declared: request.GetResources(),
		startedAt: now, settledAt: now, leaseUntil: now.Add(milliseconds(request.GetLeaseMs())),
	}
	// A spec that isn't meant for the fake runs until it is stopped.
	_ = json.Unmarshal(request.GetSpec(), &t.behaviour)
	return t
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// settle brings the task up to now: its progress, its own end and the end of its lease.
func (t *task) settle(now time.Time) {
	if t.ended {
		return
	}
	until := now
	if t.leaseUntil.Before(until) {
		until = t.leaseUntil
	}
	rate := 1.0
	if t.throttled {
		rate = throttledRate
	}
	advanced := time.Duration(rate * float64(until.Sub(t.settledAt)))
	need := t.behaviour.RunFor.Duration()
	if need > 0 && t.progress+advanced >= need {
		left := time.Duration(float64(need-t.progress) / rate)
		t.finish(t.settledAt.Add(left), t.ownOutcome())
		t.onCompleted()
		return
	}
	t.progress += advanced
	t.settledAt = until
	if !t.checkpointAt.IsZero() && !until.Before(t.checkpointAt) {
		t.saved = t.progress
	}
	if t.leaseUntil.Before(now) {
		t.finish(t.leaseUntil, v1.JobOutcome_JOB_OUTCOME_PREEMPTED)
	}
}

func (t *task) ownOutcome() v1.JobOutcome {
	if t.behaviour.Fail {
		return v1.JobOutcome_JOB_OUTCOME_FAILED
	}
	return v1.JobOutcome_JOB_OUTCOME_SUCCEEDED
}

func (t *task) finish(at time.Time, outcome v1.JobOutcome) {
	if t.ended {
		return
	}
	t.ended = true
	t.endedAt = at
	t.outcome = outcome
}

// apply carries out an action on the newest attempt.
func (t *task) apply(request *v1.ControlTaskRequest, faults Faults, now time.Time) bool {
	if t.ended {
		return request.GetAction() == v1.TaskAction_TASK_ACTION_STOP
	}
	switch request.GetAction() {
	case v1.TaskAction_TASK_ACTION_RENEW:
		t.leaseUntil = now.Add(milliseconds(request.GetLeaseMs()))
		t.throttled = false
		return true
	case v1.TaskAction_TASK_ACTION_THROTTLE:
		if faults.IgnoreThrottle {
			return false
		}
		t.leaseUntil = now.Add(milliseconds(request.GetLeaseMs()))
		t.throttled = true
		return true
	case v1.TaskAction_TASK_ACTION_CHECKPOINT:
		return t.checkpoint(faults, now)
	case v1.TaskAction_TASK_ACTION_STOP:
		t.finish(now, v1.JobOutcome_JOB_OUTCOME_PREEMPTED)
		return true
	}
	return false
}

// checkpoint begins a checkpoint, and is done once it has been written.
func (t *task) checkpoint(faults Faults, now time.Time) bool {
	if faults.IgnoreCheckpoint {
		return false
	}
	if t.checkpointAt.IsZero() {
		t.checkpointAt = now.Add(t.behaviour.CheckpointTime.Duration())
	}
	if now.Before(t.checkpointAt) {
		return false
	}
	t.saved = t.progress
	return true
}

// report returns the state of the task, with usage as it was lag ago.
func (t *task) report(now time.Time, lag time.Duration) *v1.TaskReport {
	report := &v1.TaskReport{Worker: t.worker, Job: t.job, Attempt: t.attempt, Ended: t.ended, Outcome: t.outcome}
	if t.ended || now.Sub(t.startedAt) < lag {
		return report
	}
	report.Usage = t.usage()
	return report
}

func (t *task) usage() *v1.Resources {
	factor := t.behaviour.UsageFactor
	if factor == 0 {
		factor = 1
	}
	cpu := factor
	if t.throttled {
		cpu *= throttledRate
	}
	return &v1.Resources{
		CpuMilli:     uint64(cpu * float64(t.declared.GetCpuMilli())),
		MemoryMib:    uint64(factor * float64(t.declared.GetMemoryMib())),
		Accelerators: t.declared.GetAccelerators(),
	}
}
