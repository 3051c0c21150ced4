package inventory

import (
	"fmt"
	"sort"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// WavePhase is where a wave stands.
type WavePhase string

// Phases of a wave. Stopped and done are final.
const (
	WaveRunning WavePhase = "running"
	WavePaused  WavePhase = "paused"
	WaveStopped WavePhase = "stopped"
	WaveDone    WavePhase = "done"
)

// Step is where a host stands in a wave.
type Step string

// Steps of a host.
const (
	// StepPending is a host that the wave hasn't stopped yet.
	StepPending Step = "pending"
	// StepStopped is a host with a grant of the wave.
	StepStopped Step = "stopped"
	// StepReturned is a host that was proven back.
	StepReturned Step = "returned"
	// StepFailed is a host that failed while it was stopped.
	StepFailed Step = "failed"
)

// Wave is the state of one declared wave. Its hosts are fixed when it starts; a host that moves to
// another pool afterwards stays in the wave and counts against the budget of its new pool.
type Wave struct {
	Spec  structs.Wave `json:"spec"`
	Phase WavePhase    `json:"phase"`
	// Reason says why the wave is paused or stopped.
	Reason string `json:"reason,omitempty"`
	// Hosts holds the step of each selected host.
	Hosts map[string]Step `json:"hosts"`
	// Stopped holds the names of hosts with a grant of the wave, sorted.
	Stopped []string `json:"stopped,omitempty"`
	// Pending, Returned and Failed count hosts by step.
	Pending  int `json:"pending"`
	Returned int `json:"returned"`
	Failed   int `json:"failed"`
	// PoolFailures counts unplanned failures in the pool since the wave started or was resumed.
	PoolFailures int `json:"poolFailures"`
}

// CanariesLeft returns the number of canaries that aren't back. Hosts beyond the canaries are
// stopped only when it is 0. A canary that fails is replaced by another host.
func (w *Wave) CanariesLeft() int {
	return max(0, w.Spec.CanaryCount-w.Returned)
}

// StopsAllowed returns how many more hosts the wave may stop now.
func (w *Wave) StopsAllowed() int {
	if w.Phase != WaveRunning {
		return 0
	}
	limit := w.Spec.MaxParallel
	if left := w.CanariesLeft(); left > 0 {
		limit = min(limit, left)
	}
	return max(0, limit-len(w.Stopped))
}

// Grant permits one planned stop.
func (s *State) Grant(env structs.Envelope, p *v1.Grant) *fault.Error {
	wave, known := s.Waves[p.GetWave()]
	if !known {
		return fault.New(fault.WaveUnknown, "wave %q isn't declared", p.GetWave())
	}
	if wave.Phase != WaveRunning {
		return fault.New(fault.WaveNotRunning, "wave %s is %s", p.GetWave(), wave.Phase)
	}
	if p.GetBootCount() == 0 {
		return fault.Invalid(fault.RequestInvalid, "boot_count", "0: want the boot count that the host answered before the grant")
	}
	host, err := s.serving(p.GetHost(), p.GetHostEpoch())
	if err != nil {
		return err
	}
	if err := s.checkWaveLimits(wave, host); err != nil {
		return err
	}
	if err := s.checkBudget(host); err != nil {
		return err
	}
	s.update(host, func() {
		host.Phase = PhaseGranted
		host.Wave = p.GetWave()
		host.BootCount = p.GetBootCount()
		host.SinceOffset = env.Offset
	})
	wave.set(host.Name, StepStopped)
	return nil
}

func (s *State) checkWaveLimits(wave *Wave, host *Host) *fault.Error {
	name := wave.Spec.Name
	if step := wave.Hosts[host.Name]; step != StepPending {
		return fault.New(fault.WaveLimit, "host %s is not due in wave %s", host.Name, name)
	}
	if wave.StopsAllowed() == 0 {
		return fault.New(fault.WaveLimit, "wave %s has %d hosts stopped, %d of its canaries aren't back: want at most %d stopped",
			name, len(wave.Stopped), wave.CanariesLeft(), wave.Spec.MaxParallel)
	}
	sameRack := 0
	for _, stopped := range wave.Stopped {
		other := s.HostsByName[stopped]
		if other.Zone != host.Zone {
			return fault.New(fault.WaveLimit, "wave %s has hosts of zone %s stopped: host %s is in zone %s",
				name, other.Zone, host.Name, host.Zone)
		}
		if other.Rack == host.Rack {
			sameRack++
		}
	}
	if sameRack >= wave.Spec.MaxPerRack {
		return fault.New(fault.WaveLimit, "wave %s has %d hosts of rack %s stopped: want at most %d",
			name, sameRack, host.Rack, wave.Spec.MaxPerRack)
	}
	return nil
}

// WaveControl pauses, resumes or stops a wave. Stops that have begun continue to their end.
func (s *State) WaveControl(_ structs.Envelope, p *v1.WaveControl) *fault.Error {
	wave, known := s.Waves[p.GetWave()]
	if !known {
		return fault.New(fault.WaveUnknown, "wave %q isn't declared", p.GetWave())
	}
	switch p.GetAction() {
	case v1.WaveAction_WAVE_ACTION_PAUSE:
		return wave.transit(WavePaused, p.GetReason(), WaveRunning)
	case v1.WaveAction_WAVE_ACTION_STOP:
		return wave.transit(WaveStopped, p.GetReason(), WaveRunning, WavePaused)
	case v1.WaveAction_WAVE_ACTION_RESUME:
		if err := wave.transit(WaveRunning, "", WavePaused); err != nil {
			return err
		}
		wave.PoolFailures = 0
		wave.settle()
		return nil
	default:
		return fault.New(fault.RequestInvalid, "wave action %s: want pause, resume or stop", p.GetAction())
	}
}

// transit enters a phase from one of the permitted ones.
func (w *Wave) transit(to WavePhase, reason string, from ...WavePhase) *fault.Error {
	for _, phase := range from {
		if w.Phase == phase {
			w.Phase, w.Reason = to, reason
			return nil
		}
	}
	return fault.New(fault.WaveNotRunning, "wave %s is %s", w.Spec.Name, w.Phase)
}

// settle ends a running wave that has nothing left to do.
func (w *Wave) settle() {
	if w.Phase == WaveRunning && w.Pending == 0 && len(w.Stopped) == 0 {
		w.Phase = WaveDone
	}
}

// set moves a host to a step, or removes it when the step is empty.
func (w *Wave) set(host string, step Step) {
	w.count(host, w.Hosts[host], -1)
	if step == "" {
		delete(w.Hosts, host)
		return
	}
	w.Hosts[host] = step
	w.count(host, step, 1)
}

func (w *Wave) count(host string, step Step, by int) {
	switch step {
	case StepPending:
		w.Pending += by
	case StepReturned:
		w.Returned += by
	case StepFailed:
		w.Failed += by
	case StepStopped:
		at := sort.SearchStrings(w.Stopped, host)
		if by < 0 {
			w.Stopped = append(w.Stopped[:at], w.Stopped[at+1:]...)
			return
		}
		w.Stopped = append(w.Stopped, "")
		copy(w.Stopped[at+1:], w.Stopped[at:])
		w.Stopped[at] = host
	}
}

// failInWave pauses the wave of a host that failed while it was stopped.
func (s *State) failInWave(host *Host, reason string) {
	wave, known := s.Waves[host.Wave]
	if !known {
		return
	}
	wave.set(host.Name, StepFailed)
	if wave.Phase == WaveRunning {
		wave.Phase = WavePaused
		wave.Reason = fmt.Sprintf("host %s failed while it was stopped: %s", host.Name, reason)
	}
}

// countFailure counts an unplanned failure in each running wave of the host's pool.
func (s *State) countFailure(host *Host) {
	for _, wave := range s.Waves {
		if wave.Phase != WaveRunning || wave.Spec.Pool != host.Pool {
			continue
		}
		wave.PoolFailures++
		if wave.PoolFailures >= wave.Spec.PauseAfterFailures {
			wave.Phase = WavePaused
			wave.Reason = fmt.Sprintf("%d unplanned failures in pool %s, the last of host %s",
				wave.PoolFailures, host.Pool, host.Name)
		}
	}
}

// returnToWave notes that a host that the wave had stopped is back.
func (s *State) returnToWave(name, host string) {
	wave, known := s.Waves[name]
	if !known {
		return
	}
	if step := wave.Hosts[host]; step != StepStopped && step != StepFailed {
		return
	}
	wave.set(host, StepReturned)
	wave.settle()
}
