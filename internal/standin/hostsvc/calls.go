package hostsvc

import (
	"context"
	"time"

	"connectrpc.com/connect"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

// Method identifies a method of the service.
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

// Drain makes the host refuse new work with 503 until Undrain, also after a reboot.
func (s *Service) Drain(ctx context.Context, request *v1.HostRequest) (*v1.HostResponse, error) {
	return s.call(ctx, MethodDrain, request, func(host *simulatedHost) { host.Draining = true })
}

// Undrain makes the host accept new work again.
func (s *Service) Undrain(ctx context.Context, request *v1.HostRequest) (*v1.HostResponse, error) {
	return s.call(ctx, MethodUndrain, request, func(host *simulatedHost) { host.Draining = false })
}

// Reboot restarts the host, which is down for the reboot time.
func (s *Service) Reboot(ctx context.Context, request *v1.HostRequest) (*v1.HostResponse, error) {
	return s.call(ctx, MethodReboot, request, func(host *simulatedHost) {
		s.counts.Reboots++
		s.countInterruption(host)
		host.BootCount++
		host.busyUntil = s.options.Now().Add(s.options.RebootTime)
		host.rebootStuck = s.faults.stuckReboots[host.Name]
	})
}

// Assign moves the host to another pool by starting the endpoint of that pool on it.
func (s *Service) Assign(ctx context.Context, r *v1.AssignRequest) (*v1.HostResponse, error) {
	request := &v1.HostRequest{Host: r.GetHost(), HostEpoch: r.GetHostEpoch()}
	return s.call(ctx, MethodAssign, request, func(host *simulatedHost) {
		s.counts.Assigns++
		s.countInterruption(host)
		host.Pool = r.GetPool()
		host.busyUntil = s.options.Now().Add(s.options.AssignTime)
	})
}

// Probe returns the state of the host as the host itself reports it, without the lag of List.
func (s *Service) Probe(ctx context.Context, request *v1.HostRequest) (*v1.HostResponse, error) {
	return s.call(ctx, MethodProbe, request, func(*simulatedHost) {})
}

// countInterruption counts a reboot or an assignment if requests or tasks still run on the host.
func (s *Service) countInterruption(host *simulatedHost) {
	if running, _ := s.options.Running(host.Name); running > 0 {
		s.counts.Interrupted++
	}
}

// call rejects calls with a stale epoch, applies the effect unless the host is down, and returns the
// state of the host.
func (s *Service) call(ctx context.Context, method Method, request *v1.HostRequest, effect func(*simulatedHost)) (*v1.HostResponse, error) {
	if err := s.delayOrFail(ctx, method); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	host, known := s.hosts[request.GetHost()]
	if !known {
		return nil, connectError(fault.New(fault.HostUnknown, "host %q isn't known", request.GetHost()))
	}
	s.refresh(host)
	if host.partitioned {
		return nil, unavailable("host " + host.Name)
	}
	if request.GetHostEpoch() < host.Epoch {
		s.counts.Fenced++
		return nil, connectError(fault.New(fault.HostEpochStale, "host %s has seen epoch %d, above %d", host.Name, host.Epoch, request.GetHostEpoch()))
	}
	host.Epoch = request.GetHostEpoch()
	if host.Up {
		effect(host)
		s.refresh(host)
	}
	s.options.OnChange(host.Host)
	return s.newResponse(host), s.lostResponseError(method)
}

// connectError returns err with the connect code of its kind.
func connectError(err *fault.Error) error {
	return connect.NewError(fault.ResponseFor(err.Kind).ConnectCode, err)
}

func (s *Service) newResponse(host *simulatedHost) *v1.HostResponse {
	running, busySlots := s.options.Running(host.Name)
	return &v1.HostResponse{
		Healthy: host.Up, Draining: host.Draining, Running: running,
		BootCount: host.BootCount, Pool: host.Pool, BusySlots: busySlots,
	}
}

// delayOrFail fails if the service is down, and otherwise waits for the configured delay.
func (s *Service) delayOrFail(ctx context.Context, method Method) error {
	s.mu.Lock()
	delay, down := s.faults.delay, s.faults.down
	s.mu.Unlock()
	if down {
		return unavailable("host service for " + string(method))
	}
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

// lostResponseError returns an error if the response of the call is to be lost although the call took
// effect. The caller holds the lock.
func (s *Service) lostResponseError(method Method) error {
	if s.faults.lostResponses[method] == 0 {
		return nil
	}
	s.faults.lostResponses[method]--
	return unavailable("host service for " + string(method))
}
