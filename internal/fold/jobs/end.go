package jobs

import (
	"slices"
	"sort"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// resultByOutcome maps each valid outcome of an attempt to the result of the job. The result is empty if the
// job doesn't necessarily end with the attempt.
var resultByOutcome = map[v1.JobOutcome]Result{
	v1.JobOutcome_JOB_OUTCOME_SUCCEEDED:     ResultSucceeded,
	v1.JobOutcome_JOB_OUTCOME_FAILED:        ResultFailed,
	v1.JobOutcome_JOB_OUTCOME_WORKER_FAILED: "",
	v1.JobOutcome_JOB_OUTCOME_PREEMPTED:     "",
}

// recordWorkerOutcome records a failure of the job's worker, or clears the worker's failures after a success.
func (s *State) recordWorkerOutcome(job *Job, outcome v1.JobOutcome) {
	if outcome == v1.JobOutcome_JOB_OUTCOME_SUCCEEDED {
		delete(s.Workers, job.Worker)
		return
	}
	if outcome != v1.JobOutcome_JOB_OUTCOME_WORKER_FAILED {
		return
	}
	if !slices.Contains(job.FailedWorkers, job.Worker) {
		job.FailedWorkers = append(job.FailedWorkers, job.Worker)
	}
	failures := s.Workers[job.Worker]
	if failures == nil {
		failures = &WorkerFailures{}
		s.Workers[job.Worker] = failures
	}
	if len(failures.FailedJobs) < UnhealthyJobFailures && !slices.Contains(failures.FailedJobs, job.ID) {
		failures.FailedJobs = append(failures.FailedJobs, job.ID)
	}
}

// resultAfter returns the result of the job if the outcome ends it, or "" if the job waits for another attempt.
func (s *State) resultAfter(job *Job, outcome v1.JobOutcome) Result {
	if result := resultByOutcome[outcome]; result != "" {
		return result
	}
	if job.CancelRequested {
		return ResultCancelled
	}
	if outcome == v1.JobOutcome_JOB_OUTCOME_WORKER_FAILED && s.jobAtFault(job) {
		return ResultFailed
	}
	return ""
}

// jobAtFault reports whether the failures on workers are attributed to the job rather than to the workers.
func (s *State) jobAtFault(job *Job) bool {
	if len(job.FailedWorkers) >= MaxFailedWorkers {
		return true
	}
	healthy := 0
	for _, worker := range job.FailedWorkers {
		if !s.IsUnhealthy(worker) {
			healthy++
		}
	}
	return healthy >= MaxHealthyWorkerFailures
}

// IsUnhealthy reports whether UnhealthyJobFailures different jobs failed on the worker since its last success.
func (s *State) IsUnhealthy(worker string) bool {
	failures := s.Workers[worker]
	return failures != nil && len(failures.FailedJobs) >= UnhealthyJobFailures
}

// endJob moves a live job to the ended jobs. attempt is the highest attempt that was started.
func (s *State) endJob(offset int64, job *Job, result Result, attempt uint32) {
	s.ensureIndexes()
	delete(s.Live, job.ID)
	s.liveSpecBytes -= len(job.Spec)
	s.liveJobsByTeam[job.Team]--
	if s.liveJobsByTeam[job.Team] == 0 {
		delete(s.liveJobsByTeam, job.Team)
	}
	s.recordChange(offset, job.ID)
	ended := EndedJob{ID: job.ID, Team: job.Team, Digest: job.Digest, Attempt: attempt, Result: result, EndOffset: offset}
	s.Ended[job.Team] = append(s.Ended[job.Team], ended)
	s.endedByID[job.ID] = &ended
	if len(s.endedByID) > MaxEnded {
		s.evictOldestEnded()
	}
}

// evictOldestEnded removes the oldest ended job of the team that has the most ended jobs. If several teams have
// equally many, it is the first of them by name.
func (s *State) evictOldestEnded() {
	largestTeam := ""
	for team, ended := range s.Ended {
		most := len(s.Ended[largestTeam])
		if len(ended) > most || len(ended) == most && team < largestTeam {
			largestTeam = team
		}
	}
	ended := s.Ended[largestTeam]
	delete(s.endedByID, ended[0].ID)
	s.Ended[largestTeam] = ended[1:]
	if len(ended) == 1 {
		delete(s.Ended, largestTeam)
	}
}

// ensureIndexes computes the fields that snapshots don't contain, unless that is done already.
func (s *State) ensureIndexes() {
	if s.endedByID != nil {
		return
	}
	s.endedByID = map[string]*EndedJob{}
	for _, list := range s.Ended {
		for i := range list {
			ended := list[i]
			s.endedByID[ended.ID] = &ended
		}
	}
	s.liveJobsByTeam = map[string]int{}
	s.liveSpecBytes = 0
	for _, job := range s.Live {
		s.liveJobsByTeam[job.Team]++
		s.liveSpecBytes += len(job.Spec)
	}
}

// FindEnded returns the ended job with the id, if it is still kept.
func (s *State) FindEnded(id string) (EndedJob, bool) {
	s.ensureIndexes()
	ended, found := s.endedByID[id]
	if !found {
		return EndedJob{}, false
	}
	return *ended, true
}

// Job returns a copy of the live job with the id.
func (s *State) Job(id string) (Job, bool) {
	job, live := s.Live[id]
	if !live {
		return Job{}, false
	}
	copied := *job
	copied.FailedWorkers = slices.Clone(job.FailedWorkers)
	return copied, true
}

// LiveIDs returns the ids of all live jobs, sorted.
func (s *State) LiveIDs() []string {
	ids := make([]string, 0, len(s.Live))
	for id := range s.Live {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
