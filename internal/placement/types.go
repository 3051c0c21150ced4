// Package placement decides which waiting jobs start on which workers and which running ones make
// room for them. Plan is pure: it reads one immutable snapshot and yields a plan, which the fold
// checks against the newest state when its starts are proposed. Queue holds what waits, Cache what
// runs; both change with each record or report, and give their part of a snapshot without a rescan.
package placement

import (
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/structs"
)

// Vector is an amount of each resource: processor in thousandths, memory in MiB, accelerators.
type Vector [3]int64

// Indexes of a Vector.
const (
	CPU = iota
	Memory
	Accelerators
)

// VectorOf converts resources.
func VectorOf(r structs.Resources) Vector {
	return Vector{int64(r.CPUMilli), int64(r.MemoryMiB), int64(r.Accelerators)}
}

// Fits reports whether v is at most room in each resource. A resource that isn't needed fits an
// overcommitted worker too.
func (v Vector) Fits(room Vector) bool {
	for i := range v {
		if v[i] > 0 && v[i] > room[i] {
			return false
		}
	}
	return true
}

// Plus returns the sum.
func (v Vector) Plus(other Vector) Vector {
	for i := range v {
		v[i] += other[i]
	}
	return v
}

// Minus returns the difference.
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

// Snapshot is what one cycle decides on. Nobody changes it.
type Snapshot struct {
	Now   time.Time
	Pools []Pool
	// Teams is indexed by the team fields of the other types.
	Teams []Team
}

// Team is a team and the units that it may still start.
type Team struct {
	Name string
	// Weight is the weight, at least 1.
	Weight    int
	FreeUnits uint64
}

// Pool is a pool with its workers and waiting jobs.
type Pool struct {
	Name string
	// Workers are in order of name.
	Workers []Worker
	Buckets []Bucket
	// Used is the decided usage of each team.
	Used []Vector
	// Claims are waiting jobs for which room is being made.
	Claims []Claim
}

// Worker is the worker of a serving host.
type Worker struct {
	Name     string
	Capacity Vector
	// Free is the capacity without the decided sizes of running jobs; it is negative when the worker is overcommitted.
	Free Vector
	// MaxStarts is the number of starts that the worker's health permits in this cycle.
	MaxStarts int
	Running   []RunningJob
}

// RunningJob is a running job.
type RunningJob struct {
	Job     string
	Attempt uint32
	Team    int
	Class   v1.JobClass
	// Size is the decided size.
	Size        Vector
	StartOffset int64
	Preemptions uint32
	// Terminating is set when the job is about to end, be it preempted or cancelled; it is no victim then.
	Terminating bool
	// Throttled is set when the job gets ThrottledPart of its processor usage already.
	Throttled bool
}

// Bucket holds the waiting jobs of one team and class in order of age.
type Bucket struct {
	Team  int
	Class v1.JobClass
	// Ratio is what jobs of the team turned out to use of their declared size in the pool, with the margin.
	Ratio UsageRatio
	Jobs  []*WaitingJob
}

// WaitingJob is a waiting job.
type WaitingJob struct {
	Job      string
	Attempt  uint32
	Units    uint64
	Declared Vector
	// SubmitOffset is the order of age.
	SubmitOffset int64
	// FirstSeen is when the job was first seen by this controller.
	FirstSeen time.Time
	// Avoid lists workers that failed the job.
	Avoid []string
}

// Claim keeps the room that is being made on a worker for a waiting job.
type Claim struct {
	Waiting *WaitingJob
	Team    int
	Size    Vector
	Worker  string
}

// Plan is the outcome of a cycle, in the order in which it should be carried out.
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
	// Size is the decided size on the worker.
	Size   Vector
	Urgent bool
}

// Preemption makes room on a worker for a waiting job.
type Preemption struct {
	Preemptor *WaitingJob
	Team      int
	Size      Vector
	Pool      string
	Worker    string
	Victims   []Victim
	// Stop is set when throttling the victims wouldn't make enough room.
	Stop bool
}

// Victim is a running job that makes room.
type Victim struct {
	Job     string
	Attempt uint32
	Team    int
}

// Options are the bounds of a plan.
type Options struct {
	// AgingAfter is the wait after which a job goes before younger ones of any class but urgent.
	AgingAfter time.Duration
	// PreemptAfter is the further wait after which a job goes before urgent ones and may preempt.
	PreemptAfter time.Duration
	// MaxReservedFraction is the part of a pool's workers, at least one, that aged jobs may keep free.
	MaxReservedFraction float64
	// MaxStarts bounds the starts of one plan; 0 means no bound.
	MaxStarts int
	// MaxPreemptionsPerPool bounds the jobs of one pool for which a plan makes room.
	MaxPreemptionsPerPool int
}

// DefaultOptions returns the options of the controller. With MaxStarts, a plan is proposed within
// a second on a log that accepts several hundred appends a second.
func DefaultOptions() Options {
	return Options{AgingAfter: 10 * time.Minute, PreemptAfter: 5 * time.Minute, MaxReservedFraction: 0.1, MaxStarts: 64, MaxPreemptionsPerPool: 32}
}

// ThrottledCPUFraction is the part of its processor usage that a throttled job goes on with.
const ThrottledCPUFraction = 0.25

// ProtectAfterPreemptions is the number of preemptions after which a job is a victim only when there is no other.
const ProtectAfterPreemptions = 3
