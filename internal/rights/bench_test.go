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
	// benchSpan is the modelled time after a minute of warming up.
	benchSpan = 4 * time.Minute
	benchRun  = 2 * time.Second
	// meanUse is the part of a limit that the mean demand of all nodes takes.
	meanUse = 0.4
	// peakFactor and quietFactor are demand at and between peaks, as a multiple of the mean.
	peakFactor, quietFactor = 5, 1.0 / 20
	peakSpan                = 10 * time.Second
	peakPeriod              = 52 * time.Second
)

// peaksInTurn is demand whose peaks come at a different time for each node and team.
func peaksInTurn(m *model, limits map[string]uint64) func(*node, string) int {
	phases := map[string]time.Duration{}
	return func(n *node, team string) int {
		key := n.name + team
		phase, known := phases[key]
		if !known {
			sum := fnv.New32a()
			_, _ = sum.Write([]byte(key))
			phase = time.Duration(sum.Sum32()) * time.Second % peakPeriod
			phases[key] = phase
		}
		rate := meanUse * float64(limits[team]) / float64(len(m.nodes)) * float64(tick) / float64(benchRun)
		if (m.now.Sub(m.start)+phase)%peakPeriod < peakSpan {
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

// use returns the part of all limits that runs.
func (m *model) use() float64 {
	running, total := 0, uint64(0)
	for _, team := range m.doc.Teams {
		total += team.UpperLimit
	}
	for _, n := range m.nodes {
		running += len(n.running)
	}
	return float64(running) / float64(total)
}

// BenchmarkFleet reports the records and their bytes a second of all holders, the part of the limits
// that runs, and the part that a counter shared by all nodes would run besides.
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

func benchFleet(b *testing.B, hosts int, forward bool) {
	shared := runFleet(b, hosts, func(m *model) { m.shared = true })
	m := runFleet(b, hosts, func(m *model) { m.forward = forward })
	const percent = 100
	b.ReportMetric(float64(m.records)/benchSpan.Seconds(), "records/s")
	b.ReportMetric(float64(m.bytes)/benchSpan.Seconds(), "B/s")
	b.ReportMetric(percent*m.meanUse, "%used")
	b.ReportMetric(percent*(shared.meanUse-m.meanUse)/shared.meanUse, "%lost")
}

func runFleet(b *testing.B, hosts int, set func(*model)) *model {
	limits := map[string]uint64{}
	for i := range benchTeams {
		// A few teams are large.
		limits[fmt.Sprintf("team-%03d", i)] = []uint64{4, 10, 20, 120}[i%4]
	}
	zones := max(3, hosts/8)
	m := newModel(b, benchSeed, zones, hosts/zones, limits)
	m.runTime = func() time.Duration { return benchRun }
	m.demand = peaksInTurn(m, limits)
	set(m)
	m.run(time.Minute)
	m.records, m.bytes = 0, 0
	ticks := int(benchSpan / tick)
	for range ticks {
		m.run(tick)
		m.meanUse += m.use() / float64(ticks)
	}
	return m
}

// BenchmarkAcquire measures admission under contention.
func BenchmarkAcquire(b *testing.B) {
	m := newModel(b, benchSeed, 1, 3, map[string]uint64{"a": 1000})
	m.runTime = func() time.Duration { return time.Second }
	m.demand = func(n *node, _ string) int { return btoi(n == m.nodes[0]) * 20 }
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
