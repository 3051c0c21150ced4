package gateway_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/structs"
)

// scenario is a load on the model of a zone.
type scenario struct {
	teams []structs.Team
	// requestRate returns the requests per second of a team at a time after the start.
	requestRate func(team int, at time.Duration) float64
	// gatewayWeights returns the fractions of a team's requests that reach each gateway.
	gatewayWeights func(team int) [3]float64
	// gatewayLossAt is when the gateway g2 is lost. If it is 0, no gateway is lost.
	gatewayLossAt time.Duration
	duration      time.Duration
}

// run returns the statistics of the scenario under a policy. A request runs for 50 to 150 ms, so the 32 slots
// can complete 320 requests per second.
func (s scenario) run(t *testing.T, policy string) modelStats {
	var stats modelStats
	synctest.Test(t, func(t *testing.T) {
		zone := newModelZone(policy, s.teams, 1)
		var requests sync.WaitGroup
		start := time.Now()
		const step = 5 * time.Millisecond
		for id := 0; time.Since(start) < s.duration; time.Sleep(step) {
			at := time.Since(start)
			if s.gatewayLossAt > 0 && at >= s.gatewayLossAt && !zone.gateways[2].lost.Load() {
				zone.gateways[2].lost.Store(true)
				zone.gateways[2].stop()
			}
			for i, team := range s.teams {
				expected := s.requestRate(i, at) * step.Seconds()
				for ; expected > 0; expected-- {
					if zone.random.Float64() >= expected {
						break
					}
					id++
					gw, number := s.pickGateway(zone, i), id
					runTime := 50*time.Millisecond + time.Duration(zone.random.Int64N(int64(100*time.Millisecond)))
					requests.Go(func() { zone.submit(gw, number, team, runTime) })
				}
			}
			synctest.Wait()
			zone.sample(s.teams)
		}
		requests.Wait()
		for _, gw := range zone.gateways {
			gw.stop()
		}
		zone.running.Wait()
		stats = zone.stats
	})
	t.Logf("%s: %s", policy, stats)
	return stats
}

// pickGateway draws the gateway that receives a request. The load balancer sends the requests for a lost
// gateway to the others.
func (s scenario) pickGateway(zone *modelZone, team int) *modelGateway {
	draw := zone.random.Float64()
	for i, weight := range s.gatewayWeights(team) {
		if draw -= weight; draw < 0 && !zone.gateways[i].lost.Load() {
			return zone.gateways[i]
		}
	}
	return zone.gateways[zone.random.IntN(2)]
}

// oneTeam returns a single team with a share of 1.
func oneTeam() []structs.Team { return []structs.Team{{Name: "a", Share: 1}} }

// Guards the decision for owned slots with forwarding. If most requests reach one gateway, this overloads
// endpoints less than if all gateways use every slot, and it wastes fewer slots and rejects fewer requests
// than a fixed division of the slots.
func TestModelSkewedArrivals(t *testing.T) {
	s := scenario{
		teams: oneTeam(), duration: 10 * time.Second,
		requestRate:    func(int, time.Duration) float64 { return 290 },
		gatewayWeights: func(int) [3]float64 { return [3]float64{0.8, 0.1, 0.1} },
	}
	owned, all, fixed := s.run(t, ownedSlots), s.run(t, allSlots), s.run(t, fixedThird)
	assert.Assert(t, owned.busyResponses*10 < all.busyResponses)
	assert.Assert(t, owned.wastedSlots*2 < fixed.wastedSlots)
	assert.Assert(t, owned.rejected*2 < fixed.rejected)
}

// Guards the transfer of slots to the other gateways after a gateway is lost.
func TestModelLossOfGateway(t *testing.T) {
	s := scenario{
		teams: oneTeam(), duration: 15 * time.Second, gatewayLossAt: 3 * time.Second,
		requestRate:    func(int, time.Duration) float64 { return 290 },
		gatewayWeights: func(int) [3]float64 { return [3]float64{1. / 3, 1. / 3, 1. / 3} },
	}
	owned, all, fixed := s.run(t, ownedSlots), s.run(t, allSlots), s.run(t, fixedThird)
	assert.Assert(t, owned.busyResponses*5 < all.busyResponses)
	assert.Assert(t, owned.wastedSlots*2 < fixed.wastedSlots)
	assert.Assert(t, owned.rejected*2 < fixed.rejected)
}

// Guards the division of slots by share. Six teams have their peaks in turn, two at a time, at five times
// their mean load, and most requests of a team reach one gateway.
func TestModelAlternatingPeaks(t *testing.T) {
	teams := []structs.Team{{Name: "a", Share: 3}, {Name: "b", Share: 1}, {Name: "c", Share: 2}, {Name: "d", Share: 1}, {Name: "e", Share: 3}, {Name: "f", Share: 2}}
	s := scenario{
		teams: teams, duration: 12 * time.Second,
		requestRate: func(team int, at time.Duration) float64 {
			const period, peak = 12 * time.Second, 4 * time.Second
			if phase := (at + period - time.Duration(team)*2*time.Second) % period; phase < peak {
				return 400
			}
			return 4
		},
		gatewayWeights: func(team int) [3]float64 {
			weights := [3]float64{0.1, 0.1, 0.1}
			weights[team%3] = 0.8
			return weights
		},
	}
	owned, all, fixed := s.run(t, ownedSlots), s.run(t, allSlots), s.run(t, fixedThird)
	assert.Assert(t, owned.misassignedSlots*5/4 < fixed.misassignedSlots)
	assert.Assert(t, owned.busyResponses*10 < all.busyResponses)
}
