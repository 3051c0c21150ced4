package scheduler

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "turmericyoke/internal/fixedseed"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// addWorkerIn adds a worker in the zone, on a host of the same number.
func (tc *testCore) addWorkerIn(zone string, n int, cores int64) *worker {
	w := tc.workers[tc.addWorker(n, cores)]
	entry := w.entry
	entry.Zone = zone
	tc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{entry}})
	return w
}

// listHosts lists a host for each worker, and hosts in standby in the zones.
func (tc *testCore) listHosts(standby ...string) {
	var hosts []infra.Host
	for _, w := range tc.sortedWorkers() {
		hosts = append(hosts, infra.Host{ID: "host-of-" + w.entry.ID, Pool: w.entry.Pool, State: infra.HostUp, Zone: w.entry.Zone, WorkerID: w.entry.ID, Capacity: w.entry.Capacity})
	}
	for n, zone := range standby {
		hosts = append(hosts, infra.Host{ID: fmt.Sprint("standby-", n), Pool: "rest", State: infra.HostUp, Zone: zone, Capacity: work.Resources{CPUMilli: 8000}})
	}
	tc.SetHosts(hosts, tc.now)
}

// captureLog makes the core log to the returned buffer.
func (tc *testCore) captureLog() *bytes.Buffer {
	output := &bytes.Buffer{}
	logger := logrus.New()
	logger.SetOutput(output)
	tc.logger = logrus.NewEntry(logger)
	return output
}

func shortStep(count int, cores int64) work.Step {
	return work.Step{Count: count, Need: work.Resources{CPUMilli: cores * 1000}, Estimate: time.Second}
}

// Guards against a start that waits in a queue while operators request the evacuation of its zone, and is sent afterwards,
// and against items that wait with it.
func TestQueuedStartsInAnEvacuatedZoneAreDropped(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorkerIn("a", 0, 8)
	tc.Submit(&work.Job{ID: "job", Queue: tc.config.Queues[0], Steps: []work.Step{shortStep(2, 1)}}, make(chan Outcome, 1))
	queued := tc.planOrders()
	assert.Equal(t, len(queued), 2)
	tc.SetEvacuations([]string{"a"})
	assert.Equal(t, tc.startQueueOf("a").length, 0)
	assert.Equal(t, tc.jobs["job"].steps[0].countInState(itemWaiting), 2)
	other := tc.addWorkerIn("b", 1, 8)
	for n := range queued {
		assert.Equal(t, tc.LeaseForStart(&queued[n], tc.now), int64(0), "the start was sent")
	}
	assert.DeepEqual(t, startedOn(tc.commit()), []string{other.entry.ID, other.entry.ID})
	for n := range queued {
		tc.StartNotSent(&queued[n])
		assert.Equal(t, tc.findItem(queued[n].Item).worker, other, "a dropped start took the item from its next worker")
	}
}

// Guards against a second attempt of a start that had no response, after operators requested the evacuation of its zone.
func TestStartIsNotRepeatedInAnEvacuatedZone(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorkerIn("a", 0, 8)
	tc.submit("job", "big", shortStep(1, 1))
	i := tc.jobs["job"].itemAt(0, 0, 0)
	order := tc.startOf(i)
	assert.Assert(t, i.startInFlight)
	tc.StartUnanswered(order)
	tc.SetEvacuations([]string{"a"})
	assert.Assert(t, i.worker != nil, "a run that may have begun was released")
	assert.Equal(t, tc.LeaseForStart(order, tc.now), int64(0))
}

