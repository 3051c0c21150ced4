package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	// earlyTime is early_ms, and powerTime how long the killed process stays away.
	earlyTime = 250 * time.Millisecond
	powerTime = 3500 * time.Millisecond
	// killAt is when the process is killed, and firstDueAfter when the first occurrence is due, after the job was accepted.
	killAt        = 2 * time.Second
	firstDueAfter = 15 * time.Second
	occurrences   = 8
	interval      = 2 * time.Second
)

// leader returns the process that schedules by its own log; nil if none does.
func (f *fleet) leader() *entryProcess {
	var found *entryProcess
	last := ""
	for _, e := range f.entries {
		log, err := os.ReadFile(filepath.Join(f.dir, e.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(log)) {
			if _, term, ok := strings.Cut(line, " term="); ok && strings.Contains(line, "event=term_open") {
				if term, _, _ = strings.Cut(term, " "); len(term) > len(last) || len(term) == len(last) && term > last {
					found, last = e, term
				}
			}
		}
	}
	return found
}

// timedJob hands in a job with occurrences, kills the process that schedules, and checks ORDER.
func timedJob(s *scene) bool {
	s.open(6, 0)
	const id = "ffffffffffffff01"
	s.platform.addItem(id, itemSpec{need: amount{CPU: 1000, MemMb: 256}, work: 300 * time.Millisecond})
	// The first occurrence is due 900 ms after a full second.
	first := time.Now().Add(firstDueAfter).Truncate(time.Second).Add(900 * time.Millisecond)
	body := map[string]any{"spec": "s-" + id, "repeatCount": occurrences, "firstMs": first.UnixMilli(), "intervalMs": interval.Milliseconds(),
		"steps": []stepBody{{"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 300}}}
	status := call(s.fleet.pick(), http.MethodPost, queuePrefix+id, body).status
	s.record.line("client: POST %s, first due at Unix %d ms: %d", id, first.UnixMilli(), status)
	if status != http.StatusOK {
		fatal("the job wasn't accepted: %d", status)
	}
	time.Sleep(killAt)
	if s.trouble {
		leader := s.fleet.leader()
		if leader == nil {
			fatal("no process schedules")
		}
		s.record.line("process %s schedules", leader.name)
		s.fleet.kill(leader)
		time.AfterFunc(powerTime, func() { s.fleet.start(leader) })
	}
	time.Sleep(time.Until(first.Add(occurrences*interval + 3*time.Second)))
	s.platform.mu.Lock()
	defer s.platform.mu.Unlock()
	broken, starts := 0, 0
	for _, begun := range s.platform.begun {
		k, err := strconv.Atoi(strings.Split(begun.task, ".")[1])
		if err != nil || jobOf(begun.task) != id {
			continue
		}
		starts++
		early := first.Add(time.Duration(k) * interval).Sub(begun.at)
		if early > earlyTime {
			broken++
		}
		s.record.line("occurrence %d (%s run %d) began %d ms before its time", k, begun.task, begun.number, early.Milliseconds())
	}
	if starts < occurrences {
		fatal("only %d of %d occurrences began", starts, occurrences)
	}
	s.record.line("%d of %d starts came more than early_ms before their time", broken, starts)
	return broken == 0
}
