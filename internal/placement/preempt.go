package placement

import (
	"cmp"
	"slices"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// preemptionOption is a set of victims that makes room on one worker.
type preemptionOption struct {
	worker  int
	victims []RunningJob
	// lastPosition is the highest position of a victim's team; see teamPositions.
	lastPosition int
	stop         bool
	// protected counts the victims that were already preempted ProtectAfterPreemptions times.
	protected int
}

// better reports whether o is preferable to other: fewer protected victims, then victims of the teams furthest
// above their share, then throttling rather than stopping, then fewer victims.
func (o *preemptionOption) better(other *preemptionOption) bool {
	return cmp.Or(
		cmp.Compare(o.protected, other.protected),
		cmp.Compare(o.lastPosition, other.lastPosition),
		compareBool(o.stop, other.stop),
		cmp.Compare(len(o.victims), len(other.victims)),
	) < 0
}

// preempt adds the best preemption for the job to the plan and reports whether there is one. The job's size is
// subtracted from the worker's free capacity at once, so that no other job takes it.
func (p *poolCycle) preempt(job *WaitingJob, team int, s shape) bool {
	if !p.mayFindVictims(team, s) {
		return false
	}
	positions := p.teamPositions()
	var best *preemptionOption
	for i := range p.pool.Workers {
		w := &p.pool.Workers[i]
		if p.startsLeft[i] <= 0 || p.reserved[i] || !s.declared.Fits(w.Capacity) || slices.Contains(job.Avoid, w.Name) {
			continue
		}
		for _, stop := range []bool{false, true} {
			option := p.findVictims(i, team, s.sizeOn(w.Capacity), positions, stop)
			if option != nil && (best == nil || option.better(best)) {
				best = option
			}
		}
	}
	if best == nil {
		p.unpreemptable[team] = append(p.unpreemptable[team], s)
		return false
	}
	p.preemptions++
	p.addPreemption(job, team, s, best)
	return true
}

// mayFindVictims reports whether a search for victims is worthwhile. It isn't once the plan has its limit of
// preemptions in the pool, nor for a shape at least as large as one for which the team found no victims, since
// the possible victims only become fewer within a cycle.
func (p *poolCycle) mayFindVictims(team int, s shape) bool {
	if p.preemptions >= p.options.MaxPreemptionsPerPool {
		return false
	}
	return !slices.ContainsFunc(p.unpreemptable[team], s.atLeast)
}

// addPreemption adds the chosen preemption to the plan and accounts for it.
func (p *poolCycle) addPreemption(job *WaitingJob, team int, s shape, chosen *preemptionOption) {
	w := &p.pool.Workers[chosen.worker]
	size := s.sizeOn(w.Capacity)
	preemption := Preemption{
		Preemptor: job, Team: team, Size: size, Pool: p.pool.Name, Worker: w.Name, Stop: chosen.stop,
	}
	for _, victim := range chosen.victims {
		p.chosenVictims[victim.Job] = true
		p.used[victim.Team] = p.used[victim.Team].Minus(freedBy(victim, chosen.stop))
		preemption.Victims = append(preemption.Victims, Victim{Job: victim.Job, Attempt: victim.Attempt, Team: victim.Team})
	}
	p.free[chosen.worker] = p.free[chosen.worker].Minus(size)
	p.used[team] = p.used[team].Plus(size)
	p.freeUnits[team] -= job.Units
	p.plan.Preemptions = append(p.plan.Preemptions, preemption)
}

// teamPositions returns the position of each team, from 0, when teams are sorted by weighted dominant share,
// the highest first. Victims are taken from the teams with the lowest positions.
func (p *poolCycle) teamPositions() []int {
	teams := make([]int, len(p.used))
	shares := make([]float64, len(p.used))
	for i := range teams {
		teams[i] = i
		shares[i] = p.weightedDominantShare(i)
	}
	slices.SortFunc(teams, func(a, b int) int {
		return cmp.Or(cmp.Compare(shares[b], shares[a]), cmp.Compare(a, b))
	})
	positions := make([]int, len(teams))
	for position, team := range teams {
		positions[team] = position
	}
	return positions
}

// findVictims returns a minimal set of victims on the worker that makes room for the size when they are
// throttled or stopped, or nil if there is none. Victims are taken in the order of victimCandidates.
// Throttling frees no memory or accelerators.
func (p *poolCycle) findVictims(worker, team int, size Vector, positions []int, stop bool) *preemptionOption {
	missing := size.Minus(p.free[worker])
	if !stop && (size[Memory] > 0 && missing[Memory] > 0 || size[Accelerators] > 0 && missing[Accelerators] > 0) {
		return nil
	}
	option := &preemptionOption{worker: worker, stop: stop}
	available := p.free[worker]
	for _, victim := range p.victimCandidates(worker, team, positions) {
		if size.Fits(available) {
			break
		}
		freed := freedBy(victim, stop)
		if freed == (Vector{}) {
			continue
		}
		available = available.Plus(freed)
		option.victims = append(option.victims, victim)
	}
	if len(option.victims) == 0 || !size.Fits(available) {
		return nil
	}
	option.prune(available, size)
	option.score(positions)
	return option
}

// prune drops the victims without which the size still fits in the available capacity, the least suitable
// first.
func (o *preemptionOption) prune(available, size Vector) {
	for i := len(o.victims) - 1; i >= 0; i-- {
		without := available.Minus(freedBy(o.victims[i], o.stop))
		if size.Fits(without) {
			available = without
			o.victims = slices.Delete(o.victims, i, i+1)
		}
	}
}

// score computes the criteria by which better compares options.
func (o *preemptionOption) score(positions []int) {
	for _, victim := range o.victims {
		o.lastPosition = max(o.lastPosition, positions[victim.Team])
		if victim.Preemptions >= ProtectAfterPreemptions {
			o.protected++
		}
	}
}

// victimCandidates returns the possible victims on a worker for a job of the team. Jobs that were preempted
// fewer than ProtectAfterPreemptions times come first, then those of teams with lower positions, then batch
// before standard, then the most recently started.
func (p *poolCycle) victimCandidates(worker, team int, positions []int) []RunningJob {
	var victims []RunningJob
	for _, running := range p.pool.Workers[worker].Running {
		if running.Terminating || running.Class == v1.JobClass_JOB_CLASS_URGENT || p.chosenVictims[running.Job] {
			continue
		}
		if p.mayPreemptTeam(team, running.Team) {
			victims = append(victims, running)
		}
	}
	slices.SortFunc(victims, func(a, b RunningJob) int {
		return cmp.Or(
			compareBool(a.Preemptions >= ProtectAfterPreemptions, b.Preemptions >= ProtectAfterPreemptions),
			cmp.Compare(positions[a.Team], positions[b.Team]),
			cmp.Compare(a.Class, b.Class),
			cmp.Compare(b.StartOffset, a.StartOffset),
			cmp.Compare(a.Job, b.Job),
		)
	})
	return victims
}

// mayPreemptTeam reports whether jobs of the team may preempt jobs of the victim's team. The latter must be the
// same team, or above its fair share, or have the higher weighted dominant share. A team that exceeds its share
// with urgent jobs therefore can't displace teams that don't exceed theirs.
func (p *poolCycle) mayPreemptTeam(team, victim int) bool {
	return team == victim || p.aboveFairShare(victim) || p.weightedDominantShare(victim) > p.weightedDominantShare(team)
}

// freedBy returns the capacity that becomes free when the victim is throttled, or stopped if stop is set.
func freedBy(victim RunningJob, stop bool) Vector {
	if stop {
		return victim.Size
	}
	if victim.Throttled {
		return Vector{}
	}
	return Vector{CPU: victim.Size[CPU] - int64(float64(victim.Size[CPU])*ThrottledCPUFraction)}
}
