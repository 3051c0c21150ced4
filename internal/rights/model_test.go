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

// tick is the step of the simulated clock.
const tick = 250 * time.Millisecond

// model simulates a fleet: real holders and the real fold, with a fake log, fake peers and a fake clock. It
// runs in one goroutine, so that a run is reproducible from its seed.
type model struct {
	t     testing.TB
	rng   *rand.Rand
	start time.Time
	now   time.Time
	state *fold.State
	// appended holds all encoded records of the log.
	appended [][]byte
	view     *structs.View
	// viewStale is set when the state is newer than view.
	viewStale     bool
	nodes         []*node
	doc           *structs.Document
	controllerSeq uint64

	logDown bool
	// loseResponse is the probability that the response to an append is lost, and duplicate the probability
	// that an earlier record is appended again before it.
	loseResponse, duplicate float64
	// dropAppend is the probability that an append fails before it takes effect.
	dropAppend float64
	// demand returns the number of new requests of a team at a node in one tick.
	demand func(n *node, team string) int
	// runTime returns how long the next request runs.
	runTime func() time.Duration
	// forwarding lets nodes forward a request to a node of the zone that has a free right.
	forwarding bool
	// sharedCounter replaces rights by one counter for all nodes, as an upper bound to compare with.
	sharedCounter bool

	// sharedCounts holds the shared counter of each team.
	sharedCounts map[string]uint64

	recordCount int
	byteCount   int
	// meanUsedFraction is the mean part of all limits that running requests took.
	meanUsedFraction float64
	// started is the number of requests that were dispatched, by team.
	started map[string]int
	// refused is the number of times that a node had no right for a waiting request.
	refused int
}

// node simulates one gateway and the endpoints that it dispatches to.
type node struct {
	m      *model
	holder *Holder
	name   string
	zone   string
	// cutOff is set while the node can reach neither the log nor a controller.
	cutOff bool
	dead   bool
	paused bool
	// partition is the network partition of the node: nodes of a zone reach each other only if it is equal.
	partition int
	// stalledUntil is the time before which admitted requests aren't dispatched to the endpoints.
	stalledUntil time.Time
	// queue holds the number of waiting requests of each team.
	queue map[string]int
	// admitted holds the requests that have a right and aren't dispatched yet.
	admitted []*request
	// running holds the requests that run on endpoints.
	running []*request
	// started is the number of requests that were dispatched, by team.
	started map[string]int
}

// request is an admitted request, and end is when it ends on its endpoint.
type request struct {
	team  string
	right *Right
	end   time.Time
}

// newModel returns a fleet of zones with perZone nodes each, and teams with the limits.
func newModel(t testing.TB, seed uint64, zones, perZone int, limits map[string]uint64) *model {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	m := &model{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), start: start, now: start, state: fold.New(), doc: &structs.Document{},
		started: map[string]int{}, sharedCounts: map[string]uint64{}, runTime: func() time.Duration { return structs.DefaultMaxRunTime },
	}
	m.appendAsController(&v1.Record{Payload: &v1.Record_Join{Join: &v1.Join{Zone: "z", Role: v1.Role_ROLE_CONTROLLER}}})
	assert.Assert(t, m.publish(limits))
	for i := range zones * perZone {
		m.add(fmt.Sprintf("gw-%03d", i), fmt.Sprintf("zone-%d", i/perZone))
	}
	return m
}

// add adds a node, whose holder joins in the next steps.
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

// appendAsController appends a record that the controller proposes.
func (m *model) appendAsController(record *v1.Record) fold.Verdict {
	m.controllerSeq++
	record.Schema, record.Proposer, record.Incarnation, record.Seq = 1, "ctl", "1", m.controllerSeq
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
	m.appended = append(m.appended, raw)
	m.recordCount++
	m.byteCount += len(raw)
	m.viewStale = true
	return verdict
}

