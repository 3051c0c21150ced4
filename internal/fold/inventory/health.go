package inventory

import (
	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// HostDown marks a host as failed. A granted host that fails is a failure within its wave; any
// other is an unplanned failure in its pool. A host that fails during a move goes on to its new
// pool once it is back, since its endpoint may be assigned there already.
func (s *State) HostDown(env structs.Envelope, p *v1.HostDown) *fault.Error {
	host, err := s.known(p.GetHost(), p.GetHostEpoch())
	if err != nil {
		return err
	}
	if host.Phase == PhaseFailed {
		return fault.New(fault.HostBusy, "host %s has failed already", host.Name)
	}
	planned := host.Phase == PhaseGranted
	s.update(host, func() {
		host.Phase = PhaseFailed
		host.SinceOffset = env.Offset
	})
	if planned {
		s.failInWave(host, p.GetReason())
		return nil
	}
	s.countFailure(host)
	return nil
}

// HostBack ends a grant, a move or a failure.
func (s *State) HostBack(env structs.Envelope, p *v1.HostBack) *fault.Error {
	host, err := s.known(p.GetHost(), p.GetHostEpoch())
	if err != nil {
		return err
	}
	if host.Phase == PhaseServing {
		return fault.New(fault.HostBusy, "host %s is serving already", host.Name)
	}
	wave := host.Wave
	s.update(host, func() {
		host.Pool = host.Destination()
		host.Phase = PhaseServing
		host.Epoch++
		host.MoveTo = ""
		host.Wave = ""
		host.BootCount = 0
		host.SinceOffset = env.Offset
	})
	s.returnToWave(wave, host.Name)
	return nil
}
