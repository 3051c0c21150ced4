package main

import (
	"net/http"
	"time"
)

// emptyStep submits a job whose second step has no work items. Its count is 0, and fields whose value is 0 are omitted.
// Without the trouble, the job has its first step only.
func emptyStep(l *lab, trouble bool) error {
	if err := l.open(3, 6); err != nil {
		return err
	}
	const id = "5c0e7a21d94b36f8"
	steps := []step{{Count: 2, CPU: 2000, MemMb: 256, EstimateMs: 1000, work: time.Second}}
	if trouble {
		steps = append(steps, step{CPU: 2000, MemMb: 256, EstimateMs: 1000, DependsOn: []int{0}, work: time.Second})
	}
	if err := l.submit(id, steps...); err != nil {
		return err
	}
	return l.await("the job is shown as completed", 20*time.Second, func() bool {
		time.Sleep(400 * time.Millisecond)
		_, state := l.call(l.entries[0], http.MethodGet, id, nil)
		return state == "completed"
	})
}
