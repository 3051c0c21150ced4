package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/choose"
	"turmericyoke/internal/gateway/dispatch"
	"turmericyoke/internal/gateway/endpoints"
	"turmericyoke/internal/gateway/exchange"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/gateway/pipe"
	"turmericyoke/internal/gateway/queue"
	"turmericyoke/internal/rights"
	"turmericyoke/internal/structs"
)

// Policies that determine which slots a gateway may use.
const (
	// ownedSlots gives each slot to one gateway, and lets gateways forward requests to each other.
	ownedSlots = "owned and forwarded"
	// allSlots lets each gateway use all 8 slots of each endpoint, without load reports of the others.
	allSlots = "all 8 for each gateway"
	// fixedThird gives each gateway a third of the slots, without forwarding.
	fixedThird = "a fixed third"
)

// Size of the model.
const (
	modelHosts       = 4
	modelSlots       = 8 * modelHosts
	modelQueueLength = 128
)

// modelZone is a model of a zone with three gateways on a fake clock. It uses the real dispatch filter,
// queue, endpoint table and load exchange. The endpoints and the network between the gateways are replaced by
// waits.
type modelZone struct {
	// running holds the loops of all gateways. A scenario has to wait for them: a call that is in flight when it
	// ends would sleep on a clock that has stopped.
	running sync.WaitGroup
	// mu guards the counts of running requests and the statistics.
	mu            sync.Mutex
	runningByHost map[string]int
	runningByTeam map[string]int
	stats         modelStats
	gateways      []*modelGateway
	random        *rand.Rand
}

// modelStats holds the statistics of a run of the model.
type modelStats struct {
	requests, completed, rejected, busyResponses int
	// waiting, wastedSlots and misassignedSlots are sums over the samples: of the waiting requests, of the slots
	// that are idle while requests wait, and of the slots by which teams exceed their weighted max-min shares.
	waiting, wastedSlots, misassignedSlots float64
	samples                                int
}

// String returns the counts and the means over the samples.
func (s modelStats) String() string {
	count := float64(s.samples)
	return fmt.Sprintf("requests %d, rejected %d, busy responses %d, waiting %.1f, wasted slots %.2f%%, misassigned slots %.2f%%",
		s.requests, s.rejected, s.busyResponses, s.waiting/count, 100*s.wastedSlots/count/modelSlots, 100*s.misassignedSlots/count/modelSlots)
}

// modelGateway is a gateway of the model. It implements choose.Slots, dispatch.Endpoints and
// dispatch.Forwarder.
type modelGateway struct {
	*endpoints.Table
	zone     *modelZone
	name     string
	peers    *exchange.Peers
	exchange *exchange.Exchange
	queue    *queue.Queue
	filter   *dispatch.Filter
	placer   *choose.Placer
	stop     context.CancelFunc
	// lost is set when the gateway no longer responds.
	lost atomic.Bool
}

// newModelZone returns a zone whose gateways run under the policy.
func newModelZone(policy string, teams []structs.Team, seed uint64) *modelZone {
	m := &modelZone{runningByHost: map[string]int{}, runningByTeam: map[string]int{}, random: rand.New(rand.NewPCG(seed, seed))}
	view := &structs.View{Offset: 1, Teams: teams}
	for i := range modelHosts {
		view.Endpoints = append(view.Endpoints, structs.Endpoint{Host: fmt.Sprintf("h%d", i), Pool: "desk", Zone: "z1", Slots: 8, Epoch: 1})
	}
	names := []string{"g0", "g1", "g2"}
	for _, name := range names {
		if policy == ownedSlots {
			view.Gateways = append(view.Gateways, structs.GatewayEntry{Name: name, Incarnation: name, Zone: "z1", Address: name})
		}
	}
	for i, name := range names {
		m.addGateway(name, seed+uint64(i))
	}
	snapshot := fleet.NewSnapshot(view, time.Time{})
	for _, gw := range m.gateways {
		gw.peers.ApplySnapshot(snapshot)
		gw.ApplySnapshot(snapshot)
		if policy == fixedThird {
			gw.SetMembers(names)
		}
		ctx, cancel := context.WithCancel(context.Background())
		gw.stop = cancel
		m.running.Go(func() { _ = gw.queue.Run(ctx) })
		if policy == ownedSlots {
			m.running.Go(func() { _ = gw.exchange.Run(ctx) })
		}
	}
	return m
}

