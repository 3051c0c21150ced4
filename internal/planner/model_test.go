package planner

import (
	"flag"
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"turmericyoke/internal/structs"
)

// fleetProfile is one of the fleets that the planner is compared on.
type fleetProfile struct {
	name         string
	hosts, pools int
	policy       structs.Policy
}

// scenario is how the queues peak: in turn, at five times their mean, and a twentieth between.
type scenario struct {
	name         string
	peakDuration time.Duration
	// meanRatio is the ratio by which the means of the pools differ, and is above 1 when they change.
	meanRatio float64
}

// simulation moves hosts between pools in steps of modelStep.
type simulation struct {
	fleetProfile
	scenario
	random     *rand.Rand
	now        time.Time
	hostStates []Host
	// arrivesAt is when a moving host serves in its new pool.
	arrivesAt   map[int]time.Time
	meanDemand  []float64
	teamWeights [][]float64
	poolIndex   map[string]int
	result      result
}

// result sums what the measures of design section 1.4 count.
type result struct {
	moves int
	// idle is the idle host hours outside the spare pool, idleAll those of all pools.
	idle, idleAll float64
	// unmet is the slot hours asked for but not had; distance is the part that teams below their
	// share lacked.
	unmet, distance float64
}

func (r result) cost(p structs.Policy) float64 {
	return p.BufferCost*r.idle + p.MoveCost*float64(r.moves) + p.ShareNearness*r.distance
}

const (
	simulatedSlotsPerHost = 8
	simulatedStep         = 5 * time.Second
	simulatedMoveTime     = 90 * time.Second
	teamCount             = 6
)

var teamShares = [teamCount]float64{40, 25, 15, 10, 6, 4}

func newSimulation(u fleetProfile, sc scenario, seed int64) *simulation {
	m := &simulation{fleetProfile: u, scenario: sc, random: rand.New(rand.NewSource(seed)), now: time.Unix(0, 0), arrivesAt: map[int]time.Time{}}
	for i := range u.hosts {
		m.hostStates = append(m.hostStates, Host{
			Name: fmt.Sprintf("h%04d", i), Pool: poolName(i % u.pools), Home: poolName(i % u.pools), Serving: true, Slots: simulatedSlotsPerHost,
			Zone: fmt.Sprintf("z%d", i/4%3), Rack: fmt.Sprintf("r%d", i/4), Epoch: 1,
		})
	}
	perPool := float64(u.hosts/u.pools) * simulatedSlotsPerHost
	m.poolIndex = map[string]int{}
	for i := range u.pools {
		m.poolIndex[poolName(i)] = i
		m.meanDemand = append(m.meanDemand, perPool*0.25*math.Pow(sc.meanRatio, 2*m.random.Float64()-1))
		w := make([]float64, teamCount)
		for team := range w {
			w[team] = teamShares[team] * (0.5 + m.random.Float64())
		}
		m.teamWeights = append(m.teamWeights, w)
	}
	return m
}

func poolName(i int) string { return fmt.Sprintf("p%02d", i) }

// demands are the slots that each pool asks for now. One pool in five peaks at any time.
func (m *simulation) demands() []float64 {
	turn := int(m.now.Unix()/int64(m.peakDuration.Seconds())) % 5
	demands := make([]float64, m.pools)
	for i := range demands {
		factor := 0.05
		if i%5 == turn {
			factor = 5
		}
		demands[i] = m.meanDemand[i] * factor
	}
	return demands
}

// movePlanner plans the moves of this moment.
type movePlanner func(in Input) []Move

// run counts from the end of the warm-up, in which the planner fills its window.
func (m *simulation) run(warmUp, horizon, plan time.Duration, planner movePlanner) result {
	counted := m.now.Add(warmUp)
	end := counted.Add(horizon)
	for ; m.now.Before(end); m.now = m.now.Add(simulatedStep) {
		if m.now.Equal(counted) {
			m.result = result{}
		}
		m.finishMoves()
		demands := m.demands()
		m.account(demands)
		if m.now.Unix()%int64(plan.Seconds()) == 0 {
			m.startMoves(planner(m.input(demands)))
		}
	}
	return m.result
}

func (m *simulation) input(demands []float64) Input {
	in := Input{Now: m.now, Hosts: append([]Host(nil), m.hostStates...), Policy: m.policy, MoveTime: simulatedMoveTime}
	for i, demand := range demands {
		in.Pools = append(in.Pools, Pool{Name: poolName(i), Spare: i == m.pools-1, MinAvailable: 2, Headroom: 1, Demand: demand})
	}
	return in
}

