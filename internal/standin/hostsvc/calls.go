package hostsvc

import (
	"context"
	"time"

	"connectrpc.com/connect"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

// Method names one call of the service.
type Method string

// Methods of the service.
const (
	MethodList    Method = "list"
	MethodDrain   Method = "drain"
	MethodUndrain Method = "undrain"
	MethodReboot  Method = "reboot"
	MethodAssign  Method = "assign"
	MethodProbe   Method = "probe"
)

// Drain makes the host answer new work with 503. The mark outlasts a reboot, until Undrain.
func (s *Service) Drain(ctx context.Context, r *v1.HostRequest) (*v1.HostResponse, error) {
	return s.call(ctx, MethodDrain, r, func(m *machine) { m.Draining = true })
}

// Undrain makes the host take new work.
func (s *Service) Undrain(ctx context.Context, r *v1.HostRequest) (*v1.HostResponse, error) {
	return s.call(ctx, MethodUndrain, r, func(m *machine) { m.Draining = false })
}

// Reboot restarts the host.
func (s *Service) Reboot(ctx context.Context, r *v1.HostRequest) (*v1.HostResponse, error) {
	return s.call(ctx, MethodReboot, r, func(m *machine) {
		s.counts.Reboots++
		s.interrupt(m)
		m.BootCount++
		m.busyUntil = s.options.Now().Add(s.options.RebootTime)
		m.stuck = s.faults.stuck[m.Name]
	})
}

// Assign starts the endpoint of another pool on the host.
func (s *Service) Assign(ctx context.Context, r *v1.AssignRequest) (*v1.HostResponse, error) {
	request := &v1.HostRequest{Host: r.GetHost(), HostEpoch: r.GetHostEpoch()}
	return s.call(ctx, MethodAssign, request, func(m *machine) {
		s.counts.Assigns++
		s.interrupt(m)
		m.Pool = r.GetPool()
		m.busyUntil = s.options.Now().Add(s.options.AssignTime)
	})
}

// Probe asks the host itself.
func (s *Service) Probe(ctx context.Context, r *v1.HostRequest) (*v1.HostResponse, error) {
	return s.call(ctx, MethodProbe, r, func(*machine) {})
}

// interrupt counts a stop that something on the host didn't survive.
func (s *Service) interrupt(m *machine) {
	if running, _ := s.options.Running(m.Name); running > 0 {
		s.counts.Interrupted++
	}
}

// call fences, applies the effect unless the host is down, and answers.
func (s *Service) call(ctx context.Context, method Method, r *v1.HostRequest, effect func(*machine)) (*v1.HostResponse, error) {
	if err := s.delay(ctx, method); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m, known := s.machines[r.GetHost()]
	if !known {
		return nil, refuse(fault.New(fault.HostUnknown, "host %q isn't known", r.GetHost()))
	}
	s.refresh(m)
	if m.cutOff {
		return nil, unavailable("host " + m.Name)
	}
	if r.GetHostEpoch() < m.Epoch {
		s.counts.Fenced++
		return nil, refuse(fault.New(fault.HostEpochStale, "host %s has seen epoch %d, above %d", m.Name, m.Epoch, r.GetHostEpoch()))
	}
	m.Epoch = r.GetHostEpoch()
	if m.Up {
		effect(m)
		s.refresh(m)
	}
	s.options.OnChange(m.Host)
	return s.respond(m), s.answer(method)
}

func refuse(err *fault.Error) error {
	return connect.NewError(fault.ResponseFor(err.Kind).ConnectCode, err)
}

func (s *Service) respond(m *machine) *v1.HostResponse {
	running, busy := s.options.Running(m.Name)
	return &v1.HostResponse{
		Healthy: m.Up, Draining: m.Draining, Running: running,
		BootCount: m.BootCount, Pool: m.Pool, BusySlots: busy,
	}
}

// delay waits while the service is slow and fails while it is down.
func (s *Service) delay(ctx context.Context, method Method) error {
	s.mu.Lock()
	slow, down := s.faults.slow, s.faults.down
	s.mu.Unlock()
	if down {
		return unavailable("host service for " + string(method))
	}
	if slow <= 0 {
		return nil
	}
	timer := time.NewTimer(slow)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

// answer fails when the answer of the call shall be lost after the effect.
func (s *Service) answer(method Method) error {
	if s.faults.lost[method] == 0 {
		return nil
	}
	s.faults.lost[method]--
	return unavailable("host service for " + string(method))
}