// addGateway adds a gateway that doesn't run yet.
func (m *modelZone) addGateway(name string, seed uint64) {
	gw := &modelGateway{zone: m, name: name}
	gw.peers = exchange.NewPeers(name, "z1", nil, seed, time.Now)
	gw.Table = endpoints.New(endpoints.Config{Self: name, Zone: "z1", Now: time.Now, OnSlotFreed: func(pool string) { gw.queue.PlaceWaiting(pool) }})
	gw.placer = choose.New(gw, unlimitedRights{}, gw.peers)
	gw.queue = queue.New(queue.Limits{Waiting: modelQueueLength, Bytes: 1 << 20}, gw.placer, gw.peers, time.Now)
	gw.filter = dispatch.New(gw.queue, gw.placer.AttemptEnded, gw, gw, time.Now)
	gw.exchange = exchange.New(exchange.Config{
		Self: name, Incarnation: func() string { return name }, Zone: "z1", Peers: gw.peers, Load: gw.currentLoad,
		Client: func(address string) turmericyokev1connect.PeerServiceClient {
			return modelClient{target: m.gateway(address)}
		},
		Lease: fakeLease{}, PendingRefusals: fakeLease{}, Now: time.Now, ViewNow: time.Now,
		OnReport: func(*v1.GatewayLoad, time.Time) {}, OnMembers: gw.SetMembers,
	})
	m.gateways = append(m.gateways, gw)
}

// gateway returns the gateway with the name, or nil if there is none.
func (m *modelZone) gateway(name string) *modelGateway {
	for _, gw := range m.gateways {
		if gw.name == name {
			return gw
		}
	}
	return nil
}

// unlimitedRights implements rights.Source and always has free rights.
type unlimitedRights struct{}

func (unlimitedRights) Acquire(string) (rights.AcquiredRight, *fault.Error) {
	return rights.AcquiredRight{Release: func() {}}, nil
}
func (unlimitedRights) Free(string) uint64 { return 100 }
func (unlimitedRights) LeaseHeld() bool    { return true }

// modelClient calls the exchange of another gateway of the model.
type modelClient struct {
	turmericyokev1connect.PeerServiceClient
	target *modelGateway
}

// Exchange takes 1 ms for the network. A gateway that was lost doesn't respond.
func (c modelClient) Exchange(ctx context.Context, request *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	time.Sleep(time.Millisecond)
	if c.target.lost.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return c.target.exchange.Exchange(ctx, request)
}

// currentLoad returns the load report for the other gateways.
func (gw *modelGateway) currentLoad() *v1.GatewayLoad {
	load := &v1.GatewayLoad{}
	loads := gw.queue.Loads()
	gw.peers.SetLocalRunning(loads)
	for _, teamLoad := range loads {
		load.Teams = append(load.Teams, &v1.TeamLoad{Pool: teamLoad.Pool, Team: teamLoad.Team, Running: teamLoad.Running, Queued: teamLoad.Waiting})
		load.Rights = append(load.Rights, &v1.RightsLoad{Team: teamLoad.Team, Free: 100})
	}
	slots := gw.SlotCounts("desk")
	load.Pools = []*v1.PoolLoad{{Pool: "desk", FreeSlots: uint64(slots.Free), OwnedSlots: uint64(slots.Owned)}}
	return load
}

// TakeSlot implements choose.Slots.
func (gw *modelGateway) TakeSlot(pool, excludedHost string) pipe.Slot {
	if slot := gw.Table.TakeSlot(pool, excludedHost); slot != nil {
		return &modelSlot{Slot: slot, zone: gw.zone}
	}
	return nil
}

// RecordCondition implements dispatch.Endpoints.
func (gw *modelGateway) RecordCondition(slot pipe.Slot, condition endpoints.Condition) {
	gw.Table.RecordCondition(slot.(*modelSlot).Slot, condition)
}

// Forward implements dispatch.Forwarder. It takes 1 ms for the network, and runs the request on the dispatch
// filter of the peer.
func (gw *modelGateway) Forward(_ context.Context, peer *pipe.Peer, r *pipe.Request) dispatch.ForwardResult {
	defer gw.peers.ForwardEnded(peer, r.PoolName, r.Team)
	time.Sleep(time.Millisecond)
	target := gw.zone.gateway(peer.Name)
	if target.lost.Load() {
		return dispatch.ForwardResult{Outcome: pipe.OutcomeNotRun}
	}
	forwarded := *r
	forwarded.Placement = pipe.Placement{}
	forwarded.Forwarded, forwarded.RightHeld, forwarded.Hops = true, peer.RightHeld, r.Hops+1
	err := target.filter.Apply(&forwarded)
	gw.peers.UpdateFree(peer, r.PoolName, r.Team, uint64(target.SlotCounts("desk").Free), 100)
	defer gw.queue.PlaceWaiting("desk")
	if err != nil {
		return dispatch.ForwardResult{Outcome: pipe.OutcomeNotRun, Fault: err}
	}
	return dispatch.ForwardResult{Outcome: pipe.OutcomeDone}
}

