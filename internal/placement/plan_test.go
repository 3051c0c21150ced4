package placement

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	v1 "turmericyoke/api/turmericyoke/v1"
)

var testNow = time.Unix(10000, 0)

// drawSnapshot draws one pool with few workers and many odd jobs. Urgent and overdue jobs are left out on request.
func drawSnapshot(t *rapid.T, urgent bool) *Snapshot {
	s := &Snapshot{Now: testNow}
	pool := Pool{Name: "tallies"}
	for i := range rapid.IntRange(1, 4).Draw(t, "teams") {
		s.Teams = append(s.Teams, Team{Name: fmt.Sprintf("t%d", i), Weight: rapid.IntRange(1, 4).Draw(t, "share"), FreeUnits: rapid.Uint64Range(0, 12).Draw(t, "free")})
	}
	pool.Used = make([]Vector, len(s.Teams))
	offset := int64(0)
	for i := range rapid.IntRange(1, 5).Draw(t, "workers") {
		w := Worker{Name: fmt.Sprintf("w%d", i), Capacity: Vector{8, 8, int64(i % 2)}, MaxStarts: rapid.SampledFrom([]int{0, 1, unlimitedStarts, unlimitedStarts}).Draw(t, "limit")}
		w.Free = w.Capacity
		for range rapid.IntRange(0, 4).Draw(t, "running") {
			offset++
			r := RunningJob{
				Job: fmt.Sprintf("r%d", offset), Team: rapid.IntRange(0, len(s.Teams)-1).Draw(t, "team"), StartOffset: offset,
				Class: v1.JobClass(rapid.Int32Range(1, 3).Draw(t, "class")), Size: Vector{rapid.Int64Range(1, 4).Draw(t, "cpu"), rapid.Int64Range(1, 4).Draw(t, "mem"), 0},
				Preemptions: rapid.Uint32Range(0, 3).Draw(t, "preemptions"),
			}
			w.Free = w.Free.Minus(r.Size)
			pool.Used[r.Team] = pool.Used[r.Team].Plus(r.Size)
			w.Running = append(w.Running, r)
		}
		pool.Workers = append(pool.Workers, w)
	}
	for team := range s.Teams {
		for class := v1.JobClass_JOB_CLASS_BATCH; class <= v1.JobClass_JOB_CLASS_URGENT; class++ {
			if class == v1.JobClass_JOB_CLASS_URGENT && !urgent {
				break
			}
			pool.Buckets = append(pool.Buckets, drawBucket(t, team, class, &offset))
		}
	}
	s.Pools = []Pool{pool}
	return s
}

func drawBucket(t *rapid.T, team int, class v1.JobClass, offset *int64) Bucket {
	b := Bucket{Team: team, Class: class, Ratio: UsageRatio{rapid.Float64Range(0.2, 3).Draw(t, "ratio"), 1 / (1 + SafetyMargin), 1}}
	since := testNow.Add(-time.Duration(rapid.IntRange(0, 14).Draw(t, "waited")) * time.Minute)
	for range rapid.IntRange(0, 6).Draw(t, "jobs") {
		*offset += int64(rapid.IntRange(1, 100).Draw(t, "gap"))
		job := &WaitingJob{
			Job: fmt.Sprintf("j%d", *offset), Attempt: 1, Units: rapid.Uint64Range(1, 4).Draw(t, "units"), SubmitOffset: *offset, FirstSeen: since,
			Declared: Vector{rapid.Int64Range(1, 9).Draw(t, "cpu"), rapid.Int64Range(1, 8).Draw(t, "mem"), rapid.Int64Range(0, 1).Draw(t, "acc")},
		}
		if rapid.IntRange(0, 4).Draw(t, "avoids") == 0 {
			job.Avoid = []string{"w0"}
		}
		b.Jobs = append(b.Jobs, job)
	}
	return b
}

// checkRepeatedly checks many small cases, since some faults need two teams with jobs of two classes, or
// two victims of different size, on a nearly full worker.
func checkRepeatedly(t *testing.T, property func(*rapid.T)) {
	rapid.Check(t, func(t *rapid.T) {
		for range 20 {
			property(t)
		}
	})
}

