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

// fleetProfile is the size and the policy of a simulated fleet.
type fleetProfile struct {
	name         string
	hosts, pools int
	policy       structs.Policy
}

// scenario describes the demand of the pools. It peaks in turn at five times its mean, and is a twentieth of
// the mean otherwise.
type scenario struct {
	name         string
	peakDuration time.Duration
	// maxDemandFactor bounds the random factor by which each pool's mean demand differs from the common value.
	// The factor is between 1/maxDemandFactor and maxDemandFactor.
	maxDemandFactor float64
}

// simulation simulates demand and moves of hosts between pools in steps of simulatedStep.
type simulation struct {
	fleetProfile
	scenario
	random     *rand.Rand
	now        time.Time
	hostStates []Host
	// arrivesAt is when a moving host begins to serve in its new pool, by index of the host.
	arrivesAt map[int]time.Time
	// meanDemand is the mean demand of each pool, and teamWeights the weight of each team in that demand.
	meanDemand  []float64
	teamWeights [][]float64
	poolIndex   map[string]int
	result      result
}

// result sums up the measures of section 1.4 of docs/design.md.
type result struct {
	moves int
	// idle is the number of idle host hours outside the spare pool, and idleAll that of all pools.
	idle, idleAll float64
	// unmet is the number of slot hours of demand that exceeded the capacity. distance is the number of slot
	// hours by which teams fell short of their fair shares.
	unmet, distance float64
}

// cost returns the total cost with the weights of the policy.
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

func newSimulation(profile fleetProfile, sc scenario, seed int64) *simulation {
	s := &simulation{fleetProfile: profile, scenario: sc, random: rand.New(rand.NewSource(seed)), now: time.Unix(0, 0), arrivesAt: map[int]time.Time{}}
	for i := range profile.hosts {
		s.hostStates = append(s.hostStates, Host{
			Name: fmt.Sprintf("h%04d", i), Pool: poolName(i % profile.pools), Home: poolName(i % profile.pools), Serving: true, Slots: simulatedSlotsPerHost,
			Zone: fmt.Sprintf("z%d", i/4%3), Rack: fmt.Sprintf("r%d", i/4), Epoch: 1,
		})
	}
	slotsPerPool := float64(profile.hosts/profile.pools) * simulatedSlotsPerHost
	s.poolIndex = map[string]int{}
	for i := range profile.pools {
		s.poolIndex[poolName(i)] = i
		s.meanDemand = append(s.meanDemand, slotsPerPool*0.25*math.Pow(sc.maxDemandFactor, 2*s.random.Float64()-1))
		weights := make([]float64, teamCount)
		for team := range weights {
			weights[team] = teamShares[team] * (0.5 + s.random.Float64())
		}
		s.teamWeights = append(s.teamWeights, weights)
	}
	return s
}

func poolName(i int) string { return fmt.Sprintf("p%02d", i) }

// demands returns the current demand of each pool in slots. One pool in five is at its peak at any time.
func (s *simulation) demands() []float64 {
	peaking := int(s.now.Unix()/int64(s.peakDuration.Seconds())) % 5
	demands := make([]float64, s.pools)
	for i := range demands {
		factor := 0.05
		if i%5 == peaking {
			factor = 5
		}
		demands[i] = s.meanDemand[i] * factor
	}
	return demands
}

// movePlanner plans the moves to make now.
type movePlanner func(input Input) []Move

// run simulates the warm-up and the horizon, and returns the result of the horizon. During the warm-up, the
// planner fills its window of samples.
func (s *simulation) run(warmUp, horizon, planInterval time.Duration, planner movePlanner) result {
	warmUpEnd := s.now.Add(warmUp)
	end := warmUpEnd.Add(horizon)
	for ; s.now.Before(end); s.now = s.now.Add(simulatedStep) {
		if s.now.Equal(warmUpEnd) {
			s.result = result{}
		}
		s.finishMoves()
		demands := s.demands()
		s.account(demands)
		if s.now.Unix()%int64(planInterval.Seconds()) == 0 {
			s.startMoves(planner(s.input(demands)))
		}
	}
	return s.result
}

