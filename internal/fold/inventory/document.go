package inventory

import (
	"maps"
	"sort"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// CheckDocument returns an error if the next document conflicts with the current state. A document must not
//   - exceed an availability budget by removing hosts or changing their zones,
//   - set a budget that the pool doesn't meet now,
//   - remove a pool that a host is in or moves to,
//   - change the pool, pin, zone or rack of a granted or moving host,
//   - remove a wave that has stopped hosts, or change the pool or selector of a wave.
//
// The declared pool of an unpinned host only determines where a new host starts. Changing it has no effect on
// a host that is already in the state, which stays in its pool until a Move. A pinned host has to be in its
// declared pool; if it isn't, the planner proposes the Move.
func (s *State) CheckDocument(next *structs.Document) *fault.Error {
	after, err := s.projectUsage(next)
	if err != nil {
		return err
	}
	declaredPools := make(map[string]bool, len(next.Pools))
	for _, pool := range next.Pools {
		declaredPools[pool.Name] = true
		if err := s.checkPoolBudget(pool, after[pool.Name]); err != nil {
			return err
		}
	}
	if err := checkPoolReferences(declaredPools, after); err != nil {
		return err
	}
	return s.checkWaves(next)
}

// projectUsage returns the usage that each pool would have under the next document. It returns an error if the
// document changes a granted or moving host.
func (s *State) projectUsage(next *structs.Document) (map[string]*poolUsage, *fault.Error) {
	after := map[string]*poolUsage{}
	for i := range next.Hosts {
		declared := &next.Hosts[i]
		host, known := s.HostsByName[declared.Name]
		if !known {
			host = &Host{Pool: declared.Pool, Phase: PhaseServing}
		} else if err := checkHostChange(host, declared); err != nil {
			return nil, err
		}
		projected := *host
		projected.Name, projected.Zone = declared.Name, declared.Zone
		if after[projected.Pool] == nil {
			after[projected.Pool] = newPoolUsage()
		}
		after[projected.Pool].add(&projected)
	}
	return after, nil
}

// checkHostChange returns an error if the document changes the pool, pin, zone or rack of a granted or moving
// host.
func checkHostChange(host *Host, declared *structs.Host) *fault.Error {
	if host.Phase != PhaseGranted && host.Phase != PhaseMoving {
		return nil
	}
	if host.DeclaredPool != declared.Pool || host.Pinned != declared.Pinned {
		return hostError(host, "its pool can't change while it is %s", host.Phase)
	}
	if host.Zone != declared.Zone || host.Rack != declared.Rack {
		return hostError(host, "its zone and rack can't change while it is %s", host.Phase)
	}
	return nil
}

// hostError returns an error about the declaration of the host.
func hostError(host *Host, format string, args ...any) *fault.Error {
	return fault.Invalid(fault.DocumentInvalid, "hosts."+host.Name, format, args...)
}

// checkPoolBudget returns an error if the document tightens the pool's budget beyond what the pool meets, or
// worsens a violation of it. A budget that unplanned failures already exceed doesn't forbid other changes.
func (s *State) checkPoolBudget(next structs.Pool, after *poolUsage) *fault.Error {
	if after == nil {
		after = newPoolUsage()
	}
	before := s.usageOf(next.Name)
	old := s.Pools[next.Name]
	tightened := next.MinAvailable > old.MinAvailable
	if after.available() < next.MinAvailable && (tightened || after.available() < before.available()) {
		return fault.Invalid(fault.DocumentInvalid, "pools."+next.Name+".minAvailable",
			"%d hosts of the pool would be available: want at least %d", after.available(), next.MinAvailable)
	}
	limit := next.MaxUnavailablePerZone
	if limit == 0 {
		return nil
	}
	tightened = old.MaxUnavailablePerZone == 0 || limit < old.MaxUnavailablePerZone
	for _, zone := range sortedKeys(after.unavailableByZone) {
		count := after.unavailableByZone[zone]
		if count > limit && (tightened || count > before.unavailableByZone[zone]) {
			return fault.Invalid(fault.DocumentInvalid, "pools."+next.Name+".maxUnavailablePerZone",
				"%d hosts of the pool would be unavailable in zone %s: want at most %d", count, zone, limit)
		}
	}
	return nil
}

// checkPoolReferences returns an error if a host would be in, or move to, a pool that isn't declared.
func checkPoolReferences(declaredPools map[string]bool, after map[string]*poolUsage) *fault.Error {
	for _, pool := range sortedKeys(after) {
		for _, name := range sortedKeys(after[pool].hosts) {
			host := after[pool].hosts[name]
			if !declaredPools[host.Pool] {
				return hostError(host, "it is in pool %s, which can't be dropped before the host has moved", host.Pool)
			}
			if !declaredPools[host.Destination()] {
				return hostError(host, "it moves to pool %s, which can't be dropped", host.MoveTo)
			}
		}
	}
	return nil
}

// checkWaves returns an error if the document removes a wave that has stopped hosts, or changes the pool or
// selector of a wave: its hosts are selected once, when it starts.
func (s *State) checkWaves(next *structs.Document) *fault.Error {
	declaredWaves := map[string]structs.Wave{}
	for _, wave := range next.Waves {
		declaredWaves[wave.Name] = wave
	}
	for _, name := range sortedKeys(s.Waves) {
		wave := s.Waves[name]
		declared, kept := declaredWaves[name]
		if !kept && len(wave.Stopped) > 0 {
			return fault.Invalid(fault.DocumentInvalid, "waves."+name,
				"host %s is stopped: stop the wave and wait until its hosts are back before removing it", wave.Stopped[0])
		}
		sameSelection := declared.Pool == wave.Spec.Pool && maps.Equal(declared.Selector, wave.Spec.Selector)
		if kept && !sameSelection {
			return fault.Invalid(fault.DocumentInvalid, "waves."+name,
				"pool and selector can't change once the wave has started: add a wave of another name")
		}
	}
	return nil
}

// AdoptDocument applies an accepted document to the state.
func (s *State) AdoptDocument(next *structs.Document) {
	s.adoptPools(next)
	s.removeHosts(next)
	for i := range next.Hosts {
		s.adoptHost(&next.Hosts[i])
	}
	s.rebuildIndexes()
	s.adoptWaves(next)
}

// adoptPools replaces the declared pools.
func (s *State) adoptPools(next *structs.Document) {
	s.Pools = make(map[string]structs.Pool, len(next.Pools))
	for _, pool := range next.Pools {
		s.Pools[pool.Name] = pool
	}
}

// removeHosts removes the hosts that aren't declared any more, also from waves.
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
			wave.setStep(name, "")
		}
	}
}