// naiveJob is one waiting job of the naive planner.
type naiveJob struct {
	*WaitingJob
	team  int
	class v1.JobClass
	ratio UsageRatio
}

// naiveCompare compares two jobs given the dominant shares of their teams.
type naiveCompare func(p *poolCycle, a, b naiveJob) int

func byClassShareAge(p *poolCycle, a, b naiveJob) int {
	left, right := cursorKey{rank: p.rankOf(a.WaitingJob, a.class)}, cursorKey{rank: p.rankOf(b.WaitingJob, b.class)}
	if left.rank > rankAged || left.rank == rankUrgent {
		left.share = p.weightedDominantShare(a.team)
	}
	if right.rank > rankAged || right.rank == rankUrgent {
		right.share = p.weightedDominantShare(b.team)
	}
	return cmp.Or(cmp.Compare(left.rank, right.rank), cmp.Compare(left.share, right.share), cmp.Compare(a.SubmitOffset, b.SubmitOffset))
}

func byAge(_ *poolCycle, a, b naiveJob) int { return cmp.Compare(a.SubmitOffset, b.SubmitOffset) }

func byTeam(_ *poolCycle, a, b naiveJob) int {
	return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.SubmitOffset, b.SubmitOffset))
}

// naivePlan takes all jobs anew for each decision, without a heap or remembered sizes.
func naivePlan(s *Snapshot, compare naiveCompare) *poolCycle {
	c := &cycle{snapshot: s, options: DefaultOptions()}
	for _, team := range s.Teams {
		c.freeUnits = append(c.freeUnits, team.FreeUnits)
	}
	p := newPoolCycle(c, &s.Pools[0])
	var jobs []naiveJob
	for _, b := range s.Pools[0].Buckets {
		for _, w := range b.Jobs {
			jobs = append(jobs, naiveJob{w, b.Team, b.Class, b.Ratio})
		}
	}
	for len(jobs) > 0 {
		next := slices.MinFunc(jobs, func(a, b naiveJob) int { return compare(p, a, b) })
		jobs = slices.DeleteFunc(jobs, func(j naiveJob) bool { return j.WaitingJob == next.WaitingJob })
		if next.Units > p.freeUnits[next.team] {
			continue
		}
		s := shapeOf(next.WaitingJob, next.ratio)
		p.unplaceable = nil
		if worker, found := p.bestFit(next.WaitingJob, s); found {
			p.start(next.WaitingJob, next.team, worker, s.sizeOn(p.pool.Workers[worker].Capacity), false)
		} else if p.rankOf(next.WaitingJob, next.class) == rankAged {
			p.reserveWorker(next.WaitingJob, s)
		}
	}
	return p
}

// Guards against plans that exceed workers or units, leave room unused, or are further from the
// shares than the naive planner: the plan must be the same as the naive one.
func TestPlanAgreesWithNaive(t *testing.T) {
	checkRepeatedly(t, func(t *rapid.T) {
		s := drawSnapshot(t, false)
		plan := Compute(s, DefaultOptions())
		naive := naivePlan(s, byClassShareAge)
		assert.DeepEqual(t, plan.Starts, naive.plan.Starts)
		free, units := map[string]Vector{}, map[int]uint64{}
		waiting := map[string]*WaitingJob{}
		for _, w := range s.Pools[0].Workers {
			free[w.Name] = w.Free
		}
		for _, b := range s.Pools[0].Buckets {
			for _, job := range b.Jobs {
				waiting[job.Job] = job
			}
		}
		for _, start := range plan.Starts {
			assert.Assert(t, start.Size.Fits(free[start.Worker]), "%+v on %v", start, free[start.Worker])
			free[start.Worker] = free[start.Worker].Minus(start.Size)
			units[start.Team] += waiting[start.Job].Units
			delete(waiting, start.Job)
		}
		for team, used := range units {
			assert.Assert(t, used <= s.Teams[team].FreeUnits)
		}
		checkWorkConserving(t, s, naive, waiting, units)
	})
}

