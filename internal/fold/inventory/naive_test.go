package inventory

import (
	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/structs"
)

// modelHost is a host of referenceModel.
type modelHost struct {
	declared           structs.Host
	pool, moveTo, wave string
	phase              Phase
	epoch              uint64
}

// modelWave is a wave of referenceModel.
type modelWave struct {
	spec         structs.Wave
	phase        WavePhase
	steps        map[string]Step
	poolFailures int
}

// referenceModel is a simple implementation of State that decides by full scans, without counters and indexes.
// Each method for a record returns whether it accepts the record.
type referenceModel struct {
	hosts      map[string]*modelHost
	pools      map[string]structs.Pool
	waves      map[string]*modelWave
	epochFloor uint64
}

// budgetHolds reports whether the pool meets its availability budget.
func (m *referenceModel) budgetHolds(pool string) bool {
	available, unavailableByZone := 0, map[string]int{}
	for _, h := range m.hosts {
		if h.pool != pool {
			continue
		}
		if h.phase == PhaseServing {
			available++
		} else {
			unavailableByZone[h.declared.Zone]++
		}
	}
	for _, count := range unavailableByZone {
		if limit := m.pools[pool].MaxUnavailablePerZone; limit > 0 && count > limit {
			return false
		}
	}
	return available >= m.pools[pool].MinAvailable
}

// tryStop moves a serving host to the phase and returns true, unless its pool would then have fewer available
// hosts than the minimum, or more unavailable ones in the zone of the host than permitted.
func (m *referenceModel) tryStop(h *modelHost, phase Phase) bool {
	pool, unavailableInZone, available := m.pools[h.pool], 0, 0
	h.phase = phase
	for _, other := range m.hosts {
		if other.pool != h.pool {
			continue
		}
		if other.phase == PhaseServing {
			available++
		} else if other.declared.Zone == h.declared.Zone {
			unavailableInZone++
		}
	}
	if available < pool.MinAvailable || (pool.MaxUnavailablePerZone > 0 && unavailableInZone > pool.MaxUnavailablePerZone) {
		h.phase = PhaseServing
		return false
	}
	return true
}

// findHost returns the host if it has the epoch and is in one of the phases, and nil otherwise.
func (m *referenceModel) findHost(name string, epoch uint64, phases ...Phase) *modelHost {
	h := m.hosts[name]
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

func (m *referenceModel) move(p *v1.Move) bool {
	h := m.findHost(p.Host, p.HostEpoch, PhaseServing)
	_, declared := m.pools[p.To]
	if h == nil || !declared || h.pool != p.From || p.To == h.pool || (h.declared.Pinned && p.To != h.declared.Pool) {
		return false
	}
	if !m.tryStop(h, PhaseMoving) {
		return false
	}
	h.moveTo = p.To
	return true
}

func (m *referenceModel) grant(p *v1.Grant) bool {
	w, h := m.waves[p.Wave], m.findHost(p.Host, p.HostEpoch, PhaseServing)
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
		if m.hosts[name].declared.Zone != h.declared.Zone {
			return false
		}
		if m.hosts[name].declared.Rack == h.declared.Rack {
			sameRack++
		}
	}
	canaryStage := returned < w.spec.CanaryCount
	if stopped >= w.spec.MaxParallel || sameRack >= w.spec.MaxPerRack || (canaryStage && stopped+returned >= w.spec.CanaryCount) {
		return false
	}
	if !m.tryStop(h, PhaseGranted) {
		return false
	}
	h.wave, w.steps[p.Host] = p.Wave, StepStopped
	return true
}

func (m *referenceModel) hostDown(p *v1.HostDown) bool {
	h := m.findHost(p.Host, p.HostEpoch, PhaseServing, PhaseGranted, PhaseMoving)
	if h == nil {
		return false
	}
	granted := h.phase == PhaseGranted
	h.phase = PhaseFailed
	for name, w := range m.waves {
		if granted && name == h.wave {
			w.steps[p.Host] = StepFailed
			if w.phase == WaveRunning {
				w.phase = WavePaused
			}
		}
		if !granted && w.spec.Pool == h.pool && w.phase == WaveRunning {
			w.poolFailures++
			if w.poolFailures >= w.spec.PauseAfterFailures {
				w.phase = WavePaused
			}
		}
	}
	return true
}

