package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

const (
	// decideTime and eachTime are decideMs and eachMs of the queue's advice; validTime is validMs.
	decideTime = 3 * time.Millisecond
	eachTime   = time.Millisecond
	validTime  = 5 * time.Second
	// maxAdviceCalls is the number of waiting calls from which on the service answers 429.
	maxAdviceCalls = 32
	advisedJobs    = 20
)

// adviser is the service that knows which minions may run the steps of a queue.
type adviser struct {
	platform *platform
	// permissive grants every minion.
	permissive bool

	turn sync.Mutex
	mu   sync.Mutex
	// waiting is the number of calls that wait for their turn.
	waiting       int
	calls         int
	asked, denied map[string]int
}

// allows reports whether the policy allows the minion to run the step: about half of the minions are allowed. It doesn't
// change.
func (a *adviser) allows(step, minion string) bool {
	if a.permissive {
		return true
	}
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, step, "/", minion)
	return hash.Sum32()/7919%2 == 0
}

func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	if a.waiting >= maxAdviceCalls {
		a.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	a.mu.Unlock()
	a.turn.Lock()
	time.Sleep(decideTime + time.Duration(len(body.Workers))*eachTime)
	a.turn.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
	a.calls++
	granted := [][2]string{}
	for _, minion := range body.Workers {
		a.asked[body.Step]++
		if a.allows(body.Step, minion) {
			granted = append(granted, [2]string{minion, "t-" + body.Step + "-" + minion})
			continue
		}
		if a.denied[body.Step]++; a.denied[body.Step] <= 3 {
			a.platform.record.line("advice: %s isn't granted for step %s", minion, body.Step)
		}
	}
	reply(w, http.StatusOK, map[string]any{"granted": granted, "validMs": validTime.Milliseconds()})
}

// advisedQueue hands in jobs of a queue whose policy allows only some minions to run a step, and checks LOST finish_s after
// the end of the traffic.
func advisedQueue(s *scene) bool {
	a := &adviser{platform: s.platform, permissive: !s.trouble, asked: map[string]int{}, denied: map[string]int{}}
	s.platform.adviser, s.platform.adviceAddr = a, serveOn(a)
	s.open(6, 0)
	var accepted []string
	for n := range advisedJobs {
		id := fmt.Sprintf("%016x", 0xe000000000000000+uint64(n))
		s.platform.addItem(id, itemSpec{need: amount{CPU: 3500, MemMb: 256}, work: 800 * time.Millisecond, total: 6})
		if status := s.submit(id, []stepBody{{"count": 6, "cpu": 3500, "memMb": 256, "estimateMs": 800}}); status == http.StatusOK {
			accepted = append(accepted, id)
		}
		time.Sleep(time.Second)
	}
	if len(accepted) < advisedJobs/2 {
		fatal("only %d jobs were accepted", len(accepted))
	}
	time.Sleep(finishTime)
	held := s.finished(accepted)
	a.mu.Lock()
	defer a.mu.Unlock()
	s.record.line("advice: %d calls", a.calls)
	return held
}

// roomTwice reports whether the minions that the queue's policy allows have room for twice the work item, or twice its
// gang.
func (s *scene) roomTwice(job string) bool {
	room := int64(0)
	item := s.platform.itemOf(job + ".0.0.0")
	for _, m := range s.platform.minions(queuePool) {
		if a := s.platform.adviser; a != nil && !a.allows(job+".0.0", m.id) {
			continue
		}
		m.mu.Lock()
		room += (minionCapacity.CPU - m.used().CPU) / item.need.CPU
		m.mu.Unlock()
	}
	return room >= int64(2*max(1, item.gang))
}
