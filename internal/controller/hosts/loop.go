// Package hosts watches the health of hosts. It proposes HostDown for hosts that are gone, and
// brings failed hosts back.
package hosts

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sirupsen/logrus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/controller/stop"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/periodic"
)

// passInterval is the time between two passes. Suspicious hosts are probed in each.
const passInterval = 2 * time.Second

// minHealthyProbeInterval is the least time between two probes of a host that has shown no sign of failure.
const minHealthyProbeInterval = 10 * time.Second

// Costs that keep the loop within the bytes and the processor time of a controller: a large fleet is
// looked at less often, and what the host list shows as gone is still probed in each pass.
const (
	// probeIntervalPerHost is the time for each host of the controller's pools between two of its probes:
	// a probe is about 0.6 KB in both directions together.
	probeIntervalPerHost = time.Second
	// listIntervalPerHost is the time for each host of the fleet between two reads of the list: an entry is
	// about 25 B before compression.
	listIntervalPerHost = 10 * time.Millisecond
)

// maxProbesPerPass bounds the probes of one pass. While the platform's host service is down, every host
// looks suspicious, and a probe of each in every pass took a quarter of a core at 2,800 hosts.
const maxProbesPerPass = 16

// Loop watches the hosts of the fleet.
type Loop struct {
	deps    *fleet.Deps
	machine *stop.Machine
	health  map[string]*hostHealth
	// unresponsiveSince holds since when no host of a zone has answered.
	unresponsiveSince map[string]time.Time
	// listedGone is what the newest list shows as gone, and nextList when it is read again.
	listedGone map[string]bool
	nextListAt time.Time
	// poolRanks are this controller's places for the pools, in this pass.
	poolRanks map[string]poolRank
}

// poolRank is the controller's place for a pool.
type poolRank struct {
	delay  time.Duration
	ranked bool
}

// New returns the loop.
func New(deps fleet.Deps) *Loop {
	l := &Loop{deps: &deps, health: map[string]*hostHealth{}, unresponsiveSince: map[string]time.Time{}}
	l.machine = stop.New(l.deps)
	return l
}

// Run runs the loop until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	return periodic.Every(ctx, passInterval, l.pass)
}

func (l *Loop) pass(ctx context.Context) {
	var all []inventory.Host
	var failed []inventory.Host
	waves := map[string][]string{}
	l.deps.Reader.Read(func(view fleet.View) {
		all = view.Inventory.Hosts()
		failed = view.Inventory.HostsInPhase(inventory.PhaseFailed)
		for name, wave := range view.Inventory.Waves {
			if wave.Phase == inventory.WaveRunning {
				waves[wave.Spec.Pool] = append(waves[wave.Spec.Pool], name)
			}
		}
	})
	l.machine.Pass(ctx, failed)
	l.poolRanks = map[string]poolRank{}
	l.refreshList(ctx, len(all))
	l.updateWatchedHosts(all, l.listedGone)
	l.probeDueHosts(ctx)
	silent := unresponsiveZones(l.health)
	if anyHostAnswered(l.health) {
		l.pauseForUnresponsiveZones(ctx, silent, waves)
	}
	l.proposeHostsDown(ctx, silent)
}

// rankForPool returns the controller's place for the pool; it asks once in each pass.
func (l *Loop) rankForPool(pool string) poolRank {
	known, asked := l.poolRanks[pool]
	if !asked {
		known.delay, known.ranked = l.deps.Delay(fleet.Subject(pool))
		l.poolRanks[pool] = known
	}
	return known
}

// probeInterval returns the time between two probes of a healthy host.
func (l *Loop) probeInterval() time.Duration {
	own := 0
	for _, h := range l.health {
		if p := l.rankForPool(h.host.Pool); p.ranked && p.delay == 0 {
			own++
		}
	}
	return max(minHealthyProbeInterval, time.Duration(own)*probeIntervalPerHost)
}

// refreshList reads the list when it is due.
func (l *Loop) refreshList(ctx context.Context, hosts int) {
	now := l.deps.Clock()
	if now.Before(l.nextListAt) {
		return
	}
	l.nextListAt = now.Add(time.Duration(hosts) * listIntervalPerHost)
	l.listedGone = l.listGoneHosts(ctx)
}

