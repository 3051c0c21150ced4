package schedule

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// advanceTasks advances the busy tasks of a pool, and once per sweepInterval all of its tasks.
func (l *Loop) advanceTasks(ctx context.Context, calls *errgroup.Group, pool *poolState, now time.Time) {
	tasks := pool.busy
	if now.Sub(pool.lastSweep) >= sweepInterval {
		pool.lastSweep = now
		tasks = pool.tasks
	}
	for id, t := range tasks {
		l.advanceTask(ctx, calls, pool, t, now)
		if t.needsOnlyRenewals() {
			delete(pool.busy, id)
		} else {
			pool.busy[id] = t
		}
	}
}

// needsOnlyRenewals reports whether the task needs nothing but renewals of its lease, so that sweeps are
// enough.
func (t *task) needsOnlyRenewals() bool {
	return t.confirmed && !t.ended && !t.callInFlight && !t.renewNow && t.throttledFor == "" &&
		t.eviction.reason == reasonNone && !t.job.CancelRequested
}

// markBusy makes the next step check a task whose state has changed. It ignores a task that has been
// replaced.
func (l *Loop) markBusy(t *task) {
	pool := l.ensurePool(t.job.Pool)
	if pool.tasks[t.job.ID] == t {
		pool.busy[t.job.ID] = t
	}
}

// advanceTask decides whether the task has to be evicted, and then sends its next call or proposal, if one is
// due.
func (l *Loop) advanceTask(ctx context.Context, calls *errgroup.Group, pool *poolState, t *task, now time.Time) {
	if pool.rank >= actingRanks {
		return
	}
	l.updateEviction(t, now)
	t.advanceEviction(&l.settings, now)
	if t.eviction.reason != reasonNone && t.eviction.step == stepStop && t.leaseLapsed(&l.settings, now) {
		t.markEnded(t.fallbackOutcome(), now)
	}
	l.suspendUnresponsive(t, now)
	next := t.nextAction(&l.settings, now)
	if next == actionNone || now.Sub(t.dueSince(next)) < l.takeoverDelay(pool) {
		return
	}
	if next == actionEnd {
		l.proposeEnd(pool, t, now)
		return
	}
	l.sendCall(ctx, calls, t, next, now)
}

// dueSince returns since when the action has been due, for work that is left to the controllers ranked before
// this one for the takeover delay. For all other work it returns the zero time, so that this controller acts
// at once: renewals, preemptions, stops after a lost start or lease, and attempts whose start this controller
// proposed.
func (t *task) dueSince(next action) time.Time {
	switch {
	case t.ownStart || t.eviction.reason == reasonPreempt:
	case next == actionEnd:
		return t.endedAt
	case next == actionStart || t.eviction.reason == reasonCancel || t.eviction.reason == reasonVacate:
		return laterOf(t.firstSeen, t.eviction.stepStarted)
	}
	return time.Time{}
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// updateEviction decides whether the task has to be evicted, and ends a throttling that is no longer needed.
func (l *Loop) updateEviction(t *task, now time.Time) {
	worker, known := l.hosts[t.job.Worker]
	unlistedSince, unlisted := t.unlisted(now)
	switch {
	case t.ended:
	case t.job.CancelRequested:
		t.beginEviction(reasonCancel, now)
	case t.eviction.reason == reasonCancel || t.eviction.reason == reasonStartTimeout || t.eviction.reason == reasonLeaseLapsed:
	case known && !worker.failed && (!worker.serving || worker.pool != t.job.Pool):
		t.beginEviction(reasonVacate, now)
	case t.eviction.reason == reasonPreempt:
	case !unlisted:
	case !t.confirmed && now.Sub(t.firstSeen) > l.settings.StartTimeout:
		t.beginEviction(reasonStartTimeout, now)
		l.source.Health.Suspend(t.job.Worker, now, l.settings.Lease)
	case t.confirmed && now.Sub(laterOf(unlistedSince, t.leasedAt)) > l.settings.Lease:
		t.beginEviction(reasonLeaseLapsed, now)
		l.source.Health.Suspend(t.job.Worker, now, l.settings.Lease)
	}
	if t.eviction.reason != reasonNone && t.eviction.mustStop {
		l.source.Cache.SetTerminating(t.job.ID, true)
	}
	if t.throttledFor != "" && !l.isPreemptorActive(t.throttledFor) {
		l.unthrottle(t)
	}
}

// isPreemptorActive reports whether the job has a claim, is being started or runs.
func (l *Loop) isPreemptorActive(job string) bool {
	if l.claims[job] != nil {
		return true
	}
	if _, found := l.pendingStarts[job]; found {
		return true
	}
	_, running := l.source.Cache.Task(job)
	return running
}

// unthrottle ends the throttling of the task, by a renewal of its lease.
func (l *Loop) unthrottle(t *task) {
	t.throttledFor = ""
	t.renewNow = true
	l.source.Cache.SetThrottled(t.job.ID, false)
}

// suspendUnresponsive suspends a worker that hasn't stopped a victim within StopTimeout, and removes the
// claim of the preemptor, so that capacity for it is freed on another worker in time.
func (l *Loop) suspendUnresponsive(t *task, now time.Time) {
	if t.eviction.reason != reasonPreempt || t.eviction.step != stepStop || t.ended {
		return
	}
	if now.Sub(t.eviction.stepStarted) < l.settings.StopTimeout {
		return
	}
	l.source.Health.Suspend(t.job.Worker, now, l.settings.Lease)
	if c := l.claims[t.eviction.preemptor]; c != nil && c.worker == t.job.Worker {
		delete(l.claims, t.eviction.preemptor)
	}
}

// proposeEnd records the outcome of an ended attempt and proposes its end, unless that is already proposed.
func (l *Loop) proposeEnd(pool *poolState, t *task, now time.Time) {
	l.recordOutcome(t, now)
	if t.endProposed {
		return
	}
	t.endProposed = true
	record := &v1.Record{Payload: &v1.Record_JobEnd{JobEnd: &v1.JobEnd{Job: t.job.ID, Attempt: t.job.Attempt, Outcome: t.outcome}}}
	l.outbox.add(proposal{record: record, job: t.job.ID, urgent: t.eviction.reason == reasonPreempt, createdAt: now})
}

// recordOutcome records the outcome of the attempt in the health of its worker, once per attempt.
func (l *Loop) recordOutcome(t *task, now time.Time) {
	if t.outcomeRecorded {
		return
	}
	t.outcomeRecorded = true
	switch t.outcome {
	case v1.JobOutcome_JOB_OUTCOME_WORKER_FAILED:
		l.source.Health.RecordFailure(t.job.Worker, t.job.ID, now)
	case v1.JobOutcome_JOB_OUTCOME_SUCCEEDED, v1.JobOutcome_JOB_OUTCOME_FAILED:
		if !t.successRecorded {
			l.source.Health.RecordSuccess(t.job.Worker, now)
		}
	}
}
