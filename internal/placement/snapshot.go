package placement

import (
	"cmp"
	"slices"
	"time"
)

// ClaimSpec names a waiting job for which victims are being preempted on a worker. In a snapshot it becomes a
// Claim, which holds the waiting job itself.
type ClaimSpec struct {
	Job    string
	Worker string
	Size   Vector
}

// Source holds the state from which snapshots are built.
type Source struct {
	Queue  *Queue
	Cache  *Cache
	Health *Health
	// Teams may be in any order. Jobs of teams that aren't listed are left out of snapshots.
	Teams  []Team
	Claims []ClaimSpec
}

// Snapshot builds a snapshot of the pools. It takes one pass over their workers, running jobs and lists of
// waiting jobs, but not over the jobs of lists that haven't changed.
func (s *Source) Snapshot(now time.Time, pools []string) *Snapshot {
	snapshot := &Snapshot{Now: now, Teams: slices.Clone(s.Teams)}
	slices.SortFunc(snapshot.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	teamIndex := make(map[string]int, len(snapshot.Teams))
	for i, team := range snapshot.Teams {
		teamIndex[team.Name] = i
	}
	for _, name := range pools {
		snapshot.Pools = append(snapshot.Pools, s.buildPool(now, name, teamIndex))
	}
	return snapshot
}

func (s *Source) buildPool(now time.Time, name string, teamIndex map[string]int) Pool {
	pool := Pool{Name: name, Used: make([]Vector, len(teamIndex))}
	for _, w := range s.Cache.byPool[name] {
		pool.Workers = append(pool.Workers, s.buildWorker(now, w, teamIndex))
	}
	for team, i := range teamIndex {
		pool.Used[i] = s.Cache.used[poolTeam{name, team}]
	}
	for _, key := range s.Queue.sortedKeys(name) {
		team, known := teamIndex[key.Team]
		if !known {
			continue
		}
		jobs := s.Queue.pools[name][key].jobs
		pool.Buckets = append(pool.Buckets, Bucket{
			Team: team, Class: key.Class, Ratio: *s.Cache.ratio(name, key.Team), Jobs: jobs[:len(jobs):len(jobs)],
		})
	}
	s.addClaims(&pool, teamIndex)
	return pool
}

func (s *Source) buildWorker(now time.Time, w *worker, teamIndex map[string]int) Worker {
	built := Worker{
		Name: w.Name, Capacity: w.Capacity, Free: w.Capacity.Minus(w.used), MaxStarts: s.Health.MaxStarts(w.Name, now),
		Running: make([]RunningJob, 0, len(w.tasks)),
	}
	for _, task := range w.tasks {
		team, known := teamIndex[task.Team]
		if !known {
			continue
		}
		built.Running = append(built.Running, RunningJob{
			Job: task.Job, Attempt: task.Attempt, Team: team, Class: task.Class, Size: task.size,
			StartOffset: task.StartOffset, Preemptions: task.Preemptions, Terminating: task.Terminating, Throttled: task.Throttled,
		})
	}
	return built
}

func (s *Source) addClaims(pool *Pool, teamIndex map[string]int) {
	for _, claim := range s.Claims {
		job, key, found := s.Queue.Find(claim.Job)
		if !found || key.Pool != pool.Name {
			continue
		}
		if team, known := teamIndex[key.Team]; known {
			pool.Claims = append(pool.Claims, Claim{Waiting: job, Team: team, Size: claim.Size, Worker: claim.Worker})
		}
	}
}