// listGoneHosts returns the hosts that the platform's list shows as gone. A list that can't be read tells nothing.
func (l *Loop) listGoneHosts(ctx context.Context) map[string]bool {
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

// updateWatchedHosts brings the watched hosts in line with the state: those that serve. A host with a new
// epoch starts anew. Granted and moving hosts are down for a reason, and their loops watch them.
func (l *Loop) updateWatchedHosts(all []inventory.Host, gone map[string]bool) {
	watched := make(map[string]*hostHealth, len(all))
	for _, host := range all {
		if host.Phase != inventory.PhaseServing {
			continue
		}
		h := l.health[host.Name]
		if h == nil || h.host.Epoch != host.Epoch {
			h = &hostHealth{nextProbeAt: l.deps.Clock().Add(nameBasedDelay(host.Name, minHealthyProbeInterval))}
		}
		h.host = host
		h.listedGone = gone[host.Name]
		watched[host.Name] = h
	}
	l.health = watched
}

// probeDueHosts asks the hosts that are due.
func (l *Loop) probeDueHosts(ctx context.Context) {
	group, groupCtx := errgroup.WithContext(ctx)
	next := l.probeInterval()
	for _, h := range l.dueHosts() {
		group.Go(func() error {
			l.probeHost(groupCtx, h, next)
			return nil
		})
	}
	_ = group.Wait()
}

// dueHosts returns the hosts to probe in this pass, those first that weren't asked for longest.
func (l *Loop) dueHosts() []*hostHealth {
	now := l.deps.Clock()
	var due []*hostHealth
	for _, h := range l.health {
		if p := l.rankForPool(h.host.Pool); p.ranked && h.probeDue(now, p.delay) {
			due = append(due, h)
		}
	}
	slices.SortFunc(due, func(a, b *hostHealth) int {
		return cmp.Or(a.lastProbeAt.Compare(b.lastProbeAt), cmp.Compare(a.host.Name, b.host.Name))
	})
	return due[:min(len(due), maxProbesPerPass)]
}

// probeHost probes the host, and again after next if it is healthy.
func (l *Loop) probeHost(ctx context.Context, h *hostHealth, next time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, fleet.CallTimeout)
	defer cancel()
	request := &v1.HostRequest{Host: h.host.Name, HostEpoch: fleet.StopEpoch(h.host.Epoch)}
	answer, err := l.deps.Platform.Probe(ctx, request)
	h.recordProbe(l.deps.Clock(), next, classifyProbe(answer, err))
}

// proposeHostsDown proposes HostDown for the hosts that are proven down, in order of name.
func (l *Loop) proposeHostsDown(ctx context.Context, silent map[string]bool) {
	var down []*hostHealth
	for _, h := range l.health {
		p := l.rankForPool(h.host.Pool)
		if p.ranked && h.provenDown(silent[h.host.Zone]) && l.deps.Clock().Sub(h.failingSince) >= p.delay {
			down = append(down, h)
		}
	}
	sort.Slice(down, func(i, j int) bool { return down[i].host.Name < down[j].host.Name })
	for _, h := range down {
		if !l.stillServing(h.host) {
			continue
		}
		reason := fmt.Sprintf("%d probes in a row failed, listed as gone: %t", h.failures, h.listedGone)
		record := &v1.HostDown{Host: h.host.Name, HostEpoch: h.host.Epoch, Reason: reason}
		if err := l.deps.Proposer.Propose(ctx, &v1.Record{Payload: &v1.Record_HostDown{HostDown: record}}); err != nil {
			l.deps.Log.WithFields(logrus.Fields{"event": "host_down_not_accepted", "host": h.host.Name}).WithError(err).Warn("failure of the host was not accepted")
		}
	}
}

// stillServing reports whether the host still serves in the newest state. A host that was granted during
// the pass may be down for its reboot.
func (l *Loop) stillServing(host inventory.Host) bool {
	same := false
	l.deps.Reader.Read(func(view fleet.View) {
		now, known := view.Inventory.Host(host.Name)
		same = known && now.Epoch == host.Epoch && now.Phase == inventory.PhaseServing
	})
	return same
}
