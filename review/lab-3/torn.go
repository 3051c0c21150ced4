package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// tornRecords has the process that schedules killed right after one of its appends, the first of two that hold the records of one
// batch: the changed records of a job with many occurrences, whose work items save their progress, take more than a MiB.
func tornRecords(l *lab, trouble bool) error {
	if err := l.open(3, 6); err != nil {
		return err
	}
	const id, occurrences, steps, width = "5c0e7a21d94b36f8", 8, 5, 30
	due := recurrence{first: time.Now().Add(2 * time.Second), interval: time.Second, times: occurrences}
	if trouble {
		l.killWriterBetween(id)
	}
	var defs []step
	for range steps {
		defs = append(defs, step{Count: width, CPU: 250, MemMb: 64, EstimateMs: 6000, Checkpointing: true, work: 4 * time.Second, spread: 4 * time.Second})
	}
	if err := l.submitRecurring(id, due, defs...); err != nil {
		return err
	}
	return l.await("the job is shown as completed, or a rule was broken", 90*time.Second, func() bool {
		time.Sleep(time.Second)
		_, state := l.call(l.entries[2], http.MethodGet, id, nil)
		return state == "completed" || l.isBroken()
	})
}

// killWriterBetween kills the process that writes the records of the job, once: after an append that has a shorter record of a
// group of its work items, but not the record of the job's progress, which is in the next append.
func (l *lab) killWriterBetween(id string) {
	lengths, killed := map[string]int{}, false
	l.store.onAppend = func(topic string, records []record) {
		if topic == "keyed.jobs" {
			shorter, progress, bytes := "", false, 0
			for _, r := range records {
				bytes += len(r.value)
				switch {
				case r.key == "p/"+id:
					progress, shorter = true, ""
				case strings.HasPrefix(r.key, "g/"+id+"/"):
					if len(r.value) > 0 && len(r.value)+1000 < lengths[r.key] {
						shorter = fmt.Sprintf("%s has %d bytes after %d", r.key, len(r.value), lengths[r.key])
					}
					lengths[r.key] = len(r.value)
				}
			}
			l.note("append of %d records, %d bytes, progress %t, %s", len(records), bytes, progress, shorter)
			if writer := l.onDuty(); shorter != "" && writer != nil && !killed {
				killed = true
				l.signal(writer, syscall.SIGKILL)
			}
		}
	}
}
