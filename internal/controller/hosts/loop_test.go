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

// platform counts its calls, and answers none while it is down.
type platform struct {
	fleet.Platform
	down          bool
	probes, lists atomic.Int64
}

func (p *platform) List(context.Context, *v1.ListRequest) (*v1.ListResponse, error) {
	p.lists.Add(1)
	return &v1.ListResponse{}, p.err()
}

func (p *platform) Probe(context.Context, *v1.HostRequest) (*v1.HostResponse, error) {
	p.probes.Add(1)
	return &v1.HostResponse{Healthy: true, BootCount: 1}, p.err()
}

func (p *platform) err() error {
	if p.down {
		return errors.New("down")
	}
	return nil
}

// state is a fleet of serving hosts, in which this controller ranks first and proposes nothing.
type state struct{ view fleet.View }

func (s *state) Read(use func(fleet.View))                 { use(s.view) }
func (s *state) Rank(string) (int, bool)                   { return 0, true }
func (s *state) Propose(context.Context, *v1.Record) error { return errors.New("not expected") }

func newState(hosts int) *state {
	doc := &structs.Document{Zones: []structs.Zone{{Name: "z"}}, Pools: []structs.Pool{{Name: "p"}}}
	for i := range hosts {
		doc.Hosts = append(doc.Hosts, structs.Host{Name: fmt.Sprintf("h%04d", i), Zone: "z", Rack: "r", Pool: "p"})
	}
	section := inventory.New()
	section.AdoptDocument(doc)
	return &state{fleet.View{Document: doc, Inventory: section, LogReachable: true}}
}

// Guards against a controller that spends its bytes and processor time on probes: of a large healthy
// fleet, and of all hosts at once while the platform's host service is down.
func TestProbesAreBounded(t *testing.T) {
	const hosts, span = 2800, 10 * time.Minute
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s, calls := newState(hosts), &platform{down: down}
			log := telemetry.NewLogger(io.Discard, "controller", "z")
			loop := New(fleet.Deps{Reader: s, Proposer: s, Ranker: s, Platform: calls, Log: log})
			ctx, cancel := context.WithTimeout(t.Context(), span)
			defer cancel()
			_ = loop.Run(ctx)
			passes := int64(span / interval)
			assert.Assert(t, calls.probes.Load() <= passes*passProbes, "%d probes", calls.probes.Load())
			assert.Assert(t, calls.lists.Load() <= int64(span/(hosts*listSpacing))+2, "%d lists", calls.lists.Load())
			if !down {
				assert.Assert(t, calls.probes.Load() < 2*int64(span/probeSpacing)+hosts, "%d probes", calls.probes.Load())
			}
		})
	}
}
