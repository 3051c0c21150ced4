package work

import (
	"fmt"
	"time"
)

const (
	// MaxItems limits the work items of a job, so that a single job can't use up the memory.
	MaxItems = 10000
	// MaxAmount limits each resource of a work item, a worker or a host: 4 million cores, or 4 PiB of memory. Sums of
	// such amounts over all work items and workers don't overflow.
	MaxAmount = int64(1) << 32
	// MaxDuration limits the run times and times left that others declare. Sums of such durations over the steps of a
	// job don't overflow.
	MaxDuration = 24 * time.Hour
	// maxRecurrence limits the time from the first to the last occurrence of a job.
	maxRecurrence = 100 * 365 * 24 * time.Hour
)

// latestTime is the end of the times that others may name.
var latestTime = time.Date(2200, time.January, 1, 0, 0, 0, 0, time.UTC)

// ClampDuration returns d, or the closest duration between 0 and MaxDuration.
func ClampDuration(d time.Duration) time.Duration { return min(max(d, 0), MaxDuration) }

// InRange reports whether each resource is between 0 and MaxAmount.
func (r Resources) InRange() bool {
	for _, amount := range []int64{r.CPUMilli, r.MemoryMiB, r.Accelerators} {
		if amount < 0 || amount > MaxAmount {
			return false
		}
	}
	return true
}

// Normalize clamps the declared durations of the job's steps. They are rough estimates, so a job isn't refused for them.
func (j *Job) Normalize() {
	for n := range j.Steps {
		j.Steps[n].Estimate = ClampDuration(j.Steps[n].Estimate)
		j.Steps[n].TailTarget = ClampDuration(j.Steps[n].TailTarget)
	}
}

// Check returns an error if the job's numbers are out of range or don't fit together.
func (j *Job) Check() error {
	if len(j.Steps) == 0 {
		return fmt.Errorf("job has no step")
	}
	if err := j.Recurrence.check(); err != nil {
		return err
	}
	items := 0
	for number := range j.Steps {
		step := &j.Steps[number]
		if err := step.check(number); err != nil {
			return err
		}
		// Each factor is bounded before the multiplication, which could overflow otherwise.
		if items += step.Count * j.Occurrences(); items > MaxItems {
			return fmt.Errorf("job has more than %d work items", MaxItems)
		}
	}
	return nil
}

// check checks the step, which is the one with the number in its job.
func (s *Step) check(number int) error {
	switch {
	case s.Count < 1 || s.Count > MaxItems:
		return fmt.Errorf("step %d has %d work items: want 1 to %d", number, s.Count, MaxItems)
	case !s.Need.InRange():
		return fmt.Errorf("step %d needs resources out of range: want 0 to %d of each", number, MaxAmount)
	case s.MaxPerHost < 0 || s.MayMiss < 0:
		return fmt.Errorf("step %d has a negative limit", number)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= number {
			return fmt.Errorf("step %d depends on step %d: want a step with a lower number", number, dependency)
		}
	}
	return nil
}

func (r Recurrence) check() error {
	switch {
	case r.Times < 0 || r.Times > MaxItems:
		return fmt.Errorf("job has %d occurrences: want at most %d", r.Times, MaxItems)
	case r.Interval < 0 || r.Interval > maxRecurrence/time.Duration(max(1, r.Times)):
		return fmt.Errorf("interval of %d occurrences is negative, or they take more than %s", r.Times, maxRecurrence)
	case r.First.After(latestTime) || r.First.Before(time.Time{}):
		return fmt.Errorf("first occurrence is due after %s or before year 1", latestTime)
	}
	return nil
}
