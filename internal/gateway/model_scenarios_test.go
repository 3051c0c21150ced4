package gateway_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/structs"
)

// scenario is one load on the model.
type scenario struct {
	teams []structs.Team
	// rate returns the requests per second of a team.
	rate func(team int, at time.Duration) float64
	// weights are the parts of a team's requests that reach each gateway.
	weights func(team int) [3]float64
	// gatewayLossAt is when the gateway g2 dies; 0 is never.
	gatewayLossAt time.Duration
	duration      time.Duration
}

// run returns the figures of the scenario under a policy. A run of a request takes 50 to 150 ms,
// so the 32 slots can do 320 requests per second.
func (s scenario) run(t *testing.T, policy string) modelStats {
	var counts modelStats
	synctest.Test(t, func(t *testing.T) {
		m := newModelZone(policy, s.teams, 1)
		var requests sync.WaitGroup
		start := time.Now()
		const step = 5 * time.Millisecond
		for id := 0; time.Since(start) < s.duration; time.Sleep(step) {
			at := time.Since(start)
			if s.gatewayLossAt > 0 && at >= s.gatewayLossAt && !m.gateways[2].dead.Load() {
				m.gateways[2].dead.Store(true)
				m.gateways[2].stop()
			}
			for i, team := range s.teams {
				expected := s.rate(i, at) * step.Seconds()
				for ; expected > 0; expected-- {
					if m.random.Float64() >= expected {
						break
					}
					id++
					n, number := s.pickGateway(m, i), id
					work := 50*time.Millisecond + time.Duration(m.random.Int64N(int64(100*time.Millisecond)))
					requests.Go(func() { m.submit(n, number, team, work) })
				}
			}
			synctest.Wait()
			m.sample(s.teams)
		}
		requests.Wait()
		for _, n := range m.gateways {
			n.stop()
		}
		counts = m.stats
	})
	t.Logf("%s: %s", policy, counts)
	return counts
}

// pickGateway draws the gateway of a request; the load balancer sends those for a dead one to the others.
func (s scenario) pickGateway(m *modelZone, team int) *modelGateway {
	draw := m.random.Float64()
	for i, weight := range s.weights(team) {
		if draw -= weight; draw < 0 && !m.gateways[i].dead.Load() {
			return m.gateways[i]
		}
	}
	return m.gateways[m.random.IntN(2)]
}

func oneTeam() []structs.Team { return []structs.Team{{Name: "a", Share: 1}} }

// Guards the choice of owned slots with forwarding: under skewed arrivals it overloads endpoints
// less than gateways that all use every slot, and wastes and rejects less than fixed parts.
func TestModelSkewedArrivals(t *testing.T) {
	s := scenario{
		teams: oneTeam(), duration: 10 * time.Second,
		rate:    func(int, time.Duration) float64 { return 290 },
		weights: func(int) [3]float64 { return [3]float64{0.8, 0.1, 0.1} },
	}
	owned, all, third := s.run(t, ownedSlots), s.run(t, allSlots), s.run(t, thirdSlots)
	assert.Assert(t, owned.busyResponses*10 < all.busyResponses)
	assert.Assert(t, owned.wasted*2 < third.wasted)
	assert.Assert(t, owned.rejected*2 < third.rejected)
}

// Guards the hand-over of slots when a gateway is lost.
func TestModelLossOfGateway(t *testing.T) {
	s := scenario{
		teams: oneTeam(), duration: 15 * time.Second, gatewayLossAt: 3 * time.Second,
		rate:    func(int, time.Duration) float64 { return 290 },
		weights: func(int) [3]float64 { return [3]float64{1. / 3, 1. / 3, 1. / 3} },
	}
	owned, all, third := s.run(t, ownedSlots), s.run(t, allSlots), s.run(t, thirdSlots)
	assert.Assert(t, owned.busyResponses*5 < all.busyResponses)
	assert.Assert(t, owned.wasted*2 < third.wasted)
	assert.Assert(t, owned.rejected*2 < third.rejected)
}

// Guards nearness to share: six teams peak in turn, two at a time, at five times the mean, and most
// requests of a team reach one gateway.
func TestModelAlternatingPeaks(t *testing.T) {
	teams := []structs.Team{{Name: "a", Share: 3}, {Name: "b", Share: 1}, {Name: "c", Share: 2}, {Name: "d", Share: 1}, {Name: "e", Share: 3}, {Name: "f", Share: 2}}
	s := scenario{
		teams: teams, duration: 12 * time.Second,
		rate: func(team int, at time.Duration) float64 {
			const period, peak = 12 * time.Second, 4 * time.Second
			if phase := (at + period - time.Duration(team)*2*time.Second) % period; phase < peak {
				return 400
			}
			return 4
		},
		weights: func(team int) [3]float64 {
			weights := [3]float64{0.1, 0.1, 0.1}
			weights[team%3] = 0.8
			return weights
		},
	}
	owned, all, third := s.run(t, ownedSlots), s.run(t, allSlots), s.run(t, thirdSlots)
	assert.Assert(t, owned.offShare*5/4 < third.offShare)
	assert.Assert(t, owned.busyResponses*10 < all.busyResponses)
}
