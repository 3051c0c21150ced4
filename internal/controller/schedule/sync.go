package schedule

import (
	"time"

	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/fold/jobs"
	"turmericyoke/internal/placement"
)

// sync reads what the fold changed since the last step.
func (l *Loop) sync(now time.Time) {
	l.Reader.Read(func(state State) {
		l.syncHosts(state, now)
		if state.Offset() == l.offset && len(l.resync) == 0 {
			return
		}
		l.syncJobs(state, now)
		l.syncTeams(state)
		l.offset = state.Offset()
	})
}

// syncHosts brings the workers in line with the hosts that serve.
func (l *Loop) syncHosts(state State, now time.Time) {
	if state.Document() == nil || l.hostsOffset == state.Offset() {
		return
	}
	if l.document == state.Document() && now.Sub(l.hostsRead) < hostsEvery {
		return
	}
	l.document = state.Document()
	l.hostsRead = now
	l.hostsOffset = state.Offset()
	capacities := make(map[string]placement.Vector, len(l.document.Hosts))
	for i := range l.document.Hosts {
		capacities[l.document.Hosts[i].Name] = placement.VectorOf(l.document.Hosts[i].Capacity)
	}
	l.hosts = make(map[string]host, len(capacities))
	var workers []placement.WorkerSpec
	for _, h := range state.Hosts() {
		serving := h.Phase == inventory.PhaseServing
		l.hosts[h.Name] = host{serving: serving, failed: h.Phase == inventory.PhaseFailed, pool: h.Pool}
		if capacity := capacities[h.Name]; serving && capacity != (placement.Vector{}) {
			workers = append(workers, placement.WorkerSpec{Name: h.Name, Pool: h.Pool, Capacity: capacity})
		}
	}
	l.source.Cache.SetWorkers(workers)
	for i := range l.document.Pools {
		l.pool(l.document.Pools[i].Name)
	}
}

// syncJobs takes over the changed jobs, or all when the journal of changes doesn't reach back.
func (l *Loop) syncJobs(state State, now time.Time) {
	changed, complete := state.Jobs().ChangedSince(l.offset)
	if !complete {
		changed = state.Jobs().IDs()
		for id := range l.since {
			changed = append(changed, id)
		}
	}
	for id := range l.resync {
		changed = append(changed, id)
	}
	clear(l.resync)
	done := make(map[string]bool, len(changed))
	for _, id := range changed {
		if done[id] {
			continue
		}
		done[id] = true
		job, live := state.Jobs().Job(id)
		l.syncJob(id, job, live, now)
	}
}

func (l *Loop) syncJob(id string, job jobs.Job, live bool, now time.Time) {
	if !live {
		l.forget(id)
		return
	}
	if l.since[id].IsZero() {
		l.since[id] = now
	}
	if job.Phase == jobs.PhaseWaiting {
		l.syncWaiting(job)
		return
	}
	l.syncRunning(job, now)
}

// forget drops all that is known of a job that has ended.
func (l *Loop) forget(id string) {
	l.source.Queue.Remove(id)
	l.source.Cache.RemoveTask(id)
	l.drop(id)
	delete(l.since, id)
	delete(l.starting, id)
	delete(l.claims, id)
	delete(l.preempting, id)
	l.source.Health.ForgetJob(id)
}

// drop removes the task of a job. The fold's progress in a pool shows that its lower ranks act.
func (l *Loop) drop(id string) {
	for _, pool := range l.pools {
		if t := pool.tasks[id]; t != nil {
			l.source.Health.ClearProbe(t.job.Worker)
			delete(pool.tasks, id)
			delete(pool.busy, id)
			pool.stalled = time.Time{}
		}
	}
}

func (l *Loop) syncWaiting(job jobs.Job) {
	if pending, found := l.starting[job.ID]; found && pending.attempt == job.Attempt {
		return
	}
	delete(l.starting, job.ID)
	l.source.Cache.RemoveTask(job.ID)
	l.drop(job.ID)
	l.source.Queue.Put(placement.QueueKey{Pool: job.Pool, Team: job.Team, Class: job.Class}, &placement.WaitingJob{
		Job: job.ID, Attempt: job.Attempt, Units: job.Units, Declared: placement.VectorOf(job.Resources),
		SubmitOffset: job.SubmitOffset, FirstSeen: l.since[job.ID], Avoid: job.FailedWorkers,
	})
}

func (l *Loop) syncRunning(job jobs.Job, now time.Time) {
	own := l.starting[job.ID].attempt == job.Attempt
	delete(l.starting, job.ID)
	l.source.Queue.Remove(job.ID)
	delete(l.claims, job.ID)
	delete(l.preempting, job.ID)
	l.source.Cache.AddTask(placement.Task{
		Job: job.ID, Attempt: job.Attempt, Team: job.Team, Pool: job.Pool, Worker: job.Worker, Class: job.Class,
		Declared: placement.VectorOf(job.Resources), StartOffset: job.StartOffset, Preemptions: job.Preemptions,
		Terminating: job.CancelRequested,
	}, now)
	pool := l.pool(job.Pool)
	known := pool.tasks[job.ID]
	if known != nil && known.job.Attempt == job.Attempt {
		known.job = job
		l.attend(known)
		return
	}
	pool.stalled = time.Time{}
	// A lease that another controller gave may begin now.
	pool.tasks[job.ID] = &task{job: job, seen: now, own: own, leased: now, mayLease: now}
	l.attend(pool.tasks[job.ID])
}

// syncTeams reads the free units, without those of starts that are proposed.
func (l *Loop) syncTeams(state State) {
	if l.document == nil {
		return
	}
	l.source.Teams = l.source.Teams[:0:0]
	pending := map[string]uint64{}
	for _, s := range l.starting {
		pending[s.team] += s.units
	}
	for i := range l.document.Teams {
		team := &l.document.Teams[i]
		free := state.Unallocated(team.Name)
		free -= min(free, pending[team.Name])
		l.source.Teams = append(l.source.Teams, placement.Team{Name: team.Name, Weight: team.Share, FreeUnits: free})
	}
}
