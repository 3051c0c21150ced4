// Package jobs reduces jobs from submission to their end.
package jobs

import (
	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// State is the section of the fleet state that the package reduces.
type State struct {
	// Live holds waiting and running jobs by id.
	Live map[string]*Job `json:"live"`
	// Ended remembers ended jobs of each team in order of their end, at most MaxEnded in total.
	Ended map[string][]Ended `json:"ended"`
	// Workers holds the workers whose latest starts failed.
	Workers map[string]*WorkerRecord `json:"workers"`

	// index finds an ended job by id, and teamLive counts live jobs; they are derived from the fields above.
	index     map[string]*Ended
	teamLive  map[string]int
	specBytes int
	// journal lists changed jobs in order of offset, so that a scheduler needn't read all jobs.
	journal []change
	// journalStart is the offset up to which the journal has lost its entries.
	journalStart int64
}

// Phase is where a live job stands.
type Phase string

// Phases of a live job.
const (
	// PhaseWaiting is a job that waits for the start of its attempt.
	PhaseWaiting Phase = "waiting"
	// PhaseRunning is a job whose attempt was started; its units are reserved.
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
	// Digest identifies the content of the submission, for repeated submissions.
	Digest string `json:"digest"`
	Phase  Phase  `json:"phase"`
	// Attempt is the fencing number of the running or of the next attempt, from 1.
	Attempt uint32 `json:"attempt"`
	// Worker runs the attempt; empty while the job waits.
	Worker string `json:"worker,omitempty"`
	// SubmitOffset orders jobs by age.
	SubmitOffset int64 `json:"submitOffset"`
	// StartOffset is the offset of the record that started the attempt.
	StartOffset int64 `json:"startOffset,omitempty"`
	// Preemptions counts attempts that were stopped for other work.
	Preemptions uint32 `json:"preemptions,omitempty"`
	// FailedWorkers are the different workers that failed the job, in order of failure.
	FailedWorkers []string `json:"failedWorkers,omitempty"`
	// CancelRequested is set on a running job that is to be stopped.
	CancelRequested bool `json:"cancelRequested,omitempty"`
}

// Result is how a job ended.
type Result string

// Results of ended jobs.
const (
	ResultSucceeded Result = "succeeded"
	ResultFailed    Result = "failed"
	ResultCancelled Result = "cancelled"
)

// Ended is the memory of a job that has ended.
type Ended struct {
	ID     string `json:"id"`
	Team   string `json:"team"`
	Digest string `json:"digest"`
	// Attempt is the highest attempt that was started, 0 when none was.
	Attempt   uint32 `json:"attempt,omitempty"`
	Result    Result `json:"result"`
	EndOffset int64  `json:"endOffset"`
}

// WorkerRecord lists the different jobs that failed on a worker since its last success.
type WorkerRecord struct {
	FailedJobs []string `json:"failedJobs"`
}

const (
	// MaxEnded bounds the ended jobs that are remembered. At about 130 bytes each they take 2 MiB
	// of a snapshot. When full, the team with the most loses its oldest one, so that a wave of
	// cancellations of one team doesn't make the others' late duplicates look new.
	MaxEnded = 16384
	// MaxHealthyFailures is the number of different healthy workers on which a job may fail.
	MaxHealthyFailures = 3
	// MaxFailedWorkers ends a job that failed on this many workers, healthy or not, so that many
	// bad jobs that make every worker look unhealthy still end.
	MaxFailedWorkers = 8
	// UnhealthyFailures is the number of different jobs that fail on a worker without a success
	// between them before its failures no longer count against jobs.
	UnhealthyFailures = 3
	// MaxSpecBytes bounds the spec of a job.
	MaxSpecBytes = 4 << 10
	// MaxLiveSpecBytes bounds the specs of all live jobs, which are part of each snapshot.
	MaxLiveSpecBytes = 8 << 20
	// MaxIDBytes bounds a job id.
	MaxIDBytes = 200
	// MaxLive bounds live jobs, and with them the memory of each controller: about 13 MiB without specs.
	MaxLive = 32_768
	// MaxTeamLive leaves room for the other teams' jobs.
	MaxTeamLive = MaxLive / 2
)

// New returns an empty section.
func New() *State {
	return &State{Live: map[string]*Job{}, Ended: map[string][]Ended{}, Workers: map[string]*WorkerRecord{}}
}

// CheckDocument returns an error when the next document lacks the team or pool of a live job: an
// accepted job is never dropped by a change of configuration.
func (s *State) CheckDocument(next *structs.Document) *fault.Error {
	pools := map[string]bool{}
	for _, pool := range next.Pools {
		pools[pool.Name] = true
	}
	teams := map[string]bool{}
	for _, team := range next.Teams {
		teams[team.Name] = true
	}
	var offending *Job
	count := 0
	for _, job := range s.Live {
		if pools[job.Pool] && teams[job.Team] {
			continue
		}
		count++
		if offending == nil || job.ID < offending.ID {
			offending = job
		}
	}
	if offending == nil {
		return nil
	}
	return fault.New(fault.DocumentInvalid, "%d live jobs, such as %s, need team %s and pool %s: cancel them first",
		count, offending.ID, offending.Team, offending.Pool)
}

// AdoptDocument forgets the failures of workers whose host left the document.
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

// Fleet is what the reducer asks about hosts.
type Fleet interface {
	// Serving reports whether the host takes new work in the pool.
	Serving(host, pool string) bool
	// Capacities returns the distinct worker capacities of the pool.
	Capacities(pool string) []structs.Resources
}

// Units counts running jobs against the limits of teams.
type Units interface {
	ReserveJobUnits(team string, units uint64) *fault.Error
	ReleaseJobUnits(team string, units uint64)
}

// Submit accepts a job.
func (s *State) Submit(env structs.Envelope, p *v1.JobSubmit, doc *structs.Document, fleet Fleet) *fault.Error {
	if err := s.checkNew(p); err != nil {
		return err
	}
	if err := CheckSubmit(p, doc); err != nil {
		return err
	}
	size := ResourcesOf(p.GetResources())
	if !fitsSome(size, fleet.Capacities(p.GetPool())) {
		return fault.New(fault.JobUnplaceable, "job %s needs %d mCPU, %d MiB and %d accelerators: no worker of pool %s has them",
			p.GetJob(), size.CPUMilli, size.MemoryMiB, size.Accelerators, p.GetPool())
	}
	s.Live[p.GetJob()] = &Job{
		ID: p.GetJob(), Team: p.GetTeam(), KeyID: p.GetKeyId(), Pool: p.GetPool(), Units: p.GetUnits(),
		Class: p.GetClass(), Resources: size, Spec: p.GetSpec(), Digest: Digest(p),
		Phase: PhaseWaiting, Attempt: 1, SubmitOffset: env.Offset,
	}
	s.teamLive[p.GetTeam()]++
	s.specBytes += len(p.GetSpec())
	s.note(env.Offset, p.GetJob())
	return nil
}

func (s *State) checkNew(p *v1.JobSubmit) *fault.Error {
	if _, live := s.Live[p.GetJob()]; live {
		return fault.New(fault.JobConflict, "job %s was accepted before", p.GetJob())
	}
	if _, ended := s.FindEnded(p.GetJob()); ended {
		return fault.New(fault.JobConflict, "job %s has ended", p.GetJob())
	}
	return s.checkRoom(p)
}

// checkRoom keeps the live jobs within the memory bounds.
func (s *State) checkRoom(p *v1.JobSubmit) *fault.Error {
	s.derive()
	switch {
	case len(s.Live) >= MaxLive:
		return fault.New(fault.QueueFull, "%d live jobs: want fewer than %d", len(s.Live), MaxLive)
	case s.teamLive[p.GetTeam()] >= MaxTeamLive:
		return fault.New(fault.QueueFull, "%d live jobs of team %s: want fewer than %d", s.teamLive[p.GetTeam()], p.GetTeam(), MaxTeamLive)
	case s.specBytes+len(p.GetSpec()) > MaxLiveSpecBytes:
		return fault.New(fault.QueueFull, "%d bytes of live specs: want at most %d", s.specBytes+len(p.GetSpec()), MaxLiveSpecBytes)
	}
	return nil
}

// Start accepts one attempt of a waiting job and reserves its units.
func (s *State) Start(env structs.Envelope, p *v1.JobStart, fleet Fleet, units Units) *fault.Error {
	job, err := s.attempt(p.GetJob(), p.GetAttempt(), PhaseWaiting)
	if err != nil {
		return err
	}
	if !fleet.Serving(p.GetWorker(), job.Pool) {
		return fault.New(fault.HostBusy, "worker %s isn't serving in pool %s", p.GetWorker(), job.Pool)
	}
	if err := units.ReserveJobUnits(job.Team, job.Units); err != nil {
		return err
	}
	job.Phase = PhaseRunning
	job.Worker = p.GetWorker()
	job.StartOffset = env.Offset
	s.note(env.Offset, job.ID)
	return nil
}

// End ends an attempt and releases its units. The job ends too, or waits for its next attempt.
func (s *State) End(env structs.Envelope, p *v1.JobEnd, units Units) *fault.Error {
	job, err := s.attempt(p.GetJob(), p.GetAttempt(), PhaseRunning)
	if err != nil {
		return err
	}
	if _, known := outcomes[p.GetOutcome()]; !known {
		return fault.New(fault.RequestInvalid, "job %s: outcome %s isn't known", job.ID, p.GetOutcome())
	}
	units.ReleaseJobUnits(job.Team, job.Units)
	s.recordWorker(job, p.GetOutcome())
	if result := s.resultOf(job, p.GetOutcome()); result != "" {
		s.finish(env.Offset, job, result, job.Attempt)
		return nil
	}
	if p.GetOutcome() == v1.JobOutcome_JOB_OUTCOME_PREEMPTED {
		job.Preemptions++
	}
	job.Phase = PhaseWaiting
	job.Attempt++
	job.Worker = ""
	job.StartOffset = 0
	s.note(env.Offset, job.ID)
	return nil
}

// Cancel ends a waiting job, or asks for the stop of a running one. The key must belong to the
// job's team; a job of an open pool that came without a key is cancelled without one.
func (s *State) Cancel(env structs.Envelope, p *v1.JobCancel, doc *structs.Document) *fault.Error {
	job, live := s.Live[p.GetJob()]
	if !live {
		return fault.New(fault.JobUnknown, "job %s isn't live", p.GetJob())
	}
	if err := checkKey(p.GetKeyId(), job.Team, job.Pool, doc); err != nil {
		return err
	}
	if job.Phase == PhaseWaiting {
		s.finish(env.Offset, job, ResultCancelled, job.Attempt-1)
		return nil
	}
	job.CancelRequested = true
	s.note(env.Offset, job.ID)
	return nil
}

// attempt returns the job when it is in the phase with that attempt.
func (s *State) attempt(id string, attempt uint32, phase Phase) (*Job, *fault.Error) {
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