// checkWorkConserving checks that what still waits fits nowhere but on reserved or limited workers.
func checkWorkConserving(t *rapid.T, s *Snapshot, naive *poolCycle, waiting map[string]*WaitingJob, units map[int]uint64) {
	for _, b := range s.Pools[0].Buckets {
		for _, job := range b.Jobs {
			if waiting[job.Job] == nil || job.Units > s.Teams[b.Team].FreeUnits-units[b.Team] {
				continue
			}
			for i, w := range s.Pools[0].Workers {
				sh := shapeOf(job, b.Ratio)
				fits := sh.declared.Fits(w.Capacity) && sh.sizeOn(w.Capacity).Fits(naive.free[i]) && !slices.Contains(job.Avoid, w.Name)
				assert.Assert(t, !fits || naive.reserved[i] || naive.startsLeft[i] <= 0, "%s fits on %s", job.Job, w.Name)
			}
		}
	}
}

// Guards against victims that aren't needed, that are urgent, or whose team is nearer to its share
// than that of other sufficient victims.
func TestPreemptionIsMinimal(t *testing.T) {
	checkRepeatedly(t, func(t *rapid.T) {
		s := drawSnapshot(t, true)
		pool := &s.Pools[0]
		pool.Buckets = []Bucket{{Team: 0, Class: v1.JobClass_JOB_CLASS_URGENT, Ratio: UsageRatio{1, 1, 1}, Jobs: []*WaitingJob{{
			Job: "urgent", Units: 1, Declared: Vector{rapid.Int64Range(1, 6).Draw(t, "need"), 1, 0}, FirstSeen: testNow,
		}}}}
		s.Teams[0].FreeUnits = 1
		plan := Compute(s, DefaultOptions())
		p := newPoolCycle(&cycle{snapshot: s, options: DefaultOptions()}, pool)
		places := p.teamPositions()
		if len(plan.Preemptions) == 0 {
			if len(plan.Starts) == 0 {
				assert.Equal(t, lowestSufficientPosition(p, places), len(places), "victims were left out")
			}
			return
		}
		chosen := plan.Preemptions[0]
		index, _ := p.workerIndex(chosen.Worker)
		room, exempt, worst := p.free[index], 0, 0
		var victims []RunningJob
		for _, r := range pool.Workers[index].Running {
			if slices.ContainsFunc(chosen.Victims, func(v Victim) bool { return v.Job == r.Job }) {
				victims = append(victims, r)
				room = room.Plus(freedBy(r, chosen.Stop))
				worst = max(worst, places[r.Team])
				assert.Assert(t, r.Class != v1.JobClass_JOB_CLASS_URGENT)
				if r.Preemptions >= ProtectAfterPreemptions {
					exempt++
				}
			}
		}
		assert.Assert(t, chosen.Size.Fits(room))
		for _, r := range victims {
			assert.Assert(t, !chosen.Size.Fits(room.Minus(freedBy(r, chosen.Stop))), "%s isn't needed", r.Job)
		}
		if exempt == 0 {
			assert.Assert(t, worst <= lowestSufficientPosition(p, places), "teams further above their share suffice")
		}
	})
}

// lowestSufficientPosition returns the lowest place so that stopping all jobs of teams up to it makes room on
// some worker, without victims that were preempted often.
func lowestSufficientPosition(p *poolCycle, places []int) int {
	job := p.pool.Buckets[0].Jobs[0]
	size := shapeOf(job, p.pool.Buckets[0].Ratio)
	for place := range places {
		for _, w := range p.pool.Workers {
			room := w.Free
			for _, r := range w.Running {
				if places[r.Team] <= place && r.Class != v1.JobClass_JOB_CLASS_URGENT && r.Preemptions < ProtectAfterPreemptions && p.mayPreemptTeam(0, r.Team) {
					room = room.Plus(r.Size)
				}
			}
			if w.MaxStarts > 0 && size.declared.Fits(w.Capacity) && size.sizeOn(w.Capacity).Fits(room) {
				return place
			}
		}
	}
	return len(places)
}
