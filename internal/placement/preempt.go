package placement

import (
	"cmp"
	"slices"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// option is a way to make room on one worker.
type option struct {
	worker  int
	victims []Running
	// worst is the place of the last needed team in the order of distance above the share.
	worst int
	stop  bool
	// exempt counts victims that were preempted MaxPreemptions times already.
	exempt int
}

// better prefers fewer exempt victims, then victims of the teams furthest above their share, then
// throttling to stopping, then fewer victims.
func (o *option) better(other *option) bool {
	return cmp.Or(
		cmp.Compare(o.exempt, other.exempt),
		cmp.Compare(o.worst, other.worst),
		order(o.stop, other.stop),
		cmp.Compare(len(o.victims), len(other.victims)),
	) < 0
}

// preempt makes room for the job and reports whether there is a way. Room is kept from others by
// taking the job's size from the worker at once.
func (p *poolCycle) preempt(job *WaitingJob, team int, s shape) bool {
	if !p.mayPreemptMore(team, s) {
		return false
	}
	places := p.teamPlaces()
	var best *option
	for i := range p.pool.Workers {
		w := &p.pool.Workers[i]
		if p.limit[i] <= 0 || p.reserved[i] || !s.declared.Fits(w.Capacity) || slices.Contains(job.Avoid, w.Name) {
			continue
		}
		for _, stop := range []bool{false, true} {
			found := p.makeRoom(i, team, s.on(w.Capacity), places, stop)
			if found != nil && (best == nil || found.better(best)) {
				best = found
			}
		}
	}
	if best == nil {
		p.immovable[team] = append(p.immovable[team], s)
		return false
	}
	p.preemptions++
	p.take(job, team, s, best)
	return true
}

// mayPreemptMore reports whether looking for victims is worth while. Victims only become fewer within a cycle.
func (p *poolCycle) mayPreemptMore(team int, s shape) bool {
	if p.preemptions >= p.options.MaxPreemptions {
		return false
	}
	return !slices.ContainsFunc(p.immovable[team], s.atLeast)
}

// take adds the preemption to the plan.
func (p *poolCycle) take(job *WaitingJob, team int, s shape, chosen *option) {
	w := &p.pool.Workers[chosen.worker]
	size := s.on(w.Capacity)
	preemption := Preemption{
		Preemptor: job, Team: team, Size: size, Pool: p.pool.Name, Worker: w.Name, Stop: chosen.stop,
	}
	for _, victim := range chosen.victims {
		p.takenVictims[victim.Job] = true
		p.used[victim.Team] = p.used[victim.Team].Minus(gain(victim, chosen.stop))
		preemption.Victims = append(preemption.Victims, Victim{Job: victim.Job, Attempt: victim.Attempt, Team: victim.Team})
	}
	p.free[chosen.worker] = p.free[chosen.worker].Minus(size)
	p.used[team] = p.used[team].Plus(size)
	p.units[team] -= job.Units
	p.plan.Preemptions = append(p.plan.Preemptions, preemption)
}

// teamPlaces returns the place of each team in the order of distance above its share, from 0.
func (p *poolCycle) teamPlaces() []int {
	teams := make([]int, len(p.used))
	shares := make([]float64, len(p.used))
	for i := range teams {
		teams[i] = i
		shares[i] = p.dominant(i)
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

// makeRoom returns the smallest set of victims on the worker, taken in order of their teams'
// places, that makes room for the size by throttling or stopping them.
func (p *poolCycle) makeRoom(worker, team int, size Vector, places []int, stop bool) *option {
	short := size.Minus(p.free[worker])
	if !stop && (size[Memory] > 0 && short[Memory] > 0 || size[Accelerators] > 0 && short[Accelerators] > 0) {
		return nil
	}
	found := &option{worker: worker, stop: stop}
	room := p.free[worker]
	for _, victim := range p.candidates(worker, team, places) {
		if size.Fits(room) {
			break
		}
		freed := gain(victim, stop)
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
	found.rate(places)
	return found
}

// prune drops victims that turned out not to be needed, the least suitable first.
func (o *option) prune(room, size Vector) {
	for i := len(o.victims) - 1; i >= 0; i-- {
		without := room.Minus(gain(o.victims[i], o.stop))
		if size.Fits(without) {
			room = without
			o.victims = slices.Delete(o.victims, i, i+1)
		}
	}
}

func (o *option) rate(places []int) {
	for _, victim := range o.victims {
		o.worst = max(o.worst, places[victim.Team])
		if victim.Preemptions >= MaxPreemptions {
			o.exempt++
		}
	}
}

// candidates returns the possible victims on a worker: first those that were preempted less than
// MaxPreemptions times, then in order of their teams' places, batch before standard, youngest first.
func (p *poolCycle) candidates(worker, team int, places []int) []Running {
	var list []Running
	for _, running := range p.pool.Workers[worker].Running {
		if running.Terminating || running.Class == v1.JobClass_JOB_CLASS_URGENT || p.takenVictims[running.Job] {
			continue
		}
		if p.mayPreempt(team, running.Team) {
			list = append(list, running)
		}
	}
	slices.SortFunc(list, func(a, b Running) int {
		return cmp.Or(
			order(a.Preemptions >= MaxPreemptions, b.Preemptions >= MaxPreemptions),
			cmp.Compare(places[a.Team], places[b.Team]),
			cmp.Compare(a.Class, b.Class),
			cmp.Compare(b.StartOffset, a.StartOffset),
			cmp.Compare(a.Job, b.Job),
		)
	})
	return list
}

// mayPreempt keeps a team that exceeds its share by urgent jobs from displacing teams that don't:
// a victim's team is above its share or relatively further above than the job's, or the same one.
func (p *poolCycle) mayPreempt(team, victim int) bool {
	return team == victim || p.aboveShare(victim) || p.dominant(victim) > p.dominant(team)
}

// gain returns what becomes free when the victim is throttled or stopped.
func gain(victim Running, stop bool) Vector {
	if stop {
		return victim.Size
	}
	if victim.Throttled {
		return Vector{}
	}
	return Vector{CPU: victim.Size[CPU] - int64(float64(victim.Size[CPU])*ThrottledPart)}
}
