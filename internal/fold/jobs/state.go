// Package jobs is the part of the fold that applies records about jobs, from their submission to their end.
package jobs

import (
	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// State is the section of the fleet state that this package maintains.
type State struct {
	// Live holds waiting and running jobs by id.
	Live map[string]*Job `json:"live"`
	// Ended holds the most recently ended jobs of each team, oldest first, and at most MaxEnded in total.
	Ended map[string][]EndedJob `json:"ended"`
	// Workers holds the failures of each worker since its last success, by name of the worker.
	Workers map[string]*WorkerFailures `json:"workers"`

	// endedByID indexes Ended, liveJobsByTeam counts the live jobs of each team, and liveSpecBytes is the total
	// size of their specs. ensureIndexes derives all three from the fields above.
	endedByID      map[string]*EndedJob
	liveJobsByTeam map[string]int
	liveSpecBytes  int
	// changes lists changed jobs in order of offset, so that a scheduler doesn't have to read all jobs.
	changes []jobChange
	// changesCompleteAfter is the offset above which changes has every change.
	changesCompleteAfter int64
}

// Phase is the state of a live job.
type Phase string

// Phases of a live job.
const (
	// PhaseWaiting is a job whose next attempt hasn't started.
	PhaseWaiting Phase = "waiting"
	// PhaseRunning is a job whose attempt has started and not ended; its units are reserved.
	PhaseRunning Phase = "running"
)

// Job is a job that has not ended.
type Job struct {
	ID        string            `json:"id"`
	Team      string            `json:"team"`
	KeyID     string            `json:"keyId,omitempty"`
	Pool      string            `json:"pool"`
	Units     uint64            `json:"units"`
	Class     v1.JobClass       `json:"class"`
	Resources structs.Resources `json:"resources"`
	Spec      []byte            `json:"spec,omitempty"`
	// Digest identifies the content of the submission, to tell a repeated submission from a different one.
	Digest string `json:"digest"`
	Phase  Phase  `json:"phase"`
	// Attempt is the number of the running or next attempt, from 1. Records of other attempts are rejected.
	Attempt uint32 `json:"attempt"`
	// Worker is the worker that runs the attempt; empty while the job waits.
	Worker string `json:"worker,omitempty"`
	// SubmitOffset is the offset of the submission; it orders jobs by age.
	SubmitOffset int64 `json:"submitOffset"`
	// StartOffset is the offset of the record that started the attempt.
	StartOffset int64 `json:"startOffset,omitempty"`
	// Preemptions counts the attempts that were preempted by other work.
	Preemptions uint32 `json:"preemptions,omitempty"`
	// FailedWorkers are the distinct workers that failed while they ran the job, in order of their first
	// failure.
	FailedWorkers []string `json:"failedWorkers,omitempty"`
	// CancelRequested is set if the cancellation of a running job was accepted: it ends with this attempt.
	CancelRequested bool `json:"cancelRequested,omitempty"`
}

// Result is the final state of a job.
type Result string

// Results of ended jobs.
const (
	ResultSucceeded Result = "succeeded"
	ResultFailed    Result = "failed"
	ResultCancelled Result = "cancelled"
)

// EndedJob is what is kept of a job that has ended, to recognise late duplicates of its submission.
type EndedJob struct {
	ID     string `json:"id"`
	Team   string `json:"team"`
	Digest string `json:"digest"`
	// Attempt is the highest attempt that was started; 0 if none was.
	Attempt   uint32 `json:"attempt,omitempty"`
	Result    Result `json:"result"`
	EndOffset int64  `json:"endOffset"`
}

// WorkerFailures lists the distinct jobs that failed on a worker since its last success.
type WorkerFailures struct {
	FailedJobs []string `json:"failedJobs"`
}

const (
	// MaxEnded bounds the ended jobs that are kept. At about 130 bytes each they take 2 MiB of a snapshot.
	// Beyond the bound, the team with the most ended jobs loses its oldest one, so that many cancellations by
	// one team don't make late duplicates of other teams' submissions look new.
	MaxEnded = 16384
	// MaxHealthyWorkerFailures ends a job that failed on this many distinct healthy workers.
	MaxHealthyWorkerFailures = 3
	// MaxFailedWorkers ends a job that failed on this many distinct workers, healthy or not. Otherwise many
	// faulty jobs, which make all workers look unhealthy, would never end.
	MaxFailedWorkers = 8
	// UnhealthyJobFailures is the number of distinct jobs whose failures on a worker, without a success in
	// between, make it unhealthy. Failures on an unhealthy worker don't count towards MaxHealthyWorkerFailures.
	UnhealthyJobFailures = 3
	// MaxSpecBytes bounds the spec of one job.
	MaxSpecBytes = 4 << 10
	// MaxLiveSpecBytes bounds the specs of all live jobs, which are part of each snapshot.
	MaxLiveSpecBytes = 8 << 20
	// MaxIDBytes bounds a job id.
	MaxIDBytes = 200
	// MaxLive bounds the live jobs, and thereby the memory that they take in each controller: about 13 MiB
	// without specs.
	MaxLive = 32_768
	// MaxTeamLive bounds the live jobs of one team, so that it can't exclude the jobs of other teams.
	MaxTeamLive = MaxLive / 2
)

// New returns a state without jobs.
func New() *State {
	return &State{Live: map[string]*Job{}, Ended: map[string][]EndedJob{}, Workers: map[string]*WorkerFailures{}}
}

// CheckDocument returns an error if the next document doesn't declare the team or pool of a live job. A
// change of configuration never drops an accepted job.
func (s *State) CheckDocument(next *structs.Document) *fault.Error {
	pools := map[string]bool{}
	for _, pool := range next.Pools {
		pools[pool.Name] = true
	}
	teams := map[string]bool{}
	for _, team := range next.Teams {
		teams[team.Name] = true
	}
	var firstJob *Job
	count := 0
	for _, job := range s.Live {
		if pools[job.Pool] && teams[job.Team] {
			continue
		}
		count++
		if firstJob == nil || job.ID < firstJob.ID {
			firstJob = job
		}
	}
	if firstJob == nil {
		return nil
	}
	return fault.New(fault.DocumentInvalid, "%d live jobs, such as %s, need team %s and pool %s: cancel them first",
		count, firstJob.ID, firstJob.Team, firstJob.Pool)
}

// AdoptDocument removes the recorded failures of workers whose host isn't declared any more.
func (s *State) AdoptDocument(next *structs.Document) {
	if len(s.Workers) == 0 {
		return
	}
	hosts := map[string]bool{}
	for _, host := range next.Hosts {
		hosts[host.Name] = true
	}
	for name := range s.Workers {
		if !hosts[name] {
			delete(s.Workers, name)
		}
	}
}

// HostReader provides the state of hosts.
type HostReader interface {
	// IsServing reports whether the host takes new work in the pool.
	IsServing(host, pool string) bool
	// Capacities returns the distinct capacities of the pool's hosts.
	Capacities(pool string) []structs.Resources
}

// UnitReserver counts the units of running jobs against the upper limits of teams.
type UnitReserver interface {
	ReserveJobUnits(team string, units uint64) *fault.Error
	ReleaseJobUnits(team string, units uint64)
}

// Submit accepts a job, which then waits for its first attempt.
func (s *State) Submit(env structs.Envelope, p *v1.JobSubmit, doc *structs.Document, hosts HostReader) *fault.Error {
	if err := s.checkNew(p); err != nil {
		return err
	}
	if err := CheckSubmit(p, doc); err != nil {
		return err
	}
	size := ResourcesOf(p.GetResources())
	if !fitsAny(size, hosts.Capacities(p.GetPool())) {
		return fault.New(fault.JobUnplaceable, "job %s needs %d mCPU, %d MiB and %d accelerators: no worker of pool %s has them",
			p.GetJob(), size.CPUMilli, size.MemoryMiB, size.Accelerators, p.GetPool())
	}
	s.Live[p.GetJob()] = &Job{
		ID: p.GetJob(), Team: p.GetTeam(), KeyID: p.GetKeyId(), Pool: p.GetPool(), Units: p.GetUnits(),
		Class: p.GetClass(), Resources: size, Spec: p.GetSpec(), Digest: Digest(p),
		Phase: PhaseWaiting, Attempt: 1, SubmitOffset: env.Offset,
	}
	s.liveJobsByTeam[p.GetTeam()]++
	s.liveSpecBytes += len(p.GetSpec())
	s.recordChange(env.Offset, p.GetJob())
	return nil
}

// checkNew returns an error if the id of the job is already in use, or if there are too many live jobs.
func (s *State) checkNew(p *v1.JobSubmit) *fault.Error {
	if _, live := s.Live[p.GetJob()]; live {
		return fault.New(fault.JobConflict, "job %s was accepted before", p.GetJob())
	}
	if _, ended := s.FindEnded(p.GetJob()); ended {
		return fault.New(fault.JobConflict, "job %s has ended", p.GetJob())
	}
	return s.checkLiveLimits(p)
}

// checkLiveLimits returns an error if the job would exceed the bounds on live jobs and their specs.
func (s *State) checkLiveLimits(p *v1.JobSubmit) *fault.Error {
	s.ensureIndexes()
	switch {
	case len(s.Live) >= MaxLive:
		return fault.New(fault.QueueFull, "%d live jobs: want fewer than %d", len(s.Live), MaxLive)
	case s.liveJobsByTeam[p.GetTeam()] >= MaxTeamLive:
		return fault.New(fault.QueueFull, "%d live jobs of team %s: want fewer than %d", s.liveJobsByTeam[p.GetTeam()], p.GetTeam(), MaxTeamLive)
	case s.liveSpecBytes+len(p.GetSpec()) > MaxLiveSpecBytes:
		return fault.New(fault.QueueFull, "%d bytes of live specs: want at most %d", s.liveSpecBytes+len(p.GetSpec()), MaxLiveSpecBytes)
	}
	return nil
}

// Start starts the next attempt of a waiting job on a worker and reserves the units of the job.
func (s *State) Start(env structs.Envelope, p *v1.JobStart, hosts HostReader, units UnitReserver) *fault.Error {
	job, err := s.jobInAttempt(p.GetJob(), p.GetAttempt(), PhaseWaiting)
	if err != nil {
		return err
	}
	if !hosts.IsServing(p.GetWorker(), job.Pool) {
		return fault.New(fault.HostBusy, "worker %s isn't serving in pool %s", p.GetWorker(), job.Pool)
	}
	if err := units.ReserveJobUnits(job.Team, job.Units); err != nil {
		return err
	}
	job.Phase = PhaseRunning
	job.Worker = p.GetWorker()
	job.StartOffset = env.Offset
	s.recordChange(env.Offset, job.ID)
	return nil
}

// End ends the running attempt and releases the units of the job. The job then ends or waits for its next
// attempt.
func (s *State) End(env structs.Envelope, p *v1.JobEnd, units UnitReserver) *fault.Error {
	job, err := s.jobInAttempt(p.GetJob(), p.GetAttempt(), PhaseRunning)
	if err != nil {
		return err
	}
	if _, known := resultByOutcome[p.GetOutcome()]; !known {
		return fault.New(fault.RequestInvalid, "job %s: outcome %s isn't known", job.ID, p.GetOutcome())
	}
	units.ReleaseJobUnits(job.Team, job.Units)
	s.recordWorkerOutcome(job, p.GetOutcome())
	if result := s.resultAfter(job, p.GetOutcome()); result != "" {
		s.endJob(env.Offset, job, result, job.Attempt)
		return nil
	}
	if p.GetOutcome() == v1.JobOutcome_JOB_OUTCOME_PREEMPTED {
		job.Preemptions++
	}
	job.Phase = PhaseWaiting
	job.Attempt++
	job.Worker = ""
	job.StartOffset = 0
	s.recordChange(env.Offset, job.ID)
	return nil
}

// Cancel ends a waiting job, or requests the stop of a running one. The key must belong to the job's team. The
// jobs of a pool's open team can be cancelled without a key.
func (s *State) Cancel(env structs.Envelope, p *v1.JobCancel, doc *structs.Document) *fault.Error {
	job, live := s.Live[p.GetJob()]
	if !live {
		return fault.New(fault.JobUnknown, "job %s isn't live", p.GetJob())
	}
	if err := checkKey(p.GetKeyId(), job.Team, job.Pool, doc); err != nil {
		return err
	}
	if job.Phase == PhaseWaiting {
		s.endJob(env.Offset, job, ResultCancelled, job.Attempt-1)
		return nil
	}
	job.CancelRequested = true
	s.recordChange(env.Offset, job.ID)
	return nil
}

// jobInAttempt returns the live job, or an error if it isn't in the phase or its attempt is another one.
func (s *State) jobInAttempt(id string, attempt uint32, phase Phase) (*Job, *fault.Error) {
	job, live := s.Live[id]
	if !live {
		return nil, fault.New(fault.JobUnknown, "job %s isn't live", id)
	}
	if job.Phase != phase || job.Attempt != attempt {
		return nil, fault.New(fault.JobConflict, "job %s is %s with attempt %d: want %s with attempt %d",
			id, job.Phase, job.Attempt, phase, attempt)
	}
	return job, nil
}
