package inventory

import (
	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// HostDown marks a host as failed. The failure of a granted host is a failure within its wave, which it
// pauses if the wave is running. Any other failure counts as an unplanned failure in the host's pool. A host
// that fails during a move still joins the new pool when it returns, since its endpoint may already be
// assigned there.
func (s *State) HostDown(env structs.Envelope, p *v1.HostDown) *fault.Error {
	host, err := s.hostAtEpoch(p.GetHost(), p.GetHostEpoch())
	if err != nil {
		return err
	}
	if host.Phase == PhaseFailed {
		return fault.New(fault.HostBusy, "host %s has failed already", host.Name)
	}
	granted := host.Phase == PhaseGranted
	s.updateHost(host, func() {
		host.Phase = PhaseFailed
		host.SinceOffset = env.Offset
	})
	if granted {
		s.recordFailureInWave(host, p.GetReason())
		return nil
	}
	s.recordPoolFailure(host)
	return nil
}

// HostBack returns a granted, moving or failed host to service with its next epoch, and completes its move.
func (s *State) HostBack(env structs.Envelope, p *v1.HostBack) *fault.Error {
	host, err := s.hostAtEpoch(p.GetHost(), p.GetHostEpoch())
	if err != nil {
		return err
	}
	if host.Phase == PhaseServing {
		return fault.New(fault.HostBusy, "host %s is serving already", host.Name)
	}
	wave := host.Wave
	s.updateHost(host, func() {
		host.Pool = host.Destination()
		host.Phase = PhaseServing
		host.Epoch++
		host.MoveTo = ""
		host.Wave = ""
		host.BootCount = 0
		host.SinceOffset = env.Offset
	})
	s.recordReturnToWave(wave, host.Name)
	return nil
}
