package rights

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/lease"
	"turmericyoke/internal/structs"
)

// tick is the step of the model's clock.
const tick = 250 * time.Millisecond

// model is a fleet of real holders and the real fold, with a fake log, fake peers and a fake clock.
// It runs in one goroutine, so that a seed decides everything.
type model struct {
	t     testing.TB
	rng   *rand.Rand
	start time.Time
	now   time.Time
	state *fold.State
	sent  [][]byte
	view  *structs.View
	// viewStale is set when the state is newer than view.
	viewStale bool
	nodes     []*node
	doc       *structs.Document
	ctl       uint64

	logDown bool
	// loseAnswer and duplicate are the parts of appends whose answer is lost, or that bring an
	// earlier record again.
	loseAnswer, duplicate float64
	// dropAppend is the part of appends that fail before they take effect.
	dropAppend float64
	// demand returns the number of new requests of a team at a node in one tick.
	demand  func(n *node, team string) int
	runTime func() time.Duration
	// forward lets a gateway of the zone with a free right run a request.
	forward bool
	// shared replaces rights by a counter that all nodes share, as a bound for comparison.
	shared bool

	// taken is the shared counter.
	taken map[string]uint64

	records int
	bytes   int
	// meanUse is the mean part of all limits that ran.
	meanUse  float64
	admitted map[string]int
	refused  int
}

// node is one gateway and the endpoints that it dispatches to.
type node struct {
	m      *model
	holder *Holder
	name   string
	zone   string
	// cut is set while the node reaches neither the log nor a controller.
	cut    bool
	dead   bool
	paused bool
	// group parts the nodes of a zone that can't reach each other.
	group int
	// stalled is when requests that were admitted go on to the endpoints.
	stalled time.Time
	// queue holds the waiting requests of each team.
	queue map[string]int
	// admitted holds rights of requests that aren't dispatched yet, and running the requests that
	// run on endpoints.
	admitted []*request
	running  []*request
	started  map[string]int
}

type request struct {
	team  string
	right *Right
	end   time.Time
}

func newModel(t testing.TB, seed uint64, zones, perZone int, limits map[string]uint64) *model {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	m := &model{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), start: start, now: start, state: fold.New(), doc: &structs.Document{},
		admitted: map[string]int{}, taken: map[string]uint64{}, runTime: func() time.Duration { return structs.DefaultMaxRunTime },
	}
	m.control(&v1.Record{Payload: &v1.Record_Join{Join: &v1.Join{Zone: "z", Role: v1.Role_ROLE_CONTROLLER}}})
	assert.Assert(t, m.publish(limits))
	for i := range zones * perZone {
		m.add(fmt.Sprintf("gw-%03d", i), fmt.Sprintf("zone-%d", i/perZone))
	}
	return m
}