// Guards against short work that is lost with an evacuation although it may end where it runs.
func TestRunsInAnEvacuatedZoneGoOn(t *testing.T) {
	tc := newTestCore(1)
	w := tc.addWorkerIn("a", 0, 8)
	tc.addWorkerIn("b", 1, 1)
	tc.submit("job", "big", shortStep(1, 4))
	tc.confirmStarts()
	tc.reportRuns(w)
	i := tc.jobs["job"].itemAt(0, 0, 0)
	tc.SetEvacuations([]string{"a"})
	tc.now += workerCheckInterval
	assert.Equal(t, len(tc.commit()), 0)
	assert.Assert(t, tc.BuildRenewal(w.entry.ID, tc.now).LeaseEndMs > 0, "the lease isn't renewed")
	tc.ApplyReport(w.entry.ID, infra.WorkerReport{ClockMs: 2000, Ended: []infra.EndedRun{{Sequence: 1, Item: i.id(), Run: i.run, Cause: infra.EndDone}}}, tc.now)
	tc.commit()
	assert.Equal(t, i.state, itemDone)
	assert.Equal(t, tc.BuildRenewal(w.entry.ID, tc.now).AckedEnd, int64(1))
}

// Guards against a gang of which some members started before the evacuation of a zone, and the others never will.
func TestGangLeavesAnEvacuatedZoneAsAWhole(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorkerIn("a", 0, 1)
	kept := tc.addWorkerIn("b", 1, 1)
	step := shortStep(2, 1)
	step.Gang = true
	tc.Submit(&work.Job{ID: "gang", Queue: tc.config.Queues[0], Steps: []work.Step{step}}, make(chan Outcome, 1))
	orders := tc.planOrders()
	assert.Equal(t, len(orders), 2)
	for n := range orders {
		if orders[n].Zone == "b" {
			assert.Assert(t, tc.LeaseForStart(&orders[n], tc.now) > 0)
		}
	}
	tc.SetEvacuations([]string{"a"})
	for _, i := range tc.jobs["gang"].steps[0].items {
		assert.Assert(t, i.worker == nil || i.worker == kept && i.stopping)
	}
	assert.Equal(t, len(startedOn(tc.commit())), 0, "a gang started without room for all of its members")
}

// Guards against a trial on a worker of an evacuated zone: suspects may start on paused workers that get no other work.
func TestNoTrialInAnEvacuatedZone(t *testing.T) {
	tc := newTestCore(1)
	w := tc.addWorkerIn("a", 0, 8)
	w.pauseUnconfirmed(tc.now)
	assert.Assert(t, tc.mayProbe(w, tc.now))
	tc.SetEvacuations([]string{"a"})
	assert.Assert(t, !tc.mayProbe(w, tc.now))
}

// Guards against starts by a new term that learns of the evacuation before it learns of the workers, and by a worker that
// joins the zone later.
func TestEvacuationHoldsForLaterWorkers(t *testing.T) {
	tc := newTestCore(2)
	tc.SetEvacuations([]string{"a"})
	tc.addWorkerIn("a", 0, 8)
	assert.Equal(t, tc.submit("job", "big", lastingStep(1, 1)).Kind, OutcomeDone)
	assert.Equal(t, len(startedOn(tc.commit())), 0)
	other := tc.addWorkerIn("b", 1, 8)
	assert.DeepEqual(t, startedOn(tc.commit()), []string{other.entry.ID})
}

// Guards against a zone that gets no work after its evacuation was withdrawn, and against starts there after the request was
// repeated.
func TestEvacuationIsWithdrawnAndRepeated(t *testing.T) {
	tc := newTestCore(1)
	w := tc.addWorkerIn("a", 0, 8)
	output := tc.captureLog()
	tc.SetEvacuations([]string{"a"})
	tc.SetEvacuations(nil)
	tc.submit("first", "big", shortStep(1, 1))
	assert.Equal(t, tc.jobs["first"].itemAt(0, 0, 0).worker, w)
	tc.SetEvacuations([]string{"a"})
	tc.SetEvacuations([]string{"a"})
	assert.Equal(t, tc.submit("second", "big", lastingStep(1, 1)).Kind, OutcomeDone)
	assert.Assert(t, tc.jobs["second"].itemAt(0, 0, 0).worker == nil)
	assert.Equal(t, strings.Count(output.String(), "event=zone_evacuation_begun"), 2, output.String())
	assert.Equal(t, strings.Count(output.String(), "event=zone_evacuation_ended"), 1)
}

