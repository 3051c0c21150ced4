package document

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/settings"
	"turmericyoke/internal/structs"
)

// hashBytes is the length of a SHA-256 digest.
const hashBytes = 32

// Validate checks doc without regard to the state of the fleet. It returns one error for each
// violated rule, which names the field, the value and the accepted values.
func Validate(doc *structs.Document) error {
	v := &validator{
		zoneNames: map[string]bool{}, hostsPerPool: map[string]int{}, teamNames: map[string]bool{},
	}
	v.checkZones(doc)
	v.collectPools(doc)
	v.checkHosts(doc)
	v.checkPools(doc)
	v.checkTeams(doc)
	v.checkOpenTeams(doc)
	v.checkKeys(doc)
	v.checkWaves(doc)
	v.checkPolicy(doc.Policy)
	return errors.Join(v.errs...)
}

// validator collects the errors and the names that are declared in the document.
type validator struct {
	errs      []error
	zoneNames map[string]bool
	// hostsPerPool is the number of hosts that start in each declared pool.
	hostsPerPool map[string]int
	teamNames    map[string]bool
}

func (v *validator) addError(field, format string, args ...any) {
	v.errs = append(v.errs, fault.Invalid(fault.DocumentInvalid, field, format, args...))
}

// checkName checks the name of an object. duplicate is set if an earlier object has the same name.
func (v *validator) checkName(field, name string, duplicate bool) {
	if !settings.ValidName(name) {
		v.addError(field, "name %q: want 1 to %d lower-case letters, digits, dots or hyphens", name, settings.MaxNameLength)
	}
	if duplicate {
		v.addError(field, "name %q: want a name that no other object of this kind has", name)
	}
}

func (v *validator) checkZones(doc *structs.Document) {
	for i, zone := range doc.Zones {
		v.checkName(fmt.Sprintf("zones[%d].name", i), zone.Name, v.zoneNames[zone.Name])
		v.zoneNames[zone.Name] = true
		if !settings.ValidName(zone.Region) {
			v.addError(fmt.Sprintf("zones[%d].region", i), "region %q: want a name", zone.Region)
		}
	}
}

// collectPools registers the declared pools, so that checkHosts can count the hosts of each.
func (v *validator) collectPools(doc *structs.Document) {
	for i, pool := range doc.Pools {
		_, seen := v.hostsPerPool[pool.Name]
		v.checkName(fmt.Sprintf("pools[%d].name", i), pool.Name, seen)
		v.hostsPerPool[pool.Name] = 0
	}
}

func (v *validator) checkHosts(doc *structs.Document) {
	names := map[string]bool{}
	addresses := map[string]string{}
	for i, host := range doc.Hosts {
		field := fmt.Sprintf("hosts[%d]", i)
		v.checkName(field+".name", host.Name, names[host.Name])
		names[host.Name] = true
		v.checkHostLocation(field, host)
		v.checkHostAddress(field, host, addresses)
		if host.Slots < 1 {
			v.addError(field+".slots", "slots %d: want at least 1", host.Slots)
		}
		if host.Connections < host.Slots {
			v.addError(field+".connections", "connections %d: want at least the %d slots", host.Connections, host.Slots)
		}
	}
}

// checkHostLocation checks the zone, rack and pool of the host, and counts the host in its pool.
func (v *validator) checkHostLocation(field string, host structs.Host) {
	if !v.zoneNames[host.Zone] {
		v.addError(field+".zone", "zone %q: want a declared zone", host.Zone)
	}
	if !settings.ValidName(host.Rack) {
		v.addError(field+".rack", "rack %q: want a name", host.Rack)
	}
	count, declared := v.hostsPerPool[host.Pool]
	if !declared {
		v.addError(field+".pool", "pool %q: want a declared pool", host.Pool)
		return
	}
	v.hostsPerPool[host.Pool] = count + 1
}

// checkHostAddress checks that the address is valid and unique. hostByAddress maps the addresses of earlier
// hosts to their names.
func (v *validator) checkHostAddress(field string, host structs.Host, hostByAddress map[string]string) {
	if _, err := netip.ParseAddrPort(host.Address); err != nil {
		v.addError(field+".address", "address %q: want an IP number and a port", host.Address)
		return
	}
	if other, used := hostByAddress[host.Address]; used {
		v.addError(field+".address", "address %q: host %s has it already", host.Address, other)
	}
	hostByAddress[host.Address] = host.Name
}

