// Package inventory reduces hosts, their pools, moves, maintenance grants and waves.
package inventory

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"

	"turmericyoke/internal/structs"
)

// State is the section of the fleet state that the package reduces. Only the exported fields are
// kept in snapshots; the index is derived from them.
type State struct {
	// HostsByName holds the hosts by name.
	HostsByName map[string]*Host `json:"fleet"`
	// Pools holds the declared pools by name.
	Pools map[string]structs.Pool `json:"pools"`
	// Waves holds the declared waves by name.
	Waves map[string]*Wave `json:"waves"`
	// EpochFloor is the highest epoch of any removed host. An added host starts above it, so that a
	// host that returns under its old name isn't taken for its earlier life.
	EpochFloor uint64 `json:"epochFloor"`

	usage map[string]*usage
	// order holds the names of all hosts, sorted.
	order []string
}

// Phase is where a host stands.
type Phase string

// Phases of a host.
const (
	// PhaseServing is a host that takes new work.
	PhaseServing Phase = "serving"
	// PhaseGranted is a host with a maintenance grant.
	PhaseGranted Phase = "granted"
	// PhaseMoving is a host that is being released to another pool.
	PhaseMoving Phase = "moving"
	// PhaseFailed is a host that is down without a grant.
	PhaseFailed Phase = "failed"
)

// Host is the state of one host.
type Host struct {
	Name string `json:"name"`
	// Pool is the one pool that the host belongs to.
	Pool  string `json:"pool"`
	Zone  string `json:"zone"`
	Rack  string `json:"rack"`
	Phase Phase  `json:"phase"`
	// Epoch rises each time that the host is proven back, from 1.
	Epoch uint64 `json:"epoch"`
	// MoveTo is the pool that a moving host goes to. A host that fails during its move keeps it.
	MoveTo string `json:"moveTo,omitempty"`
	// Wave is the wave that the grant belongs to.
	Wave string `json:"wave,omitempty"`
	// BootCount is the boot count that the host answered before its grant.
	BootCount uint64 `json:"bootCount,omitempty"`
	// SinceOffset is the offset of the record that started the phase; 0 for a host that a document added.
	SinceOffset int64 `json:"sinceOffset"`
	// DeclaredPool is the declared pool, where the host starts.
	DeclaredPool string `json:"home"`
	// Pinned keeps the host in Home.
	Pinned bool `json:"pinned,omitempty"`
	// Labels are the declared labels; they are shared and never changed in place.
	Labels map[string]string `json:"labels,omitempty"`
}

// Destination is the pool that the host serves in once it is back.
func (h *Host) Destination() string {
	if h.MoveTo != "" {
		return h.MoveTo
	}
	return h.Pool
}

// New returns an empty section.
func New() *State {
	return &State{
		HostsByName: map[string]*Host{},
		Pools:       map[string]structs.Pool{},
		Waves:       map[string]*Wave{},
		usage:       map[string]*usage{},
	}
}

// UnmarshalJSON reads a snapshot and derives the index.
func (s *State) UnmarshalJSON(data []byte) error {
	type plain State
	fresh := plain(*New())
	if err := json.Unmarshal(data, &fresh); err != nil {
		return err
	}
	*s = State(fresh)
	s.index()
	return nil
}

// index derives the usage of pools and the order of hosts.
func (s *State) index() {
	s.usage = make(map[string]*usage, len(s.Pools))
	for name := range s.Pools {
		s.usage[name] = newUsage()
	}
	s.order = make([]string, 0, len(s.HostsByName))
	for name, host := range s.HostsByName {
		s.order = append(s.order, name)
		s.of(host.Pool).add(host)
	}
	sort.Strings(s.order)
}

// Host returns the state of one host.
func (s *State) Host(name string) (Host, bool) {
	host, known := s.HostsByName[name]
	if !known {
		return Host{}, false
	}
	return *host, true
}

// Hosts returns all hosts in order of name.
func (s *State) Hosts() []Host {
	hosts := make([]Host, 0, len(s.order))
	for _, name := range s.order {
		hosts = append(hosts, *s.HostsByName[name])
	}
	return hosts
}

// HostsInPool returns the hosts of the pool in order of name.
func (s *State) HostsInPool(pool string) []Host {
	used, known := s.usage[pool]
	if !known {
		return nil
	}
	hosts := make([]Host, 0, len(used.hosts))
	for _, host := range used.hosts {
		hosts = append(hosts, *host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// Serving reports whether the host takes new work in the pool.
func (s *State) Serving(host, pool string) bool {
	found, known := s.HostsByName[host]
	return known && found.Pool == pool && found.Phase == PhaseServing
}

// HostsInPhase returns the granted, moving or failed hosts in order of name. It looks at unavailable
// hosts only, and returns none for PhaseServing.
func (s *State) HostsInPhase(phase Phase) []Host {
	var hosts []Host
	for _, used := range s.usage {
		for _, host := range used.stopped {
			if host.Phase == phase {
				hosts = append(hosts, *host)
			}
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// Clone returns an independent copy of the state.
func (s *State) Clone() *State {
	c := New()
	for name, host := range s.HostsByName {
		copied := *host
		c.HostsByName[name] = &copied
	}
	maps.Copy(c.Pools, s.Pools)
	for name, wave := range s.Waves {
		copied := *wave
		copied.Hosts = maps.Clone(wave.Hosts)
		copied.Stopped = slices.Clone(wave.Stopped)
		c.Waves[name] = &copied
	}
	c.EpochFloor = s.EpochFloor
	c.index()
	return c
}
