package wave

import (
	"context"
	"sort"
	"time"

	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/controller/stop"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/structs"
)

// passInterval is the time between two passes of the loop. It is short compared with a reboot, which takes
// minutes.
const passInterval = 2 * time.Second

// stallTimeout is how long a running wave may have no stopped host before it is paused for an operator. It is
// longer than an ordinary repair, so that an operator isn't needed when failures use up the budget for a
// while.
const stallTimeout = time.Hour

// Loop runs the waves of the fleet.
type Loop struct {
	deps        *fleet.Dependencies
	stopMachine *stop.Machine
	// idleSince holds, by wave, since when the running wave has had no stopped host.
	idleSince map[string]time.Time
	// firstCandidate holds, by wave, the candidate that is to be stopped first.
	firstCandidate map[string]waitingCandidate
	// skipUntil holds, by host, until when the host is skipped because a probe before its grant found it
	// unhealthy.
	skipUntil map[string]time.Time
	// runningSince holds, by wave, since when this controller has seen the wave running.
	runningSince map[string]time.Time
}

// waitingCandidate is the first candidate of a wave, and since when it has been first.
type waitingCandidate struct {
	name  string
	since time.Time
}

// skipTime is how long a host is skipped in favour of others after a probe before its grant found it
// unhealthy.
const skipTime = time.Minute

// New returns a loop that hasn't seen any wave yet.
func New(deps fleet.Dependencies) *Loop {
	l := &Loop{
		deps: &deps, idleSince: map[string]time.Time{}, firstCandidate: map[string]waitingCandidate{},
		skipUntil: map[string]time.Time{}, runningSince: map[string]time.Time{},
	}
	l.stopMachine = stop.New(l.deps)
	return l
}

// Run runs a pass every passInterval until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	return periodic.Every(ctx, passInterval, l.pass)
}

// passState is the part of the fleet state from which one pass decides.
type passState struct {
	granted      []inventory.Host
	waves        []runningWave
	maxRunTimes  map[string]time.Duration
	logReachable bool
	candidates   map[string][]Candidate
}

// runningWave is a running wave with the number of its pending and stopped hosts.
type runningWave struct {
	spec    structs.Wave
	pending int
	stopped int
}

// pass takes the granted hosts one step further, pauses waves whose hosts are overdue, and advances each
// running wave.
func (l *Loop) pass(ctx context.Context) {
	state := l.readState()
	reports := l.stopMachine.AdvanceStops(ctx, state.granted)
	l.updateRunningSince(state)
	l.pauseOverdue(ctx, state, reports)
	for _, wave := range state.waves {
		l.advance(ctx, state, wave)
	}
}

// readState copies what the pass needs, so that the state isn't locked during calls of the platform and the
// log.
func (l *Loop) readState() passState {
	state := passState{maxRunTimes: map[string]time.Duration{}, candidates: map[string][]Candidate{}}
	l.deps.Reader.Read(func(view fleet.View) {
		state.logReachable = view.LogReachable
		for name, pool := range view.Inventory.Pools {
			state.maxRunTimes[name] = pool.EffectiveMaxRunTime()
		}
		state.granted = view.Inventory.HostsInPhase(inventory.PhaseGranted)
		for name, wave := range view.Inventory.Waves {
			if wave.Phase != inventory.WaveRunning {
				continue
			}
			state.waves = append(state.waves, runningWave{spec: wave.Spec, pending: wave.Pending, stopped: len(wave.Stopped)})
			state.candidates[name] = Choose(view.Inventory, wave, l.skipped)
		}
	})
	sort.Slice(state.waves, func(i, j int) bool { return state.waves[i].spec.Name < state.waves[j].spec.Name })
	return state
}

// updateRunningSince records since when each wave has been running. The times of a resumed wave start anew.
func (l *Loop) updateRunningSince(state passState) {
	runningSince := make(map[string]time.Time, len(state.waves))
	for _, wave := range state.waves {
		since, known := l.runningSince[wave.spec.Name]
		if !known {
			since = l.deps.Clock()
			delete(l.idleSince, wave.spec.Name)
		}
		runningSince[wave.spec.Name] = since
	}
	l.runningSince = runningSince
}

// skipped reports whether the host is skipped because a recent probe before its grant found it unhealthy.
func (l *Loop) skipped(host string) bool {
	until, known := l.skipUntil[host]
	if known && l.deps.Clock().After(until) {
		delete(l.skipUntil, host)
		return false
	}
	return known
}
