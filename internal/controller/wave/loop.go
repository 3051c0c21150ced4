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

// interval is the time between two passes of the loop. A reboot takes minutes.
const interval = 2 * time.Second

// stallTimeout is how long a running wave may do nothing before it is paused for an operator. It is
// longer than an ordinary repair, so that a budget that is spent for a while doesn't need one.
const stallTimeout = time.Hour

// Loop runs the waves of the fleet.
type Loop struct {
	deps    *fleet.Deps
	machine *stop.Machine
	// idle holds since when each running wave has had nothing stopped.
	idle map[string]time.Time
	// due holds the first candidate of each wave and since when it is due.
	due map[string]dueHost
	// unwell holds until when a host isn't tried again that didn't answer before its grant.
	unwell map[string]time.Time
	// watched holds since when each wave has been seen running.
	watched map[string]time.Time
}

// dueHost is a host that waits for its grant.
type dueHost struct {
	name  string
	since time.Time
}

// unwellFor is how long another host goes first when one doesn't answer before its grant.
const unwellFor = time.Minute

// New returns the loop.
func New(deps fleet.Deps) *Loop {
	l := &Loop{
		deps: &deps, idle: map[string]time.Time{}, due: map[string]dueHost{},
		unwell: map[string]time.Time{}, watched: map[string]time.Time{},
	}
	l.machine = stop.New(l.deps)
	return l
}

// Run runs the loop until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	return periodic.Every(ctx, interval, l.pass)
}

// snapshot is what one pass decides from.
type snapshot struct {
	granted    []inventory.Host
	waves      []waveView
	runTimes   map[string]time.Duration
	reachable  bool
	candidates map[string][]Candidate
}

// waveView is the part of a running wave that a pass needs.
type waveView struct {
	spec    structs.Wave
	pending int
	stopped int
}

func (l *Loop) pass(ctx context.Context) {
	snap := l.read()
	reports := l.machine.Pass(ctx, snap.granted)
	l.watch(snap)
	l.pauseOverdue(ctx, snap, reports)
	for _, wave := range snap.waves {
		l.advance(ctx, snap, wave)
	}
}

// read copies what the pass needs, so that the state isn't held during calls.
func (l *Loop) read() snapshot {
	snap := snapshot{runTimes: map[string]time.Duration{}, candidates: map[string][]Candidate{}}
	l.deps.Reader.Read(func(view fleet.View) {
		snap.reachable = view.LogReachable
		for name, pool := range view.Inventory.Pools {
			snap.runTimes[name] = pool.EffectiveMaxRunTime()
		}
		snap.granted = view.Inventory.HostsInPhase(inventory.PhaseGranted)
		for name, wave := range view.Inventory.Waves {
			if wave.Phase != inventory.WaveRunning {
				continue
			}
			snap.waves = append(snap.waves, waveView{spec: wave.Spec, pending: wave.Pending, stopped: len(wave.Stopped)})
			snap.candidates[name] = Choose(view.Inventory, wave, l.skip)
		}
	})
	sort.Slice(snap.waves, func(i, j int) bool { return snap.waves[i].spec.Name < snap.waves[j].spec.Name })
	return snap
}

// watch notes since when each wave runs. A wave that was resumed starts anew.
func (l *Loop) watch(snap snapshot) {
	watched := make(map[string]time.Time, len(snap.waves))
	for _, wave := range snap.waves {
		since, known := l.watched[wave.spec.Name]
		if !known {
			since = l.deps.Clock()
			delete(l.idle, wave.spec.Name)
		}
		watched[wave.spec.Name] = since
	}
	l.watched = watched
}

// skip reports whether the host didn't answer a short while ago.
func (l *Loop) skip(host string) bool {
	until, known := l.unwell[host]
	if known && l.deps.Clock().After(until) {
		delete(l.unwell, host)
		return false
	}
	return known
}