func (m *simulation) startMoves(moves []Move) {
	for _, move := range moves {
		for i := range m.hostStates {
			if h := &m.hostStates[i]; h.Name == move.Host && h.Serving && h.Pool == move.From {
				h.Serving, h.MoveTo = false, move.To
				m.arrivesAt[i] = m.now.Add(simulatedMoveTime)
				m.result.moves++
			}
		}
	}
}

func (m *simulation) finishMoves() {
	for i, at := range m.arrivesAt {
		if !m.now.Before(at) {
			h := &m.hostStates[i]
			h.Pool, h.MoveTo, h.Serving, h.InPoolSince = h.MoveTo, "", true, m.now
			delete(m.arrivesAt, i)
		}
	}
}

// account adds one step. Each pool's slots are shared among its teams by share, and compared with
// what each team would get if all slots were one pool.
func (m *simulation) account(demands []float64) {
	hour := simulatedStep.Hours()
	capacity := make([]float64, m.pools)
	total := 0.0
	for i := range m.hostStates {
		if h := &m.hostStates[i]; h.Serving {
			capacity[m.poolIndex[h.Pool]] += simulatedSlotsPerHost
			total += simulatedSlotsPerHost
		}
	}
	var got, asked [teamCount]float64
	for i, demand := range demands {
		wants := splitByWeight(demand, m.teamWeights[i])
		for team, part := range fairShares(capacity[i], wants) {
			got[team] += part
			asked[team] += wants[team]
		}
		idle := max(0, capacity[i]-demand) / simulatedSlotsPerHost * hour
		m.result.idleAll += idle
		if i != m.pools-1 {
			m.result.idle += idle
		}
		m.result.unmet += max(0, demand-capacity[i]) * hour
	}
	for team, due := range fairShares(total, asked) {
		m.result.distance += max(0, due-got[team]) * hour
	}
}

func splitByWeight(demand float64, weights []float64) (wants [teamCount]float64) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for team := range wants {
		wants[team] = demand * weights[team] / sum
	}
	return wants
}

// fairShares shares the capacity by share, and what a team doesn't want among the others.
func fairShares(capacity float64, wants [teamCount]float64) (got [teamCount]float64) {
	open, weight := teamCount, 0.0
	var full [teamCount]bool
	for open > 0 && capacity > 1e-9 {
		weight = 0
		for team := range wants {
			if !full[team] {
				weight += teamShares[team]
			}
		}
		level, closed := capacity/weight, false
		for team, want := range wants {
			if !full[team] && want-got[team] <= level*teamShares[team] {
				capacity -= want - got[team]
				got[team], full[team], closed = want, true, true
				open--
			}
		}
		if !closed {
			for team := range wants {
				if !full[team] {
					got[team] += level * teamShares[team]
				}
			}
			return got
		}
	}
	return got
}

// staticPlanner never moves a host.
func staticPlanner(Input) []Move { return nil }

// greedyPlanner moves a host from the least to the most loaded pool by the demand of this moment, whenever
// that one is above the target utilisation.
func greedyPlanner(in Input) []Move {
	capacity := map[string]float64{}
	for _, h := range in.Hosts {
		if h.Serving {
			capacity[h.Pool] += float64(h.Slots)
		} else {
			capacity[h.MoveTo] += float64(h.Slots)
		}
	}
	least, most := in.Pools[0], in.Pools[0]
	load := func(p Pool) float64 { return p.Demand / max(1, capacity[p.Name]) }
	for _, p := range in.Pools {
		if load(p) > load(most) {
			most = p
		}
		if load(p) < load(least) && capacity[p.Name] > simulatedSlotsPerHost*float64(p.MinAvailable+1) {
			least = p
		}
	}
	if load(most) <= in.Policy.TargetUtilisation || least.Name == most.Name {
		return nil
	}
	for _, h := range in.Hosts {
		if h.Serving && h.Pool == least.Name {
			return []Move{{Host: h.Name, From: least.Name, To: most.Name}}
		}
	}
	return nil
}

// newStepPlanner is the planner under test with its memory.
func newStepPlanner() movePlanner {
	memory := Memory{}
	return func(in Input) []Move {
		plan, next := Step(in, memory)
		memory = next
		return plan.Moves
	}
}

