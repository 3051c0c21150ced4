package stop

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/sirupsen/logrus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold/inventory"
)

// callRepeatInterval is the time after which a reboot or an assignment is requested again if the host doesn't
// show its effect. Without it, a platform that is slow to begin would get the call twice.
const callRepeatInterval = 30 * time.Second

// probeInterval is the time between two probes of a stopped host by the first-ranked controller. The other
// controllers probe about once in the delay of their rank, so that not all of them probe each host this often.
const probeInterval = 2 * time.Second

// maxParallelHosts bounds the hosts that a pass handles at the same time. A pass over 100 stopped hosts whose
// calls all time out takes 4 rounds of calls.
const maxParallelHosts = 32

// Machine takes hosts through their stops, step by step. It must be used by one loop only.
type Machine struct {
	deps *fleet.Dependencies
	// stops holds the progress of each stop by host.
	stops map[string]*stopProgress
}

// stopProgress is what the machine keeps in memory about one stop. If it is lost, the stop only takes longer.
type stopProgress struct {
	epoch      uint64
	phase      inventory.Phase
	phaseSince time.Time
	// dueAction is the action that is due according to the last probe, and dueSince is since when it has been.
	dueAction Action
	dueSince  time.Time
	// lastCallAt is when a reboot or an assignment was last requested.
	lastCallAt  time.Time
	nextProbeAt time.Time
	// healthyProbes is the number of healthy probes since the last one that wasn't.
	healthyProbes int
	detail        string
	// lastHealthy is set when the last probe found the host healthy.
	lastHealthy bool
}

// Report is the progress of the stop of one host.
type Report struct {
	Host inventory.Host
	// Age is the time since this controller first saw the host in its phase.
	Age time.Duration
	// Detail is the reason for the next action. It completes a sentence that starts with the host, such as
	// "doesn't answer".
	Detail string
	// Down is set when the last probe had no answer or found the host down.
	Down bool
}

// New returns a machine that knows of no stops yet.
func New(deps *fleet.Dependencies) *Machine {
	return &Machine{deps: deps, stops: map[string]*stopProgress{}}
}

