package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// loggedCore is a core whose records are kept, so that a later term can load them.
type loggedCore struct {
	*testCore
	log map[string][]byte
}

// newLoggedTerm returns the core of a term that has loaded the log, at the time now.
func newLoggedTerm(term int64, log map[string][]byte, now time.Duration) *loggedCore {
	lc := &loggedCore{testCore: newTestCore(term), log: log}
	lc.now = now
	lc.startedAt, lc.startedUnixMs = now, lc.wallClock().UnixMilli()
	lc.onBatch = func(batch *Batch) {
		for _, record := range batch.Records {
			if lc.log[record.Key] = record.Value; record.Value == nil {
				delete(lc.log, record.Key)
			}
		}
	}
	var records []infra.Record
	for key, value := range log {
		records = append(records, infra.Record{Key: key, Value: value})
	}
	lc.Load(records)
	return lc
}

// takeOver returns the core of the second term, a second later, in which the other worker has reported and the worker with
// the late start has ended before it did.
func (lc *loggedCore) takeOver(t *testing.T, late, other string) *loggedCore {
	t.Helper()
	second := newLoggedTerm(2, lc.log, lc.now+time.Second)
	second.listWorkers(late, other)
	second.SetHosts(hostsOf(late, other), second.now)
	second.reportNothing(other)
	second.RenewalFailed(late, errNoResponse)
	second.now += 2 * hostListLag
	second.SetHosts(hostsOf("", other), second.now)
	assert.Assert(t, second.workers[late].ended)
	return second
}

// listWorkers adds the workers with the IDs to the list of workers. They haven't reported yet.
func (lc *loggedCore) listWorkers(ids ...string) {
	for n, id := range ids {
		entry := infra.WorkerEntry{ID: id, Pool: simPool, Address: fmt.Sprintf("10.0.1.%d:1", n+1), Capacity: work.Resources{CPUMilli: 8000, MemoryMiB: 1 << 20},
			Labels: []string{"a", "rack"}, StartUnixMs: earlierProcess}
		lc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{entry}})
	}
}

// reportNothing applies reports of the workers that list no runs.
func (lc *loggedCore) reportNothing(ids ...string) {
	lc.now += time.Millisecond
	for _, id := range ids {
		lc.ApplyReport(id, infra.WorkerReport{ClockMs: 1000, StartUnixMs: earlierProcess}, lc.now)
	}
}

// newUnconfirmedStart returns the core of a first term that has ended after it had ordered the start of an item, without a
// response, and the ID of the item's worker and of the other one.
func newUnconfirmedStart(t *testing.T, step work.Step) (first *loggedCore, late, other string) {
	first = newLoggedTerm(1, map[string][]byte{}, time.Hour)
	first.listWorkers("worker-a", "worker-b")
	first.reportNothing("worker-a", "worker-b")
	first.Submit(&work.Job{ID: "job", Queue: first.config.Queues[0], Customer: "big", Steps: []work.Step{step}}, make(chan Outcome, 1))
	first.commit()
	late, other = "worker-a", "worker-b"
	if first.jobs["job"].itemAt(0, 0, 0).worker.entry.ID != late {
		late, other = other, late
	}
	return first, late, other
}

// leaveStartUnanswered has the late worker leave the start of the item unanswered and confirm its stop. The item waits, and the
// worker gets no new work.
func (lc *loggedCore) leaveStartUnanswered(i *item, late string) {
	lc.ApplyStartResult(lc.startOf(i), errNoResponse, true)
	lc.now += time.Millisecond
	lc.ApplyStopResult(&Order{Kind: OrderStop, Worker: infra.WorkerRef{ID: late}, Item: i.id(), Run: i.run}, nil)
	lc.reportNothing(late)
	lc.workers[late].pauseUntil(lc.now + time.Minute)
}

// startsOn plans, and returns the workers on which starts are ordered.
func (lc *loggedCore) startsOn() []string {
	lc.now += workerCheckInterval
	return startedOn(lc.commit())
}