// adoptHost adds a new host, or applies the declared properties to a known one, which stays in its pool.
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

// adoptWaves starts added waves, removes waves that aren't declared any more, and applies changed limits.
func (s *State) adoptWaves(next *structs.Document) {
	waves := make(map[string]*Wave, len(next.Waves))
	for _, declared := range next.Waves {
		wave, known := s.Waves[declared.Name]
		if !known {
			wave = s.startWave(declared)
		}
		wave.Spec = declared
		wave.completeIfFinished()
		waves[declared.Name] = wave
	}
	for name, wave := range s.Waves {
		if _, kept := waves[name]; !kept {
			s.detachFailedHosts(wave)
		}
	}
	s.Waves = waves
}

// detachFailedHosts detaches the failed hosts from a removed wave, so that their return doesn't count for a
// later wave of the same name.
func (s *State) detachFailedHosts(wave *Wave) {
	for name, step := range wave.Hosts {
		if step == StepFailed {
			s.HostsByName[name].Wave = ""
		}
	}
}

// startWave returns a running wave with the hosts that are in its pool and match its selector now.
func (s *State) startWave(declared structs.Wave) *Wave {
	wave := &Wave{Phase: WaveRunning, Hosts: map[string]Step{}}
	for name, host := range s.usageOf(declared.Pool).hosts {
		if matchesSelector(host.Labels, declared.Selector) {
			wave.setStep(name, StepPending)
		}
	}
	return wave
}

// matchesSelector reports whether the labels contain each key of the selector with its value.
func matchesSelector(labels, selector map[string]string) bool {
	for key, want := range selector {
		if labels[key] != want {
			return false
		}
	}
	return true
}

// sortedKeys returns the sorted keys, so that checks visit them in the same order in every process.
func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
