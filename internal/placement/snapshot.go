package placement

import (
	"cmp"
	"slices"
	"time"
)

// ClaimSpec names a waiting job for which room is being made on a worker.
type ClaimSpec struct {
	Job    string
	Worker string
	Size   Vector
}

// Source is what a snapshot is built from.
type Source struct {
	Queue  *Queue
	Cache  *Cache
	Health *Health
	// Teams are in any order; a job of a team that isn't listed is left out.
	Teams  []Team
	Claims []ClaimSpec
}

// Snapshot builds the snapshot of the pools. It costs one pass over their workers, running jobs
// and lanes, but not over waiting jobs.
func (s *Source) Snapshot(now time.Time, pools []string) *Snapshot {
	snapshot := &Snapshot{Now: now, Teams: slices.Clone(s.Teams)}
	slices.SortFunc(snapshot.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	index := make(map[string]int, len(snapshot.Teams))
	for i, team := range snapshot.Teams {
		index[team.Name] = i
	}
	for _, name := range pools {
		snapshot.Pools = append(snapshot.Pools, s.buildPool(now, name, index))
	}
	return snapshot
}

func (s *Source) buildPool(now time.Time, name string, teams map[string]int) Pool {
	pool := Pool{Name: name, Used: make([]Vector, len(teams))}
	for _, w := range s.Cache.byPool[name] {
		pool.Workers = append(pool.Workers, s.buildWorker(now, w, teams))
	}
	for team, i := range teams {
		pool.Used[i] = s.Cache.used[poolTeam{name, team}]
	}
	for _, at := range s.Queue.sortedKeys(name) {
		team, known := teams[at.Team]
		if !known {
			continue
		}
		jobs := s.Queue.pools[name][at].jobs
		pool.Buckets = append(pool.Buckets, Bucket{
			Team: team, Class: at.Class, Ratio: *s.Cache.ratio(name, at.Team), Jobs: jobs[:len(jobs):len(jobs)],
		})
	}
	s.addClaims(&pool, teams)
	return pool
}

func (s *Source) buildWorker(now time.Time, w *worker, teams map[string]int) Worker {
	out := Worker{
		Name: w.Name, Capacity: w.Capacity, Free: w.Capacity.Minus(w.used), MaxStarts: s.Health.MaxStarts(w.Name, now),
		Running: make([]RunningJob, 0, len(w.tasks)),
	}
	for _, task := range w.tasks {
		team, known := teams[task.Team]
		if !known {
			continue
		}
		out.Running = append(out.Running, RunningJob{
			Job: task.Job, Attempt: task.Attempt, Team: team, Class: task.Class, Size: task.size,
			StartOffset: task.StartOffset, Preemptions: task.Preemptions, Terminating: task.Terminating, Throttled: task.Throttled,
		})
	}
	return out
}

func (s *Source) addClaims(pool *Pool, teams map[string]int) {
	for _, claim := range s.Claims {
		waiting, at, found := s.Queue.Find(claim.Job)
		if !found || at.Pool != pool.Name {
			continue
		}
		if team, known := teams[at.Team]; known {
			pool.Claims = append(pool.Claims, Claim{Waiting: waiting, Team: team, Size: claim.Size, Worker: claim.Worker})
		}
	}
}