// ForwardRefused implements dispatch.Forwarder.
func (gw *modelGateway) ForwardRefused(peer *pipe.Peer, pool, team string) {
	gw.peers.ForwardRefused(peer, pool, team)
}

// modelSlot is a slot that runs requests by waiting for the time in their X-Work header.
type modelSlot struct {
	pipe.Slot
	zone *modelZone
}

// Do implements pipe.Slot. If all slots of the host are in use, the response is that the endpoint is busy.
func (s *modelSlot) Do(_ context.Context, request *fasthttp.Request, response *fasthttp.Response, _ time.Time) pipe.AttemptReport {
	response.Header.SetBytesV("X-Request-Id", request.Header.Peek("X-Request-Id"))
	team := string(request.Header.Peek("X-Team"))
	runTime, _ := time.ParseDuration(string(request.Header.Peek("X-Work")))
	if !s.zone.startRun(s.Host(), team) {
		response.SetStatusCode(fasthttp.StatusServiceUnavailable)
		response.Header.Set("X-Not-Run", "1")
		return pipe.AttemptReport{Phase: pipe.PhaseResponseStarted, RunEnded: true}
	}
	time.Sleep(runTime)
	s.zone.endRun(s.Host(), team)
	return pipe.AttemptReport{Phase: pipe.PhaseResponseStarted, RunEnded: true}
}

// startRun counts a run on the host, and returns false if all slots of the host are in use.
func (m *modelZone) startRun(host, team string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runningByHost[host] >= 8 {
		m.stats.busyResponses++
		return false
	}
	m.runningByHost[host]++
	m.runningByTeam[team]++
	return true
}

// endRun removes a run from the counts.
func (m *modelZone) endRun(host, team string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runningByHost[host]--
	m.runningByTeam[team]--
}

// submit sends one request through the gateway, waits until it ends, and counts its outcome.
func (m *modelZone) submit(gw *modelGateway, id int, team structs.Team, runTime time.Duration) {
	request := &fasthttp.Request{}
	request.Header.SetMethod("POST")
	request.Header.Set("X-Team", team.Name)
	request.Header.Set("X-Work", runTime.String())
	r := &pipe.Request{
		ID: fmt.Sprint(id), Arrived: time.Now(), Ctx: context.Background(), HTTPRequest: request, HTTPResponse: &fasthttp.Response{},
		PoolName: "desk", Path: "/", Team: team.Name, Share: team.Share,
		Deadline: time.Now().Add(time.Minute), QueueDeadline: time.Now().Add(2 * time.Second),
	}
	err := gw.filter.Apply(r)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.requests++
	if err != nil {
		m.stats.rejected++
		return
	}
	m.stats.completed++
}

// sample adds the current state of the zone to the statistics.
func (m *modelZone) sample(teams []structs.Team) {
	waiting := map[string]int{}
	totalWaiting := 0
	for _, gw := range m.gateways {
		for _, load := range gw.queue.Loads() {
			waiting[load.Team] += int(load.Waiting)
			totalWaiting += int(load.Waiting)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	busy := 0
	for _, count := range m.runningByHost {
		busy += count
	}
	m.stats.samples++
	m.stats.waiting += float64(totalWaiting)
	m.stats.wastedSlots += float64(min(totalWaiting, modelSlots-busy))
	fair := fairSlotsByTeam(teams, m.runningByTeam, waiting)
	for _, team := range teams {
		m.stats.misassignedSlots += float64(max(m.runningByTeam[team.Name]-fair[team.Name], 0))
	}
}

// fairSlotsByTeam returns the weighted max-min division of all slots by the teams' running and waiting
// requests. It gives out the slots one at a time.
func fairSlotsByTeam(teams []structs.Team, running, waiting map[string]int) map[string]int {
	fair := map[string]int{}
	for range modelSlots {
		best := -1
		for i, team := range teams {
			if fair[team.Name] >= running[team.Name]+waiting[team.Name] {
				continue
			}
			if best < 0 || fair[team.Name]*teams[best].Share < fair[teams[best].Name]*team.Share {
				best = i
			}
		}
		if best < 0 {
			break
		}
		fair[teams[best].Name]++
	}
	return fair
}
