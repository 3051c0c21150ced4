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

// passInterval is the time between two passes of the loop. A reboot takes minutes.
const passInterval = 2 * time.Second

// stallTimeout is how long a running wave may do nothing before it is paused for an operator. It is
// longer than an ordinary repair, so that a budget that is spent for a while doesn't need one.
const stallTimeout = time.Hour

// Loop runs the waves of the fleet.
type Loop struct {
	deps    *fleet.Deps
	machine *stop.Machine
	// idleSince holds since when each running wave has had nothing stopped.
	idleSince map[string]time.Time
	// firstCandidate holds the first candidate of each wave and since when it is due.
	firstCandidate map[string]waitingCandidate
	// skipUntil holds until when a host isn't tried again that didn't answer before its grant.
	skipUntil map[string]time.Time
	// runningSince holds since when each wave has been seen running.
	runningSince map[string]time.Time
}

// waitingCandidate is a host that waits for its grant.
type waitingCandidate struct {
	name  string
	since time.Time
}

// skipTime is how long another host goes first when one doesn't answer before its grant.
const skipTime = time.Minute

// New returns the loop.
func New(deps fleet.Deps) *Loop {
	l := &Loop{
		deps: &deps, idleSince: map[string]time.Time{}, firstCandidate: map[string]waitingCandidate{},
		skipUntil: map[string]time.Time{}, runningSince: map[string]time.Time{},
	}
	l.machine = stop.New(l.deps)
	return l
}

// Run runs the loop until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	return periodic.Every(ctx, passInterval, l.pass)
}

// passState is what one pass decides from.
type passState struct {
	granted      []inventory.Host
	waves        []runningWave
	maxRunTimes  map[string]time.Duration
	logReachable bool
	candidates   map[string][]Candidate
}

// runningWave is the part of a running wave that a pass needs.
type runningWave struct {
	spec    structs.Wave
	pending int
	stopped int
}

func (l *Loop) pass(ctx context.Context) {
	snap := l.readState()
	reports := l.machine.Pass(ctx, snap.granted)
	l.updateRunningSince(snap)
	l.pauseOverdue(ctx, snap, reports)
	for _, wave := range snap.waves {
		l.advance(ctx, snap, wave)
	}
}

// readState copies what the pass needs, so that the state isn't held during calls.
func (l *Loop) readState() passState {
	snap := passState{maxRunTimes: map[string]time.Duration{}, candidates: map[string][]Candidate{}}
	l.deps.Reader.Read(func(view fleet.View) {
		snap.logReachable = view.LogReachable
		for name, pool := range view.Inventory.Pools {
			snap.maxRunTimes[name] = pool.EffectiveMaxRunTime()
		}
		snap.granted = view.Inventory.HostsInPhase(inventory.PhaseGranted)
		for name, wave := range view.Inventory.Waves {
			if wave.Phase != inventory.WaveRunning {
				continue
			}
			snap.waves = append(snap.waves, runningWave{spec: wave.Spec, pending: wave.Pending, stopped: len(wave.Stopped)})
			snap.candidates[name] = Choose(view.Inventory, wave, l.skipped)
		}
	})
	sort.Slice(snap.waves, func(i, j int) bool { return snap.waves[i].spec.Name < snap.waves[j].spec.Name })
	return snap
}

// updateRunningSince notes since when each wave runs. A wave that was resumed starts anew.
func (l *Loop) updateRunningSince(snap passState) {
	watched := make(map[string]time.Time, len(snap.waves))
	for _, wave := range snap.waves {
		since, known := l.runningSince[wave.spec.Name]
		if !known {
			since = l.deps.Clock()
			delete(l.idleSince, wave.spec.Name)
		}
		watched[wave.spec.Name] = since
	}
	l.runningSince = watched
}

// skipped reports whether the host didn't answer a short while ago.
func (l *Loop) skipped(host string) bool {
	until, known := l.skipUntil[host]
	if known && l.deps.Clock().After(until) {
		delete(l.skipUntil, host)
		return false
	}
	return known
}
