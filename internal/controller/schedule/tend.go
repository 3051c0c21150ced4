package schedule

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// tendPool looks at the busy tasks of a pool, and in a sweep at all of them.
func (l *Loop) tendPool(ctx context.Context, calls *errgroup.Group, pool *poolState, now time.Time) {
	tasks := pool.busy
	if now.Sub(pool.swept) >= sweepEvery {
		pool.swept = now
		tasks = pool.tasks
	}
	for id, t := range tasks {
		l.tend(ctx, calls, pool, t, now)
		if t.quiet() {
			delete(pool.busy, id)
		} else {
			pool.busy[id] = t
		}
	}
}

// quiet reports whether the task only needs renewals of its lease.
func (t *task) quiet() bool {
	return t.confirmed && !t.ended && !t.calling && !t.restore && t.throttledFor == "" &&
		t.leave.reason == reasonNone && !t.job.CancelRequested
}

// attend lets the next step look at a task whose state has changed.
func (l *Loop) attend(t *task) {
	pool := l.pool(t.job.Pool)
	if pool.tasks[t.job.ID] == t {
		pool.busy[t.job.ID] = t
	}
}

// tend carries on one task: it decides whether it has to leave and sends the next call or proposal.
func (l *Loop) tend(ctx context.Context, calls *errgroup.Group, pool *poolState, t *task, now time.Time) {
	if pool.rank >= actingRanks {
		return
	}
	l.reconsider(t, now)
	t.advance(&l.settings, now)
	if t.leave.reason != reasonNone && t.leave.step == stepStop && t.lapsed(&l.settings, now) {
		t.end(t.fallback(), now)
	}
	l.suspendSilent(t, now)
	next := t.next(&l.settings, now)
	if next == actionNone || now.Sub(t.workSince(next)) < l.delay(pool) {
		return
	}
	if next == actionEnd {
		l.proposeEnd(pool, t, now)
		return
	}
	l.call(ctx, calls, t, next, now)
}

// workSince is when the work came up that a controller of a lower rank should do first. Renewals,
// the steps of a victim and what this controller began aren't left to others.
func (t *task) workSince(next action) time.Time {
	switch {
	case t.own || t.leave.reason == reasonPreempt:
	case next == actionEnd:
		return t.endedAt
	case next == actionStart || t.leave.reason == reasonCancel || t.leave.reason == reasonVacate:
		return later(t.seen, t.leave.since)
	}
	return time.Time{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reconsider decides whether the task has to leave its worker.
func (l *Loop) reconsider(t *task, now time.Time) {
	at, known := l.hosts[t.job.Worker]
	switch {
	case t.ended:
	case t.job.CancelRequested:
		t.begin(reasonCancel, now)
	case t.leave.reason == reasonCancel || t.leave.reason == reasonStart || t.leave.reason == reasonLapsed:
	case known && !at.failed && (!at.serving || at.pool != t.job.Pool):
		t.begin(reasonVacate, now)
	case t.leave.reason == reasonPreempt:
	case !t.confirmed && now.Sub(t.seen) > l.settings.StartTimeout:
		t.begin(reasonStart, now)
		l.source.Health.Suspend(t.job.Worker, now, l.settings.Lease)
	case t.confirmed && now.Sub(t.leased) > l.settings.Lease:
		t.begin(reasonLapsed, now)
		l.source.Health.Suspend(t.job.Worker, now, l.settings.Lease)
	}
	if t.leave.reason != reasonNone && t.leave.stop {
		l.source.Cache.SetTerminating(t.job.ID, true)
	}
	if t.throttledFor != "" && !l.wanted(t.throttledFor) {
		l.unthrottle(t)
	}
}

// wanted reports whether the job waits for its claim or runs.
func (l *Loop) wanted(job string) bool {
	if l.claims[job] != nil {
		return true
	}
	if _, found := l.starting[job]; found {
		return true
	}
	_, running := l.source.Cache.Task(job)
	return running
}

func (l *Loop) unthrottle(t *task) {
	t.throttledFor = ""
	t.restore = true
	l.source.Cache.SetThrottled(t.job.ID, false)
}

// suspendSilent keeps new work away from a worker that doesn't answer the stop of a victim, and
// gives up the claim, so that room is made elsewhere in time.
func (l *Loop) suspendSilent(t *task, now time.Time) {
	if t.leave.reason != reasonPreempt || t.leave.step != stepStop || t.ended {
		return
	}
	if now.Sub(t.leave.since) < l.settings.StopTimeout {
		return
	}
	l.source.Health.Suspend(t.job.Worker, now, l.settings.Lease)
	if c := l.claims[t.leave.forJob]; c != nil && c.worker == t.job.Worker {
		delete(l.claims, t.leave.forJob)
	}
}

// proposeEnd puts the end of an attempt into the outbox once.
func (l *Loop) proposeEnd(pool *poolState, t *task, now time.Time) {
	l.judge(t, now)
	if t.proposed {
		return
	}
	t.proposed = true
	record := &v1.Record{Payload: &v1.Record_JobEnd{JobEnd: &v1.JobEnd{Job: t.job.ID, Attempt: t.job.Attempt, Outcome: t.outcome}}}
	l.outbox.put(proposal{record: record, job: t.job.ID, urgent: t.leave.reason == reasonPreempt, made: now})
}

// judge tells the worker's health how the attempt went, once.
func (l *Loop) judge(t *task, now time.Time) {
	if t.judged {
		return
	}
	t.judged = true
	switch t.outcome {
	case v1.JobOutcome_JOB_OUTCOME_WORKER_FAILED:
		l.source.Health.RecordFailure(t.job.Worker, t.job.ID, now)
	case v1.JobOutcome_JOB_OUTCOME_SUCCEEDED, v1.JobOutcome_JOB_OUTCOME_FAILED:
		if !t.healthy {
			l.source.Health.RecordSuccess(t.job.Worker, now)
		}
	}
}
