package schedule

import (
	"maps"
	"slices"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/placement"
)

// claim reserves the capacity that is being freed on a worker for an urgent or overdue job.
type claim struct {
	worker    string
	size      placement.Vector
	createdAt time.Time
}

// claimTimeout is the time after which a claim without a start expires, for instance because usage on the
// worker has grown. It is longer than the steps of a preemption and the proposals that follow.
const claimTimeout = 3 * time.Second

// expireClaims removes the claims that have expired and those of jobs that are neither waiting nor being
// started.
func (l *Loop) expireClaims(now time.Time) {
	for job, c := range l.claims {
		if _, _, waiting := l.source.Queue.Find(job); !waiting && !l.isStarting(job) {
			delete(l.claims, job)
			continue
		}
		if now.Sub(c.createdAt) > claimTimeout {
			delete(l.claims, job)
		}
	}
}

// isStarting reports whether the job has a pending start.
func (l *Loop) isStarting(job string) bool {
	_, found := l.pendingStarts[job]
	return found
}

// planDuePools computes a plan for all pools that are due, from one snapshot, and carries it out for the
// pools in which this controller acts.
func (l *Loop) planDuePools(now time.Time) {
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
		// This controller also starts the jobs for which it evicted victims.
		if acting[start.Pool] || l.preemptors[start.Job] {
			l.proposeStart(start, now)
		}
	}
	for _, preemption := range plan.Preemptions {
		if acting[preemption.Pool] || l.preemptors[preemption.Preemptor.Job] {
			l.preempt(preemption, now)
		}
	}
}

// planDue reports whether the pool is to be planned in this step, and records the time if so. While an urgent
// job waits, ranks below actingRanks plan in every step.
func (l *Loop) planDue(name string, now time.Time) bool {
	pool := l.pools[name]
	if pool == nil || !pool.joined {
		return false
	}
	interval := l.settings.PlanInterval
	switch {
	case pool.rank >= actingRanks:
		interval = standbyPlanInterval
	case l.source.Queue.HasWaiting(name, v1.JobClass_JOB_CLASS_URGENT):
		interval = 0
	case pool.rank > 0:
		interval = backupPlanInterval
	}
	if now.Sub(pool.lastPlan) < interval {
		return false
	}
	pool.lastPlan = now
	return true
}

// actingPools returns the pools whose plan this controller carries out: those in which it has rank 0, and
// those in which plans have had work for its takeover delay, so that the controllers ranked before it seem to
// be lost.
func (l *Loop) actingPools(due []string, plan placement.Plan, now time.Time) map[string]bool {
	hasWork := map[string]bool{}
	for _, start := range plan.Starts {
		hasWork[start.Pool] = true
	}
	for _, preemption := range plan.Preemptions {
		hasWork[preemption.Pool] = true
	}
	acting := map[string]bool{}
	for _, name := range due {
		pool := l.pools[name]
		if !hasWork[name] {
			pool.stalledSince = time.Time{}
			continue
		}
		if pool.stalledSince.IsZero() {
			pool.stalledSince = now
		}
		acting[name] = now.Sub(pool.stalledSince) >= l.takeoverDelay(pool)
	}
	return acting
}

// proposeStart proposes a start. The job counts as running, and its units as taken, while the proposal is
// pending.
func (l *Loop) proposeStart(start placement.Start, now time.Time) {
	waiting, key, found := l.source.Queue.Find(start.Job)
	if !found {
		return
	}
	l.source.Queue.Remove(start.Job)
	l.source.Cache.AddTask(placement.Task{
		Job: start.Job, Attempt: start.Attempt, Team: key.Team, Pool: key.Pool, Worker: start.Worker,
		Class: key.Class, Declared: waiting.Declared,
	}, now)
	l.source.Health.RecordStart(start.Worker, now)
	l.pendingStarts[start.Job] = pendingStart{attempt: start.Attempt, team: key.Team, units: waiting.Units}
	for i := range l.source.Teams {
		if l.source.Teams[i].Name == key.Team {
			l.source.Teams[i].FreeUnits -= min(l.source.Teams[i].FreeUnits, waiting.Units)
		}
	}
	record := &v1.Record{Payload: &v1.Record_JobStart{JobStart: &v1.JobStart{Job: start.Job, Attempt: start.Attempt, Worker: start.Worker}}}
	l.outbox.add(proposal{record: record, job: start.Job, isStart: true, urgent: start.Urgent, createdAt: now})
}

// preempt begins to evict the victims and claims their capacity for the preemptor.
func (l *Loop) preempt(p placement.Preemption, now time.Time) {
	pool := l.pools[p.Pool]
	var victims []*task
	for _, victim := range p.Victims {
		t := pool.tasks[victim.Job]
		if t == nil || t.job.Attempt != victim.Attempt || t.ended || t.eviction.reason != reasonNone {
			// The victim's start isn't accepted yet, or the victim has ended or is already being
			// evicted. The next plan takes that into account.
			return
		}
		victims = append(victims, t)
	}
	for _, t := range victims {
		t.beginEviction(reasonPreempt, now)
		l.markBusy(t)
		t.eviction.mustStop = p.Stop
		t.eviction.preemptor = p.Preemptor.Job
		t.lastCall = time.Time{}
		l.source.Cache.SetTerminating(t.job.ID, true)
	}
	l.preemptors[p.Preemptor.Job] = true
	l.claims[p.Preemptor.Job] = &claim{worker: p.Worker, size: p.Size, createdAt: now}
	l.Log.WithFields(map[string]any{"event": "preemption", "job": p.Preemptor.Job, "worker": p.Worker, "victims": len(victims), "stop": p.Stop}).Info("preemption begun")
}