func (s *simulation) input(demands []float64) Input {
	input := Input{Now: s.now, Hosts: append([]Host(nil), s.hostStates...), Policy: s.policy, MoveTime: simulatedMoveTime}
	for i, demand := range demands {
		input.Pools = append(input.Pools, Pool{Name: poolName(i), Spare: i == s.pools-1, MinAvailable: 2, Headroom: 1, Demand: demand})
	}
	return input
}

// startMoves begins the moves of hosts that still serve in their old pool.
func (s *simulation) startMoves(moves []Move) {
	for _, move := range moves {
		for i := range s.hostStates {
			if h := &s.hostStates[i]; h.Name == move.Host && h.Serving && h.Pool == move.From {
				h.Serving, h.MoveTo = false, move.To
				s.arrivesAt[i] = s.now.Add(simulatedMoveTime)
				s.result.moves++
			}
		}
	}
}

// finishMoves lets the hosts whose move has ended serve in their new pool.
func (s *simulation) finishMoves() {
	for i, at := range s.arrivesAt {
		if !s.now.Before(at) {
			h := &s.hostStates[i]
			h.Pool, h.MoveTo, h.Serving, h.InPoolSince = h.MoveTo, "", true, s.now
			delete(s.arrivesAt, i)
		}
	}
}

// account adds one step to the result. The slots of each pool are divided fairly among its teams. The total of
// each team is compared with what it would get if all slots were in one pool.
func (s *simulation) account(demands []float64) {
	stepHours := simulatedStep.Hours()
	capacity := make([]float64, s.pools)
	total := 0.0
	for i := range s.hostStates {
		if h := &s.hostStates[i]; h.Serving {
			capacity[s.poolIndex[h.Pool]] += simulatedSlotsPerHost
			total += simulatedSlotsPerHost
		}
	}
	var received, wantedTotal [teamCount]float64
	for i, demand := range demands {
		wanted := splitByWeight(demand, s.teamWeights[i])
		for team, slots := range fairShares(capacity[i], wanted) {
			received[team] += slots
			wantedTotal[team] += wanted[team]
		}
		idle := max(0, capacity[i]-demand) / simulatedSlotsPerHost * stepHours
		s.result.idleAll += idle
		if i != s.pools-1 {
			s.result.idle += idle
		}
		s.result.unmet += max(0, demand-capacity[i]) * stepHours
	}
	for team, fair := range fairShares(total, wantedTotal) {
		s.result.distance += max(0, fair-received[team]) * stepHours
	}
}

// splitByWeight divides the demand of a pool among its teams.
func splitByWeight(demand float64, weights []float64) (wanted [teamCount]float64) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for team := range wanted {
		wanted[team] = demand * weights[team] / sum
	}
	return wanted
}

// fairShares divides the capacity among the teams in proportion to teamShares. What a team doesn't want is
// divided among the others.
func fairShares(capacity float64, wanted [teamCount]float64) (shares [teamCount]float64) {
	unsatisfied, weight := teamCount, 0.0
	var satisfied [teamCount]bool
	for unsatisfied > 0 && capacity > 1e-9 {
		weight = 0
		for team := range wanted {
			if !satisfied[team] {
				weight += teamShares[team]
			}
		}
		slotsPerShare, changed := capacity/weight, false
		for team, want := range wanted {
			if !satisfied[team] && want-shares[team] <= slotsPerShare*teamShares[team] {
				capacity -= want - shares[team]
				shares[team], satisfied[team], changed = want, true, true
				unsatisfied--
			}
		}
		if !changed {
			for team := range wanted {
				if !satisfied[team] {
					shares[team] += slotsPerShare * teamShares[team]
				}
			}
			return shares
		}
	}
	return shares
}

// staticPlanner never moves a host.
func staticPlanner(Input) []Move { return nil }

// greedyPlanner moves one host from the least to the most loaded pool, as measured by current demand,
// whenever the most loaded pool is above the target utilisation.
func greedyPlanner(input Input) []Move {
	capacity := map[string]float64{}
	for _, h := range input.Hosts {
		if h.Serving {
			capacity[h.Pool] += float64(h.Slots)
		} else {
			capacity[h.MoveTo] += float64(h.Slots)
		}
	}
	least, most := input.Pools[0], input.Pools[0]
	load := func(p Pool) float64 { return p.Demand / max(1, capacity[p.Name]) }
	for _, p := range input.Pools {
		if load(p) > load(most) {
			most = p
		}
		if load(p) < load(least) && capacity[p.Name] > simulatedSlotsPerHost*float64(p.MinAvailable+1) {
			least = p
		}
	}
	if load(most) <= input.Policy.TargetUtilisation || least.Name == most.Name {
		return nil
	}
	for _, h := range input.Hosts {
		if h.Serving && h.Pool == least.Name {
			return []Move{{Host: h.Name, From: least.Name, To: most.Name}}
		}
	}
	return nil
}

