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
	modelHosts = 4
	modelSlots = 8 * modelHosts
	modelQueue = 128
)

// model is a zone of three gateways on a fake clock: the real filters, table and exchange, with
// endpoints and the network between them replaced by waits.
type model struct {
	mu      sync.Mutex
	running map[string]int
	teams   map[string]int
	counts  figures
	nodes   []*modelNode
	random  *rand.Rand
}

// figures are what the model counts.
type figures struct {
	requests, done, rejected, busy int
	// waiting, wasted and unfair are means over the samples: requests that wait, slots that are idle
	// while requests wait, and slots that run another team than weighted max-min gives them to.
	waiting, wasted, unfair float64
	samples                 int
}

func (f figures) String() string {
	n := float64(f.samples)
	return fmt.Sprintf("requests %d, rejected %d, busy answers %d, waiting %.1f, wasted slots %.2f%%, off share %.2f%%",
		f.requests, f.rejected, f.busy, f.waiting/n, 100*f.wasted/n/modelSlots, 100*f.unfair/n/modelSlots)
}

// modelNode is one gateway.
type modelNode struct {
	*endpoints.Table
	model    *model
	name     string
	peers    *exchange.Peers
	exchange *exchange.Exchange
	queue    *queue.Queue
	filter   *dispatch.Filter
	chooser  *choose.Chooser
	stop     context.CancelFunc
	dead     atomic.Bool
}