// AdvanceStops takes the stop of each host one step further and returns the progress of the stops, in the
// order of the hosts. The progress of hosts that aren't in the list any more is discarded.
func (m *Machine) AdvanceStops(ctx context.Context, hosts []inventory.Host) []Report {
	m.updateStops(hosts)
	reports := make([]Report, len(hosts))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelHosts)
	for i, host := range hosts {
		group.Go(func() error {
			reports[i] = m.stepHost(groupCtx, host)
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

// updateStops keeps the progress of the given hosts only. A host with a new epoch or phase starts without
// progress.
func (m *Machine) updateStops(hosts []inventory.Host) {
	kept := make(map[string]*stopProgress, len(hosts))
	for _, host := range hosts {
		progress := m.stops[host.Name]
		if progress == nil || progress.epoch != host.Epoch || progress.phase != host.Phase {
			now := m.deps.Clock()
			progress = &stopProgress{epoch: host.Epoch, phase: host.Phase, phaseSince: now, dueSince: now}
		}
		kept[host.Name] = progress
	}
	m.stops = kept
}

// stepHost takes the stop one step further if a probe of the host is due, and reports the progress of the
// stop. Only ranked controllers act.
func (m *Machine) stepHost(ctx context.Context, host inventory.Host) Report {
	progress := m.stops[host.Name]
	now := m.deps.Clock()
	delay, ranked := m.deps.TakeoverDelay(fleet.PoolSubject(host.Pool))
	if ranked && !now.Before(progress.nextProbeAt) {
		progress.nextProbeAt = now.Add(max(probeInterval, delay) - probeInterval/2)
		m.advance(ctx, host, progress, delay)
	}
	return Report{Host: host, Age: now.Sub(progress.phaseSince), Detail: progress.detail, Down: !progress.lastHealthy}
}

// advance probes the host and takes the action that is due, once the same action has been due for the delay
// of the controller's rank.
func (m *Machine) advance(ctx context.Context, host inventory.Host, progress *stopProgress, delay time.Duration) {
	result := m.probe(ctx, host)
	progress.observeHealth(result.Response.GetHealthy())
	action, detail := NextAction(host, result)
	progress.detail = detail
	now := m.deps.Clock()
	if action != progress.dueAction {
		progress.dueAction, progress.dueSince = action, now
	}
	if action == ActionWait || now.Sub(progress.dueSince) < delay || !m.mayActNow(host, progress, action) {
		return
	}
	m.act(ctx, host, progress, action)
}

// stableProbes is the number of consecutive healthy probes after which a failed host returns to service.
// Without it, a flapping host would get work whenever it answers.
const stableProbes = 3

// observeHealth records the result of a probe.
func (p *stopProgress) observeHealth(healthy bool) {
	p.lastHealthy = healthy
	p.healthyProbes++
	if !healthy {
		p.healthyProbes = 0
	}
}

// mayActNow reports whether the action may be taken now. A failed host returns to service only after stableProbes,
// and reboots and assignments are repeated only after callRepeatInterval.
func (m *Machine) mayActNow(host inventory.Host, progress *stopProgress, action Action) bool {
	endsStop := action == ActionUndrain || action == ActionReturn
	if host.Phase == inventory.PhaseFailed && endsStop && progress.healthyProbes < stableProbes {
		return false
	}
	if action == ActionReboot || action == ActionAssign {
		return progress.lastCallAt.IsZero() || m.deps.Clock().Sub(progress.lastCallAt) >= callRepeatInterval
	}
	return true
}

// act takes the action unless the host's state has changed since it was read. If the answer of a call is
// lost, the next probe shows whether the call took effect.
func (m *Machine) act(ctx context.Context, host inventory.Host, progress *stopProgress, action Action) {
	if !m.unchanged(host) {
		return
	}
	switch action {
	case ActionDrain:
		m.callPlatform(ctx, host, fleet.StopEpoch(host.Epoch), m.deps.Platform.Drain)
	case ActionReboot:
		progress.lastCallAt = m.deps.Clock()
		m.callPlatform(ctx, host, fleet.StopEpoch(host.Epoch), m.deps.Platform.Reboot)
	case ActionAssign:
		progress.lastCallAt = m.deps.Clock()
		m.assign(ctx, host)
	case ActionUndrain:
		response := m.callPlatform(ctx, host, fleet.UndrainEpoch(host.Epoch), m.deps.Platform.Undrain)
		if response.GetHealthy() && !response.GetDraining() {
			m.proposeHostBack(ctx, host)
		}
	case ActionReturn:
		m.proposeHostBack(ctx, host)
	}
}

// unchanged reports whether the host has the same epoch and phase in the newest state.
func (m *Machine) unchanged(host inventory.Host) bool {
	same := false
	m.deps.Reader.Read(func(view fleet.View) {
		current, known := view.Inventory.Host(host.Name)
		same = known && current.Epoch == host.Epoch && current.Phase == host.Phase
	})
	return same
}

// proposeHostBack proposes a HostBack record, which returns the host to service.
func (m *Machine) proposeHostBack(ctx context.Context, host inventory.Host) {
	record := &v1.HostBack{Host: host.Name, HostEpoch: host.Epoch}
	err := m.deps.Proposer.Propose(ctx, &v1.Record{Payload: &v1.Record_HostBack{HostBack: record}})
	if err != nil {
		m.deps.Log.WithFields(logrus.Fields{"event": "host_back_not_accepted", "host": host.Name, "epoch": host.Epoch}).WithError(err).Warn("the host is back, but that was not accepted")
		return
	}
	m.deps.Log.WithFields(logrus.Fields{"event": "host_back", "host": host.Name, "epoch": host.Epoch}).Info("host is back")
}

// assign asks the platform to assign the host to the pool that it moves to.
func (m *Machine) assign(ctx context.Context, host inventory.Host) {
	ctx, cancel := context.WithTimeout(ctx, fleet.CallTimeout)
	defer cancel()
	request := &v1.AssignRequest{Host: host.Name, HostEpoch: fleet.StopEpoch(host.Epoch), Pool: host.MoveTo}
	if _, err := m.deps.Platform.Assign(ctx, request); err != nil {
		m.deps.Log.WithFields(logrus.Fields{"event": "host_call_failed", "call": "assign", "host": host.Name}).WithError(err).Warn("call of the platform failed")
	}
}

// hostCall is a call of the platform for one host.
type hostCall func(context.Context, *v1.HostRequest) (*v1.HostResponse, error)

// callPlatform calls the platform for the host with the given call epoch. It returns nil if the call fails.
func (m *Machine) callPlatform(ctx context.Context, host inventory.Host, epoch uint64, call hostCall) *v1.HostResponse {
	ctx, cancel := context.WithTimeout(ctx, fleet.CallTimeout)
	defer cancel()
	response, err := call(ctx, &v1.HostRequest{Host: host.Name, HostEpoch: epoch})
	if err != nil {
		m.deps.Log.WithFields(logrus.Fields{"event": "host_call_failed", "host": host.Name, "epoch": epoch}).WithError(err).Warn("call of the platform failed")
		return nil
	}
	return response
}

// probe probes the host. If the platform refuses the epoch of the stop as old, it has seen the epoch of the
// stop's end, and the host is probed again with that epoch.
func (m *Machine) probe(ctx context.Context, host inventory.Host) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, fleet.CallTimeout)
	defer cancel()
	request := &v1.HostRequest{Host: host.Name, HostEpoch: fleet.StopEpoch(host.Epoch)}
	response, err := m.deps.Platform.Probe(ctx, request)
	if err == nil {
		return ProbeResult{Response: response}
	}
	if connect.CodeOf(err) != fault.ResponseFor(fault.HostEpochStale).ConnectCode {
		return ProbeResult{}
	}
	request.HostEpoch = fleet.UndrainEpoch(host.Epoch)
	response, err = m.deps.Platform.Probe(ctx, request)
	if err != nil {
		return ProbeResult{}
	}
	return ProbeResult{Response: response, StopEnded: true}
}