func (v *validator) checkPools(doc *structs.Document) {
	sparePools := 0
	for i, pool := range doc.Pools {
		field := fmt.Sprintf("pools[%d]", i)
		hosts := v.hostsPerPool[pool.Name]
		if pool.Spare {
			sparePools++
		}
		if pool.MinAvailable < 0 || pool.MinAvailable > hosts {
			v.addError(field+".minAvailable", "minAvailable %d: want 0 to %d, the hosts that start in the pool", pool.MinAvailable, hosts)
		}
		if pool.MaxUnavailablePerZone < 0 {
			v.addError(field+".maxUnavailablePerZone", "maxUnavailablePerZone %d: want 0 or more", pool.MaxUnavailablePerZone)
		}
		if pool.MaxRunTime < 0 {
			v.addError(field+".maxRunTime", "maxRunTime %s: want 0 or more", pool.MaxRunTime.Duration())
		}
	}
	if sparePools > 1 {
		v.addError("pools", "%d spare pools: want at most 1", sparePools)
	}
}

func (v *validator) checkTeams(doc *structs.Document) {
	for i, team := range doc.Teams {
		field := fmt.Sprintf("teams[%d]", i)
		v.checkName(field+".name", team.Name, v.teamNames[team.Name])
		v.teamNames[team.Name] = true
		if team.Share < 1 {
			v.addError(field+".share", "share %d: want at least 1", team.Share)
		}
	}
}

func (v *validator) checkOpenTeams(doc *structs.Document) {
	for i, pool := range doc.Pools {
		if pool.OpenTeam != "" && !v.teamNames[pool.OpenTeam] {
			v.addError(fmt.Sprintf("pools[%d].openTeam", i), "team %q: want a declared team", pool.OpenTeam)
		}
	}
}

func (v *validator) checkKeys(doc *structs.Document) {
	ids := map[string]bool{}
	hashes := map[string]bool{}
	for i, key := range doc.Keys {
		field := fmt.Sprintf("keys[%d]", i)
		v.checkName(field+".id", key.ID, ids[key.ID])
		ids[key.ID] = true
		if !v.teamNames[key.Team] {
			v.addError(field+".team", "team %q: want a declared team", key.Team)
		}
		if raw, err := hex.DecodeString(key.Hash); err != nil || len(raw) != hashBytes {
			v.addError(field+".hash", "want the SHA-256 of the secret in %d hexadecimal digits", 2*hashBytes)
		}
		if hashes[key.Hash] {
			v.addError(field+".hash", "want a secret that no other key has")
		}
		hashes[key.Hash] = true
		if key.FailClosedAfter < 0 {
			v.addError(field+".failClosedAfter", "failClosedAfter %s: want 0 or more", key.FailClosedAfter.Duration())
		}
	}
}

func (v *validator) checkWaves(doc *structs.Document) {
	names := map[string]bool{}
	for i, wave := range doc.Waves {
		field := fmt.Sprintf("waves[%d]", i)
		v.checkName(field+".name", wave.Name, names[wave.Name])
		names[wave.Name] = true
		if _, declared := v.hostsPerPool[wave.Pool]; !declared {
			v.addError(field+".pool", "pool %q: want a declared pool", wave.Pool)
		}
		v.checkPositive(field+".maxParallel", wave.MaxParallel)
		v.checkPositive(field+".maxPerRack", wave.MaxPerRack)
		v.checkPositive(field+".canaryCount", wave.CanaryCount)
		v.checkPositive(field+".pauseAfterFailures", wave.PauseAfterFailures)
		if wave.HostTimeout <= 0 {
			v.addError(field+".hostTimeout", "hostTimeout %s: want more than 0s", wave.HostTimeout.Duration())
		}
	}
}

func (v *validator) checkPositive(field string, value int) {
	if value < 1 {
		v.addError(field, "%d: want at least 1", value)
	}
}

func (v *validator) checkPolicy(policy structs.Policy) {
	if policy.TargetUtilisation <= 0 || policy.TargetUtilisation > 1 {
		v.addError("policy.targetUtilisation", "%g: want above 0 and at most 1", policy.TargetUtilisation)
	}
	if policy.BufferCost < 0 || policy.MoveCost < 0 || policy.ShareNearness < 0 {
		v.addError("policy", "costs: want 0 or more")
	}
	if policy.FailureBuffer < 0 {
		v.addError("policy.failureBuffer", "%d: want 0 or more", policy.FailureBuffer)
	}
}
