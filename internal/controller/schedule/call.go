package schedule

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// sendCall starts one call for the task. If MaxCalls calls are in flight, it does nothing, and a later step
// tries again.
func (l *Loop) sendCall(ctx context.Context, calls *errgroup.Group, t *task, next action, now time.Time) {
	request := l.newRequest(t, next)
	t.callInFlight = true
	previousCall := t.lastCall
	t.lastCall = now
	sent := calls.TryGo(func() error {
		request.send(ctx, l)
		return nil
	})
	if !sent {
		t.callInFlight = false
		t.lastCall = previousCall
	}
}

// request is a call for one attempt. It copies what it needs from the task, since a newer attempt may replace
// the task during the call.
type request struct {
	task    *task
	action  action
	job     string
	attempt uint32
	worker  string
	timeout time.Duration
	start   *v1.StartTaskRequest
	control *v1.ControlTaskRequest
	// fallbackOutcome is the outcome of a stopped attempt that is missing from the platform's report.
	fallbackOutcome v1.JobOutcome
}

// newRequest returns the call for the task's next action.
func (l *Loop) newRequest(t *task, next action) *request {
	lease := uint32(l.settings.Lease.Milliseconds())
	r := &request{
		task: t, action: next, job: t.job.ID, attempt: t.job.Attempt, worker: t.job.Worker,
		timeout: l.settings.CallTimeout, fallbackOutcome: t.fallbackOutcome(),
	}
	if next == actionStart {
		r.start = &v1.StartTaskRequest{
			Worker: r.worker, Job: r.job, Attempt: r.attempt, LeaseMs: lease, Spec: t.job.Spec,
			Resources: &v1.Resources{CpuMilli: t.job.Resources.CPUMilli, MemoryMib: t.job.Resources.MemoryMiB, Accelerators: t.job.Resources.Accelerators},
		}
		return r
	}
	r.control = &v1.ControlTaskRequest{Worker: r.worker, Job: r.job, Attempt: r.attempt, LeaseMs: lease, Action: taskActions[next]}
	switch {
	case next == actionRenew && t.throttledFor != "":
		// A plain renewal would end the throttling, so the lease is renewed by another throttle call.
		r.control.Action = v1.TaskAction_TASK_ACTION_THROTTLE
	case next == actionCheckpoint:
		r.timeout = min(r.timeout, l.settings.CheckpointTimeout/2)
	case next == actionThrottle:
		r.timeout = min(r.timeout, l.settings.ThrottleTimeout)
	}
	return r
}

// taskActions maps the control actions to those of the platform.
var taskActions = map[action]v1.TaskAction{
	actionRenew:      v1.TaskAction_TASK_ACTION_RENEW,
	actionCheckpoint: v1.TaskAction_TASK_ACTION_CHECKPOINT,
	actionThrottle:   v1.TaskAction_TASK_ACTION_THROTTLE,
	actionStop:       v1.TaskAction_TASK_ACTION_STOP,
}

// send sends the call and records the response.
func (r *request) send(ctx context.Context, l *Loop) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	if r.start != nil {
		response, err := l.Workers.Start(ctx, r.start)
		l.update(func(now time.Time) {
			r.handleStart(response, err, now)
			l.markBusy(r.task)
		})
		return
	}
	response, err := l.Workers.Control(ctx, r.control)
	if err == nil && (r.action == actionStop && response.GetDone() || r.action == actionRenew && !response.GetDone()) {
		r.resolveEnd(ctx, l)
		return
	}
	l.update(func(now time.Time) {
		r.handleControl(l, response, err, now)
		l.markBusy(r.task)
	})
}

// update calls change with the current time while the loop is locked, for instance to apply the response to
// a call.
func (l *Loop) update(change func(now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l.Now())
}

// recordReturned records that the call has returned. A call that grants a lease may have granted it even if the
// call failed.
func (r *request) recordReturned(now time.Time) {
	r.task.callInFlight = false
	if r.action == actionStart || r.action == actionRenew || r.action == actionThrottle {
		r.task.maybeLeasedAt = now
	}
}

// handleStart handles the response to a start.
func (r *request) handleStart(response *v1.StartTaskResponse, err error, now time.Time) {
	t := r.task
	r.recordReturned(now)
	switch {
	case err == nil && response.GetStarted():
		t.confirmed = true
		t.leasedAt = now
	case err == nil:
		t.markEnded(v1.JobOutcome_JOB_OUTCOME_WORKER_FAILED, now)
	case connect.CodeOf(err) == connect.CodeAlreadyExists:
		// The response to an earlier start was lost, or another controller started the attempt. The
		// lease is renewed at once.
		t.confirmed = true
		t.renewNow = true
		t.leasedAt = now
	case connect.CodeOf(err) == connect.CodeAborted:
		t.markEnded(v1.JobOutcome_JOB_OUTCOME_PREEMPTED, now)
	}
}

// handleControl handles the response to a control action, except for those that resolveEnd handles: a
// completed stop and a refused renewal.
func (r *request) handleControl(l *Loop, response *v1.ControlTaskResponse, err error, now time.Time) {
	t := r.task
	r.recordReturned(now)
	if err != nil || !response.GetDone() {
		return
	}
	switch r.action {
	case actionRenew:
		t.leasedAt = now
		t.renewNow = false
	case actionCheckpoint:
		t.handleCheckpointed(now)
	case actionThrottle:
		t.leasedAt = now
		l.handleThrottled(t, now)
	}
}

// handleThrottled continues after a victim was throttled: with the stop if the victim must stop, otherwise the
// eviction is complete and the victim keeps running.
func (l *Loop) handleThrottled(t *task, now time.Time) {
	if t.eviction.step != stepThrottle {
		return
	}
	if t.eviction.mustStop {
		t.enterStep(stepStop, now)
		return
	}
	t.throttledFor = t.eviction.preemptor
	t.eviction = eviction{}
	l.source.Cache.SetTerminating(t.job.ID, false)
	l.source.Cache.SetThrottled(t.job.ID, true)
}

// resolveEnd asks for a report after a completed stop or a refused renewal, to find out how the attempt ended.
func (r *request) resolveEnd(ctx context.Context, l *Loop) {
	response, err := l.Workers.Report(ctx, &v1.ReportRequest{Workers: []string{r.worker}})
	l.update(func(now time.Time) {
		defer l.markBusy(r.task)
		r.recordReturned(now)
		if err != nil {
			return
		}
		for _, report := range response.GetTasks() {
			if report.GetJob() == r.job && report.GetAttempt() == r.attempt {
				r.recordIfEnded(report, now)
				return
			}
		}
		switch {
		case r.action != actionStop:
			// A refused renewal doesn't prove that the attempt has ended. It is stopped first, which also
			// keeps it from starting later.
			r.task.beginEviction(reasonLeaseLapsed, now)
		case !r.task.confirmed:
			r.task.markEnded(r.fallbackOutcome, now)
		}
		// An attempt that was started is in the report of its worker, with its outcome. Without contact to the
		// worker, the outcome stays open until a later report or until the lease has lapsed.
	})
}

// recordIfEnded records the end and its outcome if the report says that the attempt has ended.
func (r *request) recordIfEnded(report *v1.TaskReport, now time.Time) {
	if report.GetEnded() {
		r.task.markEnded(report.GetOutcome(), now)
	}
}