func (m *referenceModel) hostBack(p *v1.HostBack) bool {
	h := m.findHost(p.Host, p.HostEpoch, PhaseGranted, PhaseMoving, PhaseFailed)
	if h == nil {
		return false
	}
	if h.moveTo != "" {
		h.pool = h.moveTo
	}
	w := m.waves[h.wave]
	if w != nil {
		w.steps[p.Host] = StepReturned
	}
	h.phase, h.moveTo, h.wave = PhaseServing, "", ""
	h.epoch++
	m.completeFinishedWaves()
	return true
}

func (m *referenceModel) completeFinishedWaves() {
	for _, w := range m.waves {
		unfinished := 0
		for _, step := range w.steps {
			if step == StepPending || step == StepStopped {
				unfinished++
			}
		}
		if unfinished == 0 && w.phase == WaveRunning {
			w.phase = WaveDone
		}
	}
}

func (m *referenceModel) waveControl(p *v1.WaveControl) bool {
	w := m.waves[p.Wave]
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
				w.poolFailures = 0
				m.completeFinishedWaves()
			}
			return true
		}
	}
	return false
}

// adoptDocument applies a document that the state under test has accepted. It returns false if the state should
// have rejected it.
func (m *referenceModel) adoptDocument(doc *structs.Document) bool {
	budgetHeld := map[string]bool{}
	for name := range m.pools {
		budgetHeld[name] = m.budgetHolds(name)
	}
	hosts := map[string]*modelHost{}
	for _, d := range doc.Hosts {
		h := m.hosts[d.Name]
		if h == nil {
			h = &modelHost{pool: d.Pool, phase: PhaseServing, epoch: m.nextEpochFloor(doc) + 1}
		}
		changed := h.declared.Pool != d.Pool || h.declared.Pinned != d.Pinned
		if changed && (h.phase == PhaseGranted || h.phase == PhaseMoving) {
			return false
		}
		h.declared = d
		hosts[d.Name] = h
	}
	m.epochFloor, m.hosts = m.nextEpochFloor(doc), hosts
	m.pools = map[string]structs.Pool{}
	for _, p := range doc.Pools {
		m.pools[p.Name] = p
	}
	for _, h := range hosts {
		_, poolDeclared := m.pools[h.pool]
		_, targetDeclared := m.pools[h.moveTo]
		if !poolDeclared || (h.moveTo != "" && !targetDeclared) {
			return false
		}
	}
	m.adoptWaves(doc)
	for name := range m.pools {
		if before, known := budgetHeld[name]; known && before && !m.budgetHolds(name) {
			return false
		}
	}
	return true
}

// nextEpochFloor returns the highest epoch of any removed host, including those that doc removes.
func (m *referenceModel) nextEpochFloor(doc *structs.Document) uint64 {
	floor, kept := m.epochFloor, map[string]bool{}
	for _, d := range doc.Hosts {
		kept[d.Name] = true
	}
	for name, h := range m.hosts {
		if !kept[name] {
			floor = max(floor, h.epoch)
		}
	}
	return floor
}

func (m *referenceModel) adoptWaves(doc *structs.Document) {
	waves := map[string]*modelWave{}
	for _, d := range doc.Waves {
		w := m.waves[d.Name]
		if w == nil {
			w = &modelWave{phase: WaveRunning, steps: map[string]Step{}}
			for name, h := range m.hosts {
				if h.pool == d.Pool {
					w.steps[name] = StepPending
				}
			}
		}
		for name := range w.steps {
			if m.hosts[name] == nil {
				delete(w.steps, name)
			}
		}
		w.spec = d
		waves[d.Name] = w
	}
	for _, h := range m.hosts {
		if waves[h.wave] == nil {
			h.wave = ""
		}
	}
	m.waves = waves
	m.completeFinishedWaves()
}
