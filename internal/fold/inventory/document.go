package inventory

import (
	"maps"
	"sort"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// CheckDocument returns an error when the state forbids the next document. A change may not break
// a budget by removing hosts, drop a pool that has hosts, set a budget that the pool doesn't meet
// now, or change a host that is granted or moving.
//
// The declared pool of an unpinned host says only where the host starts. Changing it has no effect
// on a host that the state knows: the host stays where it is until a Move. The declared pool of a
// pinned host is where it has to go, and the planner proposes the Move.
func (s *State) CheckDocument(next *structs.Document) *fault.Error {
	after, err := s.project(next)
	if err != nil {
		return err
	}
	pools := make(map[string]bool, len(next.Pools))
	for _, pool := range next.Pools {
		pools[pool.Name] = true
		if err := s.checkPoolBudget(pool, after[pool.Name]); err != nil {
			return err
		}
	}
	if err := checkPoolsKept(pools, after); err != nil {
		return err
	}
	return s.checkWaves(next)
}

// project returns the usage of each pool under the next document.
func (s *State) project(next *structs.Document) (map[string]*usage, *fault.Error) {
	after := map[string]*usage{}
	for i := range next.Hosts {
		declared := &next.Hosts[i]
		host, known := s.HostsByName[declared.Name]
		if !known {
			host = &Host{Pool: declared.Pool, Phase: PhaseServing}
		} else if err := checkHostChange(host, declared); err != nil {
			return nil, err
		}
		placed := *host
		placed.Name, placed.Zone = declared.Name, declared.Zone
		if after[placed.Pool] == nil {
			after[placed.Pool] = newUsage()
		}
		after[placed.Pool].add(&placed)
	}
	return after, nil
}

func checkHostChange(host *Host, declared *structs.Host) *fault.Error {
	if host.Phase != PhaseGranted && host.Phase != PhaseMoving {
		return nil
	}
	if host.DeclaredPool != declared.Pool || host.Pinned != declared.Pinned {
		return invalidHost(host, "its pool can't change while it is %s", host.Phase)
	}
	if host.Zone != declared.Zone || host.Rack != declared.Rack {
		return invalidHost(host, "its zone and rack can't change while it is %s", host.Phase)
	}
	return nil
}

func invalidHost(host *Host, format string, args ...any) *fault.Error {
	return fault.Invalid(fault.DocumentInvalid, "hosts."+host.Name, format, args...)
}

// checkPoolBudget returns an error when the change itself breaks the budget. A budget that
// unplanned failures have broken already doesn't forbid a change that makes nothing worse.
func (s *State) checkPoolBudget(next structs.Pool, after *usage) *fault.Error {
	if after == nil {
		after = newUsage()
	}
	before := s.of(next.Name)
	old := s.Pools[next.Name]
	tightened := next.MinAvailable > old.MinAvailable
	if after.available() < next.MinAvailable && (tightened || after.available() < before.available()) {
		return fault.Invalid(fault.DocumentInvalid, "pools."+next.Name+".minAvailable",
			"%d hosts of the pool would be available: want at least %d", after.available(), next.MinAvailable)
	}
	bound := next.MaxUnavailablePerZone
	if bound == 0 {
		return nil
	}
	tightened = old.MaxUnavailablePerZone == 0 || bound < old.MaxUnavailablePerZone
	for _, zone := range sortedKeys(after.zones) {
		count := after.zones[zone]
		if count > bound && (tightened || count > before.zones[zone]) {
			return fault.Invalid(fault.DocumentInvalid, "pools."+next.Name+".maxUnavailablePerZone",
				"%d hosts of the pool would be unavailable in zone %s: want at most %d", count, zone, bound)
		}
	}
	return nil
}

// checkPoolsKept returns an error when a host would be in, or move to, a pool that isn't declared.
func checkPoolsKept(pools map[string]bool, after map[string]*usage) *fault.Error {
	for _, pool := range sortedKeys(after) {
		for _, name := range sortedKeys(after[pool].hosts) {
			host := after[pool].hosts[name]
			if !pools[host.Pool] {
				return invalidHost(host, "it is in pool %s, which can't be dropped before the host has moved", host.Pool)
			}
			if !pools[host.Destination()] {
				return invalidHost(host, "it moves to pool %s, which can't be dropped", host.MoveTo)
			}
		}
	}
	return nil
}

// checkWaves returns an error when a wave with stopped hosts would go, or a wave would select anew.
func (s *State) checkWaves(next *structs.Document) *fault.Error {
	kept := map[string]structs.Wave{}
	for _, wave := range next.Waves {
		kept[wave.Name] = wave
	}
	for _, name := range sortedKeys(s.Waves) {
		wave := s.Waves[name]
		declared, found := kept[name]
		if !found && len(wave.Stopped) > 0 {
			return fault.Invalid(fault.DocumentInvalid, "waves."+name,
				"host %s is stopped: stop the wave and wait until its hosts are back before removing it", wave.Stopped[0])
		}
		same := declared.Pool == wave.Spec.Pool && maps.Equal(declared.Selector, wave.Spec.Selector)
		if found && !same {
			return fault.Invalid(fault.DocumentInvalid, "waves."+name,
				"pool and selector can't change once the wave has started: add a wave of another name")
		}
	}
	return nil
}

// AdoptDocument brings the state in line with an accepted document.
func (s *State) AdoptDocument(next *structs.Document) {
	s.adoptPools(next)
	s.removeHosts(next)
	for i := range next.Hosts {
		s.adoptHost(&next.Hosts[i])
	}
	s.index()
	s.adoptWaves(next)
}

func (s *State) adoptPools(next *structs.Document) {
	s.Pools = make(map[string]structs.Pool, len(next.Pools))
	for _, pool := range next.Pools {
		s.Pools[pool.Name] = pool
	}
}

func (s *State) removeHosts(next *structs.Document) {
	kept := make(map[string]bool, len(next.Hosts))
	for i := range next.Hosts {
		kept[next.Hosts[i].Name] = true
	}
	for name, host := range s.HostsByName {
		if kept[name] {
			continue
		}
		s.EpochFloor = max(s.EpochFloor, host.Epoch)
		delete(s.HostsByName, name)
		for _, wave := range s.Waves {
			wave.set(name, "")
		}
	}
}

func (s *State) adoptHost(declared *structs.Host) {
	host, known := s.HostsByName[declared.Name]
	if !known {
		host = &Host{Name: declared.Name, Pool: declared.Pool, Phase: PhaseServing, Epoch: s.EpochFloor + 1}
		s.HostsByName[declared.Name] = host
	}
	host.Zone, host.Rack = declared.Zone, declared.Rack
	host.DeclaredPool, host.Pinned = declared.Pool, declared.Pinned
	host.Labels = declared.Labels
}

// adoptWaves starts added waves, drops removed ones and takes over changed bounds.
func (s *State) adoptWaves(next *structs.Document) {
	waves := make(map[string]*Wave, len(next.Waves))
	for _, declared := range next.Waves {
		wave, known := s.Waves[declared.Name]
		if !known {
			wave = s.startWave(declared)
		}
		wave.Spec = declared
		wave.settle()
		waves[declared.Name] = wave
	}
	for name, wave := range s.Waves {
		if _, kept := waves[name]; !kept {
			s.forgetWave(wave)
		}
	}
	s.Waves = waves
}

// forgetWave detaches the failed hosts of a removed wave, so that their return doesn't count for a
// later wave of the same name.
func (s *State) forgetWave(wave *Wave) {
	for name, step := range wave.Hosts {
		if step == StepFailed {
			s.HostsByName[name].Wave = ""
		}
	}
}

func (s *State) startWave(declared structs.Wave) *Wave {
	wave := &Wave{Phase: WaveRunning, Hosts: map[string]Step{}}
	for name, host := range s.of(declared.Pool).hosts {
		if matches(host.Labels, declared.Selector) {
			wave.set(name, StepPending)
		}
	}
	return wave
}

// matches reports whether the labels have each pair of the selector.
func matches(labels, selector map[string]string) bool {
	for key, want := range selector {
		if labels[key] != want {
			return false
		}
	}
	return true
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
