package schedule

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// call sends one call for the task, unless too many are under way; it is tried again in the next step then.
func (l *Loop) call(ctx context.Context, calls *errgroup.Group, t *task, next action, now time.Time) {
	request := l.request(t, next)
	t.calling = true
	before := t.tried
	t.tried = now
	sent := calls.TryGo(func() error {
		request.run(ctx, l)
		return nil
	})
	if !sent {
		t.calling = false
		t.tried = before
	}
}

// request is a call for one attempt, apart from the task, which may be replaced meanwhile.
type request struct {
	task    *task
	next    action
	job     string
	attempt uint32
	worker  string
	timeout time.Duration
	start   *v1.StartTaskRequest
	control *v1.ControlTaskRequest
	// fallback is the outcome when the platform stopped an attempt that it doesn't report.
	fallback v1.JobOutcome
}

func (l *Loop) request(t *task, next action) *request {
	lease := uint32(l.settings.Lease.Milliseconds())
	r := &request{
		task: t, next: next, job: t.job.ID, attempt: t.job.Attempt, worker: t.job.Worker,
		timeout: l.settings.CallTimeout, fallback: t.fallback(),
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
		// A renewal would end the throttling.
		r.control.Action = v1.TaskAction_TASK_ACTION_THROTTLE
	case next == actionCheckpoint:
		r.timeout = min(r.timeout, l.settings.CheckpointTimeout/2)
	case next == actionThrottle:
		r.timeout = min(r.timeout, l.settings.ThrottleTimeout)
	}
	return r
}

var taskActions = map[action]v1.TaskAction{
	actionRenew:      v1.TaskAction_TASK_ACTION_RENEW,
	actionCheckpoint: v1.TaskAction_TASK_ACTION_CHECKPOINT,
	actionThrottle:   v1.TaskAction_TASK_ACTION_THROTTLE,
	actionStop:       v1.TaskAction_TASK_ACTION_STOP,
}

// run sends the call and notes its answer.
func (r *request) run(ctx context.Context, l *Loop) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	if r.start != nil {
		response, err := l.Workers.Start(ctx, r.start)
		l.note(func(now time.Time) {
			r.started(response, err, now)
			l.attend(r.task)
		})
		return
	}
	response, err := l.Workers.Control(ctx, r.control)
	if err == nil && (r.next == actionStop && response.GetDone() || r.next == actionRenew && !response.GetDone()) {
		r.settle(ctx, l)
		return
	}
	l.note(func(now time.Time) {
		r.controlled(l, response, err, now)
		l.attend(r.task)
	})
}

// note changes the state of the loop with the answer of a call.
func (l *Loop) note(change func(now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l.Now())
}

// answered notes that the call is over. Whatever its answer, it may have given a lease.
func (r *request) answered(now time.Time) {
	r.task.calling = false
	if r.next == actionStart || r.next == actionRenew || r.next == actionThrottle {
		r.task.mayLease = now
	}
}

// started takes the answer of a start.
func (r *request) started(response *v1.StartTaskResponse, err error, now time.Time) {
	t := r.task
	r.answered(now)
	switch {
	case err == nil && response.GetStarted():
		t.confirmed = true
		t.leased = now
	case err == nil:
		t.end(v1.JobOutcome_JOB_OUTCOME_WORKER_FAILED, now)
	case connect.CodeOf(err) == connect.CodeAlreadyExists:
		// This controller's answer was lost, or another one started it: the lease is renewed at once.
		t.confirmed = true
		t.restore = true
		t.leased = now
	case connect.CodeOf(err) == connect.CodeAborted:
		t.end(v1.JobOutcome_JOB_OUTCOME_PREEMPTED, now)
	}
}

// controlled takes the answer of a control action that neither stopped the task nor found it ended.
func (r *request) controlled(l *Loop, response *v1.ControlTaskResponse, err error, now time.Time) {
	t := r.task
	r.answered(now)
	if err != nil || !response.GetDone() {
		return
	}
	switch r.next {
	case actionRenew:
		t.leased = now
		t.restore = false
	case actionCheckpoint:
		t.checkpointed(now)
	case actionThrottle:
		t.leased = now
		l.throttled(t, now)
	}
}

// throttled ends the way out of a victim for which that is enough, and goes on to the stop otherwise.
func (l *Loop) throttled(t *task, now time.Time) {
	if t.leave.step != stepThrottle {
		return
	}
	if t.leave.stop {
		t.enter(stepStop, now)
		return
	}
	t.throttledFor = t.leave.forJob
	t.leave = leave{}
	l.source.Cache.SetTerminating(t.job.ID, false)
	l.source.Cache.SetThrottled(t.job.ID, true)
}

// settle finds out how an attempt ended that doesn't run any more.
func (r *request) settle(ctx context.Context, l *Loop) {
	response, err := l.Workers.Report(ctx, &v1.ReportRequest{Workers: []string{r.worker}})
	l.note(func(now time.Time) {
		defer l.attend(r.task)
		r.answered(now)
		if err != nil {
			return
		}
		for _, report := range response.GetTasks() {
			if report.GetJob() == r.job && report.GetAttempt() == r.attempt {
				r.settled(report, now)
				return
			}
		}
		// A refused renewal isn't proof: the stop fences the attempt first.
		if r.next == actionStop {
			r.task.end(r.fallback, now)
			return
		}
		r.task.begin(reasonLapsed, now)
	})
}

func (r *request) settled(report *v1.TaskReport, now time.Time) {
	if report.GetEnded() {
		r.task.end(report.GetOutcome(), now)
	}
}
