package inventory

import (
	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/structs"
)

// naiveHost and naive decide by full scans, without counters and indexes.
type naiveHost struct {
	doc            structs.Host
	pool, to, wave string
	phase          Phase
	epoch          uint64
}

type naiveWave struct {
	spec     structs.Wave
	phase    WavePhase
	steps    map[string]Step
	failures int
}

type naive struct {
	hosts map[string]*naiveHost
	pools map[string]structs.Pool
	waves map[string]*naiveWave
	floor uint64
}

// budgetHolds reports whether the pool's budget holds now.
func (n *naive) budgetHolds(pool string) bool {
	available, down := 0, map[string]int{}
	for _, h := range n.hosts {
		if h.pool != pool {
			continue
		}
		if h.phase == PhaseServing {
			available++
		} else {
			down[h.doc.Zone]++
		}
	}
	for _, count := range down {
		if bound := n.pools[pool].MaxUnavailablePerZone; bound > 0 && count > bound {
			return false
		}
	}
	return available >= n.pools[pool].MinAvailable
}

// stop tries a planned stop. A stop is wrong if the minimum isn't met or its own zone is over the bound.
func (n *naive) stop(h *naiveHost, phase Phase) bool {
	pool, inZone, available := n.pools[h.pool], 0, 0
	h.phase = phase
	for _, other := range n.hosts {
		if other.pool != h.pool {
			continue
		}
		if other.phase == PhaseServing {
			available++
		} else if other.doc.Zone == h.doc.Zone {
			inZone++
		}
	}
	if available < pool.MinAvailable || (pool.MaxUnavailablePerZone > 0 && inZone > pool.MaxUnavailablePerZone) {
		h.phase = PhaseServing
		return false
	}
	return true
}

func (n *naive) find(name string, epoch uint64, phases ...Phase) *naiveHost {
	h := n.hosts[name]
	if h == nil || h.epoch != epoch {
		return nil
	}
	for _, phase := range phases {
		if h.phase == phase {
			return h
		}
	}
	return nil
}

func (n *naive) move(p *v1.Move) bool {
	h := n.find(p.Host, p.HostEpoch, PhaseServing)
	_, declared := n.pools[p.To]
	if h == nil || !declared || h.pool != p.From || p.To == h.pool || (h.doc.Pinned && p.To != h.doc.Pool) {
		return false
	}
	if !n.stop(h, PhaseMoving) {
		return false
	}
	h.to = p.To
	return true
}

func (n *naive) grant(p *v1.Grant) bool {
	w, h := n.waves[p.Wave], n.find(p.Host, p.HostEpoch, PhaseServing)
	if w == nil || h == nil || w.phase != WaveRunning || w.steps[p.Host] != StepPending || p.BootCount == 0 {
		return false
	}
	stopped, returned, sameRack := 0, 0, 0
	for name, step := range w.steps {
		if step == StepReturned {
			returned++
		}
		if step != StepStopped {
			continue
		}
		stopped++
		if n.hosts[name].doc.Zone != h.doc.Zone {
			return false
		}
		if n.hosts[name].doc.Rack == h.doc.Rack {
			sameRack++
		}
	}
	canary := returned < w.spec.CanaryCount
	if stopped >= w.spec.MaxParallel || sameRack >= w.spec.MaxPerRack || (canary && stopped+returned >= w.spec.CanaryCount) {
		return false
	}
	if !n.stop(h, PhaseGranted) {
		return false
	}
	h.wave, w.steps[p.Host] = p.Wave, StepStopped
	return true
}

func (n *naive) down(p *v1.HostDown) bool {
	h := n.find(p.Host, p.HostEpoch, PhaseServing, PhaseGranted, PhaseMoving)
	if h == nil {
		return false
	}
	granted := h.phase == PhaseGranted
	h.phase = PhaseFailed
	for name, w := range n.waves {
		if granted && name == h.wave {
			w.steps[p.Host] = StepFailed
			if w.phase == WaveRunning {
				w.phase = WavePaused
			}
		}
		if !granted && w.spec.Pool == h.pool && w.phase == WaveRunning {
			w.failures++
			if w.failures >= w.spec.PauseAfterFailures {
				w.phase = WavePaused
			}
		}
	}
	return true
}

