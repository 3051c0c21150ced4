package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "turmericyoke/internal/fixedseed"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/policy"
	"turmericyoke/internal/work"
)

// newZonesCore returns a core with home zones, and with two workers of 8 cores in each of the zones a, b and c. Worker "a0"
// is the first one of zone a, and its rack is "ra0".
func newZonesCore() *testCore {
	tc := newTestCore(1)
	tc.options.Policy.Zones.Placement = policy.PlaceInHomeZone
	for _, id := range []string{"a0", "a1", "b0", "b1", "c0", "c1"} {
		tc.addWorkerInZone(id)
	}
	return tc
}

// addWorkerInZone adds a worker whose zone is the first letter of its ID, and applies its first report.
func (tc *testCore) addWorkerInZone(id string) {
	tc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{{ID: id, Pool: simPool, Zone: id[:1], Address: "10.0.0.1:1",
		Capacity: work.Resources{CPUMilli: 8000, MemoryMiB: 1 << 20}, Labels: []string{"kind", "r" + id}}}})
	tc.ApplyReport(id, infra.WorkerReport{ClockMs: 1000}, tc.now)
}

// placedIn submits a job and returns the number of its placed items by zone.
func (tc *testCore) placedIn(id string, steps ...work.Step) map[string]int {
	tc.submit(id, "big", steps...)
	tc.commit()
	return tc.zonesOf(id)
}

func (tc *testCore) zonesOf(id string) map[string]int {
	placed := map[string]int{}
	for _, i := range tc.jobs[id].allItems() {
		if i.worker != nil {
			placed[i.worker.entry.Zone]++
		}
	}
	return placed
}

// idWithHome returns the ID of a job whose home zone is the given one.
func (tc *testCore) idWithHome(zone string) string {
	id, pool := "job-", &candidatePool{workers: tc.sortedWorkers()}
	for chooseZone(id, pool.zoneCapacities()) != zone {
		id += "-"
	}
	return id
}

// items returns a step with items of one core.
func items(count int) work.Step {
	return work.Step{Count: count, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second}
}

// Guards against jobs that all have the same home zone, and against the loss of a zone that moves jobs of the others.
func TestZonesGetJobsByTheirCapacity(t *testing.T) {
	zones := []zoneCapacity{{"a", 100}, {"b", 200}, {"c", 300}, {"d", 0}}
	count := map[string]int{}
	for n := range 6000 {
		count[chooseZone(fmt.Sprintf("%016x", n), zones)]++
	}
	for zone, want := range map[string]int{"a": 1000, "b": 2000, "c": 3000, "d": 0} {
		assert.Assert(t, count[zone] >= want*9/10 && count[zone] <= want*11/10, "%s: %d", zone, count[zone])
	}
	rapid.Check(t, func(t *rapid.T) {
		var zones []zoneCapacity
		for _, zone := range []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "zones")] {
			zones = append(zones, zoneCapacity{zone, rapid.Int64Range(0, 1e6).Draw(t, "capacity")})
		}
		id := rapid.String().Draw(t, "id")
		before := chooseZone(id, zones)
		changed := rapid.IntRange(0, len(zones)-1).Draw(t, "changed")
		zones[changed].cpuMilli = rapid.Int64Range(0, 1e6).Draw(t, "next")
		slices.Reverse(zones)
		zone := zones[len(zones)-1-changed].zone
		if after := chooseZone(id, zones); after != before && after != zone && before != zone {
			t.Fatalf("job moved from zone %s to %s although only zone %s changed", before, after, zone)
		}
	})
}

// Guards against jobs with items in all zones, which the loss of any zone delays, and against items that wait although
// other zones have room.
func TestItemsArePlacedInTheHomeZone(t *testing.T) {
	tc := newZonesCore()
	placed := tc.placedIn("job", items(16))
	home := tc.jobs["job"].homeZone
	assert.DeepEqual(t, placed, map[string]int{home: 16})
	placed = tc.placedIn(tc.idWithHome(home), items(4))
	assert.Equal(t, placed[home], 0, "the zone is full")

	// Packing on the used workers of other zones doesn't outweigh the home zone.
	tc = newZonesCore()
	for _, w := range tc.sortedWorkers() {
		if w.entry.Zone != "c" {
			w.used.CPUMilli = 7990
		}
	}
	step := items(1)
	step.Need.CPUMilli = 10
	assert.DeepEqual(t, tc.placedIn(tc.idWithHome("c"), step), map[string]int{"c": 1})
}

// Guards against home zones that outweigh the rack of the data, and against lasting work whose spread changes.
func TestRacksAndLastingWorkOutweighHomeZones(t *testing.T) {
	for _, worker := range []string{"a1", "b1", "c1"} {
		tc := newZonesCore()
		step := items(3)
		step.DataRack = "r" + worker
		tc.placedIn("job", step)
		for _, i := range tc.jobs["job"].allItems() {
			assert.Equal(t, i.worker.entry.ID, worker)
		}
	}
	tc := newZonesCore()
	lasting := items(3)
	lasting.Lasting, lasting.MaxPerHost = true, 1
	id := tc.idWithHome("c")
	with := tc.placedIn(id, lasting)
	tc = newZonesCore()
	tc.options.Policy = policy.Policy{}
	assert.DeepEqual(t, with, tc.placedIn(id, lasting))
}

// Guards against jobs that stay scattered because their home zone drains, is evacuated or is partitioned.
func TestZoneWithoutUsableWorkersIsNoHomeZone(t *testing.T) {
	tc := newZonesCore()
	tc.placedIn("job", items(1), work.Step{Count: 2, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second, After: []int{0}})
	first := tc.jobs["job"].homeZone
	for _, w := range tc.sortedWorkers() {
		w.cordoned = w.entry.Zone == first
	}
	done := tc.jobs["job"].steps[0].items[0]
	tc.now += 10 * time.Millisecond
	tc.ApplyReport(done.worker.entry.ID, infra.WorkerReport{ClockMs: 2000, Ended: []infra.EndedRun{{Item: done.id(), Run: done.run, Sequence: 1, Cause: infra.EndDone}}}, tc.now)
	tc.commit()
	home := tc.jobs["job"].homeZone
	assert.Assert(t, home != first && home != "")
	assert.DeepEqual(t, tc.zonesOf("job"), map[string]int{home: 2})
}

// Guards against a rule that takes effect where operators haven't enabled it.
func TestNoHomeZoneWithoutTheRule(t *testing.T) {
	tc := newZonesCore()
	tc.options.Policy = policy.Policy{}
	placed := tc.placedIn("job", items(24))
	// The workers are filled in the order of their IDs.
	assert.DeepEqual(t, placed, map[string]int{"a": 16, "b": 8})
	assert.Equal(t, tc.jobs["job"].homeZone, "")
}
