// Package hostsvc is a stand-in for the platform's HostService, with a switch for each fault.
package hostsvc

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/fault"
)

// Options set the times of the platform and tie it to other stand-ins.
type Options struct {
	// ListLag is the age of what List returns.
	ListLag time.Duration
	// RebootTime is how long a reboot takes.
	RebootTime time.Duration
	// AssignTime is how long it takes to start the endpoint of another pool.
	AssignTime time.Duration
	// Now defaults to time.Now.
	Now func() time.Time
	// Running returns the requests and tasks that run on the host, and its busy slots. It must not call the service.
	Running func(host string) (running, busySlots uint64)
	// OnChange is called after each change of a host. It must not call the service.
	OnChange func(Host)
}

// Host is the true state of one host.
type Host struct {
	Name, Zone, Rack, Pool string
	// Up is false while the host is dead or reboots.
	Up       bool
	Draining bool
	// BootCount rises with each reboot, from 1.
	BootCount uint64
	// Epoch is the highest call epoch seen.
	Epoch uint64
}

// machine is a host with what the stand-in keeps about it.
type machine struct {
	Host
	// busyUntil is the end of a reboot or an assignment.
	busyUntil time.Time
	dead      bool
	stuck     bool
	cutOff    bool
	listed    []listing
}

// listing is a state that the list shows from a point in time on.
type listing struct {
	at    time.Time
	state v1.HostState
}

// Service is the stand-in. It implements the client and the handler of HostService.
type Service struct {
	options Options

	mu       sync.Mutex
	machines map[string]*machine
	faults   faults
	counts   Counts
}

// Counts are what happened since the start.
type Counts struct {
	Reboots int
	Assigns int
	// Interrupted counts reboots and assignments of a host that still had something running.
	Interrupted int
	// Fenced counts calls that were refused for their epoch.
	Fenced int
}

var (
	_ turmericyokev1connect.HostServiceClient  = (*Service)(nil)
	_ turmericyokev1connect.HostServiceHandler = (*Service)(nil)
)

// New returns a service with the hosts, which are up and not draining.
func New(options Options, hosts []Host) *Service {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Running == nil {
		options.Running = func(string) (uint64, uint64) { return 0, 0 }
	}
	if options.OnChange == nil {
		options.OnChange = func(Host) {}
	}
	s := &Service{options: options, machines: map[string]*machine{}}
	s.faults.lost = map[Method]int{}
	for _, host := range hosts {
		host.Up = true
		host.BootCount = max(1, host.BootCount)
		m := &machine{Host: host}
		m.listed = []listing{{state: v1.HostState_HOST_STATE_LIVE}}
		s.machines[host.Name] = m
	}
	return s
}

// Handler serves the stand-in over connect.
func (s *Service) Handler() (string, http.Handler) {
	return turmericyokev1connect.NewHostServiceHandler(s)
}

// Host returns the true state of a host.
func (s *Service) Host(name string) (Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, known := s.machines[name]
	if !known {
		return Host{}, false
	}
	s.refresh(m)
	return m.Host, true
}

// Counts returns what happened since the start.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// refresh ends a reboot or an assignment whose time has passed, and notes a changed list entry.
func (s *Service) refresh(m *machine) {
	before := m.Host
	busy := s.options.Now().Before(m.busyUntil)
	m.Up = !m.dead && !m.stuck && !busy
	s.list(m)
	if m.Host != before {
		s.options.OnChange(m.Host)
	}
}

// list appends the state that the list shall show once the lag has passed.
func (s *Service) list(m *machine) {
	state := v1.HostState_HOST_STATE_LIVE
	switch {
	case !m.Up || m.cutOff:
		state = v1.HostState_HOST_STATE_GONE
	case m.Draining:
		state = v1.HostState_HOST_STATE_LEAVING
	}
	if m.listed[len(m.listed)-1].state != state {
		m.listed = append(m.listed, listing{at: s.options.Now(), state: state})
	}
}

// shown returns the listed state at a point in time and drops older ones.
func (m *machine) shown(at time.Time) v1.HostState {
	for len(m.listed) > 1 && !m.listed[1].at.After(at) {
		m.listed = m.listed[1:]
	}
	return m.listed[0].state
}

// List returns the hosts as they were a while ago.
func (s *Service) List(ctx context.Context, _ *v1.ListRequest) (*v1.ListResponse, error) {
	if err := s.delay(ctx, MethodList); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.options.Now().Add(-s.options.ListLag)
	if !s.faults.frozenAt.IsZero() && s.faults.frozenAt.Before(at) {
		at = s.faults.frozenAt
	}
	response := &v1.ListResponse{}
	for _, name := range s.names() {
		m := s.machines[name]
		s.refresh(m)
		response.Hosts = append(response.Hosts, &v1.HostEntry{Host: name, State: m.shown(at)})
	}
	return response, s.answer(MethodList)
}

func (s *Service) names() []string {
	names := make([]string, 0, len(s.machines))
	for name := range s.machines {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// unavailable is the error of a call that nothing answers.
func unavailable(what string) error {
	return connect.NewError(connect.CodeUnavailable, fault.New(fault.EndpointUnavailable, "%s doesn't answer", what))
}
