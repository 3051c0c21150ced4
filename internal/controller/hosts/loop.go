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

// interval is the time between two passes. Suspicious hosts are probed in each.
const interval = 2 * time.Second

// healthyInterval is the least time between two probes of a host that has shown no sign of failure.
const healthyInterval = 10 * time.Second

// Costs that keep the loop within the bytes and the processor time of a controller: a large fleet is
// looked at less often, and what the host list shows as gone is still probed in each pass.
const (
	// probeSpacing is the time for each host of the controller's pools between two of its probes:
	// a probe is about 0.6 KB in both directions together.
	probeSpacing = time.Second
	// listSpacing is the time for each host of the fleet between two reads of the list: an entry is
	// about 25 B before compression.
	listSpacing = 10 * time.Millisecond
)

// passProbes bounds the probes of one pass. While the platform's host service is down, every host
// looks suspicious, and a probe of each in every pass took a quarter of a core at 2,800 hosts.
const passProbes = 16

// Loop watches the hosts of the fleet.
type Loop struct {
	deps    *fleet.Deps
	machine *stop.Machine
	health  map[string]*health
	// silent holds since when no host of a zone has answered.
	silent map[string]time.Time
	// gone is what the newest list shows as gone, and nextList when it is read again.
	gone     map[string]bool
	nextList time.Time
	// ranks are this controller's places for the pools, in this pass.
	ranks map[string]place
}

// place is the controller's place for a pool.
type place struct {
	delay  time.Duration
	ranked bool
}

// New returns the loop.
func New(deps fleet.Deps) *Loop {
	l := &Loop{deps: &deps, health: map[string]*health{}, silent: map[string]time.Time{}}
	l.machine = stop.New(l.deps)
	return l
}

// Run runs the loop until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	return periodic.Every(ctx, interval, l.pass)
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
	l.ranks = map[string]place{}
	l.refreshList(ctx, len(all))
	l.observe(all, l.gone)
	l.probe(ctx)
	silent := silentZones(l.health)
	if anyAnswer(l.health) {
		l.pauseForZones(ctx, silent, waves)
	}
	l.reportDown(ctx, silent)
}

// rank returns the controller's place for the pool; it asks once in each pass.
func (l *Loop) rank(pool string) place {
	known, asked := l.ranks[pool]
	if !asked {
		known.delay, known.ranked = l.deps.TakeoverDelay(fleet.PoolSubject(pool))
		l.ranks[pool] = known
	}
	return known
}

// probeInterval returns the time between two probes of a healthy host.
func (l *Loop) probeInterval() time.Duration {
	own := 0
	for _, h := range l.health {
		if p := l.rank(h.host.Pool); p.ranked && p.delay == 0 {
			own++
		}
	}
	return max(healthyInterval, time.Duration(own)*probeSpacing)
}

// refreshList reads the list when it is due.
func (l *Loop) refreshList(ctx context.Context, hosts int) {
	now := l.deps.Clock()
	if now.Before(l.nextList) {
		return
	}
	l.nextList = now.Add(time.Duration(hosts) * listSpacing)
	l.gone = l.list(ctx)
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
	next := l.probeInterval()
	for _, h := range l.dueHosts() {
		group.Go(func() error {
			l.ask(groupCtx, h, next)
			return nil
		})
	}
	_ = group.Wait()
}

// dueHosts returns the hosts to probe in this pass, those first that weren't asked for longest.
func (l *Loop) dueHosts() []*health {
	now := l.deps.Clock()
	var due []*health
	for _, h := range l.health {
		if p := l.rank(h.host.Pool); p.ranked && h.due(now, p.delay) {
			due = append(due, h)
		}
	}
	slices.SortFunc(due, func(a, b *health) int {
		return cmp.Or(a.probedAt.Compare(b.probedAt), cmp.Compare(a.host.Name, b.host.Name))
	})
	return due[:min(len(due), passProbes)]
}

// ask probes the host, and again after next if it is healthy.
func (l *Loop) ask(ctx context.Context, h *health, next time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, fleet.CallTimeout)
	defer cancel()
	request := &v1.HostRequest{Host: h.host.Name, HostEpoch: fleet.StopEpoch(h.host.Epoch)}
	answer, err := l.deps.Platform.Probe(ctx, request)
	h.record(l.deps.Clock(), next, result(answer, err))
}

// reportDown proposes HostDown for the hosts that are proven down, in order of name.
func (l *Loop) reportDown(ctx context.Context, silent map[string]bool) {
	var down []*health
	for _, h := range l.health {
		p := l.rank(h.host.Pool)
		if p.ranked && h.down(silent[h.host.Zone]) && l.deps.Clock().Sub(h.failingSince) >= p.delay {
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
