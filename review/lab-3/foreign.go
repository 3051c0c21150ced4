package main

import (
	"fmt"
	"net/http"
	"time"
)

// foreignEntry has another writer replace the entry of a minion at work by one with a service that no config names. The
// minion lives on, holds its leases, and writes its own entry again at its next heartbeat.
func foreignEntry(l *lab, trouble bool) error {
	if err := l.open(3, 6); err != nil {
		return err
	}
	const id, items = "5c0e7a21d94b36f8", 6
	if err := l.submit(id, step{Count: items, CPU: 2000, MemMb: 256, EstimateMs: 15000, work: 15 * time.Second}); err != nil {
		return err
	}
	if err := l.await("all work items run", 10*time.Second, func() bool { return l.runningOf(id) == items }); err != nil {
		return err
	}
	// The minions' lists of runs have shown them by then.
	time.Sleep(2 * time.Second)
	if trouble {
		address, err := listen(http.NotFoundHandler())
		if err != nil {
			return err
		}
		target := l.busiest()
		if target == nil {
			return fmt.Errorf("no minion is at work")
		}
		l.note("another writer writes servers/%s with a service that isn't named", target.id)
		l.store.put("keyed.servers", target.id, map[string]any{"service": "print-desk", "address": address, "zone": target.zone, "version": "7", "slots": 4, "state": "ready",
			"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(), "capacity": map[string]int64{"cpu": 8000, "memMb": 16384}, "labels": []string{"p", "r9"}})
	}
	return l.await("the job is shown as completed", 40*time.Second, func() bool {
		time.Sleep(400 * time.Millisecond)
		_, state := l.call(l.entries[0], http.MethodGet, id, nil)
		return state == "completed"
	})
}

// busiest returns the minion with the most runs, or nil if there are none.
func (l *lab) busiest() *minion {
	var best *minion
	most := 0
	for _, m := range l.minions {
		m.mu.Lock()
		if n := len(m.running); n > most {
			best, most = m, n
		}
		m.mu.Unlock()
	}
	return best
}
