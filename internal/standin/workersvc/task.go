package workersvc

import (
	"encoding/json"
	"errors"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
)

var (
	errAlreadyStarted = errors.New("the attempt was started before")
	errFenced         = errors.New("the attempt is fenced")
	errResponseLost   = errors.New("the answer was lost")
)

// throttledSpeed is the speed and the CPU usage of a throttled task as a fraction of the normal values.
const throttledSpeed = 0.25

// task is an attempt of a job on a worker.
type task struct {
	worker, job string
	attempt     uint32
	fenced      bool
	behaviour   Behaviour
	declared    *v1.Resources
	onCompleted func()

	startedAt  time.Time
	advancedAt time.Time
	leaseUntil time.Time
	progress   time.Duration
	// savedProgress is the progress at the last checkpoint, from which the next attempt continues.
	savedProgress    time.Duration
	throttled        bool
	checkpointDoneAt time.Time
	ended            bool
	endedAt          time.Time
	outcome          v1.JobOutcome
}

func newTask(request *v1.StartTaskRequest, now time.Time) *task {
	t := &task{
		worker: request.GetWorker(), job: request.GetJob(), attempt: request.GetAttempt(), declared: request.GetResources(),
		startedAt: now, advancedAt: now, leaseUntil: now.Add(milliseconds(request.GetLeaseMs())),
	}
	// A task whose spec isn't a Behaviour runs until it is stopped.
	_ = json.Unmarshal(request.GetSpec(), &t.behaviour)
	return t
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// advance simulates the task up to now: its progress, its completion and the expiry of its lease.
func (t *task) advance(now time.Time) {
	if t.ended {
		return
	}
	runningUntil := now
	if t.leaseUntil.Before(runningUntil) {
		runningUntil = t.leaseUntil
	}
	speed := 1.0
	if t.throttled {
		speed = throttledSpeed
	}
	newProgress := time.Duration(speed * float64(runningUntil.Sub(t.advancedAt)))
	required := t.behaviour.RunFor.Duration()
	if required > 0 && t.progress+newProgress >= required {
		remaining := time.Duration(float64(required-t.progress) / speed)
		t.finish(t.advancedAt.Add(remaining), t.completionOutcome())
		t.onCompleted()
		return
	}
	t.progress += newProgress
	t.advancedAt = runningUntil
	if !t.checkpointDoneAt.IsZero() && !runningUntil.Before(t.checkpointDoneAt) {
		t.savedProgress = t.progress
	}
	if t.leaseUntil.Before(now) {
		t.finish(t.leaseUntil, v1.JobOutcome_JOB_OUTCOME_PREEMPTED)
	}
}

func (t *task) completionOutcome() v1.JobOutcome {
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

// apply carries out an action on the newest attempt and reports whether it is done.
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

// checkpoint starts a checkpoint unless one was started, and reports whether it is complete.
func (t *task) checkpoint(faults Faults, now time.Time) bool {
	if faults.IgnoreCheckpoint {
		return false
	}
	if t.checkpointDoneAt.IsZero() {
		t.checkpointDoneAt = now.Add(t.behaviour.CheckpointTime.Duration())
	}
	if now.Before(t.checkpointDoneAt) {
		return false
	}
	t.savedProgress = t.progress
	return true
}

// report returns the state of the task. It has no usage until the task has run for lag.
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
	cpuFactor := factor
	if t.throttled {
		cpuFactor *= throttledSpeed
	}
	return &v1.Resources{
		CpuMilli:     uint64(cpuFactor * float64(t.declared.GetCpuMilli())),
		MemoryMib:    uint64(factor * float64(t.declared.GetMemoryMib())),
		Accelerators: t.declared.GetAccelerators(),
	}
}