// Guards against a second run of an item that the next process of a worker begins (incident 0023): it carries out a start
// of an earlier term that the earlier process would have refused by its token, while the item runs elsewhere.
func TestStartOfAnEarlierTermMayBeLate(t *testing.T) {
	first, late, other := newUnconfirmedStart(t, needStep(1))
	second := newLoggedTerm(2, first.log, first.now+time.Second)
	second.listWorkers(late, other)
	second.SetHosts(hostsOf(late, other), second.now)
	second.reportNothing(late, other)
	second.workers[late].pauseUntil(second.now + time.Minute)
	assert.DeepEqual(t, second.startsOn(), []string{other})
	i := second.jobs["job"].itemAt(0, 0, 0)
	for range maxMissedRenewals {
		second.RenewalFailed(late, errNoResponse)
	}
	second.now += workerCheckInterval
	stops := second.commit()
	assert.Assert(t, slices.ContainsFunc(stops, func(o Order) bool { return o.Kind == OrderStop && o.Worker.ID == other && o.Run == i.run }), "%v", stops)
}

// Guards against a second run of an item whose worker ended before it reported to the new term, and against an item that
// waits although the host has another worker, or no late call can arrive any more.
func TestUnconfirmedStartAtAnEndedWorkerHoldsItsItem(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		first, late, other := newUnconfirmedStart(t, needStep(1))
		second := first.takeOver(t, late, other)
		second.now = max(second.now, second.inheritedLeaseEnd()+time.Millisecond)
		assert.Equal(t, len(second.startsOn()), 0)
		if replaced {
			second.SetHosts(hostsOf("worker-next", other), second.now)
		} else {
			second.now = first.now + maxCallDelay + maxClockSkew + time.Millisecond
		}
		assert.DeepEqual(t, second.startsOn(), []string{other})
	}
}

// Guards against a lasting item that waits for a worker that has ended, only because its confirmed start isn't recorded as
// such.
func TestConfirmedStartAtAnEndedWorkerHoldsNothing(t *testing.T) {
	first, late, other := newUnconfirmedStart(t, lastingStep(1, 0))
	i := first.jobs["job"].itemAt(0, 0, 0)
	first.ApplyStartResult(first.startOf(i), nil, false)
	first.commit()
	second := first.takeOver(t, late, other)
	assert.DeepEqual(t, second.startsOn(), []string{other})
}

// Guards against a late start that a term forgets, or holds for longer, since an earlier term knew of it: the item runs
// elsewhere when two terms end in a row. The items of a large job are recorded in groups.
func TestLateStartsOutliveTakeovers(t *testing.T) {
	for _, count := range []int{1, groupItems + 1} {
		first, late, other := newUnconfirmedStart(t, work.Step{Count: count, Need: work.Resources{CPUMilli: 1}, Estimate: time.Minute})
		i := first.jobs["job"].itemAt(0, 0, 0)
		until := first.now + maxCallDelay
		first.leaveStartUnanswered(i, late)
		first.startsOn()
		assert.Equal(t, i.worker.entry.ID, other)
		lateRun, now := i.run-1, first.now
		for term := int64(2); term <= 3; term++ {
			now += time.Second
			next := newLoggedTerm(term, first.log, now)
			starts := next.lateStarts[i.id()]
			assert.Equal(t, len(starts), 1, "term %d", term)
			assert.Equal(t, starts[0].worker.entry.ID, late)
			assert.Equal(t, starts[0].run, lateRun)
			assert.Assert(t, !starts[0].refused && starts[0].until >= until && starts[0].until <= until+time.Duration(term-1)*maxClockSkew, "%s", starts[0].until-until)
			next.markItemDirty(next.jobs["job"].itemAt(0, 0, 0))
			next.commit()
			// The worker's present process refuses the start once it has seen the token of the term.
			next.listWorkers(late)
			next.reportNothing(late)
			assert.Assert(t, starts[0].refused)
		}
	}
}

// newLateStartAcrossTerms returns the core of a second term. The first one has ended after the late worker, which had left the
// start of the job's item unanswered, had confirmed its stop. If elsewhere is set, the item runs on the other worker.
func newLateStartAcrossTerms(t *testing.T, elsewhere bool) (second *loggedCore, i *item, late, other string, lateRun int64) {
	first, late, other := newUnconfirmedStart(t, needStep(1))
	i = first.jobs["job"].itemAt(0, 0, 0)
	lateRun = i.run
	first.leaveStartUnanswered(i, late)
	if !elsewhere {
		first.workers[other].pauseUntil(first.now + time.Minute)
	}
	if starts := first.startsOn(); elsewhere {
		assert.DeepEqual(t, starts, []string{other})
		first.ApplyStartResult(first.startOf(i), nil, false)
		first.markItemDirty(i)
		first.commit()
	}
	second = newLoggedTerm(2, first.log, first.now+time.Second)
	second.listWorkers(late, other)
	second.SetHosts(hostsOf(late, other), second.now)
	return second, second.jobs["job"].itemAt(0, 0, 0), late, other, lateRun
}

