package main

import "time"

// lostRecord has the store go down just as a start is sent, so that its record doesn't become durable, and the process that schedules
// killed meanwhile. The minion leaves the start without an answer, crashes later, starts again under its ID, and then carries it out.
func lostRecord(l *lab, trouble bool) error {
	if err := l.open(3, 8); err != nil {
		return err
	}
	const id, other = "5c0e7a21d94b36f8", "77c1e09a52bd4810"
	// The order without an answer is one of many.
	if err := l.submit(other, step{Count: 40, CPU: 2000, MemMb: 64, EstimateMs: 100, work: 100 * time.Millisecond}); err != nil {
		return err
	}
	if err := l.await("the other job is shown as completed", 20*time.Second, func() bool { return l.shown(other) == "completed" }); err != nil {
		return err
	}
	late := make(chan *minion, 1)
	if trouble {
		l.leaves = func(m *minion, call *minionCall) bool {
			if jobOf(call.Task) != id || call.Run != 1 {
				return false
			}
			select {
			case late <- m:
				l.note("the store is down")
				l.store.setBusy(true)
			default:
			}
			return true
		}
	}
	if err := l.submit(id, step{Count: 1, CPU: 2000, MemMb: 256, EstimateMs: 15000, work: 15 * time.Second}); err != nil {
		return err
	}
	if trouble {
		m := <-late
		time.Sleep(100 * time.Millisecond)
		l.killDuty()
		m.crash(6 * time.Second)
		time.Sleep(400 * time.Millisecond)
		l.note("the store is up")
		l.store.setBusy(false)
	}
	return l.await("the job is shown as completed, or a rule was broken", 60*time.Second, func() bool {
		time.Sleep(400 * time.Millisecond)
		return l.isBroken() || l.shown(id) == "completed"
	})
}
