package schedule

import (
	"maps"
	"slices"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/placement"
)

// claim is room that is being made on a worker for an urgent or overdue job.
type claim struct {
	worker string
	size   placement.Vector
	made   time.Time
}

// claimTimeout drops a claim that led to no start, such as when usage on the worker grew meanwhile.
// It exceeds the steps of a preemption with the proposals that follow.
const claimTimeout = 3 * time.Second

// tendClaims drops claims that are no longer needed.
func (l *Loop) tendClaims(now time.Time) {
	for job, c := range l.claims {
		if _, _, waiting := l.source.Queue.Find(job); !waiting && !l.isStarting(job) {
			delete(l.claims, job)
			continue
		}
		if now.Sub(c.made) > claimTimeout {
			delete(l.claims, job)
		}
	}
}

func (l *Loop) isStarting(job string) bool {
	_, found := l.starting[job]
	return found
}

// plan plans the pools that are due from one snapshot and carries out the plan.
func (l *Loop) plan(now time.Time) {
	var due []string
	for _, name := range l.source.Queue.Pools() {
		if l.planDue(name, now) {
			due = append(due, name)
		}
	}
	if len(due) == 0 {
		return
	}
	l.source.Claims = l.source.Claims[:0:0]
	for _, job := range slices.Sorted(maps.Keys(l.claims)) {
		c := l.claims[job]
		l.source.Claims = append(l.source.Claims, placement.ClaimSpec{Job: job, Worker: c.worker, Size: c.size})
	}
	plan := placement.Compute(l.source.Snapshot(now, due), l.settings.Options)
	acting := l.actingPools(due, plan, now)
	for _, start := range plan.Starts {
		// What this controller made room for isn't left to others.
		if acting[start.Pool] || l.preempting[start.Job] {
			l.start(start, now)
		}
	}
	for _, preemption := range plan.Preemptions {
		if acting[preemption.Pool] || l.preempting[preemption.Preemptor.Job] {
			l.preempt(preemption, now)
		}
	}
}

// planDue reports whether it is time to plan the pool. Urgent jobs don't wait for the next cycle.
func (l *Loop) planDue(name string, now time.Time) bool {
	pool := l.pools[name]
	if pool == nil || !pool.joined {
		return false
	}
	every := l.settings.PlanInterval
	switch {
	case pool.rank >= actingRanks:
		every = distantPlanEvery
	case l.source.Queue.HasWaiting(name, v1.JobClass_JOB_CLASS_URGENT):
		every = 0
	case pool.rank > 0:
		every = backupPlanEvery
	}
	if now.Sub(pool.planned) < every {
		return false
	}
	pool.planned = now
	return true
}

// actingPools returns the pools whose plan this controller carries out: those for which it has
// rank 0, and those whose plan the lower ranks have left undone for their time.
func (l *Loop) actingPools(due []string, plan placement.Plan, now time.Time) map[string]bool {
	work := map[string]bool{}
	for _, start := range plan.Starts {
		work[start.Pool] = true
	}
	for _, preemption := range plan.Preemptions {
		work[preemption.Pool] = true
	}
	acting := map[string]bool{}
	for _, name := range due {
		pool := l.pools[name]
		if !work[name] {
			pool.stalled = time.Time{}
			continue
		}
		if pool.stalled.IsZero() {
			pool.stalled = now
		}
		acting[name] = now.Sub(pool.stalled) >= l.delay(pool)
	}
	return acting
}

// start proposes a start and counts the job as running meanwhile.
func (l *Loop) start(start placement.Start, now time.Time) {
	waiting, at, found := l.source.Queue.Find(start.Job)
	if !found {
		return
	}
	l.source.Queue.Remove(start.Job)
	l.source.Cache.AddTask(placement.Task{
		Job: start.Job, Attempt: start.Attempt, Team: at.Team, Pool: at.Pool, Worker: start.Worker,
		Class: at.Class, Declared: waiting.Declared,
	}, now)
	l.source.Health.RecordStart(start.Worker, now)
	l.starting[start.Job] = starting{attempt: start.Attempt, team: at.Team, units: waiting.Units}
	for i := range l.source.Teams {
		if l.source.Teams[i].Name == at.Team {
			l.source.Teams[i].FreeUnits -= min(l.source.Teams[i].FreeUnits, waiting.Units)
		}
	}
	record := &v1.Record{Payload: &v1.Record_JobStart{JobStart: &v1.JobStart{Job: start.Job, Attempt: start.Attempt, Worker: start.Worker}}}
	l.outbox.put(proposal{record: record, job: start.Job, start: true, urgent: start.Urgent, made: now})
}

// preempt lets the victims leave and claims their room.
func (l *Loop) preempt(p placement.Preemption, now time.Time) {
	pool := l.pools[p.Pool]
	var victims []*task
	for _, victim := range p.Victims {
		t := pool.tasks[victim.Job]
		if t == nil || t.job.Attempt != victim.Attempt || t.ended || t.leave.reason != reasonNone {
			// The victim's start is only proposed, or it is about to leave anyway: the next plan knows more.
			return
		}
		victims = append(victims, t)
	}
	for _, t := range victims {
		t.begin(reasonPreempt, now)
		l.attend(t)
		t.leave.stop = p.Stop
		t.leave.forJob = p.Preemptor.Job
		t.tried = time.Time{}
		l.source.Cache.SetTerminating(t.job.ID, true)
	}
	l.preempting[p.Preemptor.Job] = true
	l.claims[p.Preemptor.Job] = &claim{worker: p.Worker, size: p.Size, made: now}
	l.Log.WithFields(map[string]any{"event": "preemption", "job": p.Preemptor.Job, "worker": p.Worker, "victims": len(victims), "stop": p.Stop}).Info("preemption begun")
}