// Guards against a misspelled request that nobody notices.
func TestEvacuationOfAnUnknownZoneIsLogged(t *testing.T) {
	tc := newTestCore(1)
	output := tc.captureLog()
	tc.addWorkerIn("a", 0, 8)
	tc.SetEvacuations([]string{"b"})
	for range 3 {
		tc.now += evacuationLogInterval
		tc.commit()
	}
	assert.Equal(t, strings.Count(output.String(), "event=zone_evacuation_unknown"), 1, output.String())
	assert.Equal(t, tc.submit("job", "big", shortStep(1, 1)).Kind, OutcomeDone)
	assert.Equal(t, tc.jobs["job"].placedCount, 1)
}

// Guards against an evacuation that stops more items of a lasting step than its budget allows, or that stops items for
// which no other zone has room: they would be out of service until the evacuation ends.
func TestLastingItemsLeaveAnEvacuatedZoneWithinBudgetAndRoom(t *testing.T) {
	tc := newTestCore(1)
	output := tc.captureLog()
	tc.addWorkerIn("a", 0, 8)
	step := lastingStep(3, 1)
	step.MaxPerHost = 0
	assert.Equal(t, tc.submit("service", "big", step).Kind, OutcomeDone)
	tc.confirmStarts()
	leaving := tc.workers["worker-0"]
	tc.reportRuns(leaving)
	stopping := func() []*item { return leaving.sortedItems(func(i *item) bool { return i.stopping }) }

	tc.SetEvacuations([]string{"a"})
	tc.checkWorkersAfter(evacuationLogInterval)
	assert.Equal(t, len(stopping()), 0, "an item was stopped although no other zone has room")
	assert.Assert(t, strings.Contains(output.String(), "event=zone_evacuation_pending") && strings.Contains(output.String(), "without_room=3"), output.String())
	tc.addWorkerIn("b", 1, 2)
	for range 2 {
		tc.checkWorkersAfter(workerCheckInterval)
		assert.Equal(t, len(stopping()), 1, "one item of the step may be unavailable")
		tc.endStopped(t, stopping()[0])
	}
	tc.checkWorkersAfter(workerCheckInterval)
	assert.Equal(t, len(stopping()), 0, "the room is used up")
	tc.SetEvacuations(nil)
	tc.checkWorkersAfter(workerCheckInterval)
	assert.Equal(t, len(stopping()), 0)
	assert.Equal(t, len(leaving.items), 1)
}

// Guards against items of several steps that are all stopped for the same free core.
func TestRoomOutsideAnEvacuatedZoneIsTakenOnce(t *testing.T) {
	tc := newTestCore(1)
	leaving := tc.addWorkerIn("a", 0, 8)
	for n := range 3 {
		assert.Equal(t, tc.submit(fmt.Sprint("service-", n), "big", lastingStep(1, 1)).Kind, OutcomeDone)
	}
	tc.confirmStarts()
	tc.reportRuns(leaving)
	tc.addWorkerIn("b", 1, 1)
	tc.SetEvacuations([]string{"a"})
	for range 3 {
		tc.checkWorkersAfter(workerCheckInterval)
		assert.Equal(t, len(leaving.sortedItems(func(i *item) bool { return i.stopping })), 1)
	}
}

// Guards against admission control that counts on hosts of an evacuated zone, and against jobs that are accepted although
// nothing can start, as for a pool whose workers aren't known yet.
func TestAdmissionDoesNotCountOnEvacuatedZones(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorkerIn("a", 0, 8)
	tc.addWorkerIn("b", 1, 4)
	tc.listHosts("a", "b")
	cores := func() float64 {
		tc.now += supplyCacheTime
		_, cores := tc.supplyOf(simPool, tc.now)
		return cores
	}
	assert.Equal(t, cores(), 28.0)
	tc.SetEvacuations([]string{"a"})
	_, immediately := tc.supplyOf(simPool, tc.now)
	assert.Equal(t, immediately, 12.0, "an outdated sum is used")
	assert.Equal(t, cores(), 12.0)
	tc.SetEvacuations([]string{"a", "b"})
	outcome := tc.submit("short", "big", shortStep(1, 1))
	assert.Equal(t, outcome.Kind, OutcomeRejected)
	assert.Equal(t, outcome.Reason, evacuatedReason)
	tc.SetEvacuations([]string{"b"})
	assert.Equal(t, tc.submit("short", "big", shortStep(1, 1)).Kind, OutcomeDone)
}

