package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// groupedJob returns a job of two steps, the first of which has several groups of work items.
func (s *sim) groupedJob(n int) *work.Job {
	job := &work.Job{ID: fmt.Sprintf("%016x", 0x9100+n), Queue: s.config.Queues[0], Customer: "clips", Spec: "spec"}
	for step, count := range []int{2*groupItems + s.rng.IntN(groupItems), 10 + s.rng.IntN(10)} {
		def := work.Step{Count: count, Need: work.Resources{CPUMilli: 60, MemoryMiB: 8}, Estimate: time.Duration(200+s.rng.IntN(500)) * time.Millisecond}
		if step > 0 {
			def.After = []int{0}
		}
		job.Steps = append(job.Steps, def)
	}
	return job
}

// Guards against work items that are lost or run twice when a term ends between two records of a job: only some groups of
// its items are durable then.
func TestTermEndsBetweenTheRecordsOfAJob(t *testing.T) {
	runSeeds(t, 6, func(s *sim) {
		s.tornAppends, s.lostResponseShare, s.failedRunShare = true, 0.02, 0.01
		s.advance(time.Second)
		for n := range 12 {
			s.submit(s.groupedJob(n))
			s.advance(time.Duration(30+s.rng.IntN(100)) * simTickTime)
			s.leader().ended = true
			s.takeOver()
		}
		s.lostResponseShare = 0
		s.advance(60 * time.Second)
		s.checkAcceptedJobs()
	})
}

// Guards against a change of one work item that writes the whole job, and against groups that stay in the log after their
// job.
func TestOnlyChangedGroupsAreWritten(t *testing.T) {
	tc := newTestCore(1)
	id := tc.addWorker(0, 64)
	stored := map[string][]byte{}
	commit := func() (keys []string) {
		for range 2 {
			batch := tc.Collect()
			for _, record := range batch.Records {
				keys = append(keys, record.Key)
				if stored[record.Key] = record.Value; record.Value == nil {
					delete(stored, record.Key)
				}
			}
			tc.Committed(&batch)
		}
		return keys
	}
	const groups = 4
	step := work.Step{Count: groups * groupItems, Need: work.Resources{CPUMilli: 1}, Estimate: time.Second}
	tc.Submit(&work.Job{ID: "job", Queue: tc.config.Queues[0], Steps: []work.Step{step}}, make(chan Outcome, 1))
	commit()
	assert.Equal(t, len(stored), 2+groups)
	var ends []infra.EndedRun
	for n, i := range tc.jobs["job"].steps[0].items {
		ends = append(ends, infra.EndedRun{Sequence: int64(n + 1), Item: i.id(), Run: i.run, Cause: infra.EndDone})
	}
	tc.ApplyReport(id, infra.WorkerReport{ClockMs: 2000, Ended: ends[:1]}, tc.now)
	assert.DeepEqual(t, commit(), []string{groupKey("job", 0), progressPrefix + "job"})
	tc.ApplyReport(id, infra.WorkerReport{ClockMs: 2000, Ended: ends}, tc.now)
	commit()
	assert.DeepEqual(t, slices.Sorted(maps.Keys(stored)), []string{definitionPrefix + "job", progressPrefix + "job"})
	tc.now += 2 * simOptions().EndedJobRetention
	commit()
	assert.Equal(t, len(stored), 0)
}

// Guards against work items that start again because their records were written by a revision that doesn't know groups.
func TestRecordsWithoutGroupsAreRead(t *testing.T) {
	first := newTestCore(1)
	first.addWorker(0, 64)
	def := &work.Job{ID: "job", Queue: first.config.Queues[0], Accepted: first.wallClock(), Steps: []work.Step{{Count: 3 * groupItems, Need: work.Resources{CPUMilli: 1}}}}
	definition, err := cbor.Marshal(def)
	assert.NilError(t, err)
	progress := progressRecord{Begun: true}
	for index := range def.Steps[0].Count {
		progress.Items = append(progress.Items, itemRecord{Index: index, State: itemDone, Run: 1})
	}
	progress.Items = progress.Items[1:]
	value, err := cbor.Marshal(progress)
	assert.NilError(t, err)
	records := []infra.Record{{Key: definitionPrefix + "job", Value: definition}, {Key: progressPrefix + "job", Value: value}}

	second := newTestCore(2)
	second.Load(slices.Clone(records))
	j := second.jobs["job"]
	assert.Equal(t, j.steps[0].countInState(itemDone), 3*groupItems-1)
	second.markItemDirty(j.itemAt(0, 0, 0))
	batch := second.Collect()
	// The record without groups is still there if the term ends after the first of the groups.
	third := newTestCore(3)
	third.Load(append(slices.Clone(records), batch.Records[0]))
	assert.Equal(t, third.jobs["job"].steps[0].countInState(itemDone), 3*groupItems-1)
	fourth := newTestCore(4)
	fourth.Load(append(slices.Clone(records[:1]), batch.Records...))
	assert.Equal(t, fourth.jobs["job"].steps[0].countInState(itemDone), 3*groupItems-1)
}

