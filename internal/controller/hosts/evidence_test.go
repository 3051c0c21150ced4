package hosts

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/telemetry"
)

// recordingFleet records the hosts that are proposed as down.
type recordingFleet struct {
	*fakeFleet
	mu   sync.Mutex
	down []string
}

func (f *recordingFleet) Propose(_ context.Context, record *v1.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if record.GetHostDown() != nil {
		f.down = append(f.down, record.GetHostDown().GetHost())
	}
	return errors.New("the log is down")
}

// hostsDown returns the hosts that were proposed as down, each once.
func (f *recordingFleet) hostsDown() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Compact(slices.Sorted(slices.Values(f.down)))
}

// silentPlatform leaves probes of the silent hosts without an answer, or those of all hosts.
type silentPlatform struct {
	fakePlatform
	mu     sync.Mutex
	silent map[string]bool
	allOff bool
}

func (p *silentPlatform) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func (p *silentPlatform) Probe(ctx context.Context, request *v1.HostRequest) (*v1.HostResponse, error) {
	p.mu.Lock()
	silent := p.allOff || p.silent[request.GetHost()]
	p.mu.Unlock()
	if silent {
		return nil, errors.New("connection refused")
	}
	return p.fakePlatform.Probe(ctx, request)
}

// Guards against healthy hosts that are reported as down during or after an outage of the platform's host service, because
// other hosts of the zone answered before or after their probes, and against a silent host that isn't reported while others
// answer.
func TestSilentHostsNeedAWitness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleetState, platform := &recordingFleet{fakeFleet: newFakeFleet(50)}, &silentPlatform{silent: map[string]bool{}}
		log := telemetry.NewLogger(io.Discard, "controller", "z")
		loop := New(fleet.Dependencies{Reader: fleetState, Proposer: fleetState, Ranker: fleetState, Platform: platform, Log: log})
		go func() { _ = loop.Run(t.Context()) }()
		time.Sleep(5 * time.Minute)
		platform.update(func() { platform.allOff = true })
		time.Sleep(5 * time.Minute)
		assert.DeepEqual(t, fleetState.hostsDown(), []string(nil))

		platform.update(func() { platform.allOff = false })
		time.Sleep(time.Minute)
		assert.DeepEqual(t, fleetState.hostsDown(), []string(nil))

		platform.update(func() { platform.silent["h0007"] = true })
		time.Sleep(2 * time.Minute)
		assert.DeepEqual(t, fleetState.hostsDown(), []string{"h0007"})
	})
}