// Guards against a second run of an item whose late start the next process of a worker has carried out before a new term
// reached it (incident 0025): the term took the start as refused, and started the item elsewhere while the worker listed it.
func TestItemWaitsWhileAnyWorkerListsARunOfIt(t *testing.T) {
	second, i, late, other, lateRun := newLateStartAcrossTerms(t, false)
	second.workers[late].pauseUntil(second.now + time.Minute)
	running := infra.WorkerReport{ClockMs: 1000, StartUnixMs: earlierProcess + 5000, Running: []infra.ActiveRun{{Item: i.id(), Run: lateRun}}}
	second.now += time.Millisecond
	second.ApplyReport(late, running, second.now)
	second.reportNothing(other)
	orders := second.commit()
	assert.Assert(t, slices.ContainsFunc(orders, func(o Order) bool { return o.Kind == OrderStop && o.Worker.ID == late && o.Run == lateRun }), "%v", orders)
	assert.Equal(t, i.state, itemWaiting)
	assert.Equal(t, len(second.startsOn()), 0, "the item starts elsewhere while a worker lists a run of it")
	running.Running = nil
	second.now += 100 * time.Millisecond
	second.ApplyReport(late, running, second.now)
	assert.DeepEqual(t, second.startsOn(), []string{other})
}

// Guards against an item that waits for a worker for good that fell silent while it listed a run of the item: the lease of that
// run lapses.
func TestItemWaitsForTheLeaseOfAStrayRun(t *testing.T) {
	second, i, late, other, lateRun := newLateStartAcrossTerms(t, false)
	second.workers[late].pauseUntil(second.now + time.Minute)
	second.now += time.Millisecond
	second.ApplyReport(late, infra.WorkerReport{ClockMs: 1000, StartUnixMs: earlierProcess + 5000, Running: []infra.ActiveRun{{Item: i.id(), Run: lateRun}}}, second.now)
	second.reportNothing(other)
	silentAt := second.now
	second.now = silentAt + simMaxLease
	assert.Equal(t, len(second.startsOn()), 0)
	second.now = max(silentAt+second.longestLease(), second.inheritedLeaseEnd())
	second.reportNothing(other)
	assert.DeepEqual(t, second.startsOn(), []string{other})
}

// Guards against a run that a new term stops only since it hasn't heard yet from a worker that may carry out an earlier start.
func TestRunOfAnEarlierTermGoesOnBesideALateStart(t *testing.T) {
	second, i, late, other, _ := newLateStartAcrossTerms(t, true)
	assert.Equal(t, i.worker.entry.ID, other)
	second.now += workerCheckInterval
	for _, order := range second.commit() {
		assert.Assert(t, order.Kind != OrderStop || order.Worker.ID != other, "%+v", order)
	}
	second.reportNothing(late)
	assert.Assert(t, second.lateStarts[i.id()][0].refused)
}

// Guards against jobs that are held back by a new term for a worker that may have ended long ago: all that is known of it is
// a late start in a record.
func TestRecordedLateStartHoldsNoOtherWork(t *testing.T) {
	first, late, other := newUnconfirmedStart(t, needStep(1))
	i := first.jobs["job"].itemAt(0, 0, 0)
	first.leaveStartUnanswered(i, late)
	assert.DeepEqual(t, first.startsOn(), []string{other})
	second := newLoggedTerm(2, first.log, first.now+time.Second)
	second.listWorkers(other)
	second.reportNothing(other)
	second.SetHosts(hostsOf("", other), second.now)
	assert.Assert(t, !second.mayHaveUnrecordedRuns(second.now))
	assert.Assert(t, second.mayHaveRestarted(second.workers[late], second.now))
}

// Guards against workers that are kept, and items that wait, because late starts are never dropped.
func TestLateStartsAreDropped(t *testing.T) {
	rc, _ := newLateStartCore(t)
	assert.Equal(t, len(rc.lateStarts), 1)
	rc.now += maxCallDelay + jobExpiryInterval
	rc.commit()
	assert.Equal(t, len(rc.lateStarts)+len(rc.worker.lateStarts), 0)
}
