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

// Policies of the model for the slots that a gateway may use.
const (
	ownedSlots = "owned and forwarded"
	allSlots   = "all 8 for each gateway"
	thirdSlots = "a fixed third"
)

const (
	modelHosts       = 4
	modelSlots       = 8 * modelHosts
	modelQueueLength = 128
)

// modelZone is a zone of three gateways on a fake clock: the real filters, table and exchange, with
// endpoints and the network between them replaced by waits.
type modelZone struct {
	mu            sync.Mutex
	runningByHost map[string]int
	runningByTeam map[string]int
	stats         modelStats
	gateways      []*modelGateway
	random        *rand.Rand
}

// modelStats are what the model counts.
type modelStats struct {
	requests, done, rejected, busyResponses int
	// waiting, wasted and unfair are means over the samples: requests that wait, slots that are idle
	// while requests wait, and slots that run another team than weighted max-min gives them to.
	waiting, wasted, offShare float64
	samples                   int
}

func (f modelStats) String() string {
	n := float64(f.samples)
	return fmt.Sprintf("requests %d, rejected %d, busy answers %d, waiting %.1f, wasted slots %.2f%%, off share %.2f%%",
		f.requests, f.rejected, f.busyResponses, f.waiting/n, 100*f.wasted/n/modelSlots, 100*f.offShare/n/modelSlots)
}

// modelGateway is one gateway.
type modelGateway struct {
	*endpoints.Table
	zone     *modelZone
	name     string
	peers    *exchange.Peers
	exchange *exchange.Exchange
	queue    *queue.Queue
	filter   *dispatch.Filter
	chooser  *choose.Placer
	stop     context.CancelFunc
	dead     atomic.Bool
}

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
	for _, n := range m.gateways {
		n.peers.Adopt(snapshot)
		n.Adopt(snapshot)
		if policy == thirdSlots {
			n.SetMembers(names)
		}
		ctx, cancel := context.WithCancel(context.Background())
		n.stop = cancel
		go func() { _ = n.queue.Run(ctx) }()
		if policy == ownedSlots {
			go func() { _ = n.exchange.Run(ctx) }()
		}
	}
	return m
}

func (m *modelZone) addGateway(name string, seed uint64) {
	n := &modelGateway{zone: m, name: name}
	n.peers = exchange.NewPeers(name, "z1", nil, seed, time.Now)
	n.Table = endpoints.New(endpoints.Config{Self: name, Zone: "z1", Now: time.Now, Freed: func(pool string) { n.queue.Kick(pool) }})
	n.chooser = choose.New(n, unlimitedRights{}, n.peers)
	n.queue = queue.New(queue.Limits{Waiting: modelQueueLength, Bytes: 1 << 20}, n.chooser, n.peers, time.Now)
	n.filter = dispatch.New(n.queue, n.chooser.Ended, n, n, time.Now)
	n.exchange = exchange.New(exchange.Config{
		Self: name, Incarnation: func() string { return name }, Zone: "z1", Peers: n.peers, Load: n.currentLoad,
		Client: func(address string) turmericyokev1connect.PeerServiceClient {
			return modelClient{to: m.gateway(address)}
		},
		Lease: fakeLease{}, Pending: fakeLease{}, Now: time.Now,
		Learn: func(*v1.GatewayLoad, time.Time) {}, Changed: n.SetMembers,
	})
	m.gateways = append(m.gateways, n)
}

func (m *modelZone) gateway(name string) *modelGateway {
	for _, n := range m.gateways {
		if n.name == name {
			return n
		}
	}
	return nil
}

// unlimitedRights has a right for everybody.
type unlimitedRights struct{}

func (unlimitedRights) Acquire(string) (rights.Use, *fault.Error) {
	return rights.Use{Release: func() {}}, nil
}
func (unlimitedRights) Free(string) uint64 { return 100 }
func (unlimitedRights) LeaseHeld() bool    { return true }

// modelClient is a call between gateways.
type modelClient struct {
	turmericyokev1connect.PeerServiceClient
	to *modelGateway
}

func (w modelClient) Exchange(ctx context.Context, request *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	time.Sleep(time.Millisecond)
	if w.to.dead.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return w.to.exchange.Exchange(ctx, request)
}

func (n *modelGateway) currentLoad() *v1.GatewayLoad {
	load := &v1.GatewayLoad{}
	loads := n.queue.Loads()
	n.peers.SetLocal(loads)
	for _, l := range loads {
		load.Teams = append(load.Teams, &v1.TeamLoad{Pool: l.Pool, Team: l.Team, Running: l.Running, Queued: l.Waiting})
		load.Rights = append(load.Rights, &v1.RightsLoad{Team: l.Team, Free: 100})
	}
	room := n.SlotCounts("desk")
	load.Pools = []*v1.PoolLoad{{Pool: "desk", FreeSlots: uint64(room.Free), OwnedSlots: uint64(room.Owned)}}
	return load
}

