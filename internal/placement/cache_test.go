package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	v1 "turmericyoke/api/turmericyoke/v1"
	_ "turmericyoke/internal/fixedseed"
)

// Guards against sums of usage that drift from the sizes of the running jobs, and against snapshots that change
// after they were built or contain removed jobs.
func TestCacheAndQueueAgreeWithRescan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := Source{Queue: NewQueue(), Cache: NewCache(), Health: NewHealth(), Teams: []Team{{"a", 1, 9}, {"b", 2, 9}}}
		source.Cache.SetWorkers([]WorkerSpec{{"w0", "p", Vector{8000, 8000, 1}}, {"w1", "p", Vector{8000, 8000, 1}}})
		waiting := map[string]bool{}
		var snapshots []*Snapshot
		var expected []string
		now := testNow
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			id := fmt.Sprintf("j%d", rapid.IntRange(0, 5).Draw(t, "job"))
			team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
			size := Vector{rapid.Int64Range(0, 4000).Draw(t, "cpu"), rapid.Int64Range(1, 4000).Draw(t, "mem"), rapid.Int64Range(0, 1).Draw(t, "acc")}
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				source.Queue.Put(QueueKey{"p", team, v1.JobClass_JOB_CLASS_BATCH}, &WaitingJob{Job: id, SubmitOffset: rapid.Int64Range(0, 20).Draw(t, "offset")})
				waiting[id] = true
			case 1:
				source.Queue.Remove(id)
				delete(waiting, id)
			case 2:
				source.Cache.AddTask(Task{Job: id, Attempt: rapid.Uint32Range(1, 2).Draw(t, "attempt"), Team: team, Pool: "p", Worker: rapid.SampledFrom([]string{"w0", "w1"}).Draw(t, "worker"), Declared: size}, now)
			case 3:
				source.Cache.RemoveTask(id)
			case 4:
				source.Cache.RecordUsage(id, 1, size, now)
			case 5:
				source.Cache.SetThrottled(id, rapid.Bool().Draw(t, "throttled"))
			case 6:
				snapshots = append(snapshots, source.Snapshot(now, []string{"p"}))
				expected = append(expected, fmt.Sprint(waitingJobIDs(snapshots[len(snapshots)-1])))
			}
			for i, snapshot := range snapshots {
				assert.Equal(t, fmt.Sprint(waitingJobIDs(snapshot)), expected[i])
			}
		}
		usedByWorker, usedByTeam := map[string]Vector{}, map[poolTeam]Vector{}
		for _, task := range source.Cache.tasks {
			usedByWorker[task.Worker] = usedByWorker[task.Worker].Plus(task.effectiveSize())
			usedByTeam[poolTeam{"p", task.Team}] = usedByTeam[poolTeam{"p", task.Team}].Plus(task.effectiveSize())
			assert.Assert(t, task.effectiveSize()[Accelerators] >= task.Declared[Accelerators])
		}
		for _, name := range []string{"w0", "w1"} {
			assert.Equal(t, source.Cache.workers[name].used, usedByWorker[name])
		}
		for _, team := range []string{"a", "b"} {
			assert.Equal(t, source.Cache.used[poolTeam{"p", team}], usedByTeam[poolTeam{"p", team}])
		}
		listed := waitingJobIDs(source.Snapshot(now, []string{"p"}))
		assert.Equal(t, len(listed), len(waiting))
		for _, id := range listed {
			assert.Assert(t, waiting[id])
		}
	})
}

// waitingJobIDs returns the ids of the waiting jobs of the first pool, in the order of the snapshot.
func waitingJobIDs(snapshot *Snapshot) []string {
	var ids []string
	for _, bucket := range snapshot.Pools[0].Buckets {
		for _, job := range bucket.Jobs {
			ids = append(ids, job.Job)
		}
	}
	return ids
}

// Guards against planning with declared sizes that are far from the reported usage, for the job itself and
// for the estimates of its team's further jobs.
func TestSizesFollowReports(t *testing.T) {
	cache := NewCache()
	cache.SetWorkers([]WorkerSpec{{"w0", "p", Vector{64000, 64000, 0}}})
	cache.AddTask(Task{Job: "j", Attempt: 1, Team: "a", Pool: "p", Worker: "w0", Declared: Vector{1000, 1000, 0}}, testNow)
	cache.RecordUsage("j", 1, Vector{8000, 100, 0}, testNow.Add(rampUpTime))
	task, _ := cache.Task("j")
	assert.Assert(t, task.size[CPU] >= 9200 && task.size[Memory] < 200, "the size should follow the reported usage, but it is %v", task.size)
	estimate := cache.ratio("p", "a").Estimate(Vector{1000, 1000, 0})
	assert.Assert(t, estimate[CPU] > 4000 && estimate[Memory] > 1000, "the ratio should rise fast and fall slowly, but the estimate is %v", estimate)
}