func (m *model) add(name, zone string) *node {
	n := &node{m: m, name: name, zone: zone, queue: map[string]int{}, started: map[string]int{}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	n.holder = New(Config{
		Name: name, Zone: zone, Address: "127.0.0.1:1", Proposer: n, Peers: n, Now: func() time.Time { return m.now },
		Logger: logrus.NewEntry(logger),
		Waiting: func() map[string]uint64 {
			waiting := map[string]uint64{}
			for team, length := range n.queue {
				waiting[team] = uint64(length)
			}
			return waiting
		},
	})
	m.nodes = append(m.nodes, n)
	return n
}

// control appends a record of the controller.
func (m *model) control(record *v1.Record) fold.Verdict {
	m.ctl++
	record.Schema, record.Proposer, record.Incarnation, record.Seq = 1, "ctl", "1", m.ctl
	return m.append(record)
}

func (m *model) append(record *v1.Record) fold.Verdict {
	raw, err := fold.EncodeRecord(record)
	assert.NilError(m.t, err)
	return m.appendRaw(raw)
}

func (m *model) appendRaw(raw []byte) fold.Verdict {
	verdict, err := m.state.Apply(m.state.Offset()+1, raw)
	assert.NilError(m.t, err)
	m.sent = append(m.sent, raw)
	m.records++
	m.bytes += len(raw)
	m.viewStale = true
	return verdict
}

// publish sets the limits, and returns whether the fold accepted them.
func (m *model) publish(limits map[string]uint64) bool {
	next := &structs.Document{
		Zones: []structs.Zone{{Name: "z", Region: "r"}}, Policy: structs.Policy{TargetUtilisation: 0.8},
	}
	for team, limit := range limits {
		next.Teams = append(next.Teams, structs.Team{Name: team, Share: 1, UpperLimit: limit})
	}
	document.Normalize(next)
	change, err := document.NewChangeSet(fmt.Sprint("c", m.ctl), "ops", "", m.state.Version(), m.doc, next)
	assert.NilError(m.t, err)
	verdict := m.control(&v1.Record{Payload: &v1.Record_ChangeSet{ChangeSet: change}})
	if verdict.Accepted {
		m.doc = next
	}
	return verdict.Accepted
}

var errLost = errors.New("no answer")

// Propose implements Proposer.
func (n *node) Propose(_ context.Context, record *v1.Record) (*v1.ProposeResponse, error) {
	m := n.m
	if n.cut || m.logDown || m.rng.Float64() < m.dropAppend {
		return nil, errLost
	}
	if m.rng.Float64() < m.duplicate {
		m.appendRaw(m.sent[m.rng.IntN(len(m.sent))])
	}
	verdict := m.append(record)
	if m.rng.Float64() < m.loseAnswer {
		return nil, errLost
	}
	return &v1.ProposeResponse{
		Offset: verdict.Offset, Accepted: verdict.Accepted, Kind: string(verdict.Kind), Detail: verdict.Detail,
	}, nil
}

// RequestVow implements Peers.
func (n *node) RequestVow(_ context.Context, member structs.GatewayEntry, holder lease.Ref) (*v1.Vow, error) {
	for _, peer := range n.m.nodes {
		if peer.name == member.Name && peer.reaches(n) {
			return peer.holder.Vow(holder.Name, holder.Incarnation), nil
		}
	}
	return nil, errLost
}

func (n *node) awake() bool { return !n.dead && !n.paused }

// reaches reports whether both are awake and connected members of one zone.
func (n *node) reaches(other *node) bool {
	return n.awake() && other.awake() && n.zone == other.zone && n.group == other.group
}

// run advances the clock and calls check after each tick.
func (m *model) run(span time.Duration) {
	for end := m.now.Add(span); m.now.Before(end); {
		m.now = m.now.Add(tick)
		m.step()
		m.check()
	}
}

// runUntil advances the clock until done holds, at most for span.
func (m *model) runUntil(span time.Duration, done func() bool) {
	for end := m.now.Add(span); !done(); {
		if !m.now.Before(end) {
			m.t.Fatalf("%v after the start, the awaited state has not come", m.now.Sub(m.start))
		}
		m.run(tick)
	}
}

func (m *model) step() {
	second := m.now.Sub(m.start)%time.Second == 0
	if m.viewStale {
		m.view, m.viewStale = m.state.View(), false
	}
	if second {
		m.exchange()
	}
	for _, n := range m.nodes {
		n.endRequests()
		if !n.awake() {
			continue
		}
		// Requests that were admitted before a pause go out before the gateway learns anything new.
		n.dispatch()
		if !n.cut && !m.logDown {
			n.holder.UpdateView(m.view, m.now)
		}
		n.holder.Step(context.Background())
		if second {
			n.holder.StepSuspicion(context.Background())
		}
		n.admit()
	}
}

func (m *model) exchange() {
	for _, n := range m.nodes {
		for _, peer := range m.nodes {
			if n == peer || !n.reaches(peer) {
				continue
			}
			peer.holder.Heard(n.name, n.holder.Incarnation())
			if peer.holder.MayRenew(n.name, n.holder.Incarnation()) {
				n.holder.Renewed(peer.name, peer.holder.Incarnation(), m.now)
			}
		}
	}
}

// dispatch sends the requests that were admitted in the last tick.
func (n *node) dispatch() {
	if n.m.now.Before(n.stalled) {
		return
	}
	for _, r := range n.admitted {
		if r.right.Usable() {
			r.end = n.m.now.Add(n.m.runTime())
			n.running = append(n.running, r)
			n.started[r.team]++
			n.m.admitted[r.team]++
			continue
		}
		r.right.Release()
	}
	n.admitted = nil
}

// admit takes rights for waiting requests; a request waits for at most about 2 s.
func (n *node) admit() {
	for _, team := range n.m.doc.Teams {
		if n.m.demand != nil {
			n.queue[team.Name] += n.m.demand(n, team.Name)
		}
		for n.queue[team.Name] > 0 {
			runner, right := n.place(team)
			if right == nil {
				n.refuse(team)
				break
			}
			n.queue[team.Name]--
			runner.admitted = append(runner.admitted, &request{team: team.Name, right: right})
		}
	}
}

// place takes a right here or, if requests are forwarded, at a gateway of the zone.
func (n *node) place(team structs.Team) (*node, *Right) {
	if n.m.shared {
		return n, n.takeShared(team)
	}
	if right, err := n.holder.Take(team.Name); err == nil {
		return n, right
	}
	for _, peer := range n.m.nodes {
		if n.m.forward && peer != n && peer.reaches(n) && peer.holder.Free(team.Name) > 0 {
			if right, err := peer.holder.Take(team.Name); err == nil {
				return peer, right
			}
		}
	}
	return nil, nil
}

func (n *node) takeShared(team structs.Team) *Right {
	if n.m.taken[team.Name] >= team.UpperLimit {
		return nil
	}
	n.m.taken[team.Name]++
	return &Right{holder: n.holder, life: n.holder.life.Load(), account: &account{used: 1}}
}

func (n *node) refuse(team structs.Team) {
	n.m.refused++
	// Each waiting request gives up after about 2 s.
	const queueDeadline = 8
	for range n.queue[team.Name] {
		if n.m.rng.IntN(queueDeadline) == 0 {
			n.queue[team.Name]--
		}
	}
}

// endRequests ends what has reached its end on the endpoints. A gateway that isn't awake doesn't
// notice; it releases the rights later.
func (n *node) endRequests() {
	kept := n.running[:0]
	for _, r := range n.running {
		if r.end.After(n.m.now) || !n.awake() {
			kept = append(kept, r)
			continue
		}
		r.right.Release()
		n.m.taken[r.team]--
	}
	n.running = kept
}

// inUse counts what truly runs on endpoints, by team.
func (m *model) inUse() map[string]uint64 {
	counts := map[string]uint64{}
	for _, n := range m.nodes {
		for _, r := range n.running {
			if r.end.After(m.now) {
				counts[r.team]++
			}
		}
	}
	return counts
}

// check compares what truly runs with the accepted limits.
func (m *model) check() {
	counts := m.inUse()
	for _, team := range m.doc.Teams {
		if counts[team.Name] > team.UpperLimit {
			m.t.Fatalf("%v after the start, %d requests of team %s run: the limit is %d", m.now.Sub(m.start), counts[team.Name], team.Name, team.UpperLimit)
		}
	}
}

// rightsOf returns the rights that the fold counts for all lives of the name.
func (m *model) rightsOf(name string) uint64 {
	sum := uint64(0)
	for _, entry := range m.state.View().Gateways {
		for _, units := range entry.Rights {
			if entry.Name == name {
				sum += units
			}
		}
	}
	return sum
}

// peaky returns a demand at which the queues of the nodes peak in turn: for ten seconds of each
// minute a node asks for perTick requests in the mean, and between for a hundredth of that.
func (m *model) peaky(perTick float64) func(*node, string) int {
	return func(n *node, team string) int {
		const quietPart = 100
		rate := perTick / quietPart
		phase := time.Duration(len(n.name)+int(n.name[len(n.name)-1])*7) * time.Second
		if (m.now.Sub(m.start)+phase)%time.Minute < 10*time.Second {
			rate = perTick
		}
		count := int(rate)
		if m.rng.Float64() < rate-float64(count) {
			count++
		}
		return count
	}
}

// suspected reports whether the fold suspects the node's current life.
func (m *model) suspected(n *node) bool {
	entry := findEntry(m.state.View(), n.holder.life.Load().ref)
	return entry != nil && entry.Suspected
}
