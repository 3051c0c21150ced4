package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// simulatedWorkers is low because the naive policies look at all waiting jobs for each start.
const simulatedWorkers = 8

// simulation runs one pool of workers of 64 cores and 128 GB with six teams. The demand of each team peaks in
// turn for 20 s; otherwise it is about a twentieth of the peak.
type simulation struct {
	source Source
	// endSecondByJob is the second in which each running job ends.
	endSecondByJob map[string]int
	// waitingByTeam is the number of waiting jobs of each team.
	waitingByTeam []int
	lastOffset    int64
	random        *rand.Rand
}

var simulatedWeights = []int{4, 3, 2, 1, 1, 1}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		source:         Source{Queue: NewQueue(), Cache: NewCache(), Health: NewHealth()},
		endSecondByJob: map[string]int{}, waitingByTeam: make([]int, len(simulatedWeights)), random: rand.New(rand.NewPCG(seed, 1)),
	}
	var workers []WorkerSpec
	for i := range simulatedWorkers {
		workers = append(workers, WorkerSpec{Name: fmt.Sprintf("w%02d", i), Pool: "counts", Capacity: Vector{64000, 128 << 10, 0}})
	}
	s.source.Cache.SetWorkers(workers)
	for i, weight := range simulatedWeights {
		s.source.Teams = append(s.source.Teams, Team{Name: fmt.Sprintf("t%d", i), Weight: weight, FreeUnits: math.MaxInt32})
	}
	return s
}

// submit submits the jobs of one second. At any time, two teams are at their peak. At its peak, team 3
// submits about three times as many jobs as the others.
func (s *simulation) submit(second int, now time.Time) {
	for team := range simulatedWeights {
		jobs := 0
		if phase := second/20 + team; phase%3 == 0 {
			jobs = 7
			if team == 3 {
				jobs = 20
			}
		} else if s.random.IntN(4) == 0 {
			jobs = 1
		}
		for range jobs {
			s.lastOffset++
			s.waitingByTeam[team]++
			s.source.Queue.Put(QueueKey{"counts", fmt.Sprintf("t%d", team), v1.JobClass_JOB_CLASS_STANDARD}, &WaitingJob{
				Job: fmt.Sprintf("j%d", s.lastOffset), Attempt: 1, Units: 1, SubmitOffset: s.lastOffset, FirstSeen: now,
				Declared: Vector{int64(2000 + s.random.IntN(6000)), int64(2<<10 + s.random.IntN(12<<10)), 0},
			})
		}
	}
}

// run simulates the given number of seconds. It returns the mean shareDistance over the seconds in which jobs
// still wait after the planned starts.
func (s *simulation) run(seconds int, plan func(*Snapshot) []Start) float64 {
	distance, contended := 0.0, 0
	for second := range seconds {
		now := time.Unix(int64(second), 0)
		for id, endAt := range s.endSecondByJob {
			if endAt == second {
				s.source.Cache.RemoveTask(id)
				delete(s.endSecondByJob, id)
			}
		}
		s.submit(second, now)
		snapshot := s.source.Snapshot(now, []string{"counts"})
		for _, start := range plan(snapshot) {
			job, key, _ := s.source.Queue.Find(start.Job)
			s.source.Queue.Remove(start.Job)
			s.waitingByTeam[start.Team]--
			s.source.Cache.AddTask(Task{Job: start.Job, Attempt: 1, Team: key.Team, Pool: key.Pool, Worker: start.Worker, Class: key.Class, Declared: job.Declared}, now)
			s.endSecondByJob[start.Job] = second + 3 + s.random.IntN(8)
		}
		if s.source.Queue.Len() > 0 {
			contended++
			distance += s.shareDistance()
		}
	}
	return distance / float64(contended)
}

// shareDistance returns half the sum of the differences between the teams' actual and fair shares of the
// usage. The fair share of a team without waiting jobs is what it uses; the other teams divide the remainder
// by weight.
func (s *simulation) shareDistance() float64 {
	used, fair := make([]float64, len(simulatedWeights)), make([]float64, len(simulatedWeights))
	remaining, totalWeight := 1.0, 0
	capacity := Vector{64000 * simulatedWorkers, (128 << 10) * simulatedWorkers, 0}
	total := 0.0
	for team := range used {
		teamUsage := s.source.Cache.used[poolTeam{"counts", s.source.Teams[team].Name}]
		used[team] = max(float64(teamUsage[CPU])/float64(capacity[CPU]), float64(teamUsage[Memory])/float64(capacity[Memory]))
		total += used[team]
	}
	for team := range used {
		used[team] /= total
		if s.waitingByTeam[team] == 0 {
			fair[team] = used[team]
			remaining -= used[team]
			continue
		}
		totalWeight += simulatedWeights[team]
	}
	difference := 0.0
	for team := range used {
		if s.waitingByTeam[team] > 0 {
			fair[team] = remaining * float64(simulatedWeights[team]) / float64(totalWeight)
		}
		difference += math.Abs(used[team] - fair[team])
	}
	return difference / 2
}

