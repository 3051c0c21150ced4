package inventory

import (
	"fmt"
	"sort"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// WavePhase is the state of a wave.
type WavePhase string

// Phases of a wave. WaveStopped and WaveDone are final.
const (
	WaveRunning WavePhase = "running"
	WavePaused  WavePhase = "paused"
	WaveStopped WavePhase = "stopped"
	WaveDone    WavePhase = "done"
)

// Step is the progress of one host in a wave.
type Step string

// Steps of a host.
const (
	// StepPending is a host that the wave hasn't stopped yet.
	StepPending Step = "pending"
	// StepStopped is a host that has a maintenance grant of the wave.
	StepStopped Step = "stopped"
	// StepReturned is a host that returned to service after the wave had stopped it.
	StepReturned Step = "returned"
	// StepFailed is a host that failed while the wave had stopped it and hasn't returned.
	StepFailed Step = "failed"
)

// Wave is the state of one declared wave. Its hosts are selected once, when it starts. A host that moves to
// another pool afterwards stays in the wave and counts against the budget of its new pool.
type Wave struct {
	// Spec is the wave as declared in the document.
	Spec  structs.Wave `json:"spec"`
	Phase WavePhase    `json:"phase"`
	// Reason says why the wave is paused or stopped.
	Reason string `json:"reason,omitempty"`
	// Hosts holds the step of each selected host.
	Hosts map[string]Step `json:"hosts"`
	// Stopped holds the sorted names of the hosts at StepStopped.
	Stopped []string `json:"stopped,omitempty"`
	// Pending, Returned and Failed count the hosts at these steps.
	Pending  int `json:"pending"`
	Returned int `json:"returned"`
	Failed   int `json:"failed"`
	// PoolFailures counts unplanned failures in the wave's pool since the wave started or was last resumed.
	PoolFailures int `json:"poolFailures"`
}

// CanariesLeft returns how many canaries still have to return. Hosts beyond the canaries may be stopped only
// when it is 0. A canary that fails is replaced by another host.
func (w *Wave) CanariesLeft() int {
	return max(0, w.Spec.CanaryCount-w.Returned)
}

// StopsAllowed returns how many more hosts the wave may stop now. It doesn't consider the limits on zones,
// racks and pools, which depend on the host.
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

// Grant permits a wave to stop one host for maintenance.
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
	host, err := s.servingHostAtEpoch(p.GetHost(), p.GetHostEpoch())
	if err != nil {
		return err
	}
	if err := s.checkWaveLimits(wave, host); err != nil {
		return err
	}
	if err := s.checkBudget(host); err != nil {
		return err
	}
	s.updateHost(host, func() {
		host.Phase = PhaseGranted
		host.Wave = p.GetWave()
		host.BootCount = p.GetBootCount()
		host.SinceOffset = env.Offset
	})
	wave.setStep(host.Name, StepStopped)
	return nil
}

// checkWaveLimits returns an error if the wave's own limits don't permit that it stops the host now. A wave
// has stopped hosts in only one availability zone at a time.
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

// WaveControl pauses, resumes or stops a wave. Hosts that are already stopped still complete their maintenance.
func (s *State) WaveControl(_ structs.Envelope, p *v1.WaveControl) *fault.Error {
	wave, known := s.Waves[p.GetWave()]
	if !known {
		return fault.New(fault.WaveUnknown, "wave %q isn't declared", p.GetWave())
	}
	switch p.GetAction() {
	case v1.WaveAction_WAVE_ACTION_PAUSE:
		return wave.transition(WavePaused, p.GetReason(), WaveRunning)
	case v1.WaveAction_WAVE_ACTION_STOP:
		return wave.transition(WaveStopped, p.GetReason(), WaveRunning, WavePaused)
	case v1.WaveAction_WAVE_ACTION_RESUME:
		if err := wave.transition(WaveRunning, "", WavePaused); err != nil {
			return err
		}
		wave.PoolFailures = 0
		wave.completeIfFinished()
		return nil
	default:
		return fault.New(fault.RequestInvalid, "wave action %s: want pause, resume or stop", p.GetAction())
	}
}

// transition moves the wave to a phase, or returns an error unless it is in one of the phases in from.
func (w *Wave) transition(to WavePhase, reason string, from ...WavePhase) *fault.Error {
	for _, phase := range from {
		if w.Phase == phase {
			w.Phase, w.Reason = to, reason
			return nil
		}
	}
	return fault.New(fault.WaveNotRunning, "wave %s is %s", w.Spec.Name, w.Phase)
}

// completeIfFinished marks a running wave as done when it has neither pending nor stopped hosts.
func (w *Wave) completeIfFinished() {
	if w.Phase == WaveRunning && w.Pending == 0 && len(w.Stopped) == 0 {
		w.Phase = WaveDone
	}
}

// setStep sets the step of a host, or removes the host from the wave if the step is empty.
func (w *Wave) setStep(host string, step Step) {
	w.addToStep(host, w.Hosts[host], -1)
	if step == "" {
		delete(w.Hosts, host)
		return
	}
	w.Hosts[host] = step
	w.addToStep(host, step, 1)
}

// addToStep adds delta, 1 or -1, to the count of hosts at the step, and updates Stopped for StepStopped.
func (w *Wave) addToStep(host string, step Step, delta int) {
	switch step {
	case StepPending:
		w.Pending += delta
	case StepReturned:
		w.Returned += delta
	case StepFailed:
		w.Failed += delta
	case StepStopped:
		index := sort.SearchStrings(w.Stopped, host)
		if delta < 0 {
			w.Stopped = append(w.Stopped[:index], w.Stopped[index+1:]...)
			return
		}
		w.Stopped = append(w.Stopped, "")
		copy(w.Stopped[index+1:], w.Stopped[index:])
		w.Stopped[index] = host
	}
}

// recordFailureInWave records that a host failed while its wave had stopped it, and pauses a running wave.
func (s *State) recordFailureInWave(host *Host, reason string) {
	wave, known := s.Waves[host.Wave]
	if !known {
		return
	}
	wave.setStep(host.Name, StepFailed)
	if wave.Phase == WaveRunning {
		wave.Phase = WavePaused
		wave.Reason = fmt.Sprintf("host %s failed while it was stopped: %s", host.Name, reason)
	}
}

// recordPoolFailure counts an unplanned failure of the host in each running wave of its pool, and pauses the
// waves that have reached their limit.
func (s *State) recordPoolFailure(host *Host) {
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

// recordReturnToWave records that a host has returned after the wave had stopped it.
func (s *State) recordReturnToWave(waveName, host string) {
	wave, known := s.Waves[waveName]
	if !known {
		return
	}
	if step := wave.Hosts[host]; step != StepStopped && step != StepFailed {
		return
	}
	wave.setStep(host, StepReturned)
	wave.completeIfFinished()
}
