package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// failedTwice has two runs of a work item fail, of three that may. The first does so on a minion that is cut off, after the
// process that schedules was killed. Without the trouble the two runs fail on minions that can be reached.
func failedTwice(l *lab, trouble bool) error {
	if err := l.open(3, 8); err != nil {
		return err
	}
	const id = "5c0e7a21d94b36f8"
	const task = id + ".0.0.0"
	var starts atomic.Int64
	l.fails = func(_ *minion, call *minionCall) bool { return call.Task == task && starts.Add(1) <= 2 }
	if err := l.submit(id, step{Count: 1, CPU: 2000, MemMb: 256, EstimateMs: 4000, work: 4 * time.Second},
		step{Count: 1, CPU: 2000, MemMb: 256, EstimateMs: 500, work: 500 * time.Millisecond}); err != nil {
		return err
	}
	if err := l.await("the work item runs", 10*time.Second, func() bool { return l.minionOf(task) != nil }); err != nil {
		return err
	}
	if trouble {
		time.Sleep(time.Second)
		l.minionOf(task).cutOff(10 * time.Second)
		l.killDuty()
	}
	state := ""
	err := l.await("the job is shown as completed or failed", 60*time.Second, func() bool {
		time.Sleep(400 * time.Millisecond)
		state = l.shown(id)
		return state == "completed" || state == "failed"
	})
	if state == "failed" {
		l.breach("LOST", "the job is shown as failed after %d runs, of which two failed and three may fail", starts.Load())
	}
	if err == nil && starts.Load() < 2 {
		return fmt.Errorf("the job ended after %d runs", starts.Load())
	}
	return err
}