// TakeSlot implements choose.Slots.
func (n *modelGateway) TakeSlot(pool, avoid string) pipe.Slot {
	if slot := n.Table.TakeSlot(pool, avoid); slot != nil {
		return &modelSlot{Slot: slot, zone: n.zone}
	}
	return nil
}

// RecordCondition implements dispatch.Endpoints.
func (n *modelGateway) RecordCondition(slot pipe.Slot, lesson endpoints.Lesson) {
	n.Table.RecordCondition(slot.(*modelSlot).Slot, lesson)
}

// Forward implements dispatch.Forwarder.
func (n *modelGateway) Forward(_ context.Context, peer *pipe.Peer, r *pipe.Request) dispatch.ForwardResult {
	defer n.peers.Ended(peer, r.PoolName, r.Team)
	time.Sleep(time.Millisecond)
	target := n.zone.gateway(peer.Name)
	if target.dead.Load() {
		return dispatch.ForwardResult{Outcome: pipe.OutcomeNotRun}
	}
	there := *r
	there.Placement = pipe.Placement{}
	there.Forwarded, there.RightHeld, there.Hops = true, peer.RightHeld, r.Hops+1
	err := target.filter.Apply(&there)
	n.peers.Told(peer, r.PoolName, r.Team, uint64(target.SlotCounts("desk").Free), 100)
	defer n.queue.Kick("desk")
	if err != nil {
		return dispatch.ForwardResult{Outcome: pipe.OutcomeNotRun, Fault: err}
	}
	return dispatch.ForwardResult{Outcome: pipe.OutcomeDone}
}

// Refused implements dispatch.Forwarder.
func (n *modelGateway) Refused(peer *pipe.Peer, pool, team string) { n.peers.Refused(peer, pool, team) }

// modelSlot runs requests by waiting.
type modelSlot struct {
	pipe.Slot
	zone *modelZone
}

func (s *modelSlot) Do(_ context.Context, req *fasthttp.Request, out *fasthttp.Response, _ time.Time) pipe.AttemptReport {
	out.Header.SetBytesV("X-Request-Id", req.Header.Peek("X-Request-Id"))
	team := string(req.Header.Peek("X-Team"))
	work, _ := time.ParseDuration(string(req.Header.Peek("X-Work")))
	if !s.zone.startRun(s.Host(), team) {
		out.SetStatusCode(fasthttp.StatusServiceUnavailable)
		out.Header.Set("X-Not-Run", "1")
		return pipe.AttemptReport{Phase: pipe.PhaseResponseStarted, RunEnded: true}
	}
	time.Sleep(work)
	s.zone.endRun(s.Host(), team)
	return pipe.AttemptReport{Phase: pipe.PhaseResponseStarted, RunEnded: true}
}

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

func (m *modelZone) endRun(host, team string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runningByHost[host]--
	m.runningByTeam[team]--
}

// submit sends one request through the gateway.
func (m *modelZone) submit(n *modelGateway, id int, team structs.Team, work time.Duration) {
	in := &fasthttp.Request{}
	in.Header.SetMethod("POST")
	in.Header.Set("X-Team", team.Name)
	in.Header.Set("X-Work", work.String())
	r := &pipe.Request{
		ID: fmt.Sprint(id), Arrived: time.Now(), Ctx: context.Background(), HTTPRequest: in, HTTPResponse: &fasthttp.Response{},
		PoolName: "desk", Path: "/", Team: team.Name, Share: team.Share,
		Deadline: time.Now().Add(time.Minute), QueueDeadline: time.Now().Add(2 * time.Second),
	}
	err := n.filter.Apply(r)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.requests++
	if err != nil {
		m.stats.rejected++
		return
	}
	m.stats.done++
}

// sample adds the present state to the figures.
func (m *modelZone) sample(teams []structs.Team) {
	waiting := map[string]int{}
	total := 0
	for _, n := range m.gateways {
		for _, load := range n.queue.Loads() {
			waiting[load.Team] += int(load.Waiting)
			total += int(load.Waiting)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	busy := 0
	for _, count := range m.runningByHost {
		busy += count
	}
	m.stats.samples++
	m.stats.waiting += float64(total)
	m.stats.wasted += float64(min(total, modelSlots-busy))
	fair := fairSlotsByTeam(teams, m.runningByTeam, waiting)
	for _, team := range teams {
		m.stats.offShare += float64(max(m.runningByTeam[team.Name]-fair[team.Name], 0))
	}
}

// fairSlotsByTeam is the naive weighted max-min of all slots over the teams' demands.
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
