// Package hosts watches the health of hosts. It proposes HostDown for hosts that are gone, and
// brings failed hosts back.
package hosts

import (
	"context"
	"fmt"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sirupsen/logrus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/controller/stop"
	"turmericyoke/internal/fold/inventory"
)

// interval is the time between two passes. Suspicious hosts are probed in each.
const interval = 2 * time.Second

// healthyInterval is the time between two probes of a host that has shown no sign of failure. With
// nine controllers at the design scale each then sends about 31 probes a second.
const healthyInterval = 10 * time.Second

// parallelProbes bounds the probes under way in one pass.
const parallelProbes = 64

// Loop watches the hosts of the fleet.
type Loop struct {
	deps    *fleet.Deps
	machine *stop.Machine
	health  map[string]*health
	// silent holds since when no host of a zone has answered.
	silent map[string]time.Time
}

// New returns the loop.
func New(deps fleet.Deps) *Loop {
	l := &Loop{deps: &deps, health: map[string]*health{}, silent: map[string]time.Time{}}
	l.machine = stop.New(l.deps)
	return l
}

// Run runs the loop until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	return fleet.Every(ctx, interval, l.pass)
}

func (l *Loop) pass(ctx context.Context) {
	var all []inventory.Host
	var failed []inventory.Host
	waves := map[string][]string{}
	l.deps.Reader.Read(func(view fleet.View) {
		all = view.Inventory.Hosts()
		failed = view.Inventory.InPhase(inventory.PhaseFailed)
		for name, wave := range view.Inventory.Waves {
			if wave.Phase == inventory.WaveRunning {
				waves[wave.Spec.Pool] = append(waves[wave.Spec.Pool], name)
			}
		}
	})
	l.machine.Pass(ctx, failed)
	l.observe(all, l.list(ctx))
	l.probe(ctx)
	silent := silentZones(l.health)
	if anyAnswer(l.health) {
		l.pauseForZones(ctx, silent, waves)
	}
	l.reportDown(ctx, silent)
}

// list returns the hosts that the platform's list shows as gone. A list that can't be read tells nothing.
func (l *Loop) list(ctx context.Context) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, fleet.CallTimeout)
	defer cancel()
	response, err := l.deps.Platform.List(ctx, &v1.ListRequest{})
	if err != nil {
		l.deps.Log.WithFields(logrus.Fields{"event": "host_list_failed"}).WithError(err).Warn("host list can't be read")
		return nil
	}
	gone := map[string]bool{}
	for _, entry := range response.GetHosts() {
		if entry.GetState() == v1.HostState_HOST_STATE_GONE {
			gone[entry.GetHost()] = true
		}
	}
	return gone
}

// observe brings the watched hosts in line with the state: those that serve. A host with a new
// epoch starts anew. Granted and moving hosts are down for a reason, and their loops watch them.
func (l *Loop) observe(all []inventory.Host, gone map[string]bool) {
	watched := make(map[string]*health, len(all))
	for _, host := range all {
		if host.Phase != inventory.PhaseServing {
			continue
		}
		h := l.health[host.Name]
		if h == nil || h.host.Epoch != host.Epoch {
			h = &health{nextProbe: l.deps.Clock().Add(spreadOver(host.Name, healthyInterval))}
		}
		h.host = host
		h.listedGone = gone[host.Name]
		watched[host.Name] = h
	}
	l.health = watched
}

// probe asks the hosts that are due.
func (l *Loop) probe(ctx context.Context) {
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(parallelProbes)
	now := l.deps.Clock()
	for _, h := range l.health {
		delay, ranked := l.deps.Delay(fleet.Subject(h.host.Pool))
		if !ranked || !h.due(now, delay) {
			continue
		}
		group.Go(func() error {
			l.ask(groupCtx, h)
			return nil
		})
	}
	_ = group.Wait()
}

func (l *Loop) ask(ctx context.Context, h *health) {
	ctx, cancel := context.WithTimeout(ctx, fleet.CallTimeout)
	defer cancel()
	request := &v1.HostRequest{Host: h.host.Name, HostEpoch: fleet.StopEpoch(h.host.Epoch)}
	answer, err := l.deps.Platform.Probe(ctx, request)
	h.record(l.deps.Clock(), result(answer, err))
}

// reportDown proposes HostDown for the hosts that are proven down, in order of name.
func (l *Loop) reportDown(ctx context.Context, silent map[string]bool) {
	var down []*health
	for _, h := range l.health {
		delay, ranked := l.deps.Delay(fleet.Subject(h.host.Pool))
		if ranked && h.down(silent[h.host.Zone]) && l.deps.Clock().Sub(h.failingSince) >= delay {
			down = append(down, h)
		}
	}
	sort.Slice(down, func(i, j int) bool { return down[i].host.Name < down[j].host.Name })
	for _, h := range down {
		if !l.serves(h.host) {
			continue
		}
		reason := fmt.Sprintf("%d probes in a row failed, listed as gone: %t", h.failures, h.listedGone)
		record := &v1.HostDown{Host: h.host.Name, HostEpoch: h.host.Epoch, Reason: reason}
		if err := l.deps.Proposer.Propose(ctx, &v1.Record{Payload: &v1.Record_HostDown{HostDown: record}}); err != nil {
			l.deps.Log.WithFields(logrus.Fields{"event": "host_down_not_accepted", "host": h.host.Name}).WithError(err).Warn("failure of the host was not accepted")
		}
	}
}

// serves reports whether the host still serves in the newest state. A host that was granted during
// the pass may be down for its reboot.
func (l *Loop) serves(host inventory.Host) bool {
	same := false
	l.deps.Reader.Read(func(view fleet.View) {
		now, known := view.Inventory.Host(host.Name)
		same = known && now.Epoch == host.Epoch && now.Phase == inventory.PhaseServing
	})
	return same
}
