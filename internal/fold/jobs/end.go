package jobs

import (
	"slices"
	"sort"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// outcomes are the accepted outcomes of an attempt, with the result of the job where they end it.
var outcomes = map[v1.JobOutcome]Result{
	v1.JobOutcome_JOB_OUTCOME_SUCCEEDED:     ResultSucceeded,
	v1.JobOutcome_JOB_OUTCOME_FAILED:        ResultFailed,
	v1.JobOutcome_JOB_OUTCOME_WORKER_FAILED: "",
	v1.JobOutcome_JOB_OUTCOME_PREEMPTED:     "",
}

// recordWorker notes a failure of the job's worker, or clears its failures after a success.
func (s *State) recordWorker(job *Job, outcome v1.JobOutcome) {
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
	record := s.Workers[job.Worker]
	if record == nil {
		record = &WorkerRecord{}
		s.Workers[job.Worker] = record
	}
	if len(record.FailedJobs) < UnhealthyFailures && !slices.Contains(record.FailedJobs, job.ID) {
		record.FailedJobs = append(record.FailedJobs, job.ID)
	}
}

// resultOf returns how the job ends after the outcome, or an empty result when it waits again.
func (s *State) resultOf(job *Job, outcome v1.JobOutcome) Result {
	if result := outcomes[outcome]; result != "" {
		return result
	}
	if job.CancelRequested {
		return ResultCancelled
	}
	if outcome == v1.JobOutcome_JOB_OUTCOME_WORKER_FAILED && s.failedOnSeveral(job) {
		return ResultFailed
	}
	return ""
}

// failedOnSeveral reports whether the job, rather than the workers, is to blame for its failures.
func (s *State) failedOnSeveral(job *Job) bool {
	if len(job.FailedWorkers) >= MaxFailedWorkers {
		return true
	}
	healthy := 0
	for _, worker := range job.FailedWorkers {
		if !s.Unhealthy(worker) {
			healthy++
		}
	}
	return healthy >= MaxHealthyFailures
}

// Unhealthy reports whether several different jobs failed on the worker without a success between them.
func (s *State) Unhealthy(worker string) bool {
	record := s.Workers[worker]
	return record != nil && len(record.FailedJobs) >= UnhealthyFailures
}

// finish moves a job to the memory of ended jobs.
func (s *State) finish(offset int64, job *Job, result Result, attempt uint32) {
	s.derive()
	delete(s.Live, job.ID)
	s.specBytes -= len(job.Spec)
	s.teamLive[job.Team]--
	if s.teamLive[job.Team] == 0 {
		delete(s.teamLive, job.Team)
	}
	s.note(offset, job.ID)
	ended := Ended{ID: job.ID, Team: job.Team, Digest: job.Digest, Attempt: attempt, Result: result, EndOffset: offset}
	s.Ended[job.Team] = append(s.Ended[job.Team], ended)
	s.index[job.ID] = &ended
	if len(s.index) > MaxEnded {
		s.forgetOldest()
	}
}

// forgetOldest drops the oldest ended job of the team that has the most; of equal ones, the first by name.
func (s *State) forgetOldest() {
	largest := ""
	for team, list := range s.Ended {
		count := len(s.Ended[largest])
		if len(list) > count || len(list) == count && team < largest {
			largest = team
		}
	}
	list := s.Ended[largest]
	delete(s.index, list[0].ID)
	s.Ended[largest] = list[1:]
	if len(list) == 1 {
		delete(s.Ended, largest)
	}
}

// derive computes the fields that a snapshot doesn't have.
func (s *State) derive() {
	if s.index != nil {
		return
	}
	s.index = map[string]*Ended{}
	for _, list := range s.Ended {
		for i := range list {
			ended := list[i]
			s.index[ended.ID] = &ended
		}
	}
	s.teamLive = map[string]int{}
	s.specBytes = 0
	for _, job := range s.Live {
		s.teamLive[job.Team]++
		s.specBytes += len(job.Spec)
	}
}

// FindEnded returns the memory of an ended job.
func (s *State) FindEnded(id string) (Ended, bool) {
	s.derive()
	ended, found := s.index[id]
	if !found {
		return Ended{}, false
	}
	return *ended, true
}

// Job returns a copy of a live job.
func (s *State) Job(id string) (Job, bool) {
	job, live := s.Live[id]
	if !live {
		return Job{}, false
	}
	copied := *job
	copied.FailedWorkers = slices.Clone(job.FailedWorkers)
	return copied, true
}

// LiveIDs returns the ids of all live jobs in order.
func (s *State) LiveIDs() []string {
	ids := make([]string, 0, len(s.Live))
	for id := range s.Live {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
