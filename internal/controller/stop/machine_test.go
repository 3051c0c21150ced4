package stop

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/fold/inventory"
)

// flappingPlatform answers the probes of a host with the next of a list of states.
type flappingPlatform struct {
	fleet.Platform
	healthy []bool
}

func (p *flappingPlatform) Probe(context.Context, *v1.HostRequest) (*v1.HostResponse, error) {
	healthy := p.healthy[0]
	p.healthy = p.healthy[1:]
	return &v1.HostResponse{Healthy: healthy}, nil
}

// countingReader counts the reads of a state without hosts. The machine reads the state right before it acts.
type countingReader int

func (r *countingReader) Read(read func(fleet.View)) {
	*r++
	read(fleet.View{Inventory: inventory.New()})
}

// Guards against a flapping host that returns to service: the healthy probes that are needed must be consecutive.
func TestFailedHostReturnsAfterConsecutiveHealthyProbes(t *testing.T) {
	host := inventory.Host{Name: "h1", Phase: inventory.PhaseFailed}
	reader := new(countingReader)
	platform := &flappingPlatform{healthy: []bool{true, true, false, true, true, true}}
	machine := New(&fleet.Dependencies{Reader: reader, Platform: platform, Now: func() time.Time { return time.Unix(1, 0) }})
	machine.updateStops([]inventory.Host{host})
	for probe := range 6 {
		machine.advance(t.Context(), host, machine.stops[host.Name], 0)
		wantActs := 0
		if probe == 5 {
			wantActs = 1
		}
		assert.Equal(t, int(*reader), wantActs, "after probe %d", probe+1)
	}
}
