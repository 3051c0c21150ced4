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

// drawSnapshot draws a snapshot of one pool with few workers and many jobs of irregular sizes, some of them
// aged and none overdue. Urgent jobs are included only if withUrgent is set.
func drawSnapshot(t *rapid.T, withUrgent bool) *Snapshot {
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
			if class == v1.JobClass_JOB_CLASS_URGENT && !withUrgent {
				break
			}
			pool.Buckets = append(pool.Buckets, drawBucket(t, team, class, &offset))
		}
	}
	s.Pools = []Pool{pool}
	return s
}

// drawBucket draws the waiting jobs of a team and class. Their offsets continue from the given one.
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

// checkRepeatedly checks the property 20 times in each run of rapid, since some faults show only in rare cases:
// with jobs of two teams and two classes, or two victims of different size, on a nearly full worker.
func checkRepeatedly(t *testing.T, property func(*rapid.T)) {
	rapid.Check(t, func(t *rapid.T) {
		for range 20 {
			property(t)
		}
	})
}

// naiveJob is a waiting job with the attributes of its bucket, as the naive planner uses it.
type naiveJob struct {
	*WaitingJob
	team  int
	class v1.JobClass
	ratio UsageRatio
}

// naiveCompare defines the order in which the naive planner places jobs. It may depend on the teams' current
// shares, which p holds.
type naiveCompare func(p *poolCycle, a, b naiveJob) int

// byRankShareAge orders jobs like the planner under test does.
func byRankShareAge(p *poolCycle, a, b naiveJob) int {
	left, right := cursorKey{rank: p.rankOf(a.WaitingJob, a.class)}, cursorKey{rank: p.rankOf(b.WaitingJob, b.class)}
	if left.rank > rankAged || left.rank == rankUrgent {
		left.share = p.weightedDominantShare(a.team)
	}
	if right.rank > rankAged || right.rank == rankUrgent {
		right.share = p.weightedDominantShare(b.team)
	}
	return cmp.Or(cmp.Compare(left.rank, right.rank), cmp.Compare(left.share, right.share), cmp.Compare(a.SubmitOffset, b.SubmitOffset))
}

// byAge orders jobs first come, first served.
func byAge(_ *poolCycle, a, b naiveJob) int { return cmp.Compare(a.SubmitOffset, b.SubmitOffset) }

// byTeam gives teams strict priority in the order of their indexes.
func byTeam(_ *poolCycle, a, b naiveJob) int {
	return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.SubmitOffset, b.SubmitOffset))
}

