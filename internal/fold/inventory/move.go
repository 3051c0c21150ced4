package inventory

import (
	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// Move starts the move of a host to another pool.
func (s *State) Move(env structs.Envelope, p *v1.Move) *fault.Error {
	host, err := s.servingHostAtEpoch(p.GetHost(), p.GetHostEpoch())
	if err != nil {
		return err
	}
	if err := s.checkMove(host, p); err != nil {
		return err
	}
	if err := s.checkBudget(host); err != nil {
		return err
	}
	s.updateHost(host, func() {
		host.Phase = PhaseMoving
		host.MoveTo = p.GetTo()
		host.SinceOffset = env.Offset
	})
	return nil
}

func (s *State) checkMove(host *Host, p *v1.Move) *fault.Error {
	if host.Pool != p.GetFrom() {
		return fault.New(fault.HostBusy, "host %s is in pool %s, not in %s", host.Name, host.Pool, p.GetFrom())
	}
	if _, declared := s.Pools[p.GetTo()]; !declared {
		return fault.New(fault.PoolUnknown, "pool %q isn't declared", p.GetTo())
	}
	if p.GetTo() == host.Pool {
		return fault.New(fault.HostBusy, "host %s is in pool %s already", host.Name, host.Pool)
	}
	if host.Pinned && p.GetTo() != host.DeclaredPool {
		return fault.New(fault.HostBusy, "host %s is pinned to pool %s", host.Name, host.DeclaredPool)
	}
	return nil
}

// hostAtEpoch returns the host, or an error if it isn't declared or has another epoch.
func (s *State) hostAtEpoch(name string, epoch uint64) (*Host, *fault.Error) {
	host, known := s.HostsByName[name]
	if !known {
		return nil, fault.New(fault.HostUnknown, "host %q isn't declared", name)
	}
	if host.Epoch != epoch {
		return nil, fault.New(fault.HostEpochStale, "host %s has epoch %d, not %d", name, host.Epoch, epoch)
	}
	return host, nil
}

// servingHostAtEpoch returns the host, or an error if it isn't declared, has another epoch or isn't serving.
func (s *State) servingHostAtEpoch(name string, epoch uint64) (*Host, *fault.Error) {
	host, err := s.hostAtEpoch(name, epoch)
	if err != nil {
		return nil, err
	}
	if host.Phase != PhaseServing {
		return nil, fault.New(fault.HostBusy, "host %s is %s", name, host.Phase)
	}
	return host, nil
}
