package rights

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"
)

const (
	benchSeed  = 11
	benchTeams = 160
	// benchDuration is the simulated time that is measured, after a warm-up of a minute.
	benchDuration = 4 * time.Minute
	benchRunTime  = 2 * time.Second
	// meanDemand is the mean demand of all nodes together, as a part of the limit.
	meanDemand = 0.4
	// peakFactor and quietFactor are the demand during and between peaks, as multiples of the mean.
	peakFactor, quietFactor = 5, 1.0 / 20
	peakDuration            = 10 * time.Second
	peakPeriod              = 52 * time.Second
)

// staggeredDemandByTeam returns a demand whose peaks come at a different time for each node and team.
func staggeredDemandByTeam(m *model, limits map[string]uint64) func(*node, string) int {
	phases := map[string]time.Duration{}
	return func(n *node, team string) int {
		key := n.name + team
		phase, known := phases[key]
		if !known {
			hash := fnv.New32a()
			_, _ = hash.Write([]byte(key))
			phase = time.Duration(hash.Sum32()) * time.Second % peakPeriod
			phases[key] = phase
		}
		rate := meanDemand * float64(limits[team]) / float64(len(m.nodes)) * float64(tick) / float64(benchRunTime)
		if (m.now.Sub(m.start)+phase)%peakPeriod < peakDuration {
			rate *= peakFactor
		} else {
			rate *= quietFactor
		}
		count := int(rate)
		if m.rng.Float64() < rate-float64(count) {
			count++
		}
		return count
	}
}

// usedFraction returns the running requests as a part of all limits together.
func (m *model) usedFraction() float64 {
	running, total := 0, uint64(0)
	for _, team := range m.doc.Teams {
		total += team.UpperLimit
	}
	for _, n := range m.nodes {
		running += len(n.running)
	}
	return float64(running) / float64(total)
}

// BenchmarkFleet reports, for all holders together, records and bytes per second, the percentage of the
// limits that running requests use, and how much less that is than with a counter shared by all nodes, also
// in percent.
func BenchmarkFleet(b *testing.B) {
	for _, hosts := range []int{9, 45, 120} {
		for _, forward := range []bool{false, true} {
			b.Run(fmt.Sprintf("hosts=%d/forward=%v", hosts, forward), func(b *testing.B) {
				for b.Loop() {
					benchFleet(b, hosts, forward)
				}
			})
		}
	}
}

// benchFleet runs the fleet with rights and with a shared counter, and reports the metrics.
func benchFleet(b *testing.B, hosts int, forward bool) {
	withCounter := runFleet(b, hosts, func(m *model) { m.sharedCounter = true })
	m := runFleet(b, hosts, func(m *model) { m.forwarding = forward })
	const percent = 100
	b.ReportMetric(float64(m.recordCount)/benchDuration.Seconds(), "records/s")
	b.ReportMetric(float64(m.byteCount)/benchDuration.Seconds(), "B/s")
	b.ReportMetric(percent*m.meanUsedFraction, "%used")
	b.ReportMetric(percent*(withCounter.meanUsedFraction-m.meanUsedFraction)/withCounter.meanUsedFraction, "%lost")
}

// runFleet runs a fleet of about as many hosts for benchDuration, and returns it. The function configure
// changes the model before the run.
func runFleet(b *testing.B, hosts int, configure func(*model)) *model {
	limits := map[string]uint64{}
	for i := range benchTeams {
		// Every fourth team is large.
		limits[fmt.Sprintf("team-%03d", i)] = []uint64{4, 10, 20, 120}[i%4]
	}
	zones := max(3, hosts/8)
	m := newModel(b, benchSeed, zones, hosts/zones, limits)
	m.runTime = func() time.Duration { return benchRunTime }
	m.demand = staggeredDemandByTeam(m, limits)
	configure(m)
	m.run(time.Minute)
	m.recordCount, m.byteCount = 0, 0
	ticks := int(benchDuration / tick)
	for range ticks {
		m.run(tick)
		m.meanUsedFraction += m.usedFraction() / float64(ticks)
	}
	return m
}

// BenchmarkAcquire measures Acquire and Release under contention.
func BenchmarkAcquire(b *testing.B) {
	m := newModel(b, benchSeed, 1, 3, map[string]uint64{"a": 1000})
	m.runTime = func() time.Duration { return time.Second }
	m.demand = func(n *node, _ string) int { return boolToInt(n == m.nodes[0]) * 20 }
	m.run(30 * time.Second)
	m.demand = nil
	m.run(5 * time.Second)
	holder := m.nodes[0].holder
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			use, err := holder.Acquire("a")
			if err != nil {
				b.Error(err)
				return
			}
			use.Release()
		}
	})
}
