package exchange

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/structs"
)

// fakeLease implements Lease and PendingRefusals and records the calls.
type fakeLease struct {
	mu        sync.Mutex
	renewedAt map[string]time.Time
	vowed     map[string]bool
	// self is this gateway, and copyPeer the peer that stores the copy of its refusals.
	self, copyPeer string
	storedCopies   map[string]bool
}

func (l *fakeLease) RecordRenewal(peer, _ string, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewedAt[peer] = sentAt
}

func (l *fakeLease) RecordReport(string, string)    {}
func (l *fakeLease) MayRenew(holder, _ string) bool { return !l.vowed[holder] }
func (l *fakeLease) Vow(string, string) *v1.Vow     { return nil }

func (l *fakeLease) RefusalsFor(peer string) *v1.RefusalBatch {
	if peer != l.copyPeer {
		return nil
	}
	return &v1.RefusalBatch{Gateway: l.self}
}

func (l *fakeLease) StoreRefusalCopy(batch *v1.RefusalBatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storedCopies[batch.GetGateway()] = true
}

func (l *fakeLease) RecordRefusalTotal(string, string, uint64) {}

// fakeClient calls another gateway directly after a delay, or fails while down is set.
type fakeClient struct {
	turmericyokev1connect.PeerServiceClient
	target *Exchange
	delay  time.Duration
	down   *bool
}

func (c fakeClient) Exchange(ctx context.Context, request *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	time.Sleep(c.delay)
	if *c.down {
		return nil, context.DeadlineExceeded
	}
	return c.target.Exchange(ctx, proto.Clone(request).(*v1.ExchangeRequest))
}

// testGateways holds gateways, by name, whose exchanges call each other directly.
type testGateways struct {
	exchanges map[string]*Exchange
	peers     map[string]*Peers
	leases    map[string]*fakeLease
	reports   map[string]*v1.GatewayLoad
	down      bool
}

// newTestGateways returns the given number of gateways for each zone, named ZONE-NUMBER.
func newTestGateways(zones map[string]int) *testGateways {
	g := &testGateways{
		exchanges: map[string]*Exchange{}, peers: map[string]*Peers{}, leases: map[string]*fakeLease{},
		reports: map[string]*v1.GatewayLoad{},
	}
	view := &structs.View{Offset: 1, Teams: []structs.Team{{Name: "a", Share: 1}, {Name: "b", Share: 1}}}
	for zone, count := range zones {
		for i := range count {
			name := fmt.Sprintf("%s-%d", zone, i)
			view.Gateways = append(view.Gateways, structs.GatewayEntry{Name: name, Incarnation: name, Zone: zone, Address: name})
		}
	}
	for i, gateway := range view.Gateways {
		g.add(gateway, uint64(i))
		g.peers[gateway.Name].ApplySnapshot(fleet.NewSnapshot(view, time.Time{}))
	}
	return g
}

func (g *testGateways) add(gateway structs.GatewayEntry, seed uint64) {
	name := gateway.Name
	var otherZones []string
	for _, zone := range []string{"z1", "z2"} {
		if zone != gateway.Zone {
			otherZones = append(otherZones, zone)
		}
	}
	g.peers[name] = NewPeers(name, gateway.Zone, otherZones, seed, time.Now)
	g.leases[name] = &fakeLease{renewedAt: map[string]time.Time{}, vowed: map[string]bool{}, self: name, storedCopies: map[string]bool{}}
	g.reports[name] = &v1.GatewayLoad{}
	g.exchanges[name] = New(Config{
		Self: name, Incarnation: func() string { return name }, Zone: gateway.Zone, Peers: g.peers[name],
		Load: func() *v1.GatewayLoad { return proto.Clone(g.reports[name]).(*v1.GatewayLoad) },
		Client: func(address string) turmericyokev1connect.PeerServiceClient {
			return fakeClient{target: g.exchanges[address], delay: time.Millisecond, down: &g.down}
		},
		Lease: g.leases[name], PendingRefusals: g.leases[name], Now: time.Now, ViewNow: time.Now,
		OnReport:  func(*v1.GatewayLoad, time.Time) {},
		OnMembers: func([]string) {},
	})
}

// run runs all exchanges for span, in fake time.
func (g *testGateways) run(span time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	done := make(chan error, len(g.exchanges))
	for _, e := range g.exchanges {
		go func() { done <- e.Run(ctx) }()
	}
	for range g.exchanges {
		<-done
	}
}

// Guards against a lease that is renewed without the response that the renewal requires. Each exchange of a pair renews
// the leases of both gateways, counted from when the renewed gateway sent its message. A gateway that has
// vowed not to renew, a gateway of another zone, and a call without a response must renew nothing.
func TestExchangeRenewsBothLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateways(map[string]int{"z1": 3, "z2": 1})
		g.leases["z1-2"].vowed["z1-0"] = true
		start := time.Now()
		g.run(5 * time.Second)
		for _, pair := range [][2]string{{"z1-0", "z1-1"}, {"z1-1", "z1-0"}, {"z1-1", "z1-2"}, {"z1-2", "z1-1"}} {
			renewedAt := g.leases[pair[0]].renewedAt[pair[1]]
			assert.Assert(t, renewedAt.After(start.Add(3*time.Second)) && !renewedAt.After(time.Now()), "%v", pair)
		}
		assert.Assert(t, g.leases["z1-0"].renewedAt["z1-2"].IsZero(), "renewed by a gateway that vowed not to")
		assert.Assert(t, g.leases["z1-0"].renewedAt["z2-0"].IsZero(), "renewed by a gateway of another zone")
		assert.Equal(t, len(g.peers["z1-0"].Members()), 3)

		g.down = true
		lastRenewed := g.leases["z1-1"].renewedAt["z1-0"]
		g.run(5 * time.Second)
		assert.Equal(t, g.leases["z1-1"].renewedAt["z1-0"], lastRenewed, "renewed without a response")
		assert.DeepEqual(t, g.peers["z1-1"].Members(), []string{"z1-1"})
	})
}