// Guards against hosts of an evacuated zone that move into a pool in need, where they can't run anything, and against pools
// that get no host in the place of one with lasting work that has to leave.
func TestHostsOfAnEvacuatedZoneAreNotMoved(t *testing.T) {
	tc := newTestCore(1)
	leaving := tc.addWorkerIn("a", 0, 8)
	step := lastingStep(1, 1)
	step.MaxPerHost = 0
	assert.Equal(t, tc.submit("service", "big", step).Kind, OutcomeDone)
	tc.confirmStarts()
	tc.reportRuns(leaving)
	tc.listHosts("a", "a", "b", "b", "b")
	tc.SetEvacuations([]string{"a"})
	orders, _ := tc.PlanHosts()
	assert.Equal(t, len(orders), 2, "the pool needs a host for the lasting item and a spare one")
	for _, order := range orders {
		assert.Equal(t, tc.fleet.hosts[order.Host].Zone, "b")
		assert.Equal(t, order.Pool, simPool)
	}
}

// Guards against maintenance that takes hosts in service while those of an evacuated zone are empty.
func TestMaintenanceTakesEvacuatedHostsFirst(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorkerIn("b", 0, 8)
	tc.addWorkerIn("a", 1, 8)
	tc.listHosts()
	tc.SetEvacuations([]string{"a"})
	tc.SetWaves([]infra.Wave{{ID: 1, MaxDown: 1, TimeLimit: time.Minute, Hosts: []string{"host-of-worker-0", "host-of-worker-1"}}})
	orders, _ := tc.PlanHosts()
	assert.Equal(t, countMaintenanceOrders(orders), 1)
	assert.Equal(t, orders[0].Host, "host-of-worker-1")
}

// Checks, for random requests between the steps of scheduling, that no start is sent to a worker of an evacuated zone, that
// nothing is lost, and that the queues of starts stay exact.
func TestNoStartIsSentToAnEvacuatedZone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tc := newTestCore(1)
		zones := []string{"a", "b", "c"}
		for n := range 6 {
			tc.addWorkerIn(zones[n%3], n, 4)
		}
		var queued []Order
		evacuated := map[string]bool{}
		for n := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			tc.now += time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(rt, "kind") {
			case 0:
				step := shortStep(rapid.IntRange(1, 4).Draw(rt, "items"), 1)
				step.Gang, step.Lasting = rapid.Bool().Draw(rt, "gang"), rapid.Bool().Draw(rt, "lasting")
				tc.Submit(&work.Job{ID: fmt.Sprint("job-", n), Queue: tc.config.Queues[0], Steps: []work.Step{step}}, make(chan Outcome, 1))
			case 1:
				var set []string
				clear(evacuated)
				for _, zone := range zones {
					if rapid.Bool().Draw(rt, "evacuated") {
						set, evacuated[zone] = append(set, zone), true
					}
				}
				tc.SetEvacuations(set)
			case 2:
				queued = append(queued, tc.planOrders()...)
			default:
				for k := range rapid.IntRange(0, len(queued)).Draw(rt, "sent") {
					order := &queued[k]
					if order.Kind != OrderStart {
						continue
					}
					if tc.LeaseForStart(order, tc.now) == 0 {
						tc.StartNotSent(order)
						continue
					}
					assert.Assert(rt, !evacuated[order.Zone], "a start was sent to zone %s", order.Zone)
					tc.ApplyStartResult(order, nil, false)
				}
			}
			lengths := map[string]int{}
			for _, w := range tc.sortedWorkers() {
				for i := range w.items {
					if i.startQueued {
						lengths[w.entry.Zone]++
					}
				}
			}
			for _, zone := range zones {
				assert.Equal(rt, tc.startQueueOf(zone).length, lengths[zone])
			}
		}
	})
}
