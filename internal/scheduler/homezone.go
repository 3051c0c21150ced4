package scheduler

import (
	"hash/fnv"
	"math"
	"slices"

	"github.com/sirupsen/logrus"
)

// A job needs all its work items. If they are spread over the availability zones, the loss of any zone delays it; if they
// are in one, the loss of a zone delays only the jobs of that zone. Each job therefore has a home zone, where its work items
// are placed while there is room.

// remoteZonePenalty is the penalty in score of a worker outside the job's home zone. It outweighs any difference in the free
// fraction, which is at most 1, but not a remote rack.
const remoteZonePenalty = 1.25

// zoneCapacity is the processor capacity of a pool's workers in an availability zone.
type zoneCapacity struct {
	zone     string
	cpuMilli int64
}

// chooseZone returns the home zone of the job with the ID, or "" if no zone has capacity. The zones get jobs in proportion
// to their capacity. If the capacity of one zone changes, jobs move only to or from that zone (weighted rendezvous hashing).
func chooseZone(id string, zones []zoneCapacity) string {
	best, bestCost := "", math.Inf(1)
	for _, z := range zones {
		if z.cpuMilli <= 0 {
			continue
		}
		// The costs are exponentially distributed with the capacities as rates, so that each is the least one with a
		// probability in proportion to its capacity.
		cost := -math.Log(hashFraction(id, z.zone)) / float64(z.cpuMilli)
		if cost < bestCost || cost == bestCost && z.zone < best {
			best, bestCost = z.zone, cost
		}
	}
	return best
}

// hashFraction returns a hash of the two strings as a number between 0 and 1, without both.
func hashFraction(id, zone string) float64 {
	h := fnv.New64a()
	// A write to a hash never fails.
	_, _ = h.Write([]byte(zone))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	// The high bits of FNV-1a depend little on the last bytes. The finalizer of SplitMix64 spreads them.
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// zoneCapacities returns the capacity of the workers that may get new work, by zone.
func (p *candidatePool) zoneCapacities() []zoneCapacity {
	if p.zones != nil {
		return p.zones
	}
	for _, w := range p.workers {
		at := slices.IndexFunc(p.zones, func(z zoneCapacity) bool { return z.zone == w.entry.Zone })
		if at < 0 {
			at, p.zones = len(p.zones), append(p.zones, zoneCapacity{zone: w.entry.Zone})
		}
		p.zones[at].cpuMilli += w.entry.Capacity.CPUMilli
	}
	return p.zones
}

// setHomeZone chooses the home zone of a job if home zones are enabled, and chooses again once the zone has no worker that
// may get new work.
func (c *Core) setHomeZone(j *job, pool *candidatePool) {
	if !c.options.Policy.Zones.InHomeZone() {
		return
	}
	zones := pool.zoneCapacities()
	if len(zones) == 0 || j.homeZone != "" && slices.ContainsFunc(zones, func(z zoneCapacity) bool { return z.zone == j.homeZone }) {
		return
	}
	zone := chooseZone(j.def.ID, zones)
	if j.homeZone != "" {
		c.metrics.homeZoneChanged()
		c.logger.WithFields(logrus.Fields{"event": "home_zone_changed", "job": j.def.ID, "from": j.homeZone, "to": zone}).Info("the job's home zone has no worker that may get new work; it has another one")
	}
	j.homeZone = zone
}

// homeZonePenalty returns the penalty of the worker for items of the step that aren't in the job's home zone. Lasting work is
// spread over the zones as before.
func (s *stepInstance) homeZonePenalty(w *worker) float64 {
	if s.job.homeZone == "" || s.def.Lasting || w.entry.Zone == s.job.homeZone {
		return 0
	}
	return remoteZonePenalty
}