// Guards against a record of a job that exceeds the limit of the log because of long checkpoints, and against short
// checkpoints that are left out for no reason.
func TestRecordsStayWithinTheLimit(t *testing.T) {
	const limit = 40 << 10
	for _, length := range []int{0, 16, 100, 1000, 20000} {
		for _, count := range []int{groupItems, 5 * groupItems} {
			tc := newTestCore(1)
			tc.options.MaxRecordBytes = limit
			tc.addWorker(0, 64)
			tc.submit("job", "big", work.Step{Count: count, Need: work.Resources{CPUMilli: 1}})
			j := tc.jobs["job"]
			for _, i := range j.allItems() {
				i.checkpoint = strings.Repeat("c", length)
				tc.markItemDirty(i)
			}
			j.steps[0].items[0].checkpoint = "short"
			batch := tc.Collect()
			for _, record := range batch.Records {
				assert.Assert(t, record.Size() <= limit, "record %s has %d bytes", record.Key, record.Size())
			}
			second := newTestCore(2)
			definition, err := cbor.Marshal(j.def)
			assert.NilError(t, err)
			second.Load(append(batch.Records, infra.Record{Key: definitionPrefix + "job", Value: definition}))
			items := second.jobs["job"].steps[0].items
			assert.Equal(t, items[0].checkpoint, "short")
			if length <= 100 {
				assert.Equal(t, len(items[1].checkpoint), length)
			}
		}
	}
}

// Guards against the acceptance of a job whose definition the log never accepts, and against a job that runs although its
// caller was told that it never does.
func TestJobThatCantBeStoredIsRejected(t *testing.T) {
	tc := newTestCore(1)
	tc.options.MaxRecordBytes = 2000
	tc.addWorker(0, 8)
	step := work.Step{Count: 1, Need: work.Resources{CPUMilli: 1}}
	long := step
	long.Image = strings.Repeat("i", 2000)
	assert.Equal(t, tc.submit("long", "big", long).Kind, OutcomeInvalid)
	assert.Equal(t, len(startedOn(tc.commit())), 0)
	assert.Equal(t, tc.submit("short", "big", step).Kind, OutcomeDone)
}

// Guards against a record that the log refuses for another reason than its length: it must cost its own job alone, and the
// callers of that job must not be told that it never ran if it did.
func TestRejectedRecordFailsItsOwnJob(t *testing.T) {
	for _, prefix := range []string{definitionPrefix, progressPrefix} {
		tc := newTestCore(1)
		id := tc.addWorker(0, 8)
		waiters := map[string]chan Outcome{}
		for _, job := range []string{"bad", "good"} {
			waiters[job] = make(chan Outcome, 1)
			tc.Submit(&work.Job{ID: job, Queue: tc.config.Queues[0], Steps: []work.Step{{Count: 1, Need: work.Resources{CPUMilli: 1}}}}, waiters[job])
		}
		commit := func() {
			batch := tc.Collect()
			var rejected []infra.Record
			for _, record := range batch.Records {
				if record.Key == prefix+"bad" && !(prefix == progressPrefix && tc.jobs["bad"].unrecordable) {
					rejected = append(rejected, record)
				}
			}
			tc.Committed(&batch, rejected...)
		}
		commit()
		assert.Equal(t, (<-waiters["good"]).Kind, OutcomeDone)
		outcome, state := <-waiters["bad"], JobState("")
		if prefix == definitionPrefix {
			assert.Equal(t, outcome.Kind, OutcomeInvalid)
			again := make(chan Outcome, 1)
			tc.Submit(&work.Job{ID: "bad", Queue: tc.config.Queues[0], Steps: []work.Step{{Count: 1}}}, again)
			assert.Equal(t, (<-again).Kind, OutcomeInvalid)
		} else {
			assert.Equal(t, outcome.Kind, OutcomeUnknown)
			state = JobFailed
		}
		commit()
		seen, _ := tc.State("bad")
		assert.Equal(t, seen, state)
		good := tc.jobs["good"].steps[0].items[0]
		assert.Equal(t, good.worker.entry.ID, id)
		assert.Assert(t, tc.jobs["bad"].steps[0].items[0].worker == nil)
		tc.ApplyReport(id, infra.WorkerReport{ClockMs: 2000, Ended: []infra.EndedRun{{Sequence: 1, Item: good.id(), Run: good.run, Cause: infra.EndDone}}}, tc.now)
		commit()
		assert.Equal(t, tc.BuildRenewal(id, tc.now).AckedEnd, int64(1))
	}
}
