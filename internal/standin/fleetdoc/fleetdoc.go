// Package fleetdoc generates fleet documents of any size for tests, benchmarks and capacity measurements.
package fleetdoc

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"turmericyoke/internal/document"
	"turmericyoke/internal/structs"
)

// Size is the number of objects of each kind in a document.
type Size struct {
	Hosts int
	Teams int
	Pools int
	Zones int
}

// DesignSize is the fleet size for which the system is designed and at which it is measured.
var DesignSize = Size{Hosts: 2800, Teams: 160, Pools: 25, Zones: 15}

// Sizes of each rack, and of each host and its endpoint.
const (
	hostsPerRack       = 4
	slotsPerHost       = 8
	connectionsPerHost = 64
	cpuMilliPerHost    = 64000
	memoryMiBPerHost   = 128 << 10
)

// New returns a valid document. Equal sizes give equal documents.
func New(size Size) *structs.Document {
	doc := &structs.Document{
		Policy: structs.Policy{
			BufferCost: 1, MoveCost: 1, ShareNearness: 1, TargetUtilisation: 0.7, FailureBuffer: 1,
			MoveDwell: structs.Duration(time.Minute), MinStay: structs.Duration(10 * time.Minute),
		},
	}
	for i := range size.Zones {
		doc.Zones = append(doc.Zones, structs.Zone{Name: zoneName(i), Region: fmt.Sprintf("region-%d", i/3)})
	}
	for i := range size.Pools {
		doc.Pools = append(doc.Pools, structs.Pool{Name: poolName(i), Spare: i == 0, MinAvailable: size.Hosts / size.Pools / 2})
	}
	for i := range size.Hosts {
		doc.Hosts = append(doc.Hosts, newHost(i, size))
	}
	for i := range size.Teams {
		name := fmt.Sprintf("team-%03d", i)
		doc.Teams = append(doc.Teams, structs.Team{Name: name, Share: 1 + i%5, UpperLimit: uint64(100 + 10*i)})
		doc.Keys = append(doc.Keys, structs.Key{ID: fmt.Sprintf("key-%03d", i), Team: name, Hash: HashSecret(name)})
	}
	document.Normalize(doc)
	return doc
}

// HashSecret returns the SHA-256 of a key's secret in hexadecimal digits.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i) }

func poolName(i int) string { return fmt.Sprintf("pool-%02d", i) }

func newHost(i int, size Size) structs.Host {
	rack := i / hostsPerRack
	return structs.Host{
		Name: fmt.Sprintf("host-%04d", i), Zone: zoneName(rack % size.Zones), Rack: fmt.Sprintf("rack-%03d", rack),
		Pool: poolName(i % size.Pools), Address: fmt.Sprintf("10.%d.%d.%d:8080", i/65536, i/256%256, i%256),
		Slots: slotsPerHost, Connections: connectionsPerHost,
		Capacity: structs.Resources{CPUMilli: cpuMilliPerHost, MemoryMiB: memoryMiBPerHost},
		Labels:   map[string]string{"generation": fmt.Sprintf("g%d", i%3)},
	}
}