// naivePlan is a simple reference implementation: it looks at all jobs again for each decision, without a
// heap or remembered shapes, and doesn't preempt.
func naivePlan(snapshot *Snapshot, compare naiveCompare) *poolCycle {
	c := &cycle{snapshot: snapshot, options: DefaultOptions()}
	for _, team := range snapshot.Teams {
		c.freeUnits = append(c.freeUnits, team.FreeUnits)
	}
	p := newPoolCycle(c, &snapshot.Pools[0])
	var jobs []naiveJob
	for _, b := range snapshot.Pools[0].Buckets {
		for _, job := range b.Jobs {
			jobs = append(jobs, naiveJob{job, b.Team, b.Class, b.Ratio})
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

// Guards against plans that exceed the capacity of workers or the units of teams, leave usable capacity free,
// or share less fairly than the naive planner: both must make the same plan.
func TestPlanAgreesWithNaive(t *testing.T) {
	checkRepeatedly(t, func(t *rapid.T) {
		snapshot := drawSnapshot(t, false)
		plan := Compute(snapshot, DefaultOptions())
		naive := naivePlan(snapshot, byRankShareAge)
		assert.DeepEqual(t, plan.Starts, naive.plan.Starts)
		freeCapacity, usedUnits := map[string]Vector{}, map[int]uint64{}
		unplaced := map[string]*WaitingJob{}
		for _, w := range snapshot.Pools[0].Workers {
			freeCapacity[w.Name] = w.Free
		}
		for _, b := range snapshot.Pools[0].Buckets {
			for _, job := range b.Jobs {
				unplaced[job.Job] = job
			}
		}
		for _, start := range plan.Starts {
			assert.Assert(t, start.Size.Fits(freeCapacity[start.Worker]), "start %+v doesn't fit in the free capacity %v", start, freeCapacity[start.Worker])
			freeCapacity[start.Worker] = freeCapacity[start.Worker].Minus(start.Size)
			usedUnits[start.Team] += unplaced[start.Job].Units
			delete(unplaced, start.Job)
		}
		for team, used := range usedUnits {
			assert.Assert(t, used <= snapshot.Teams[team].FreeUnits)
		}
		checkWorkConserving(t, snapshot, naive, unplaced, usedUnits)
	})
}

// checkWorkConserving checks that the jobs that weren't placed fit only on workers that are reserved or may
// get no more starts.
func checkWorkConserving(t *rapid.T, snapshot *Snapshot, naive *poolCycle, unplaced map[string]*WaitingJob, usedUnits map[int]uint64) {
	for _, b := range snapshot.Pools[0].Buckets {
		for _, job := range b.Jobs {
			if unplaced[job.Job] == nil || job.Units > snapshot.Teams[b.Team].FreeUnits-usedUnits[b.Team] {
				continue
			}
			for i, w := range snapshot.Pools[0].Workers {
				size := shapeOf(job, b.Ratio)
				fits := size.declared.Fits(w.Capacity) && size.sizeOn(w.Capacity).Fits(naive.free[i]) && !slices.Contains(job.Avoid, w.Name)
				assert.Assert(t, !fits || naive.reserved[i] || naive.startsLeft[i] <= 0, "job %s wasn't placed, though it fits on worker %s", job.Job, w.Name)
			}
		}
	}
}

// Guards against victims that aren't needed, that are urgent, or whose team is less far above its share than
// the teams of other victims that would suffice.
func TestPreemptionIsMinimal(t *testing.T) {
	checkRepeatedly(t, func(t *rapid.T) {
		snapshot := drawSnapshot(t, true)
		pool := &snapshot.Pools[0]
		pool.Buckets = []Bucket{{Team: 0, Class: v1.JobClass_JOB_CLASS_URGENT, Ratio: UsageRatio{1, 1, 1}, Jobs: []*WaitingJob{{
			Job: "urgent", Units: 1, Declared: Vector{rapid.Int64Range(1, 6).Draw(t, "need"), 1, 0}, FirstSeen: testNow,
		}}}}
		snapshot.Teams[0].FreeUnits = 1
		plan := Compute(snapshot, DefaultOptions())
		p := newPoolCycle(&cycle{snapshot: snapshot, options: DefaultOptions()}, pool)
		positions := p.teamPositions()
		if len(plan.Preemptions) == 0 {
			if len(plan.Starts) == 0 {
				assert.Equal(t, lowestSufficientPosition(p, positions), len(positions), "no preemption was planned, though there are enough victims")
			}
			return
		}
		chosen := plan.Preemptions[0]
		index, _ := p.workerIndex(chosen.Worker)
		available, protected, lastPosition := p.free[index], 0, 0
		var victims []RunningJob
		for _, r := range pool.Workers[index].Running {
			if slices.ContainsFunc(chosen.Victims, func(v Victim) bool { return v.Job == r.Job }) {
				victims = append(victims, r)
				available = available.Plus(freedBy(r, chosen.Stop))
				lastPosition = max(lastPosition, positions[r.Team])
				assert.Assert(t, r.Class != v1.JobClass_JOB_CLASS_URGENT)
				if r.Preemptions >= ProtectAfterPreemptions {
					protected++
				}
			}
		}
		assert.Assert(t, chosen.Size.Fits(available))
		for _, r := range victims {
			assert.Assert(t, !chosen.Size.Fits(available.Minus(freedBy(r, chosen.Stop))), "victim %s isn't needed", r.Job)
		}
		if protected == 0 {
			assert.Assert(t, lastPosition <= lowestSufficientPosition(p, positions), "victims of teams further above their share would suffice")
		}
	})
}

// lowestSufficientPosition returns the lowest position such that stopping all jobs of the teams up to it
// makes room on some worker. Jobs that are protected by their number of preemptions aren't stopped. It
// returns the number of teams if there is no such position.
func lowestSufficientPosition(p *poolCycle, positions []int) int {
	job := p.pool.Buckets[0].Jobs[0]
	size := shapeOf(job, p.pool.Buckets[0].Ratio)
	for position := range positions {
		for _, w := range p.pool.Workers {
			available := w.Free
			for _, r := range w.Running {
				if positions[r.Team] <= position && r.Class != v1.JobClass_JOB_CLASS_URGENT && r.Preemptions < ProtectAfterPreemptions && p.mayPreemptTeam(0, r.Team) {
					available = available.Plus(r.Size)
				}
			}
			if w.MaxStarts > 0 && size.declared.Fits(w.Capacity) && size.sizeOn(w.Capacity).Fits(available) {
				return position
			}
		}
	}
	return len(positions)
}