// meanShareDistance returns the result of a simulation of 180 s with seed 7 under the policy.
func meanShareDistance(policy string) float64 {
	options := DefaultOptions()
	options.MaxStarts = 0
	policies := map[string]func(*Snapshot) []Start{
		"shares": func(s *Snapshot) []Start { return Compute(s, options).Starts },
		"fcfs":   func(s *Snapshot) []Start { return naivePlan(s, byAge).plan.Starts },
		"strict": func(s *Snapshot) []Start { return naivePlan(s, byTeam).plan.Starts },
	}
	return newSimulation(7).run(180, policies[policy])
}

// Guards against a planner that keeps teams further from their fair shares than simpler policies do.
func TestNearerToShareThanSimplerPolicies(t *testing.T) {
	shares, fcfs, strict := meanShareDistance("shares"), meanShareDistance("fcfs"), meanShareDistance("strict")
	t.Logf("mean distance from share: shares %.3f, first come first served %.3f, strict priority %.3f", shares, fcfs, strict)
	assert.Assert(t, shares < fcfs/2 && shares < strict/2)
}

// Guards against a batch job that waits forever behind a stream of small standard and urgent jobs: a job that
// needs a whole worker must start within the bound that aging and preemption give.
func TestAgingBoundsTheWait(t *testing.T) {
	source := Source{Queue: NewQueue(), Cache: NewCache(), Health: NewHealth(), Teams: []Team{{"batch", 1, 100}, {"busy", 1, 1 << 30}}}
	source.Cache.SetWorkers([]WorkerSpec{{"w1", "counts", Vector{1000, 1000, 0}}, {"w2", "counts", Vector{1000, 1000, 0}}})
	start := time.Unix(0, 0)
	source.Queue.Put(QueueKey{"counts", "batch", v1.JobClass_JOB_CLASS_BATCH}, &WaitingJob{Job: "large", Units: 1, Declared: Vector{1000, 1000, 0}, FirstSeen: start})
	options := DefaultOptions()
	urgentRun := 5 * time.Second
	bound := options.AgingAfter + options.PreemptAfter + urgentRun + 2*time.Second
	stopping := map[string]string{}
	for second := 0; ; second++ {
		now := start.Add(time.Duration(second) * time.Second)
		assert.Assert(t, now.Sub(start) <= bound, "job large still waits after the bound")
		for victim := range stopping {
			source.Cache.RemoveTask(victim)
		}
		clear(stopping)
		source.Cache.RemoveTask(fmt.Sprintf("small-%d-0", second-int(urgentRun/time.Second)))
		for i := range 8 {
			class := v1.JobClass_JOB_CLASS_STANDARD
			if i%8 == 0 {
				class = v1.JobClass_JOB_CLASS_URGENT
			}
			id := fmt.Sprintf("small-%d-%d", second, i)
			source.Queue.Put(QueueKey{"counts", "busy", class}, &WaitingJob{Job: id, Units: 1, Declared: Vector{300, 300, 0}, SubmitOffset: int64(8*second + i + 1), FirstSeen: now})
		}
		snapshot := source.Snapshot(now, []string{"counts"})
		plan := Compute(snapshot, options)
		for _, s := range plan.Starts {
			if s.Job == "large" {
				return
			}
			job, key, _ := source.Queue.Find(s.Job)
			source.Queue.Remove(s.Job)
			// Urgent jobs end after urgentRun; standard jobs end only when they are preempted.
			source.Cache.AddTask(Task{Job: s.Job, Team: key.Team, Pool: "counts", Worker: s.Worker, Class: key.Class, Declared: job.Declared}, now)
		}
		for _, p := range plan.Preemptions {
			source.Claims = slices.DeleteFunc(source.Claims, func(c ClaimSpec) bool { _, _, found := source.Queue.Find(c.Job); return !found })
			source.Claims = append(source.Claims, ClaimSpec{Job: p.Preemptor.Job, Worker: p.Worker, Size: p.Size})
			for _, victim := range p.Victims {
				stopping[victim.Job] = p.Preemptor.Job
			}
		}
	}
}
