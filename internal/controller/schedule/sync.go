package schedule

import (
	"time"

	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/fold/jobs"
	"turmericyoke/internal/placement"
)

// sync reads the changes of the fleet state since the last step.
func (l *Loop) sync(now time.Time) {
	l.Reader.Read(func(state State) {
		l.syncHosts(state, now)
		if state.Offset() == l.readOffset && len(l.jobsToResync) == 0 {
			return
		}
		l.syncJobs(state, now)
		l.syncTeams(state)
		l.readOffset = state.Offset()
	})
}

// syncHosts sets the workers to the serving hosts with their declared capacities.
func (l *Loop) syncHosts(state State, now time.Time) {
	if state.Document() == nil || l.hostsReadOffset == state.Offset() {
		return
	}
	if l.document == state.Document() && now.Sub(l.hostsReadAt) < hostReadInterval {
		return
	}
	l.document = state.Document()
	l.hostsReadAt = now
	l.hostsReadOffset = state.Offset()
	capacities := make(map[string]placement.Vector, len(l.document.Hosts))
	for i := range l.document.Hosts {
		capacities[l.document.Hosts[i].Name] = placement.VectorOf(l.document.Hosts[i].Capacity)
	}
	l.hosts = make(map[string]hostState, len(capacities))
	var workers []placement.WorkerSpec
	for _, h := range state.Hosts() {
		serving := h.Phase == inventory.PhaseServing
		l.hosts[h.Name] = hostState{serving: serving, failed: h.Phase == inventory.PhaseFailed, pool: h.Pool}
		if capacity := capacities[h.Name]; serving && capacity != (placement.Vector{}) {
			workers = append(workers, placement.WorkerSpec{Name: h.Name, Pool: h.Pool, Capacity: capacity})
		}
	}
	l.source.Cache.SetWorkers(workers)
	for i := range l.document.Pools {
		l.ensurePool(l.document.Pools[i].Name)
	}
}

// syncJobs reads the changed jobs, or all jobs if the fold's journal of changes doesn't reach back far enough.
func (l *Loop) syncJobs(state State, now time.Time) {
	changed, complete := state.Jobs().ChangedSince(l.readOffset)
	if !complete {
		changed = state.Jobs().LiveIDs()
		for id := range l.firstSeen {
			changed = append(changed, id)
		}
	}
	for id := range l.jobsToResync {
		changed = append(changed, id)
	}
	clear(l.jobsToResync)
	synced := make(map[string]bool, len(changed))
	for _, id := range changed {
		if synced[id] {
			continue
		}
		synced[id] = true
		job, live := state.Jobs().Job(id)
		l.syncJob(id, job, live, now)
	}
}

// syncJob updates the loop's state of one job.
func (l *Loop) syncJob(id string, job jobs.Job, live bool, now time.Time) {
	if !live {
		l.forgetJob(id)
		return
	}
	if l.firstSeen[id].IsZero() {
		l.firstSeen[id] = now
	}
	if job.Phase == jobs.PhaseWaiting {
		l.syncWaiting(job)
		return
	}
	l.syncRunning(job, now)
}

// forgetJob removes all state of a job that has ended.
func (l *Loop) forgetJob(id string) {
	l.source.Queue.Remove(id)
	l.source.Cache.RemoveTask(id)
	l.removeTask(id)
	delete(l.firstSeen, id)
	delete(l.pendingStarts, id)
	delete(l.claims, id)
	delete(l.preemptors, id)
	l.source.Health.ForgetJob(id)
}

// removeTask removes the task of a job. Its end in the fold shows that a controller acts for the pool, so the
// pool no longer counts as stalled.
func (l *Loop) removeTask(id string) {
	for _, pool := range l.pools {
		if t := pool.tasks[id]; t != nil {
			l.source.Health.ClearRetry(t.job.Worker)
			delete(pool.tasks, id)
			delete(pool.busy, id)
			pool.stalledSince = time.Time{}
		}
	}
}

// syncWaiting queues a waiting job, unless its start is pending.
func (l *Loop) syncWaiting(job jobs.Job) {
	if pending, found := l.pendingStarts[job.ID]; found && pending.attempt == job.Attempt {
		return
	}
	delete(l.pendingStarts, job.ID)
	l.source.Cache.RemoveTask(job.ID)
	l.removeTask(job.ID)
	l.source.Queue.Put(placement.QueueKey{Pool: job.Pool, Team: job.Team, Class: job.Class}, &placement.WaitingJob{
		Job: job.ID, Attempt: job.Attempt, Units: job.Units, Declared: placement.VectorOf(job.Resources),
		SubmitOffset: job.SubmitOffset, FirstSeen: l.firstSeen[job.ID], Avoid: job.FailedWorkers,
	})
}

// syncRunning updates the task of a running job, or adds one for a new attempt.
func (l *Loop) syncRunning(job jobs.Job, now time.Time) {
	ownStart := l.pendingStarts[job.ID].attempt == job.Attempt
	delete(l.pendingStarts, job.ID)
	l.source.Queue.Remove(job.ID)
	delete(l.claims, job.ID)
	delete(l.preemptors, job.ID)
	l.source.Cache.AddTask(placement.Task{
		Job: job.ID, Attempt: job.Attempt, Team: job.Team, Pool: job.Pool, Worker: job.Worker, Class: job.Class,
		Declared: placement.VectorOf(job.Resources), StartOffset: job.StartOffset, Preemptions: job.Preemptions,
		Terminating: job.CancelRequested,
	}, now)
	pool := l.ensurePool(job.Pool)
	current := pool.tasks[job.ID]
	if current != nil && current.job.Attempt == job.Attempt {
		current.job = job
		l.markBusy(current)
		return
	}
	pool.stalledSince = time.Time{}
	// Another controller may already have started the attempt, so a lease may begin now.
	pool.tasks[job.ID] = &task{job: job, firstSeen: now, ownStart: ownStart, leasedAt: now, maybeLeasedAt: now}
	l.markBusy(pool.tasks[job.ID])
}

// syncTeams reads the free units of each team, minus the units of its pending starts.
func (l *Loop) syncTeams(state State) {
	if l.document == nil {
		return
	}
	l.source.Teams = l.source.Teams[:0:0]
	pendingUnits := map[string]uint64{}
	for _, start := range l.pendingStarts {
		pendingUnits[start.team] += start.units
	}
	for i := range l.document.Teams {
		team := &l.document.Teams[i]
		free := state.Unallocated(team.Name)
		free -= min(free, pendingUnits[team.Name])
		l.source.Teams = append(l.source.Teams, placement.Team{Name: team.Name, Weight: team.Share, FreeUnits: free})
	}
}
