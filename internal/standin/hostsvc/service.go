// Package hostsvc is a stand-in for the platform's HostService that can simulate faults.
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

// Options set the timing of the service and connect it to other stand-ins.
type Options struct {
	// ListLag is the age of the states that List returns.
	ListLag time.Duration
	// RebootTime is the duration of a reboot.
	RebootTime time.Duration
	// AssignTime is the time to start the endpoint of another pool.
	AssignTime time.Duration
	// Now defaults to time.Now.
	Now func() time.Time
	// Running returns the number of requests and tasks that run on the host, and the number of its busy
	// slots. It must not call the service, which holds its lock.
	Running func(host string) (running, busySlots uint64)
	// OnChange is called after each change of a host, and after each call that reaches it. It must not
	// call the service, which holds its lock.
	OnChange func(Host)
}

// Host is the actual state of a host.
type Host struct {
	Name, Zone, Rack, Pool string
	// Up is false while the host is dead, reboots or is being assigned.
	Up       bool
	Draining bool
	// BootCount starts at 1 and is incremented by each reboot.
	BootCount uint64
	// Epoch is the highest host epoch of the calls so far.
	Epoch uint64
}

// simulatedHost is a host with its faults and the states that List shows.
type simulatedHost struct {
	Host
	// busyUntil is the end of the last reboot or assignment.
	busyUntil   time.Time
	dead        bool
	rebootStuck bool
	partitioned bool
	listHistory []listedState
}

// listedState is a state that List shows from a point in time on.
type listedState struct {
	since time.Time
	state v1.HostState
}

// Service implements the client and the handler of HostService.
type Service struct {
	options Options

	mu     sync.Mutex
	hosts  map[string]*simulatedHost
	faults faults
	counts Counts
}

// Counts are the numbers of events since the start.
type Counts struct {
	Reboots int
	Assigns int
	// Interrupted is the number of reboots and assignments of hosts on which requests or tasks still ran.
	Interrupted int
	// Fenced is the number of calls that were rejected because of a stale epoch.
	Fenced int
}

var (
	_ turmericyokev1connect.HostServiceClient  = (*Service)(nil)
	_ turmericyokev1connect.HostServiceHandler = (*Service)(nil)
)

// New returns a service with the hosts, which are up.
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
	s := &Service{options: options, hosts: map[string]*simulatedHost{}}
	s.faults.lostResponses = map[Method]int{}
	for _, host := range hosts {
		host.Up = true
		host.BootCount = max(1, host.BootCount)
		simulated := &simulatedHost{Host: host}
		simulated.listHistory = []listedState{{state: v1.HostState_HOST_STATE_LIVE}}
		s.hosts[host.Name] = simulated
	}
	return s
}

// Handler returns the path and the handler of the service over connect.
func (s *Service) Handler() (string, http.Handler) {
	return turmericyokev1connect.NewHostServiceHandler(s)
}

// Host returns the actual state of a host.
func (s *Service) Host(name string) (Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host, known := s.hosts[name]
	if !known {
		return Host{}, false
	}
	s.refresh(host)
	return host.Host, true
}

// Counts returns the counts since the start.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// refresh completes a reboot or an assignment whose time has passed, records the state for List, and
// reports a change of the host to OnChange. The caller holds the lock.
func (s *Service) refresh(host *simulatedHost) {
	before := host.Host
	busy := s.options.Now().Before(host.busyUntil)
	host.Up = !host.dead && !host.rebootStuck && !busy
	s.recordListedState(host)
	if host.Host != before {
		s.options.OnChange(host.Host)
	}
}

// recordListedState appends the state that List shows once the lag has passed.
func (s *Service) recordListedState(host *simulatedHost) {
	state := v1.HostState_HOST_STATE_LIVE
	switch {
	case !host.Up || host.partitioned:
		state = v1.HostState_HOST_STATE_GONE
	case host.Draining:
		state = v1.HostState_HOST_STATE_LEAVING
	}
	if host.listHistory[len(host.listHistory)-1].state != state {
		host.listHistory = append(host.listHistory, listedState{since: s.options.Now(), state: state})
	}
}

// listedStateAt returns the listed state at a point in time and discards older states.
func (h *simulatedHost) listedStateAt(at time.Time) v1.HostState {
	for len(h.listHistory) > 1 && !h.listHistory[1].since.After(at) {
		h.listHistory = h.listHistory[1:]
	}
	return h.listHistory[0].state
}

// List returns the states of the hosts as they were ListLag ago, or ListLag before the list was frozen.
func (s *Service) List(ctx context.Context, _ *v1.ListRequest) (*v1.ListResponse, error) {
	if err := s.delayOrFail(ctx, MethodList); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.options.Now().Add(-s.options.ListLag)
	if !s.faults.listFrozenAt.IsZero() && s.faults.listFrozenAt.Before(at) {
		at = s.faults.listFrozenAt
	}
	response := &v1.ListResponse{}
	for _, name := range s.hostNames() {
		host := s.hosts[name]
		s.refresh(host)
		response.Hosts = append(response.Hosts, &v1.HostEntry{Host: name, State: host.listedStateAt(at)})
	}
	return response, s.lostResponseError(MethodList)
}

func (s *Service) hostNames() []string {
	names := make([]string, 0, len(s.hosts))
	for name := range s.hosts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// unavailable returns the error of a call to which the target doesn't respond.
func unavailable(target string) error {
	return connect.NewError(connect.CodeUnavailable, fault.New(fault.EndpointUnavailable, "%s doesn't answer", target))
}
