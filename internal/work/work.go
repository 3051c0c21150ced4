// Package work holds the jobs that callers submit and the configuration that decides on them.
//
// A job has steps, a step has work items, and each start of a work item is a run. The scheduler
// decides on these types, the journal keeps them, and the adapter of the platform makes them from
// what callers and operators send.
package work

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Resources is an amount of each resource.
type Resources struct {
	// CPUMilli is in thousandths of a core.
	CPUMilli int64 `cbor:"1,keyasint,omitempty"`
	// MemoryMiB is in MiB.
	MemoryMiB int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators is a number of accelerators.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.CPUMilli + other.CPUMilli, r.MemoryMiB + other.MemoryMiB, r.Accelerators + other.Accelerators}
}

// Minus returns the difference.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.CPUMilli - other.CPUMilli, r.MemoryMiB - other.MemoryMiB, r.Accelerators - other.Accelerators}
}

// Fits reports whether r is at most room in each resource. A resource that isn't needed fits
// a host that has none left.
func (r Resources) Fits(room Resources) bool {
	return (r.CPUMilli <= 0 || r.CPUMilli <= room.CPUMilli) &&
		(r.MemoryMiB <= 0 || r.MemoryMiB <= room.MemoryMiB) &&
		(r.Accelerators <= 0 || r.Accelerators <= room.Accelerators)
}

// Step is a part of a job: work items that are alike.
type Step struct {
	// Count is the number of work items, at least 1.
	Count int `cbor:"1,keyasint"`
	// Need is what each work item takes.
	Need Resources `cbor:"2,keyasint"`
	// Estimate is the declared run time of a work item; it may be far off.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// DependsOn lists the indexes of steps that must be done before this one starts.
	DependsOn []int `cbor:"4,keyasint,omitempty" json:"After"`
	// Checkpointing work items save their progress and resume from it.
	Checkpointing bool `cbor:"5,keyasint,omitempty"`
	// Gang work items run only together and end together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack work items are slower when they run on more than one rack.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Speculative work items may run in several copies.
	Speculative bool `cbor:"8,keyasint,omitempty"`
	// LongRunning work items run until the job is cancelled.
	LongRunning bool `cbor:"9,keyasint,omitempty" json:"Lasting"`
	// BestEffort work items use the processor time that others leave; their CPUMilli isn't reserved.
	BestEffort bool `cbor:"10,keyasint,omitempty" json:"Filling"`
	// RequiredLabel is one that the host must have; empty: any host.
	RequiredLabel string `cbor:"11,keyasint,omitempty" json:"Label"`
	// DataRack is the rack near the data; empty: any rack.
	DataRack string `cbor:"12,keyasint,omitempty"`
	// MaxPerHost bounds the work items of the step on one host; 0: no bound.
	MaxPerHost int `cbor:"13,keyasint,omitempty"`
	// Image names what runs; work items with the same image behave alike.
	Image string `cbor:"14,keyasint,omitempty"`
	// TailLatencyTarget bounds the tail of the response times of a serving work item; 0: it serves nobody.
	TailLatencyTarget time.Duration `cbor:"15,keyasint,omitempty" json:"TailTarget"`
	// MaxUnavailable is how many work items may be away by the system's actions at once; 0: no bound is declared.
	MaxUnavailable int `cbor:"16,keyasint,omitempty" json:"MayMiss"`
}

// Recurrence repeats the steps of a job at set times.
type Recurrence struct {
	// First is when the first occurrence is due; zero for a job without occurrences.
	First time.Time `cbor:"1,keyasint,omitempty"`
	// Interval is the time between occurrences.
	Interval time.Duration `cbor:"2,keyasint,omitempty"`
	// Count is the number of occurrences; 0 for a job that runs once, when it is accepted.
	Count int `cbor:"3,keyasint,omitempty" json:"Times"`
}

// Job is a job as it was submitted, with what the configuration said of its queue at that time.
type Job struct {
	// ID is chosen by the caller and unique in the fleet.
	ID string `cbor:"1,keyasint"`
	// Queue is the name of the queue.
	Queue Queue `cbor:"2,keyasint"`
	// Customer is whose limits and share count; empty for a caller without a key in an open queue.
	Customer string `cbor:"3,keyasint,omitempty"`
	// Spec is passed to workers unread.
	Spec string `cbor:"4,keyasint,omitempty"`
	// Steps are in the order in which the caller numbered them.
	Steps []Step `cbor:"5,keyasint"`
	// Recurrence is zero for a job that runs once.
	Recurrence Recurrence `cbor:"6,keyasint,omitempty"`
	// AcceptedAt is the wall time of acceptance.
	AcceptedAt time.Time `cbor:"7,keyasint" json:"Accepted"`
}

// LongRunning reports whether a step of the job runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning })
}

// Occurrences is how often the steps run: at least 1.
func (j *Job) Occurrences() int { return max(1, j.Recurrence.Count) }

// DueAt is when occurrence k may start.
func (j *Job) DueAt(k int) time.Time {
	if j.Recurrence.Count == 0 {
		return j.AcceptedAt
	}
	return j.Recurrence.First.Add(time.Duration(k) * j.Recurrence.Interval)
}

// ItemID names a work item.
type ItemID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns JOB.OCCURRENCE.STEP.INDEX, the form that workers use.
func (i ItemID) String() string {
	return i.Job + "." + strconv.Itoa(i.Occurrence) + "." + strconv.Itoa(i.Step) + "." + strconv.Itoa(i.Index)
}

// itemIDParts is the number of parts in the text of an ItemID.
const itemIDParts = 4

// ParseItemID reads the form that String writes.
func ParseItemID(text string) (ItemID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != itemIDParts {
		return ItemID{}, fmt.Errorf("work item %q: want %d parts", text, itemIDParts)
	}
	var numbers [itemIDParts - 1]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return ItemID{}, fmt.Errorf("work item %q: part %d isn't a number", text, i+1)
		}
		numbers[i] = n
	}
	return ItemID{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
