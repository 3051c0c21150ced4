package scheduler

import (
	"bytes"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// oddItemIDs returns IDs of work items that the job, which has two steps, doesn't have. The position of the first
// overflows to a negative one.
func oddItemIDs(job string) []work.ItemID {
	return []work.ItemID{{Job: job, Occurrence: math.MaxInt/2 + 1}, {Job: job, Occurrence: math.MaxInt}, {Job: job, Occurrence: -1},
		{Job: job, Step: -1}, {Job: job, Step: math.MaxInt}, {Job: job, Index: -1}, {Job: job, Index: math.MaxInt}}
}

// Guards against a report of one worker that ends the process: the number of an occurrence overflowed, and the lookup
// of its step panicked.
func TestReportOfAnItemOutOfRange(t *testing.T) {
	tc := newTestCore(1)
	id := tc.addWorker(1, 8)
	step := work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}}
	tc.submit("job", "", step, step)
	for n, item := range oddItemIDs("job") {
		tc.ApplyReport(id, infra.WorkerReport{ClockMs: 1000, Running: []infra.ActiveRun{{Item: item, Run: 1}},
			Ended: []infra.EndedRun{{Sequence: int64(n + 1), Item: item, Run: 1, Cause: infra.EndDone}}}, tc.now)
	}
	assert.Equal(t, tc.jobs["job"].completed, false)
}

// Guards against a report of one worker that ends the process: a metric's label must be valid UTF-8, and a cause that
// isn't panicked. Causes that the platform doesn't define share one label, so that their number is bounded.
func TestReportOfAnUnknownEndCause(t *testing.T) {
	tc := newTestCore(1)
	tc.metrics = NewMetrics(prometheus.NewRegistry())
	id := tc.addWorker(1, 8)
	tc.submit("job", "", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}})
	for n, cause := range []infra.EndCause{"\xff", "odd\n", ""} {
		tc.commit()
		item := tc.jobs["job"].itemAt(0, 0, 0)
		assert.Equal(t, item.state, itemPlaced)
		tc.ApplyReport(id, infra.WorkerReport{ClockMs: 1000, Ended: []infra.EndedRun{{Sequence: int64(n + 1), Item: item.id(), Run: item.run, Cause: cause}}}, tc.now)
	}
	assert.Equal(t, testutil.ToFloat64(tc.metrics.ends.WithLabelValues(unknownCause)), 3.0)
	assert.Equal(t, testutil.CollectAndCount(tc.metrics.ends), 1)
}

// oddRecords returns records of another writer: definitions that can't be kept in memory or name things that don't
// exist, and progress out of range of the job "good".
func oddRecords(t testing.TB) []infra.Record {
	step := work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}}
	odd := func(change func(*work.Job)) work.Job {
		def := work.Job{ID: "odd", Steps: []work.Step{step, step}}
		change(&def)
		return def
	}
	var records []infra.Record
	add := func(key string, value any) {
		encoded, err := cbor.Marshal(value)
		assert.NilError(t, err)
		records = append(records, infra.Record{Key: key, Value: encoded})
	}
	for n, def := range []work.Job{
		odd(func(def *work.Job) { def.Steps = nil }),
		odd(func(def *work.Job) { def.Steps[1].Count = math.MaxInt }),
		odd(func(def *work.Job) { def.Steps[1].Count = -1 }),
		odd(func(def *work.Job) { def.Steps[1].Count = work.MaxItems }),
		odd(func(def *work.Job) { def.Recurrence.Times = math.MaxInt }),
		odd(func(def *work.Job) { def.Recurrence = work.Recurrence{Times: 3, Interval: math.MaxInt64} }),
		odd(func(def *work.Job) { def.Steps[1].Need.CPUMilli = math.MaxInt64 }),
		odd(func(def *work.Job) { def.Steps[1].Need.CPUMilli = -1 }),
		odd(func(def *work.Job) { def.Steps[1].After = []int{1} }),
		odd(func(def *work.Job) { def.Steps[1].MaxPerHost = -1 }),
		odd(func(def *work.Job) { def.ID = "good" }),
	} {
		key := "odd"
		if def.ID == "odd" {
			key = fmt.Sprint("odd-", n)
			def.ID = key
		}
		add(definitionPrefix+key, def)
	}
	progress := progressRecord{Items: []itemRecord{{State: itemPlaced, Run: 1}}}
	for _, id := range oddItemIDs("good") {
		progress.Items = append(progress.Items, itemRecord{Occurrence: id.Occurrence, Step: id.Step, Index: id.Index, State: itemDone, Run: math.MaxInt64, Worker: "w"})
		progress.Crashes = append(progress.Crashes, crashRecord{Occurrence: id.Occurrence, Step: id.Step, Index: id.Index, Known: -1})
	}
	add(progressPrefix+"good", progress)
	return append(records, infra.Record{Key: definitionPrefix + "deep", Value: bytes.Repeat([]byte{0x81}, 20000)},
		infra.Record{Key: progressPrefix + "bytes", Value: []byte{0xff}}, infra.Record{Key: definitionPrefix, Value: []byte{}}, infra.Record{Key: "\xff", Value: []byte{1}})
}

// Guards against a record of another writer among those of the jobs that ends each process that loads it, or that costs
// other jobs: it is skipped, and the other jobs are loaded and run.
func TestOddJobRecordsAreSkipped(t *testing.T) {
	tc := newTestCore(2)
	def := &work.Job{ID: "good", Queue: tc.config.Queues[0], Steps: []work.Step{{Count: 1, Need: work.Resources{CPUMilli: 1000}}}}
	value, err := cbor.Marshal(def)
	assert.NilError(t, err)
	tc.Load(append(oddRecords(t), infra.Record{Key: definitionPrefix + "good", Value: value}))
	assert.Equal(t, len(tc.jobs), 1)
	assert.Equal(t, len(tc.workers), 0, "a placement without a worker has added one")
	tc.addWorker(1, 8)
	tc.now += time.Minute
	tc.ApplyReport("worker-1", infra.WorkerReport{ClockMs: 61000}, tc.now)
	tc.commit()
	assert.Equal(t, tc.jobs["good"].itemAt(0, 0, 0).state, itemPlaced)
}

// FuzzLoad checks that no record of the topic of jobs makes a term panic, and that the jobs it loads are in range.
func FuzzLoad(f *testing.F) {
	for _, record := range oddRecords(f) {
		f.Add(record.Key, record.Value)
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		tc := newTestCore(2)
		records := []infra.Record{{Key: key, Value: value}}
		tc.LoadHostRecords(records)
		tc.Load(records)
		for id, job := range tc.jobs {
			assert.Equal(t, job.def.ID, id)
			assert.NilError(t, job.def.Check())
		}
		tc.commit()
	})
}

// Guards against a record of a host's order with a time out of range: the delay overflowed, and the host got orders at
// once. An order of the far past holds nothing back.
func TestHostOrderTimesOutOfRange(t *testing.T) {
	for atMs, want := range map[int64]time.Duration{math.MaxInt64: simOptions().HostOrderDelay, 1 << 45: simOptions().HostOrderDelay, math.MinInt64: 0, 0: 0} {
		tc := newTestCore(2)
		value, err := cbor.Marshal(hostOrderRecord{AtMs: atMs})
		assert.NilError(t, err)
		tc.LoadHostRecords([]infra.Record{{Key: hostOrderPrefix + "h", Value: value}})
		assert.Equal(t, tc.fleet.heldBackUntil["h"]-tc.now, want, "%d", atMs)
	}
}