// Guards against a faulty worker that keeps getting jobs because it fails them quickly, and against faulty jobs
// that cause the quarantine of healthy workers.
func TestQuarantine(t *testing.T) {
	health, now := NewHealth(), testNow
	for i := range 10 {
		health.RecordSuccess(fmt.Sprintf("good%d", i), now)
		health.RecordSuccess(fmt.Sprintf("good%d", i), now)
	}
	for i := range 20 {
		badJob := fmt.Sprintf("bad-job-%d", i)
		for j := range 3 {
			health.RecordFailure(fmt.Sprintf("good%d", (i+j)%10), badJob, now)
		}
	}
	for i := range 10 {
		assert.Assert(t, !health.Quarantined(fmt.Sprintf("good%d", i), now))
	}
	for i := range 3 {
		assert.Assert(t, health.MaxStarts("faulty", now) > 0)
		health.RecordFailure("faulty", fmt.Sprintf("job-%d", i), now)
	}
	assert.Equal(t, health.MaxStarts("faulty", now), 0)
	now = now.Add(firstQuarantine)
	assert.Equal(t, health.MaxStarts("faulty", now), 1)
	health.RecordStart("faulty", now)
	assert.Equal(t, health.MaxStarts("faulty", now), 0)
	health.RecordFailure("faulty", "job-9", now)
	assert.Assert(t, health.Quarantined("faulty", now.Add(firstQuarantine)), "the second quarantine should be longer than the first")
	now = now.Add(2 * firstQuarantine)
	health.RecordStart("faulty", now)
	health.RecordSuccess("faulty", now)
	assert.Assert(t, health.MaxStarts("faulty", now) > 0)
}

// BenchmarkCycle measures building a snapshot and a plan for a full fleet.
func BenchmarkCycle(b *testing.B) {
	for _, scale := range []int{1, 2, 4} {
		workers := 700 * scale
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", workers, 10*workers), func(b *testing.B) {
			source, pools := loadedFleet(workers, 10*workers)
			for b.Loop() {
				Compute(source.Snapshot(testNow, pools), DefaultOptions())
			}
		})
	}
}

// BenchmarkMassCancellation measures the removal of 10,000 waiting jobs and building the next snapshot.
func BenchmarkMassCancellation(b *testing.B) {
	for _, waiting := range []int{10_000, 20_000, 40_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				source, pools := loadedFleet(700, waiting)
				source.Snapshot(testNow, pools)
				b.StartTimer()
				for i := range 10_000 {
					source.Queue.Remove(fmt.Sprintf("wait-%d", i))
				}
				source.Snapshot(testNow, pools)
			}
		})
	}
}

// loadedFleet returns the state and the pools of a fleet of 25 pools and 160 teams. Each worker runs about
// ten jobs, and the given number of further jobs, of 64 sizes, wait.
func loadedFleet(workers, waiting int) (*Source, []string) {
	source := &Source{Queue: NewQueue(), Cache: NewCache(), Health: NewHealth()}
	var specs []WorkerSpec
	var pools []string
	for i := range 25 {
		pools = append(pools, fmt.Sprintf("pool-%02d", i))
	}
	for i := range workers {
		specs = append(specs, WorkerSpec{fmt.Sprintf("w%04d", i), pools[i%25], Vector{64000, 128 << 10, 0}})
	}
	source.Cache.SetWorkers(specs)
	for i := range 160 {
		source.Teams = append(source.Teams, Team{fmt.Sprintf("team-%03d", i), 1 + i%5, 1 << 20})
	}
	for i := range 10 * workers {
		w := specs[i%workers]
		source.Cache.AddTask(Task{Job: fmt.Sprintf("run-%d", i), Attempt: 1, Team: source.Teams[i%160].Name, Pool: w.Pool, Worker: w.Name, Declared: Vector{5300, 10 << 10, 0}}, testNow)
	}
	for i := range waiting {
		key := QueueKey{pools[i%25], source.Teams[i*7%160].Name, v1.JobClass(1 + i%2)}
		source.Queue.Put(key, &WaitingJob{Job: fmt.Sprintf("wait-%d", i), Attempt: 1, Units: 1, SubmitOffset: int64(i), FirstSeen: testNow, Declared: Vector{int64(1000 + i%64*100), int64(1<<10 + i%8<<10), 0}})
	}
	return source, pools
}
