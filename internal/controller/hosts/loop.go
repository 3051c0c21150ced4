// Package hosts watches the health of hosts. It reports failed hosts with HostDown records, returns them to
// service once they are healthy again, and pauses waves in zones that don't answer.
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

// passInterval is the time between two passes of the loop. Hosts with failed probes, and hosts that are listed
// as gone, are due for a probe in every pass.
const passInterval = 2 * time.Second

// minHealthyProbeInterval is the shortest time between two probes of a host without any sign of failure.
const minHealthyProbeInterval = 10 * time.Second

// The intervals grow with the number of hosts, so that probes and reads of the host list stay within a
// controller's budget of network traffic and CPU time. Hosts that are listed as gone are due in every pass
// regardless.
const (
	// probeIntervalPerHost, times the number of hosts in the pools for which the controller ranks first, is the
	// time between two probes of a healthy host. A probe takes about 0.6 KB in both directions together.
	probeIntervalPerHost = time.Second
	// listIntervalPerHost, times the number of hosts in the fleet, is the time between two reads of the host
	// list. An entry takes about 25 B before compression.
	listIntervalPerHost = 10 * time.Millisecond
)

// maxProbesPerPass bounds the probes of one pass. While the platform's host service is down, all hosts have
// failed probes and are due, and probing 2,800 hosts in every pass took a quarter of a core.
const maxProbesPerPass = 16

// Loop watches the health of the fleet's hosts.
type Loop struct {
	deps        *fleet.Dependencies
	stopMachine *stop.Machine
	health      map[string]*hostHealth
	// unresponsiveSince holds, by zone, since when no host of the zone has answered.
	unresponsiveSince map[string]time.Time
	// goneHosts holds the hosts that the newest host list shows as gone, and nextListAt is when the list is
	// read again.
	goneHosts  map[string]bool
	nextListAt time.Time
	// poolRanks caches this controller's rank for each pool during one pass.
	poolRanks map[string]poolRank
}

// poolRank is the controller's rank for a pool.
type poolRank struct {
	// delay is how long the controller waits before it acts; it is 0 for the first-ranked controller.
	delay time.Duration
	// ranked is false when the controller doesn't act for the pool at all.
	ranked bool
}

// New returns a loop that hasn't probed any host yet.
func New(deps fleet.Dependencies) *Loop {
	l := &Loop{deps: &deps, health: map[string]*hostHealth{}, unresponsiveSince: map[string]time.Time{}}
	l.stopMachine = stop.New(l.deps)
	return l
}

// Run runs a pass every passInterval until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	return periodic.Every(ctx, passInterval, l.pass)
}

// pass advances the return of failed hosts, probes the serving hosts that are due, pauses waves in zones that
// don't answer, and reports the hosts that are down.
func (l *Loop) pass(ctx context.Context) {
	var all []inventory.Host
	var failed []inventory.Host
	wavesByPool := map[string][]string{}
	l.deps.Reader.Read(func(view fleet.View) {
		all = view.Inventory.Hosts()
		failed = view.Inventory.HostsInPhase(inventory.PhaseFailed)
		for name, wave := range view.Inventory.Waves {
			if wave.Phase == inventory.WaveRunning {
				wavesByPool[wave.Spec.Pool] = append(wavesByPool[wave.Spec.Pool], name)
			}
		}
	})
	l.stopMachine.AdvanceStops(ctx, failed)
	l.poolRanks = map[string]poolRank{}
	l.refreshList(ctx, len(all))
	l.updateWatchedHosts(all, l.goneHosts)
	l.probeDueHosts(ctx)
	unresponsive := unresponsiveZones(l.health)
	if anyHostAnswered(l.health) {
		l.pauseForUnresponsiveZones(ctx, unresponsive, wavesByPool)
	}
	l.proposeHostsDown(ctx)
}

// rankForPool returns the controller's rank for the pool. It is looked up once in each pass.
func (l *Loop) rankForPool(pool string) poolRank {
	rank, cached := l.poolRanks[pool]
	if !cached {
		rank.delay, rank.ranked = l.deps.TakeoverDelay(fleet.PoolSubject(pool))
		l.poolRanks[pool] = rank
	}
	return rank
}

// probeInterval returns the time between two probes of a healthy host. It grows with the number of hosts in the
// pools for which this controller ranks first.
func (l *Loop) probeInterval() time.Duration {
	firstRankedHosts := 0
	for _, health := range l.health {
		if rank := l.rankForPool(health.host.Pool); rank.ranked && rank.delay == 0 {
			firstRankedHosts++
		}
	}
	return max(minHealthyProbeInterval, time.Duration(firstRankedHosts)*probeIntervalPerHost)
}

// refreshList reads the platform's host list when it is due.
func (l *Loop) refreshList(ctx context.Context, hostCount int) {
	now := l.deps.Clock()
	if now.Before(l.nextListAt) {
		return
	}
	l.nextListAt = now.Add(time.Duration(hostCount) * listIntervalPerHost)
	l.goneHosts = l.listGoneHosts(ctx)
}

// listGoneHosts returns the hosts that the platform's host list shows as gone, or none if the list can't be
// read.
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

