package main

import (
	"net/http"
	"time"
)

// lateStart has a minion leave a start without an answer, crash, start again under its ID, and then carry the start out. The
// process that schedules is killed while the minion is down.
func lateStart(l *lab, trouble bool) error {
	if err := l.open(3, 8); err != nil {
		return err
	}
	const id, other = "5c0e7a21d94b36f8", "77c1e09a52bd4810"
	// The orders without an answer are few of all.
	if err := l.submit(other, step{Count: 120, CPU: 2000, MemMb: 64, EstimateMs: 100, work: 100 * time.Millisecond}); err != nil {
		return err
	}
	if err := l.await("the other job is shown as completed", 20*time.Second, func() bool {
		_, state := l.call(l.entries[0], http.MethodGet, other, nil)
		return state == "completed"
	}); err != nil {
		return err
	}
	var late *minion
	if trouble {
		l.leaves = func(m *minion, call *minionCall) bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			if late == nil {
				late = m
			}
			return late == m && call.Run == 1
		}
	}
	if err := l.submit(id, step{Count: 1, CPU: 2000, MemMb: 256, EstimateMs: 15000, work: 15 * time.Second}); err != nil {
		return err
	}
	if err := l.await("the work item runs", 10*time.Second, func() bool { return l.runningOf(id) == 1 }); err != nil {
		return err
	}
	if trouble {
		time.Sleep(time.Second)
		late.crash(4400 * time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		l.killDuty()
	}
	return l.await("the job is shown as completed, or a rule was broken", 60*time.Second, func() bool {
		time.Sleep(400 * time.Millisecond)
		return l.isBroken() || l.shown(id) == "completed"
	})
}
