package main

import (
	"fmt"
	"net/http"
	"sort"
	"time"
)

const (
	// largeItems is the number of work items of the large job, and usualItems that of the same job without the
	// disruption.
	largeItems, usualItems = 8000, 800
	// itemWork is the work of each of its items.
	itemWork = 6 * time.Second
	// smallEvery is the interval between small jobs, which are sent before and after the large one for trafficTime.
	smallEvery  = 250 * time.Millisecond
	trafficTime = 45 * time.Second
	largeAt     = 5 * time.Second
	// finishTime and idleTime are the times of the rule LOST: finish_s and 3 s.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

type stepBody map[string]any

// submit hands a job in, with up to four retries at other entries. It returns the status of the last answer.
func (s *scene) submit(id string, steps []stepBody) int {
	status := 0
	for attempt := 0; attempt < 5; attempt++ {
		e := s.fleet.pick()
		status = call(e, http.MethodPost, queuePrefix+id, map[string]any{"spec": "s-" + id, "steps": steps}).status
		s.record.line("client: POST %s to %s, attempt %d: %d", id, e.name, attempt+1, status)
		if status == http.StatusOK || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status
}

// largeJob hands in a job with many work items among small ones, and checks LOST finish_s after the end of the traffic.
func largeJob(s *scene) bool {
	s.open(9, 3)
	count := usualItems
	if s.trouble {
		count = largeItems
	}
	const largeID = "aaaaaaaaaaaaaaaa"
	s.platform.addItem(largeID, itemSpec{need: amount{CPU: 50, MemMb: 16}, work: itemWork, saves: true, total: count + 1})
	results := make(chan [2]any, 1000)
	sent := 0
	began := time.Now()
	largeSent := false
	for time.Since(began) < trafficTime {
		if !largeSent && time.Since(began) > largeAt {
			largeSent = true
			sent++
			go func() {
				results <- [2]any{largeID, s.submit(largeID, []stepBody{{"count": count, "cpu": 50, "memMb": 16, "estimateMs": itemWork.Milliseconds(), "checkpointing": true},
					{"count": 1, "cpu": 50, "memMb": 16, "estimateMs": itemWork.Milliseconds(), "dependsOn": []int{0}}})}
			}()
		}
		id := fmt.Sprintf("%016x", 0xb000000000000000+uint64(sent))
		s.platform.addItem(id, itemSpec{need: amount{CPU: 3500, MemMb: 256}, work: 800 * time.Millisecond, total: 12})
		sent++
		go func() {
			results <- [2]any{id, s.submit(id, []stepBody{{"count": 6, "cpu": 3500, "memMb": 256, "estimateMs": 800},
				{"count": 6, "cpu": 3500, "memMb": 256, "estimateMs": 800, "dependsOn": []int{0}}})}
		}()
		time.Sleep(smallEvery)
	}
	var accepted []string
	statuses := map[int]int{}
	for range sent {
		r := <-results
		statuses[r[1].(int)]++
		if r[1].(int) == http.StatusOK {
			accepted = append(accepted, r[0].(string))
		}
	}
	sort.Strings(accepted)
	s.record.line("%d jobs sent, final statuses %v, %d accepted", sent, statuses, len(accepted))
	if len(accepted) == 0 || accepted[0] != largeID {
		fatal("the job with many work items wasn't accepted")
	}
	time.Sleep(finishTime)
	return s.finished(accepted)
}

// finished checks the end of LOST: each accepted job is known and answered for, and none of which work items haven't ended
// done has nothing running for idleTime while there is room for it twice over and less than half of the pool's capacity is
// in use. Steps depend on earlier ones only, so that the turn of a work item has come if nothing runs.
func (s *scene) finished(accepted []string) bool {
	idle := map[string]int{}
	looks := 0
	for began := time.Now(); time.Since(began) < idleTime+500*time.Millisecond; time.Sleep(250 * time.Millisecond) {
		looks++
		used, capacity := s.platform.usedCPU(queuePool)
		for _, id := range accepted {
			s.platform.mu.Lock()
			waits := s.platform.running[id] == 0 && s.platform.done[id] < s.platform.items[id].total
			s.platform.mu.Unlock()
			if waits && 2*used < capacity && s.roomTwice(id) {
				idle[id]++
			}
		}
	}
	broken := 0
	for _, id := range accepted {
		a := answer{}
		for attempt := 0; attempt < 3 && a.status != http.StatusOK && a.status != http.StatusGone; attempt++ {
			a = call(s.fleet.pick(), http.MethodGet, queuePrefix+id, nil)
		}
		s.platform.mu.Lock()
		starts, done, total := s.platform.starts[id], s.platform.done[id], s.platform.items[id].total
		s.platform.mu.Unlock()
		ok := a.status == http.StatusOK && (a.state == "completed" || a.state == "failed" || idle[id] < looks)
		if !ok {
			broken++
		}
		s.record.line("at the end: job %s: status %d, state %q, %d starts, %d of %d work items done, idle in %d of %d looks, ok %v", id, a.status, a.state, starts, done, total, idle[id], looks, ok)
	}
	s.record.line("%d of %d accepted jobs break LOST; the store refused %d appends", broken, len(accepted), s.platform.store.refused)
	return broken == 0
}
