package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// greyTime is how long one minion refuses starts, and pendingAge how long a job has been accepted before it must be
	// counted: visible_ms and 2 s.
	greyTime   = 6500 * time.Millisecond
	pendingAge = 5 * time.Second
	waitingFew = 3
)

// pendingJobs hands in a few jobs while the only minion with room refuses starts, and asks how many jobs are pending.
func pendingJobs(s *scene) bool {
	s.open(7, 0)
	const lastingID = "cccccccccccccccc"
	s.platform.addItem(lastingID, itemSpec{need: amount{CPU: 64000, MemMb: 1024}, lasts: true})
	if status := s.submit(lastingID, []stepBody{{"count": 6, "cpu": 64000, "memMb": 1024, "estimateMs": 500, "longRunning": true, "mayMiss": 1}}); status != http.StatusOK {
		fatal("the job that lasts wasn't accepted: %d", status)
	}
	for began := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		s.platform.mu.Lock()
		running := s.platform.running[lastingID]
		s.platform.mu.Unlock()
		if running == 6 {
			break
		}
		if time.Since(began) > 10*time.Second {
			fatal("the job that lasts doesn't run")
		}
	}
	time.Sleep(2 * time.Second)
	for _, m := range s.platform.minions(queuePool) {
		m.mu.Lock()
		if len(m.running) == 0 && s.trouble {
			m.refuseUntil = time.Now().Add(greyTime)
			s.record.line("minion %s refuses starts for %s", m.id, greyTime)
		}
		m.mu.Unlock()
	}
	var jobs []string
	for n := range waitingFew {
		id := fmt.Sprintf("%016x", 0xd000000000000000+uint64(n))
		s.platform.addItem(id, itemSpec{need: amount{CPU: 3500, MemMb: 256}, work: 800 * time.Millisecond})
		if status := s.submit(id, []stepBody{{"count": 6, "cpu": 3500, "memMb": 256, "estimateMs": 800}}); status != http.StatusOK {
			fatal("a job wasn't accepted: %d", status)
		}
		jobs = append(jobs, id)
	}
	lastAccepted := time.Now()
	held := true
	for time.Since(lastAccepted) < pendingAge+1200*time.Millisecond {
		if time.Since(lastAccepted) > pendingAge+100*time.Millisecond {
			e := s.fleet.pick()
			unstarted := s.unstarted(jobs)
			a := call(e, http.MethodGet, queuePrefix, nil)
			after := s.unstarted(jobs)
			s.record.line("client: GET %s at %s: %d, pending %d; jobs accepted over %s before without a start: %d before the call, %d after", queuePrefix, e.name, a.status, a.pending, pendingAge, unstarted, after)
			if a.status == http.StatusOK && 2*a.pending < min(unstarted, after) {
				held = false
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return held
}

// unstarted returns how many of the jobs have had no start.
func (s *scene) unstarted(jobs []string) int {
	s.platform.mu.Lock()
	defer s.platform.mu.Unlock()
	n := 0
	for _, id := range jobs {
		if s.platform.starts[id] == 0 {
			n++
		}
	}
	return n
}