func (n *naive) back(p *v1.HostBack) bool {
	h := n.find(p.Host, p.HostEpoch, PhaseGranted, PhaseMoving, PhaseFailed)
	if h == nil {
		return false
	}
	if h.to != "" {
		h.pool = h.to
	}
	w := n.waves[h.wave]
	if w != nil {
		w.steps[p.Host] = StepReturned
	}
	h.phase, h.to, h.wave = PhaseServing, "", ""
	h.epoch++
	n.settle()
	return true
}

func (n *naive) settle() {
	for _, w := range n.waves {
		left := 0
		for _, step := range w.steps {
			if step == StepPending || step == StepStopped {
				left++
			}
		}
		if left == 0 && w.phase == WaveRunning {
			w.phase = WaveDone
		}
	}
}

func (n *naive) control(p *v1.WaveControl) bool {
	w := n.waves[p.Wave]
	if w == nil {
		return false
	}
	from := map[v1.WaveAction][]WavePhase{
		v1.WaveAction_WAVE_ACTION_PAUSE:  {WaveRunning},
		v1.WaveAction_WAVE_ACTION_STOP:   {WaveRunning, WavePaused},
		v1.WaveAction_WAVE_ACTION_RESUME: {WavePaused},
	}
	to := map[v1.WaveAction]WavePhase{
		v1.WaveAction_WAVE_ACTION_PAUSE:  WavePaused,
		v1.WaveAction_WAVE_ACTION_STOP:   WaveStopped,
		v1.WaveAction_WAVE_ACTION_RESUME: WaveRunning,
	}
	for _, phase := range from[p.Action] {
		if w.phase == phase {
			w.phase = to[p.Action]
			if w.phase == WaveRunning {
				w.failures = 0
				n.settle()
			}
			return true
		}
	}
	return false
}

// adopt takes over a document that the state under test accepted, and returns false when it should not have.
func (n *naive) adopt(doc *structs.Document) bool {
	held := map[string]bool{}
	for name := range n.pools {
		held[name] = n.budgetHolds(name)
	}
	hosts := map[string]*naiveHost{}
	for _, d := range doc.Hosts {
		h := n.hosts[d.Name]
		if h == nil {
			h = &naiveHost{pool: d.Pool, phase: PhaseServing, epoch: n.removedEpoch(doc) + 1}
		}
		changed := h.doc.Pool != d.Pool || h.doc.Pinned != d.Pinned
		if changed && (h.phase == PhaseGranted || h.phase == PhaseMoving) {
			return false
		}
		h.doc = d
		hosts[d.Name] = h
	}
	n.floor, n.hosts = n.removedEpoch(doc), hosts
	n.pools = map[string]structs.Pool{}
	for _, p := range doc.Pools {
		n.pools[p.Name] = p
	}
	for _, h := range hosts {
		_, in := n.pools[h.pool]
		_, out := n.pools[h.to]
		if !in || (h.to != "" && !out) {
			return false
		}
	}
	n.adoptWaves(doc)
	for name := range n.pools {
		if before, known := held[name]; known && before && !n.budgetHolds(name) {
			return false
		}
	}
	return true
}

func (n *naive) removedEpoch(doc *structs.Document) uint64 {
	floor, kept := n.floor, map[string]bool{}
	for _, d := range doc.Hosts {
		kept[d.Name] = true
	}
	for name, h := range n.hosts {
		if !kept[name] {
			floor = max(floor, h.epoch)
		}
	}
	return floor
}

func (n *naive) adoptWaves(doc *structs.Document) {
	waves := map[string]*naiveWave{}
	for _, d := range doc.Waves {
		w := n.waves[d.Name]
		if w == nil {
			w = &naiveWave{phase: WaveRunning, steps: map[string]Step{}}
			for name, h := range n.hosts {
				if h.pool == d.Pool {
					w.steps[name] = StepPending
				}
			}
		}
		for name := range w.steps {
			if n.hosts[name] == nil {
				delete(w.steps, name)
			}
		}
		w.spec = d
		waves[d.Name] = w
	}
	for _, h := range n.hosts {
		if waves[h.wave] == nil {
			h.wave = ""
		}
	}
	n.waves = waves
	n.settle()
}