// fleetProfiles weigh the measures as in design section 1.2.
func fleetProfiles() []fleetProfile {
	fishway := structs.Policy{BufferCost: 1, MoveCost: 0.5, ShareNearness: 4, TargetUtilisation: 0.8, FailureBuffer: 1, RackBuffer: true, MoveDwell: structs.Duration(20 * time.Second), MinStay: structs.Duration(30 * time.Minute)}
	pearls := structs.Policy{BufferCost: 4, MoveCost: 2, ShareNearness: 1, TargetUtilisation: 0.8, FailureBuffer: 1, RackBuffer: true, MinStay: structs.Duration(30 * time.Minute)}
	return []fleetProfile{
		{"fishway", 50, 5, fishway}, {"pearls", 50, 5, pearls},
		{"fishway-scale", 2800, 25, fishway}, {"pearls-scale", 2800, 25, pearls},
	}
}

func scenarios() []scenario {
	return []scenario{{"10s", 10 * time.Second, 2}, {"5m", 5 * time.Minute, 2}, {"1h", time.Hour, 2}, {"4h", 4 * time.Hour, 2}}
}

// fullRun compares at both sizes for a day, as docs/notes/0009-moves.md reports it.
var fullRun = flag.Bool("full", false, "compare at all sizes for 24 hours")

var seed = flag.Int64("seed", 1, "seed of the pools' means and teams")

// Guards against a planner that costs more than not planning at all, or than chasing demand.
func TestAgainstStaticAndGreedy(t *testing.T) {
	warmUp, horizon := 4*time.Hour, 6*time.Hour
	if *fullRun {
		warmUp, horizon = 6*time.Hour, 24*time.Hour
	}
	for _, u := range fleetProfiles() {
		if u.hosts > 50 && !*fullRun {
			continue
		}
		for _, sc := range scenarios() {
			if sc.peakDuration > time.Hour && !*fullRun {
				continue
			}
			t.Run(u.name+"/"+sc.name, func(t *testing.T) {
				costs := map[string]float64{}
				for name, p := range map[string]movePlanner{"static": staticPlanner, "greedy": greedyPlanner, "planner": newStepPlanner()} {
					r := newSimulation(u, sc, *seed).run(warmUp, horizon, 30*time.Second, p)
					costs[name] = r.cost(u.policy)
					t.Logf("%-8s cost=%.0f idle=%.0f idleAll=%.0f moves=%d unmet=%.0f distance=%.0f", name, costs[name], r.idle, r.idleAll, r.moves, r.unmet, r.distance)
				}
				if costs["planner"] > costs["static"] || costs["planner"] > costs["greedy"] {
					t.Errorf("costs %v", costs)
				}
			})
		}
	}
}

// Guards against moves for peaks that are over before a host can arrive, and against hiding that.
func TestShortPeaksAreReported(t *testing.T) {
	m := newSimulation(fleetProfiles()[0], scenario{"10s", 10 * time.Second, 1}, 1)
	memory, moves := Memory{}, 0
	var plan Plan
	for range 720 {
		m.now = m.now.Add(10 * time.Second)
		plan, memory = Step(m.input(m.demands()), memory)
		moves += len(plan.Moves)
	}
	for _, pool := range plan.Pools {
		if !pool.ShortPeaks {
			t.Errorf("pool %s peaks at %.0f slots for 10 s, which isn't reported: %+v", pool.Name, pool.Peak, pool)
		}
	}
	if moves > 0 {
		t.Errorf("%d moves between pools with equal demand", moves)
	}
}

// The cost of a plan grows with the hosts of the pools that give and with the window.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ hosts, pools int }{{50, 5}, {700, 7}, {2800, 25}} {
		b.Run(fmt.Sprint(size.hosts), func(b *testing.B) {
			u := fleetProfiles()[0]
			u.hosts, u.pools = size.hosts, size.pools
			m := newSimulation(u, scenarios()[2], 1)
			memory := Memory{}
			for range 2160 {
				m.now = m.now.Add(10 * time.Second)
				memory.Samples = updateSamples(&Input{Now: m.now, Pools: m.input(m.demands()).Pools, Policy: u.policy}, memory)
			}
			in := m.input(m.demands())
			for b.Loop() {
				Step(in, memory)
			}
		})
	}
}
