// Package inventory is the part of the fold that applies records about hosts, moves, maintenance grants and
// waves.
package inventory

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"

	"turmericyoke/internal/structs"
)

// State is the section of the fleet state that this package maintains. Snapshots contain only the exported
// fields; the indexes are derived from them.
type State struct {
	// HostsByName holds the declared hosts by name.
	HostsByName map[string]*Host `json:"fleet"`
	// Pools holds the declared pools by name.
	Pools map[string]structs.Pool `json:"pools"`
	// Waves holds the declared waves by name.
	Waves map[string]*Wave `json:"waves"`
	// EpochFloor is the highest epoch of any removed host. An added host starts above it, so that late records
	// of a removed host aren't applied to a new host of the same name.
	EpochFloor uint64 `json:"epochFloor"`

	// usageByPool indexes the hosts by pool.
	usageByPool map[string]*poolUsage
	// hostNames holds the names of all hosts, sorted.
	hostNames []string
}

// Phase is the state of a host: in service, or why it is unavailable.
type Phase string

// Phases of a host.
const (
	// PhaseServing is a host in service, which takes new work.
	PhaseServing Phase = "serving"
	// PhaseGranted is a host with a maintenance grant.
	PhaseGranted Phase = "granted"
	// PhaseMoving is a host that is on its way to another pool.
	PhaseMoving Phase = "moving"
	// PhaseFailed is a host that was reported as down, whatever its phase was before.
	PhaseFailed Phase = "failed"
)

// Host is the state of one host.
type Host struct {
	Name string `json:"name"`
	// Pool is the pool that the host belongs to. A host stays in its old pool until a move is complete.
	Pool  string `json:"pool"`
	Zone  string `json:"zone"`
	Rack  string `json:"rack"`
	Phase Phase  `json:"phase"`
	// Epoch increases each time the host returns to service. A new host starts at State.EpochFloor+1.
	Epoch uint64 `json:"epoch"`
	// MoveTo is the pool that a moving host goes to. A host that fails during its move keeps it.
	MoveTo string `json:"moveTo,omitempty"`
	// Wave is the wave that stopped the host; empty if none did. A host that fails during its grant keeps it.
	Wave string `json:"wave,omitempty"`
	// BootCount is the boot count that the host reported before its grant: a higher one proves a reboot.
	BootCount uint64 `json:"bootCount,omitempty"`
	// SinceOffset is the offset of the record that started the phase; 0 if the document added the host.
	SinceOffset int64 `json:"sinceOffset"`
	// DeclaredPool is the pool that the document assigns to the host, in which a new host starts.
	DeclaredPool string `json:"home"`
	// Pinned is set if the host may only be moved to DeclaredPool.
	Pinned bool `json:"pinned,omitempty"`
	// Labels are the declared labels. The map is shared with the document and copies of the host: it must not
	// be changed in place.
	Labels map[string]string `json:"labels,omitempty"`
}

// Destination returns the pool in which the host serves next: the target of its move, or else its own pool.
func (h *Host) Destination() string {
	if h.MoveTo != "" {
		return h.MoveTo
	}
	return h.Pool
}

// New returns a state without hosts, pools and waves.
func New() *State {
	return &State{
		HostsByName: map[string]*Host{},
		Pools:       map[string]structs.Pool{},
		Waves:       map[string]*Wave{},
		usageByPool: map[string]*poolUsage{},
	}
}

// UnmarshalJSON reads a snapshot and rebuilds the indexes.
func (s *State) UnmarshalJSON(data []byte) error {
	type plainState State
	decoded := plainState(*New())
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	*s = State(decoded)
	s.rebuildIndexes()
	return nil
}

// rebuildIndexes derives the usage of the pools and the sorted names of the hosts.
func (s *State) rebuildIndexes() {
	s.usageByPool = make(map[string]*poolUsage, len(s.Pools))
	for name := range s.Pools {
		s.usageByPool[name] = newPoolUsage()
	}
	s.hostNames = make([]string, 0, len(s.HostsByName))
	for name, host := range s.HostsByName {
		s.hostNames = append(s.hostNames, name)
		s.usageOf(host.Pool).add(host)
	}
	sort.Strings(s.hostNames)
}

// Host returns a copy of the host with the name, or false if it isn't declared.
func (s *State) Host(name string) (Host, bool) {
	host, known := s.HostsByName[name]
	if !known {
		return Host{}, false
	}
	return *host, true
}

// Hosts returns copies of all hosts, sorted by name.
func (s *State) Hosts() []Host {
	hosts := make([]Host, 0, len(s.hostNames))
	for _, name := range s.hostNames {
		hosts = append(hosts, *s.HostsByName[name])
	}
	return hosts
}

// HostsInPool returns copies of the hosts in the pool, sorted by name.
func (s *State) HostsInPool(pool string) []Host {
	usage, known := s.usageByPool[pool]
	if !known {
		return nil
	}
	hosts := make([]Host, 0, len(usage.hosts))
	for _, host := range usage.hosts {
		hosts = append(hosts, *host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// IsServing reports whether the host is in the pool and in service.
func (s *State) IsServing(host, pool string) bool {
	entry, known := s.HostsByName[host]
	return known && entry.Pool == pool && entry.Phase == PhaseServing
}

// HostsInPhase returns copies of the hosts in the phase, sorted by name. The phase must be granted, moving or
// failed: only unavailable hosts are searched, so that PhaseServing returns none.
func (s *State) HostsInPhase(phase Phase) []Host {
	var hosts []Host
	for _, usage := range s.usageByPool {
		for _, host := range usage.unavailable {
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
	clone := New()
	for name, host := range s.HostsByName {
		copied := *host
		clone.HostsByName[name] = &copied
	}
	maps.Copy(clone.Pools, s.Pools)
	for name, wave := range s.Waves {
		copied := *wave
		copied.Hosts = maps.Clone(wave.Hosts)
		copied.Stopped = slices.Clone(wave.Stopped)
		clone.Waves[name] = &copied
	}
	clone.EpochFloor = s.EpochFloor
	clone.rebuildIndexes()
	return clone
}
