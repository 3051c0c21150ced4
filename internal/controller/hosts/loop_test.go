package hosts

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/telemetry"
)

// fakePlatform is a platform with healthy hosts. It counts the calls, and fails all of them when it is down.
type fakePlatform struct {
	fleet.Platform
	down                  bool
	probeCalls, listCalls atomic.Int64
}

func (p *fakePlatform) List(context.Context, *v1.ListRequest) (*v1.ListResponse, error) {
	p.listCalls.Add(1)
	return &v1.ListResponse{}, p.err()
}

func (p *fakePlatform) Probe(context.Context, *v1.HostRequest) (*v1.HostResponse, error) {
	p.probeCalls.Add(1)
	return &v1.HostResponse{Healthy: true, BootCount: 1}, p.err()
}

func (p *fakePlatform) err() error {
	if p.down {
		return errors.New("platform is down")
	}
	return nil
}

// fakeFleet is the state of a fleet of serving hosts. The controller under test ranks first for all pools and
// must not propose any record.
type fakeFleet struct{ view fleet.View }

func (f *fakeFleet) Read(use func(fleet.View)) { use(f.view) }
func (f *fakeFleet) Rank(string) (int, bool)   { return 0, true }
func (f *fakeFleet) Propose(context.Context, *v1.Record) error {
	return errors.New("unexpected proposal")
}

// newFakeFleet returns a fleet with one zone and one pool.
func newFakeFleet(hostCount int) *fakeFleet {
	doc := &structs.Document{Zones: []structs.Zone{{Name: "z"}}, Pools: []structs.Pool{{Name: "p"}}}
	for i := range hostCount {
		doc.Hosts = append(doc.Hosts, structs.Host{Name: fmt.Sprintf("h%04d", i), Zone: "z", Rack: "r", Pool: "p"})
	}
	inventoryState := inventory.New()
	inventoryState.AdoptDocument(doc)
	return &fakeFleet{fleet.View{Document: doc, Inventory: inventoryState, LogReachable: true}}
}

// Guards against a controller that spends too much network traffic and CPU time on probes: on a large healthy
// fleet, and on all hosts in every pass while the platform's host service is down.
func TestProbesAreBounded(t *testing.T) {
	const hostCount, span = 2800, 10 * time.Minute
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			fleetState, platform := newFakeFleet(hostCount), &fakePlatform{down: down}
			log := telemetry.NewLogger(io.Discard, "controller", "z")
			loop := New(fleet.Dependencies{Reader: fleetState, Proposer: fleetState, Ranker: fleetState, Platform: platform, Log: log})
			ctx, cancel := context.WithTimeout(t.Context(), span)
			defer cancel()
			_ = loop.Run(ctx)
			passes := int64(span / passInterval)
			assert.Assert(t, platform.probeCalls.Load() <= passes*maxProbesPerPass, "%d probes", platform.probeCalls.Load())
			assert.Assert(t, platform.listCalls.Load() <= int64(span/(hostCount*listIntervalPerHost))+2, "%d reads of the host list", platform.listCalls.Load())
			if !down {
				assert.Assert(t, platform.probeCalls.Load() < 2*int64(span/probeIntervalPerHost)+hostCount, "%d probes", platform.probeCalls.Load())
			}
		})
	}
}
