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

// fakePlatform counts its calls, and answers none while it is down.
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
		return errors.New("down")
	}
	return nil
}

// fakeFleet is a fleet of serving hosts, in which this controller ranks first and proposes nothing.
type fakeFleet struct{ view fleet.View }

func (s *fakeFleet) Read(use func(fleet.View))                 { use(s.view) }
func (s *fakeFleet) Rank(string) (int, bool)                   { return 0, true }
func (s *fakeFleet) Propose(context.Context, *v1.Record) error { return errors.New("not expected") }

func newFakeFleet(hosts int) *fakeFleet {
	doc := &structs.Document{Zones: []structs.Zone{{Name: "z"}}, Pools: []structs.Pool{{Name: "p"}}}
	for i := range hosts {
		doc.Hosts = append(doc.Hosts, structs.Host{Name: fmt.Sprintf("h%04d", i), Zone: "z", Rack: "r", Pool: "p"})
	}
	section := inventory.New()
	section.AdoptDocument(doc)
	return &fakeFleet{fleet.View{Document: doc, Inventory: section, LogReachable: true}}
}

// Guards against a controller that spends its bytes and processor time on probes: of a large healthy
// fleet, and of all hosts at once while the platform's host service is down.
func TestProbesAreBounded(t *testing.T) {
	const hosts, span = 2800, 10 * time.Minute
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s, calls := newFakeFleet(hosts), &fakePlatform{down: down}
			log := telemetry.NewLogger(io.Discard, "controller", "z")
			loop := New(fleet.Deps{Reader: s, Proposer: s, Ranker: s, Platform: calls, Log: log})
			ctx, cancel := context.WithTimeout(t.Context(), span)
			defer cancel()
			_ = loop.Run(ctx)
			passes := int64(span / passInterval)
			assert.Assert(t, calls.probeCalls.Load() <= passes*maxProbesPerPass, "%d probes", calls.probeCalls.Load())
			assert.Assert(t, calls.listCalls.Load() <= int64(span/(hosts*listIntervalPerHost))+2, "%d lists", calls.listCalls.Load())
			if !down {
				assert.Assert(t, calls.probeCalls.Load() < 2*int64(span/probeIntervalPerHost)+hosts, "%d probes", calls.probeCalls.Load())
			}
		})
	}
}
