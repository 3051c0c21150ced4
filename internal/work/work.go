// Package work defines the jobs that callers submit and the configuration that applies to them.
//
// A job has steps, a step has work items, and each start of a work item is a run. The platform adapter
// decodes these types from the requests of callers and the configuration of operators, the scheduler works on
// them, and the journal stores them.
package work

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Resources holds an amount of each resource.
type Resources struct {
	// CPUMilli is processor time in thousandths of a core.
	CPUMilli int64 `cbor:"1,keyasint,omitempty"`
	// MemoryMiB is memory in MiB.
	MemoryMiB int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators is a number of accelerators.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of r and other for each resource.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.CPUMilli + other.CPUMilli, r.MemoryMiB + other.MemoryMiB, r.Accelerators + other.Accelerators}
}

// Minus returns the difference of r and other for each resource.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.CPUMilli - other.CPUMilli, r.MemoryMiB - other.MemoryMiB, r.Accelerators - other.Accelerators}
}

// Fits reports whether r is at most available in each resource. A resource of which r needs nothing always
// fits, even if available is negative.
func (r Resources) Fits(available Resources) bool {
	return (r.CPUMilli <= 0 || r.CPUMilli <= available.CPUMilli) &&
		(r.MemoryMiB <= 0 || r.MemoryMiB <= available.MemoryMiB) &&
		(r.Accelerators <= 0 || r.Accelerators <= available.Accelerators)
}

// Step is a part of a job that consists of identical work items.
type Step struct {
	// Count is the number of work items, at least 1.
	Count int `cbor:"1,keyasint"`
	// Need is the amount of resources that each work item requires.
	Need Resources `cbor:"2,keyasint"`
	// Estimate is the run time of a work item as declared by the caller; it may be far from the actual run
	// time.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of the steps on which this one depends: they must be completed before it
	// starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpointing work items save their progress and can resume from it.
	Checkpointing bool `cbor:"5,keyasint,omitempty"`
	// Gang is set when all work items of the step run at the same time: if one ends, all end.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack is set when the work items are slower if they run on more than one rack.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Speculative work items may run in several copies at the same time.
	Speculative bool `cbor:"8,keyasint,omitempty"`
	// Lasting work items have no end of their own: they run until their job is cancelled.
	Lasting bool `cbor:"9,keyasint,omitempty"`
	// Filling work items are best-effort: they use the processor time that other work on the host leaves
	// idle, and no CPUMilli is reserved for them.
	Filling bool `cbor:"10,keyasint,omitempty"`
	// Label is the label that a host must have to run the work items; empty means any host.
	Label string `cbor:"11,keyasint,omitempty"`
	// DataRack is the preferred rack, which is near the data of the step; empty means no preference.
	DataRack string `cbor:"12,keyasint,omitempty"`
	// MaxPerHost limits the number of work items of the step on one host; 0 means no limit.
	MaxPerHost int `cbor:"13,keyasint,omitempty"`
	// Image is the name of the program that runs; work items with the same image behave similarly.
	Image string `cbor:"14,keyasint,omitempty"`
	// TailTarget is the upper limit for the tail of the response times of a work item that serves requests; 0
	// for a work item that serves none.
	TailTarget time.Duration `cbor:"15,keyasint,omitempty"`
	// MayMiss is the number of work items of the step that the system may make unavailable at the same time;
	// 0 means that no limit is declared.
	MayMiss int `cbor:"16,keyasint,omitempty"`
}

// Recurrence describes when the steps of a recurring job are repeated.
type Recurrence struct {
	// First is the due time of the first occurrence; zero for a job that doesn't recur.
	First time.Time `cbor:"1,keyasint,omitempty"`
	// Interval is the time between the due times of two occurrences.
	Interval time.Duration `cbor:"2,keyasint,omitempty"`
	// Times is the number of occurrences, not a list of times; 0 for a job that runs once, as soon as it is
	// accepted.
	Times int `cbor:"3,keyasint,omitempty"`
}

// Job is a job as submitted, with the configuration that its queue had at that time. The CBOR form is stored
// in the log, and the JSON form, which has the Go names of the fields, is sent between entry processes; so the
// fields must not be renamed.
type Job struct {
	// ID is chosen by the caller and is unique in the fleet.
	ID string `cbor:"1,keyasint"`
	// Queue is a copy of the queue's configuration at the time of the submission.
	Queue Queue `cbor:"2,keyasint"`
	// Customer is the name of the customer whose upper limit and share apply; empty for a caller without a
	// key in an open queue.
	Customer string `cbor:"3,keyasint,omitempty"`
	// Spec is passed to the workers without being parsed.
	Spec string `cbor:"4,keyasint,omitempty"`
	// Steps are in the order in which the caller numbered them.
	Steps []Step `cbor:"5,keyasint"`
	// Recurrence is the zero value for a job that runs once.
	Recurrence Recurrence `cbor:"6,keyasint,omitempty"`
	// Accepted is the wall-clock time of acceptance.
	Accepted time.Time `cbor:"7,keyasint"`
}

// Lasting reports whether the job has a lasting step, whose work items run until the job is cancelled.
func (j *Job) Lasting() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.Lasting })
}

// Occurrences returns how often the steps run; at least 1.
func (j *Job) Occurrences() int { return max(1, j.Recurrence.Times) }

// DueAt returns the earliest time at which occurrence k, counted from 0, may start.
func (j *Job) DueAt(k int) time.Time {
	if j.Recurrence.Times == 0 {
		return j.Accepted
	}
	return j.Recurrence.First.Add(time.Duration(k) * j.Recurrence.Interval)
}

// ItemID identifies a work item of a job.
type ItemID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns JOB.OCCURRENCE.STEP.INDEX, the form in which workers receive and report the ID.
func (i ItemID) String() string {
	return i.Job + "." + strconv.Itoa(i.Occurrence) + "." + strconv.Itoa(i.Step) + "." + strconv.Itoa(i.Index)
}

// Compare orders item IDs by job, occurrence, step and index.
func (i ItemID) Compare(other ItemID) int {
	return cmp.Or(cmp.Compare(i.Job, other.Job), cmp.Compare(i.Occurrence, other.Occurrence), cmp.Compare(i.Step, other.Step), cmp.Compare(i.Index, other.Index))
}

// itemIDParts is the number of dot-separated parts in the text form of an ItemID.
const itemIDParts = 4

// ParseItemID parses the text form that ItemID.String returns.
func ParseItemID(text string) (ItemID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != itemIDParts {
		return ItemID{}, fmt.Errorf("work item ID %q: want %d parts separated by dots", text, itemIDParts)
	}
	var numbers [itemIDParts - 1]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return ItemID{}, fmt.Errorf("work item ID %q: part %d isn't a number of 0 or more", text, i+1)
		}
		numbers[i] = n
	}
	return ItemID{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