// updateWatchedHosts sets the watched hosts to those that serve in the state. The probe history of a host
// with a new epoch starts empty. Granted and moving hosts are down on purpose, and the loops that stop them
// watch them.
func (l *Loop) updateWatchedHosts(all []inventory.Host, goneHosts map[string]bool) {
	watched := make(map[string]*hostHealth, len(all))
	for _, host := range all {
		if host.Phase != inventory.PhaseServing {
			continue
		}
		health := l.health[host.Name]
		if health == nil || health.host.Epoch != host.Epoch {
			health = &hostHealth{nextProbeAt: l.deps.Clock().Add(nameBasedDelay(host.Name, minHealthyProbeInterval))}
		}
		health.host = host
		health.listedGone = goneHosts[host.Name]
		watched[host.Name] = health
	}
	l.health = watched
}

// probeDueHosts probes the hosts that are due, all at the same time. It records which of the failures were witnessed:
// another host of the zone answered in the same pass.
func (l *Loop) probeDueHosts(ctx context.Context) {
	group, groupCtx := errgroup.WithContext(ctx)
	interval := l.probeInterval()
	due := l.dueHosts()
	for _, health := range due {
		group.Go(func() error {
			l.probeHost(groupCtx, health, interval)
			return nil
		})
	}
	_ = group.Wait()
	zoneAnswered := map[string]bool{}
	for _, health := range due {
		zoneAnswered[health.host.Zone] = zoneAnswered[health.host.Zone] || !health.lastUnanswered
	}
	for _, health := range due {
		if zoneAnswered[health.host.Zone] {
			health.recordWitness()
		}
	}
}

// dueHosts returns the hosts to probe in this pass, at most maxProbesPerPass. Hosts whose last probe is oldest
// come first. In a zone with suspicious hosts, one more host is due as their witness.
func (l *Loop) dueHosts() []*hostHealth {
	now := l.deps.Clock()
	suspicious := map[string]bool{}
	witnesses := map[string]*hostHealth{}
	var due []*hostHealth
	for _, health := range l.health {
		zone := health.host.Zone
		rank := l.rankForPool(health.host.Pool)
		switch {
		case !rank.ranked:
			continue
		case health.probeDue(now, rank.delay):
			due = append(due, health)
			suspicious[zone] = suspicious[zone] || health.suspicious()
		case witnesses[zone] == nil || compareLastProbes(health, witnesses[zone]) < 0:
			witnesses[zone] = health
		}
	}
	for zone, witness := range witnesses {
		if suspicious[zone] {
			due = append(due, witness)
		}
	}
	slices.SortFunc(due, compareLastProbes)
	return due[:min(len(due), maxProbesPerPass)]
}

// compareLastProbes orders hosts by the time of their last probe, the oldest first.
func compareLastProbes(a, b *hostHealth) int {
	return cmp.Or(a.lastProbeAt.Compare(b.lastProbeAt), cmp.Compare(a.host.Name, b.host.Name))
}

// probeHost probes the host and records the outcome. A healthy host is next probed after the given interval.
func (l *Loop) probeHost(ctx context.Context, health *hostHealth, interval time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, fleet.CallTimeout)
	defer cancel()
	request := &v1.HostRequest{Host: health.host.Name, HostEpoch: fleet.StopEpoch(health.host.Epoch)}
	response, err := l.deps.Platform.Probe(ctx, request)
	health.recordProbe(l.deps.Clock(), interval, classifyProbe(response, err))
}

// proposeHostsDown proposes a HostDown record for each host that is proven down, in order of name. A controller
// that isn't ranked first waits for the delay of its rank.
func (l *Loop) proposeHostsDown(ctx context.Context) {
	var down []*hostHealth
	for _, health := range l.health {
		rank := l.rankForPool(health.host.Pool)
		if rank.ranked && health.provenDown() && l.deps.Clock().Sub(health.failingSince) >= rank.delay {
			down = append(down, health)
		}
	}
	sort.Slice(down, func(i, j int) bool { return down[i].host.Name < down[j].host.Name })
	for _, health := range down {
		if !l.stillServing(health.host) {
			continue
		}
		reason := fmt.Sprintf("%d probes in a row failed, listed as gone: %t", health.consecutiveFailures, health.listedGone)
		record := &v1.HostDown{Host: health.host.Name, HostEpoch: health.host.Epoch, Reason: reason}
		if err := l.deps.Proposer.Propose(ctx, &v1.Record{Payload: &v1.Record_HostDown{HostDown: record}}); err != nil {
			l.deps.Log.WithFields(logrus.Fields{"event": "host_down_not_accepted", "host": health.host.Name}).WithError(err).Warn("failure of the host was not accepted")
		}
	}
}

// stillServing reports whether the host serves under the same epoch in the newest state. A host that was
// granted a stop during the pass may be down for its reboot.
func (l *Loop) stillServing(host inventory.Host) bool {
	serving := false
	l.deps.Reader.Read(func(view fleet.View) {
		current, known := view.Inventory.Host(host.Name)
		serving = known && current.Epoch == host.Epoch && current.Phase == inventory.PhaseServing
	})
	return serving
}
