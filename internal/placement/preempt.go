package placement

import (
	"cmp"
	"slices"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// preemptionOption is a way to make room on one worker.
type preemptionOption struct {
	worker  int
	victims []RunningJob
	// lastPosition is the place of the last needed team in the order of distance above the share.
	lastPosition int
	stop         bool
	// protected counts victims that were preempted MaxPreemptions times already.
	protected int
}

// better prefers fewer exempt victims, then victims of the teams furthest above their share, then
// throttling to stopping, then fewer victims.
func (o *preemptionOption) better(other *preemptionOption) bool {
	return cmp.Or(
		cmp.Compare(o.protected, other.protected),
		cmp.Compare(o.lastPosition, other.lastPosition),
		compareBool(o.stop, other.stop),
		cmp.Compare(len(o.victims), len(other.victims)),
	) < 0
}

// preempt makes room for the job and reports whether there is a way. Room is kept from others by
// taking the job's size from the worker at once.
func (p *poolCycle) preempt(job *WaitingJob, team int, s shape) bool {
	if !p.mayFindVictims(team, s) {
		return false
	}
	places := p.teamPositions()
	var best *preemptionOption
	for i := range p.pool.Workers {
		w := &p.pool.Workers[i]
		if p.startsLeft[i] <= 0 || p.reserved[i] || !s.declared.Fits(w.Capacity) || slices.Contains(job.Avoid, w.Name) {
			continue
		}
		for _, stop := range []bool{false, true} {
			found := p.findVictims(i, team, s.sizeOn(w.Capacity), places, stop)
			if found != nil && (best == nil || found.better(best)) {
				best = found
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

// mayFindVictims reports whether looking for victims is worth while. Victims only become fewer within a cycle.
func (p *poolCycle) mayFindVictims(team int, s shape) bool {
	if p.preemptions >= p.options.MaxPreemptionsPerPool {
		return false
	}
	return !slices.ContainsFunc(p.unpreemptable[team], s.atLeast)
}

// addPreemption adds the preemption to the plan.
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

// teamPositions returns the place of each team in the order of distance above its share, from 0.
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
	places := make([]int, len(teams))
	for place, team := range teams {
		places[team] = place
	}
	return places
}

// findVictims returns the smallest set of victims on the worker, taken in order of their teams'
// places, that makes room for the size by throttling or stopping them.
func (p *poolCycle) findVictims(worker, team int, size Vector, places []int, stop bool) *preemptionOption {
	short := size.Minus(p.free[worker])
	if !stop && (size[Memory] > 0 && short[Memory] > 0 || size[Accelerators] > 0 && short[Accelerators] > 0) {
		return nil
	}
	found := &preemptionOption{worker: worker, stop: stop}
	room := p.free[worker]
	for _, victim := range p.victimCandidates(worker, team, places) {
		if size.Fits(room) {
			break
		}
		freed := freedBy(victim, stop)
		if freed == (Vector{}) {
			continue
		}
		room = room.Plus(freed)
		found.victims = append(found.victims, victim)
	}
	if len(found.victims) == 0 || !size.Fits(room) {
		return nil
	}
	found.prune(room, size)
	found.score(places)
	return found
}

// prune drops victims that turned out not to be needed, the least suitable first.
func (o *preemptionOption) prune(room, size Vector) {
	for i := len(o.victims) - 1; i >= 0; i-- {
		without := room.Minus(freedBy(o.victims[i], o.stop))
		if size.Fits(without) {
			room = without
			o.victims = slices.Delete(o.victims, i, i+1)
		}
	}
}

func (o *preemptionOption) score(places []int) {
	for _, victim := range o.victims {
		o.lastPosition = max(o.lastPosition, places[victim.Team])
		if victim.Preemptions >= ProtectAfterPreemptions {
			o.protected++
		}
	}
}

// victimCandidates returns the possible victims on a worker: first those that were preempted less than
// MaxPreemptions times, then in order of their teams' places, batch before standard, youngest first.
func (p *poolCycle) victimCandidates(worker, team int, places []int) []RunningJob {
	var list []RunningJob
	for _, running := range p.pool.Workers[worker].Running {
		if running.Terminating || running.Class == v1.JobClass_JOB_CLASS_URGENT || p.chosenVictims[running.Job] {
			continue
		}
		if p.mayPreemptTeam(team, running.Team) {
			list = append(list, running)
		}
	}
	slices.SortFunc(list, func(a, b RunningJob) int {
		return cmp.Or(
			compareBool(a.Preemptions >= ProtectAfterPreemptions, b.Preemptions >= ProtectAfterPreemptions),
			cmp.Compare(places[a.Team], places[b.Team]),
			cmp.Compare(a.Class, b.Class),
			cmp.Compare(b.StartOffset, a.StartOffset),
			cmp.Compare(a.Job, b.Job),
		)
	})
	return list
}

// mayPreemptTeam keeps a team that exceeds its share by urgent jobs from displacing teams that don't:
// a victim's team is above its share or relatively further above than the job's, or the same one.
func (p *poolCycle) mayPreemptTeam(team, victim int) bool {
	return team == victim || p.aboveFairShare(victim) || p.weightedDominantShare(victim) > p.weightedDominantShare(team)
}

// freedBy returns what becomes free when the victim is throttled or stopped.
func freedBy(victim RunningJob, stop bool) Vector {
	if stop {
		return victim.Size
	}
	if victim.Throttled {
		return Vector{}
	}
	return Vector{CPU: victim.Size[CPU] - int64(float64(victim.Size[CPU])*ThrottledCPUFraction)}
}
