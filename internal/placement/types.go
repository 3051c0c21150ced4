// Package placement decides which waiting jobs start on which workers, and which running jobs are
// preempted to make room for them. Compute is a pure function of one immutable snapshot. When the starts
// of its plan are proposed, the fold checks them against the newest state. Queue holds the waiting jobs
// and Cache the running ones. Both are updated with each log record and usage report, so that building a
// snapshot doesn't rescan the state.
package placement

import (
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/structs"
)

// Vector holds an amount of each resource: CPU in thousandths of a core, memory in MiB, and the number of
// accelerators.
type Vector [3]int64

// Indexes of a Vector.
const (
	CPU = iota
	Memory
	Accelerators
)

// VectorOf converts the resources that a job or host declares to a vector.
func VectorOf(r structs.Resources) Vector {
	return Vector{int64(r.CPUMilli), int64(r.MemoryMiB), int64(r.Accelerators)}
}

// Fits reports whether v is at most available in each resource. Resources of which v needs nothing are
// ignored, so that v can fit on a worker that is overcommitted in them.
func (v Vector) Fits(available Vector) bool {
	for i := range v {
		if v[i] > 0 && v[i] > available[i] {
			return false
		}
	}
	return true
}

// Plus returns the sum of v and other for each resource.
func (v Vector) Plus(other Vector) Vector {
	for i := range v {
		v[i] += other[i]
	}
	return v
}

// Minus returns v less other for each resource; the result may be negative.
func (v Vector) Minus(other Vector) Vector {
	for i := range v {
		v[i] -= other[i]
	}
	return v
}

// Min returns the smaller amount of each resource.
func (v Vector) Min(other Vector) Vector {
	for i := range v {
		v[i] = min(v[i], other[i])
	}
	return v
}

// Max returns the larger amount of each resource.
func (v Vector) Max(other Vector) Vector {
	for i := range v {
		v[i] = max(v[i], other[i])
	}
	return v
}

// Snapshot is the immutable input of one planning cycle.
type Snapshot struct {
	Now   time.Time
	Pools []Pool
	// Teams holds the teams; the Team fields of the other types are indexes of it.
	Teams []Team
}

// Team is a team with its weight and its remaining units.
type Team struct {
	Name string
	// Weight is the team's weight in the sharing of a pool, at least 1.
	Weight int
	// FreeUnits is the number of units that the team's further jobs may take.
	FreeUnits uint64
}

// Pool is a pool with its workers and waiting jobs.
type Pool struct {
	Name string
	// Workers are sorted by name.
	Workers []Worker
	Buckets []Bucket
	// Used is the sum of the allocated sizes of each team's running jobs, by index of the team.
	Used []Vector
	// Claims reserve capacity for the waiting jobs for which victims are being preempted.
	Claims []Claim
}

// Worker is the worker of a serving host, with its capacity and running jobs.
type Worker struct {
	Name     string
	Capacity Vector
	// Free is the capacity less the allocated sizes of running jobs. It is negative when the worker is
	// overcommitted.
	Free Vector
	// MaxStarts is the number of jobs that may start on the worker in this cycle; it depends on the
	// worker's health.
	MaxStarts int
	Running   []RunningJob
}

// RunningJob is a running job that may be a victim of a preemption.
type RunningJob struct {
	Job     string
	Attempt uint32
	Team    int
	Class   v1.JobClass
	// Size is the allocated size, without the effect of throttling.
	Size        Vector
	StartOffset int64
	Preemptions uint32
	// Terminating is set when the job is being preempted or cancelled. Such a job can't be a victim.
	Terminating bool
	// Throttled is set when the job is already limited to ThrottledCPUFraction of its CPU usage.
	Throttled bool
}

// Bucket holds the waiting jobs of one team and class, oldest first.
type Bucket struct {
	Team  int
	Class v1.JobClass
	// Ratio is the ratio of observed to declared usage of the team's jobs in the pool.
	Ratio UsageRatio
	Jobs  []*WaitingJob
}

// WaitingJob is a job that waits to be started.
type WaitingJob struct {
	Job      string
	Attempt  uint32
	Units    uint64
	Declared Vector
	// SubmitOffset is the log offset at which the job was submitted. Jobs with lower offsets are older.
	SubmitOffset int64
	// FirstSeen is when this controller first saw the job; the wait is measured from it.
	FirstSeen time.Time
	// Avoid lists the workers on which the job failed.
	Avoid []string
}

// Claim reserves capacity on a worker for a waiting job while victims are preempted there.
type Claim struct {
	Waiting *WaitingJob
	Team    int
	Size    Vector
	Worker  string
}

// Plan is the result of a planning cycle, in the order in which it should be carried out.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
}

// Start assigns a waiting job to a worker.
type Start struct {
	Job     string
	Attempt uint32
	Pool    string
	Worker  string
	Team    int
	// Size is the size to allocate on the worker.
	Size   Vector
	Urgent bool
}

// Preemption throttles or stops running jobs on a worker to make room for a waiting job.
type Preemption struct {
	Preemptor *WaitingJob
	Team      int
	Size      Vector
	Pool      string
	Worker    string
	Victims   []Victim
	// Stop is set when the victims have to be stopped, since throttling wouldn't make enough room.
	Stop bool
}

// Victim is a running job to be throttled or stopped by a preemption.
type Victim struct {
	Job     string
	Attempt uint32
	Team    int
}

// Options are the time limits and bounds of a plan.
type Options struct {
	// AgingAfter is the wait after which a job precedes all younger jobs except urgent ones.
	AgingAfter time.Duration
	// PreemptAfter is the further wait, after AgingAfter, after which a job precedes urgent jobs and may preempt.
	PreemptAfter time.Duration
	// MaxReservedFraction is the fraction of a pool's workers that may be reserved for aged jobs. One worker
	// may always be reserved.
	MaxReservedFraction float64
	// MaxStarts limits the starts of one plan; 0 means no limit.
	MaxStarts int
	// MaxPreemptionsPerPool limits the preemptions of one plan in each pool; each makes room for one job.
	MaxPreemptionsPerPool int
}

// DefaultOptions returns the options that the controller uses. MaxStarts is low enough that the starts of a
// plan are proposed within a second on a log that accepts several hundred appends a second.
func DefaultOptions() Options {
	return Options{AgingAfter: 10 * time.Minute, PreemptAfter: 5 * time.Minute, MaxReservedFraction: 0.1, MaxStarts: 64, MaxPreemptionsPerPool: 32}
}

// ThrottledCPUFraction is the fraction of its CPU usage that a throttled job keeps.
const ThrottledCPUFraction = 0.25

// ProtectAfterPreemptions is the number of preemptions after which a job is protected: it becomes a victim
// again only where other victims don't make enough room.
const ProtectAfterPreemptions = 3