// newStepPlanner returns the planner under test, which keeps its memory between calls.
func newStepPlanner() movePlanner {
	memory := Memory{}
	return func(input Input) []Move {
		plan, next := Step(input, memory)
		memory = next
		return plan.Moves
	}
}

// fleetProfiles returns fleets of both sizes, with the weights that the users in section 1.2 of
// docs/design.md give to the measures.
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

// fullRun is set to simulate fleets of both sizes for a day; docs/notes/0009-moves.md has the results.
var fullRun = flag.Bool("full", false, "simulate fleets of all sizes for 24 hours")

var seed = flag.Int64("seed", 1, "seed of the pools' mean demands and team weights")

// Guards against a planner whose moves cost more than making none, or than a greedy planner that follows the
// current demand.
func TestAgainstStaticAndGreedy(t *testing.T) {
	warmUp, horizon := 4*time.Hour, 6*time.Hour
	if *fullRun {
		warmUp, horizon = 6*time.Hour, 24*time.Hour
	}
	for _, profile := range fleetProfiles() {
		if profile.hosts > 50 && !*fullRun {
			continue
		}
		for _, sc := range scenarios() {
			if sc.peakDuration > time.Hour && !*fullRun {
				continue
			}
			t.Run(profile.name+"/"+sc.name, func(t *testing.T) {
				costs := map[string]float64{}
				for name, planner := range map[string]movePlanner{"static": staticPlanner, "greedy": greedyPlanner, "planner": newStepPlanner()} {
					r := newSimulation(profile, sc, *seed).run(warmUp, horizon, 30*time.Second, planner)
					costs[name] = r.cost(profile.policy)
					t.Logf("%-8s cost=%.0f idle=%.0f idleAll=%.0f moves=%d unmet=%.0f distance=%.0f", name, costs[name], r.idle, r.idleAll, r.moves, r.unmet, r.distance)
				}
				if costs["planner"] > costs["static"] || costs["planner"] > costs["greedy"] {
					t.Errorf("the planner costs more than a simpler one: %v", costs)
				}
			})
		}
	}
}

// Guards against moves for peaks that end before a host can arrive, and against a plan that doesn't report
// such peaks.
func TestShortPeaksAreReported(t *testing.T) {
	s := newSimulation(fleetProfiles()[0], scenario{"10s", 10 * time.Second, 1}, 1)
	memory, moves := Memory{}, 0
	var plan Plan
	for range 720 {
		s.now = s.now.Add(10 * time.Second)
		plan, memory = Step(s.input(s.demands()), memory)
		moves += len(plan.Moves)
	}
	for _, pool := range plan.Pools {
		if !pool.ShortPeaks {
			t.Errorf("pool %s peaks at %.0f slots for 10 s, but ShortPeaks isn't set: %+v", pool.Name, pool.Peak, pool)
		}
	}
	if moves > 0 {
		t.Errorf("%d moves were planned between pools with equal mean demand, want none", moves)
	}
}

// BenchmarkStep measures one step with a full window. Its cost grows with the number of hosts in the donor
// pools and with the number of samples in the window.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ hosts, pools int }{{50, 5}, {700, 7}, {2800, 25}} {
		b.Run(fmt.Sprint(size.hosts), func(b *testing.B) {
			profile := fleetProfiles()[0]
			profile.hosts, profile.pools = size.hosts, size.pools
			s := newSimulation(profile, scenarios()[2], 1)
			memory := Memory{}
			for range 2160 {
				s.now = s.now.Add(10 * time.Second)
				memory.Samples = updateSamples(&Input{Now: s.now, Pools: s.input(s.demands()).Pools, Policy: profile.policy}, memory)
			}
			input := s.input(s.demands())
			for b.Loop() {
				Step(input, memory)
			}
		})
	}
}