func newModel(policy string, teams []structs.Team, seed uint64) *model {
	m := &model{running: map[string]int{}, teams: map[string]int{}, random: rand.New(rand.NewPCG(seed, seed))}
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
		m.addNode(name, seed+uint64(i))
	}
	snapshot := fleet.NewSnapshot(view, time.Time{})
	for _, n := range m.nodes {
		n.peers.ApplySnapshot(snapshot)
		n.ApplySnapshot(snapshot)
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

func (m *model) addNode(name string, seed uint64) {
	n := &modelNode{model: m, name: name}
	n.peers = exchange.NewPeers(name, "z1", nil, seed, time.Now)
	n.Table = endpoints.New(endpoints.Config{Self: name, Zone: "z1", Now: time.Now, OnSlotFreed: func(pool string) { n.queue.PlaceWaiting(pool) }})
	n.chooser = choose.New(n, plenty{}, n.peers)
	n.queue = queue.New(queue.Limits{Waiting: modelQueue, Bytes: 1 << 20}, n.chooser, n.peers, time.Now)
	n.filter = dispatch.New(n.queue, n.chooser.Ended, n, n, time.Now)
	n.exchange = exchange.New(exchange.Config{
		Self: name, Incarnation: func() string { return name }, Zone: "z1", Peers: n.peers, Load: n.load,
		Client: func(address string) turmericyokev1connect.PeerServiceClient { return modelWire{to: m.node(address)} },
		Lease:  noLease{}, Pending: noLease{}, Now: time.Now,
		OnReport: func(*v1.GatewayLoad, time.Time) {}, OnMembers: n.SetMembers,
	})
	m.nodes = append(m.nodes, n)
}

func (m *model) node(name string) *modelNode {
	for _, n := range m.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// plenty has a right for everybody.
type plenty struct{}

func (plenty) Acquire(string) (rights.Use, *fault.Error) { return rights.Use{Release: func() {}}, nil }
func (plenty) Free(string) uint64                        { return 100 }
func (plenty) LeaseHeld() bool                           { return true }

// modelWire is a call between gateways.
type modelWire struct {
	turmericyokev1connect.PeerServiceClient
	to *modelNode
}

func (w modelWire) Exchange(ctx context.Context, request *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	time.Sleep(time.Millisecond)
	if w.to.dead.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return w.to.exchange.Exchange(ctx, request)
}

func (n *modelNode) load() *v1.GatewayLoad {
	load := &v1.GatewayLoad{}
	loads := n.queue.Loads()
	n.peers.SetLocalRunning(loads)
	for _, l := range loads {
		load.Teams = append(load.Teams, &v1.TeamLoad{Pool: l.Pool, Team: l.Team, Running: l.Running, Queued: l.Waiting})
		load.Rights = append(load.Rights, &v1.RightsLoad{Team: l.Team, Free: 100})
	}
	room := n.Room("desk")
	load.Pools = []*v1.PoolLoad{{Pool: "desk", FreeSlots: uint64(room.Free), OwnedSlots: uint64(room.Owned)}}
	return load
}

// Take implements choose.Slots.
func (n *modelNode) Take(pool, avoid string) pipe.Slot {
	if slot := n.Table.Take(pool, avoid); slot != nil {
		return &modelSlot{Slot: slot, model: n.model}
	}
	return nil
}

// Learn implements dispatch.Endpoints.
func (n *modelNode) Learn(slot pipe.Slot, lesson endpoints.Condition) {
	n.Table.Learn(slot.(*modelSlot).Slot, lesson)
}

// Forward implements dispatch.Forwarder.
func (n *modelNode) Forward(_ context.Context, peer *pipe.Peer, r *pipe.Request) dispatch.Forwarded {
	defer n.peers.Ended(peer, r.PoolName, r.Team)
	time.Sleep(time.Millisecond)
	target := n.model.node(peer.Name)
	if target.dead.Load() {
		return dispatch.Forwarded{Outcome: pipe.OutcomeNotRun}
	}
	there := *r
	there.Placement = pipe.Placement{}
	there.Forwarded, there.RightHeld, there.Hops = true, peer.RightHeld, r.Hops+1
	err := target.filter.Apply(&there)
	n.peers.UpdateFree(peer, r.PoolName, r.Team, uint64(target.Room("desk").Free), 100)
	defer n.queue.PlaceWaiting("desk")
	if err != nil {
		return dispatch.Forwarded{Outcome: pipe.OutcomeNotRun, Fault: err}
	}
	return dispatch.Forwarded{Outcome: pipe.OutcomeDone}
}

// Refused implements dispatch.Forwarder.
func (n *modelNode) Refused(peer *pipe.Peer, pool, team string) { n.peers.Refused(peer, pool, team) }

// modelSlot runs requests by waiting.
type modelSlot struct {
	pipe.Slot
	model *model
}

func (s *modelSlot) Do(_ context.Context, req *fasthttp.Request, out *fasthttp.Response, _ time.Time) pipe.Report {
	out.Header.SetBytesV("X-Request-Id", req.Header.Peek("X-Request-Id"))
	team := string(req.Header.Peek("X-Team"))
	work, _ := time.ParseDuration(string(req.Header.Peek("X-Work")))
	if !s.model.begin(s.Host(), team) {
		out.SetStatusCode(fasthttp.StatusServiceUnavailable)
		out.Header.Set("X-Not-Run", "1")
		return pipe.Report{Phase: pipe.PhaseAnswering, Ended: true}
	}
	time.Sleep(work)
	s.model.end(s.Host(), team)
	return pipe.Report{Phase: pipe.PhaseAnswering, Ended: true}
}

func (m *model) begin(host, team string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running[host] >= 8 {
		m.counts.busy++
		return false
	}
	m.running[host]++
	m.teams[team]++
	return true
}

func (m *model) end(host, team string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[host]--
	m.teams[team]--
}

// submit sends one request through the gateway.
func (m *model) submit(n *modelNode, id int, team structs.Team, work time.Duration) {
	in := &fasthttp.Request{}
	in.Header.SetMethod("POST")
	in.Header.Set("X-Team", team.Name)
	in.Header.Set("X-Work", work.String())
	r := &pipe.Request{
		ID: fmt.Sprint(id), Arrived: time.Now(), Ctx: context.Background(), In: in, Out: &fasthttp.Response{},
		PoolName: "desk", Path: "/", Team: team.Name, Share: team.Share,
		Deadline: time.Now().Add(time.Minute), QueueDeadline: time.Now().Add(2 * time.Second),
	}
	err := n.filter.Apply(r)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.requests++
	if err != nil {
		m.counts.rejected++
		return
	}
	m.counts.done++
}

// sample adds the present state to the figures.
func (m *model) sample(teams []structs.Team) {
	waiting := map[string]int{}
	total := 0
	for _, n := range m.nodes {
		for _, load := range n.queue.Loads() {
			waiting[load.Team] += int(load.Waiting)
			total += int(load.Waiting)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	busy := 0
	for _, count := range m.running {
		busy += count
	}
	m.counts.samples++
	m.counts.waiting += float64(total)
	m.counts.wasted += float64(min(total, modelSlots-busy))
	fair := fairSlots(teams, m.teams, waiting)
	for _, team := range teams {
		m.counts.unfair += float64(max(m.teams[team.Name]-fair[team.Name], 0))
	}
}

// fairSlots is the naive weighted max-min of all slots over the teams' demands.
func fairSlots(teams []structs.Team, running, waiting map[string]int) map[string]int {
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