// The queue chooses teams by these counts, so each running request in the region must count exactly once,
// although both peers and other zones report it.
func TestRunningElsewhereCountsTheRegionOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateways(map[string]int{"z1": 3, "z2": 3})
		for name := range g.reports {
			g.reports[name].Teams = []*v1.TeamLoad{{Pool: "desk", Team: "a", Running: 5}}
		}
		g.run(30 * time.Second)
		for name, peers := range g.peers {
			// Each of the 5 other gateways runs 5 requests. The smoothed count approaches 25 from below, since
			// the first report of a zone is sent before all its gateways have reported.
			count := peers.RunningElsewhere("desk", "a")
			assert.Assert(t, count > 24.9 && count <= 25, "%s: %g", name, count)
		}
	})
}

// A late report of another zone must not replace a newer one, and a gateway that isn't in the view must not report for its
// zone.
func TestLateAndUnlistedReportsOfAZoneAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateways(map[string]int{"z1": 1, "z2": 1})
		g.run(5 * time.Second)
		peers := g.peers["z1-0"]
		report := func(gateway, incarnation string, seq, free uint64) bool {
			return peers.ApplyReport(&v1.GatewayLoad{Gateway: gateway, Incarnation: incarnation, Zone: "z2", Seq: seq,
				Pools: []*v1.PoolLoad{{Pool: "desk", OwnedSlots: 100, FreeSlots: free}}})
		}
		assert.Assert(t, report("z2-0", "z2-0", 1000, 0))
		assert.Assert(t, !report("z2-0", "z2-0", 999, 100), "a late report was applied")
		assert.Assert(t, !report("z2-0", "earlier", 1001, 100), "a report of an earlier process was applied")
		assert.Assert(t, !report("z2-9", "z2-9", 1001, 100), "a report of an unlisted gateway was applied")
		assert.Assert(t, peers.PickForSpill("desk") == nil)
		assert.Assert(t, report("z2-0", "z2-0", 1001, 100))
		assert.Assert(t, peers.PickForSpill("desk") != nil)
	})
}

// Requests must not be sent to a zone that is too busy, counting the requests already sent there, nor to a peer
// that has refused one since its last report.
func TestPeerSelection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateways(map[string]int{"z1": 2, "z2": 1})
		g.reports["z2-0"].Pools = []*v1.PoolLoad{{Pool: "desk", OwnedSlots: 10, FreeSlots: 5}, {Pool: "full", OwnedSlots: 10, FreeSlots: 3}}
		g.reports["z1-1"].Pools = []*v1.PoolLoad{{Pool: "desk", OwnedSlots: 8, FreeSlots: 2}}
		g.reports["z1-1"].Teams = []*v1.TeamLoad{{Pool: "desk", Team: "b", Running: 6}}
		g.reports["z1-1"].Rights = []*v1.RightsLoad{{Team: "a", Free: 3}}
		g.run(5 * time.Second)
		peers := g.peers["z1-0"]
		assert.Assert(t, peers.PickForSpill("full") == nil, "picked a zone that is 70% busy")
		assert.Assert(t, peers.PickForSpill("desk").CrossesZone)
		assert.Assert(t, peers.PickForSpill("desk") != nil)
		assert.Assert(t, peers.PickForSpill("desk") == nil, "picked a zone in which 7 of 10 slots are expected to be busy")

		assert.Equal(t, peers.PickAboveShare("desk", "a").Name, "z1-1")
		assert.Assert(t, peers.PickAboveShare("desk", "b") == nil)
		first := peers.PickWithFreeSlot("desk", "a")
		first.RightHeld = true
		peers.ForwardRefused(first, "desk", "a")
		assert.Assert(t, peers.PickWithFreeSlot("desk", "a") == nil)
		second := peers.PickWithRight("a", "desk")
		peers.ForwardRefused(second, "desk", "a")
		assert.Assert(t, peers.PickWithRight("a", "desk") == nil)
		g.run(2 * time.Second)
		assert.Assert(t, peers.PickWithFreeSlot("desk", "a") != nil && peers.PickWithRight("a", "desk") != nil)
	})
}

// Each gateway must get its refusals to the peer that stores the copy. The gateway with the highest name
// calls no other gateway, so its copy must be sent with its responses.
func TestEveryGatewayHasItsRefusalsCopied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateways(map[string]int{"z1": 3})
		copyPeerOf := map[string]string{"z1-0": "z1-1", "z1-1": "z1-2", "z1-2": "z1-0"}
		for name, peer := range copyPeerOf {
			g.leases[name].copyPeer = peer
		}
		g.run(3 * time.Second)
		for name, peer := range copyPeerOf {
			assert.Assert(t, g.leases[peer].storedCopies[name], "copy of %s", name)
			assert.Equal(t, len(g.leases[peer].storedCopies), 1)
		}
	})
}
