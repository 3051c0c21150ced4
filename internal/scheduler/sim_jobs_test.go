package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"turmericyoke/internal/work"
)

// sortedRuns returns the IDs of the items that run, sorted.
func (w *simWorker) sortedRuns() []work.ItemID {
	return slices.SortedFunc(maps.Keys(w.running), work.ItemID.Compare)
}

// randomJob returns a job of one to three steps that run one after the other.
func (s *sim) randomJob(n int) *work.Job {
	job := &work.Job{ID: fmt.Sprintf("%016x", n), Queue: s.config.Queues[0], Customer: "clips", Spec: "spec"}
	for step := range 1 + s.rng.IntN(3) {
		def := work.Step{Count: 1 + s.rng.IntN(4), Need: work.Resources{CPUMilli: int64(500 + s.rng.IntN(2500)), MemoryMiB: 256},
			Estimate: time.Duration(200+s.rng.IntN(900)) * time.Millisecond}
		if step > 0 {
			def.After = []int{step - 1}
		}
		job.Steps = append(job.Steps, def)
	}
	return job
}

// wideJob returns a job of two steps of small items, as a queue of short clips has them.
func (s *sim) wideJob(n int) *work.Job {
	job := &work.Job{ID: fmt.Sprintf("%016x", 0xc000+n), Queue: s.config.Queues[0], Customer: "clips", Spec: "spec"}
	for step := range 2 {
		def := work.Step{Count: 6 + s.rng.IntN(10), Need: work.Resources{CPUMilli: int64(200 + s.rng.IntN(400)), MemoryMiB: 128},
			Estimate: time.Duration(300+s.rng.IntN(600)) * time.Millisecond}
		if step > 0 {
			def.After = []int{step - 1}
		}
		job.Steps = append(job.Steps, def)
	}
	return job
}