// publish proposes a document with the limits, and reports whether the fold accepted it.
func (m *model) publish(limits map[string]uint64) bool {
	next := &structs.Document{
		Zones: []structs.Zone{{Name: "z", Region: "r"}}, Policy: structs.Policy{TargetUtilisation: 0.8},
	}
	for team, limit := range limits {
		next.Teams = append(next.Teams, structs.Team{Name: team, Share: 1, UpperLimit: limit})
	}
	document.Normalize(next)
	change, err := document.NewChangeSet(fmt.Sprint("c", m.controllerSeq), "ops", "", m.state.Version(), m.doc, next)
	assert.NilError(m.t, err)
	verdict := m.appendAsController(&v1.Record{Payload: &v1.Record_ChangeSet{ChangeSet: change}})
	if verdict.Accepted {
		m.doc = next
	}
	return verdict.Accepted
}

var errNoResponse = errors.New("no response")

// Propose implements Proposer.
func (n *node) Propose(_ context.Context, record *v1.Record) (*v1.ProposeResponse, error) {
	m := n.m
	if n.cutOff || m.logDown || m.rng.Float64() < m.dropAppend {
		return nil, errNoResponse
	}
	if m.rng.Float64() < m.duplicate {
		m.appendRaw(m.appended[m.rng.IntN(len(m.appended))])
	}
	verdict := m.append(record)
	if m.rng.Float64() < m.loseResponse {
		return nil, errNoResponse
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
	return nil, errNoResponse
}

// awake reports whether the node's process runs.
func (n *node) awake() bool { return !n.dead && !n.paused }

// reaches reports whether both nodes are awake, in the same zone and in the same partition.
func (n *node) reaches(other *node) bool {
	return n.awake() && other.awake() && n.zone == other.zone && n.partition == other.partition
}

// run advances the clock by duration, and checks the limits after each tick.
func (m *model) run(duration time.Duration) {
	for end := m.now.Add(duration); m.now.Before(end); {
		m.now = m.now.Add(tick)
		m.step()
		m.checkLimits()
	}
}

// runUntil advances the clock until done returns true, and fails the test if that takes longer than timeout.
func (m *model) runUntil(timeout time.Duration, done func() bool) {
	for end := m.now.Add(timeout); !done(); {
		if !m.now.Before(end) {
			m.t.Fatalf("%v after the start: the awaited state wasn't reached in time", m.now.Sub(m.start))
		}
		m.run(tick)
	}
}

// step runs one tick of all nodes.
func (m *model) step() {
	fullSecond := m.now.Sub(m.start)%time.Second == 0
	if m.viewStale {
		m.view, m.viewStale = m.state.View(), false
	}
	if fullSecond {
		m.exchangeReports()
	}
	for _, n := range m.nodes {
		n.endRequests()
		if !n.awake() {
			continue
		}
		// After a pause, requests that were admitted before it are dispatched before the gateway reads a new
		// view.
		n.dispatch()
		if !n.cutOff && !m.logDown {
			n.holder.UpdateView(m.view, m.now)
		}
		n.holder.Step(context.Background())
		if fullSecond {
			n.holder.StepFailureDetection(context.Background())
		}
		n.admit()
	}
}

// exchangeReports lets the nodes of each zone report to one another and renew one another's leases.
func (m *model) exchangeReports() {
	for _, n := range m.nodes {
		for _, peer := range m.nodes {
			if n == peer || !n.reaches(peer) {
				continue
			}
			peer.holder.RecordReport(n.name, n.holder.Incarnation())
			if peer.holder.MayRenew(n.name, n.holder.Incarnation()) {
				n.holder.RecordRenewal(peer.name, peer.holder.Incarnation(), m.now)
			}
		}
	}
}

// dispatch starts the admitted requests whose right is still usable, and drops the others.
func (n *node) dispatch() {
	if n.m.now.Before(n.stalledUntil) {
		return
	}
	for _, r := range n.admitted {
		if r.right.Usable() {
			r.end = n.m.now.Add(n.m.runTime())
			n.running = append(n.running, r)
			n.started[r.team]++
			n.m.started[r.team]++
			continue
		}
		r.right.Release()
	}
	n.admitted = nil
}

// admit queues new requests and takes rights for the waiting ones. A request waits for about 2 s.
func (n *node) admit() {
	for _, team := range n.m.doc.Teams {
		if n.m.demand != nil {
			n.queue[team.Name] += n.m.demand(n, team.Name)
		}
		for n.queue[team.Name] > 0 {
			runner, right := n.acquireFor(team)
			if right == nil {
				n.dropExpired(team)
				break
			}
			n.queue[team.Name]--
			runner.admitted = append(runner.admitted, &request{team: team.Name, right: right})
		}
	}
}

// acquireFor takes a right of this node or, with forwarding, of another node of the zone. It returns the node
// and its right, or nil if none is free.
func (n *node) acquireFor(team structs.Team) (*node, *Right) {
	if n.m.sharedCounter {
		return n, n.acquireShared(team)
	}
	if right, err := n.holder.AcquireRight(team.Name); err == nil {
		return n, right
	}
	for _, peer := range n.m.nodes {
		if n.m.forwarding && peer != n && peer.reaches(n) && peer.holder.Free(team.Name) > 0 {
			if right, err := peer.holder.AcquireRight(team.Name); err == nil {
				return peer, right
			}
		}
	}
	return nil, nil
}

// acquireShared takes a unit of the shared counter, or returns nil if the limit is reached.
func (n *node) acquireShared(team structs.Team) *Right {
	if n.m.sharedCounts[team.Name] >= team.UpperLimit {
		return nil
	}
	n.m.sharedCounts[team.Name]++
	return &Right{holder: n.holder, incarnation: n.holder.current.Load(), account: &account{used: 1}}
}

// dropExpired drops waiting requests of the team at random, after an average wait of about 2 s.
func (n *node) dropExpired(team structs.Team) {
	n.m.refused++
	// 8 ticks are 2 s.
	const meanWaitTicks = 8
	for range n.queue[team.Name] {
		if n.m.rng.IntN(meanWaitTicks) == 0 {
			n.queue[team.Name]--
		}
	}
}

// endRequests releases the rights of the requests that have ended on their endpoints. A node that isn't awake
// releases them once it is awake again.
func (n *node) endRequests() {
	stillRunning := n.running[:0]
	for _, r := range n.running {
		if r.end.After(n.m.now) || !n.awake() {
			stillRunning = append(stillRunning, r)
			continue
		}
		r.right.Release()
		n.m.sharedCounts[r.team]--
	}
	n.running = stillRunning
}

// runningByTeam returns the number of requests that run on endpoints, by team, whatever their gateways know.
func (m *model) runningByTeam() map[string]uint64 {
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

// checkLimits fails the test if more requests of a team run on endpoints than its accepted limit.
func (m *model) checkLimits() {
	counts := m.runningByTeam()
	for _, team := range m.doc.Teams {
		if counts[team.Name] > team.UpperLimit {
			m.t.Fatalf("%v after the start: %d requests of team %s are running, but its limit is %d", m.now.Sub(m.start), counts[team.Name], team.Name, team.UpperLimit)
		}
	}
}

// rightsOf returns the rights that the fold counts for all incarnations of the named node, of all teams.
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

// staggeredDemand returns a demand whose peaks come at different times for different nodes. For ten seconds of
// each minute a node gets perTick new requests per tick on average, and otherwise a hundredth of that.
func (m *model) staggeredDemand(perTick float64) func(*node, string) int {
	return func(n *node, team string) int {
		const quietDivisor = 100
		rate := perTick / quietDivisor
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

// suspected reports whether the node's current incarnation is suspected in the fold.
func (m *model) suspected(n *node) bool {
	entry := findEntry(m.state.View(), n.holder.current.Load().ref)
	return entry != nil && entry.Suspected
}
