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

// callRepeatInterval is how long a reboot or an assignment has to show before it is asked for again. A
// platform that is slow to begin would otherwise get the call twice.
const callRepeatInterval = 30 * time.Second

// probeInterval is how often the controller that is ranked first asks a host that is stopped. The
// others ask once in the time that they wait before they act, so that the hosts aren't probed by all.
const probeInterval = 2 * time.Second

// parallelCalls bounds the hosts that one loop handles at a time; a pass over 100 stopped hosts
// with calls that time out then takes 4 rounds of calls.
const parallelCalls = 32

// Machine carries hosts through their stops. It is safe for use by one loop.
type Machine struct {
	deps  *fleet.Deps
	stops map[string]*stopProgress
}

// stopProgress is what the machine remembers about one stop. Losing it costs time only.
type stopProgress struct {
	epoch         uint64
	phase         inventory.Phase
	phaseSince    time.Time
	dueAction     Action
	dueSince      time.Time
	lastCallAt    time.Time
	nextProbeAt   time.Time
	healthyInARow int
	detail        string
	lastHealthy   bool
}

// Report is where the stop of one host stands.
type Report struct {
	Host inventory.Host
	// Age is how long this controller has seen the host in its phase.
	Age time.Duration
	// Detail says what the host was last seen to do.
	Detail string
	// Down is set when the host last didn't answer or answered that it is down.
	Down bool
}

// New returns a machine without stops.
func New(deps *fleet.Deps) *Machine {
	return &Machine{deps: deps, stops: map[string]*stopProgress{}}
}

// Pass takes each host one step further and returns where the stops stand, in the same order.
// Hosts that aren't in the list any more are forgotten.
func (m *Machine) Pass(ctx context.Context, hosts []inventory.Host) []Report {
	m.updateStops(hosts)
	reports := make([]Report, len(hosts))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)
	for i, host := range hosts {
		group.Go(func() error {
			reports[i] = m.stepHost(groupCtx, host)
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

func (m *Machine) updateStops(hosts []inventory.Host) {
	kept := make(map[string]*stopProgress, len(hosts))
	for _, host := range hosts {
		p := m.stops[host.Name]
		if p == nil || p.epoch != host.Epoch || p.phase != host.Phase {
			now := m.deps.Clock()
			p = &stopProgress{epoch: host.Epoch, phase: host.Phase, phaseSince: now, dueSince: now}
		}
		kept[host.Name] = p
	}
	m.stops = kept
}

func (m *Machine) stepHost(ctx context.Context, host inventory.Host) Report {
	p := m.stops[host.Name]
	now := m.deps.Clock()
	delay, ranked := m.deps.Delay(fleet.Subject(host.Pool))
	if ranked && !now.Before(p.nextProbeAt) {
		p.nextProbeAt = now.Add(max(probeInterval, delay) - probeInterval/2)
		m.advance(ctx, host, p, delay)
	}
	return Report{Host: host, Age: now.Sub(p.phaseSince), Detail: p.detail, Down: !p.lastHealthy}
}

// advance probes the host and acts when the same step has been due for the delay of the rank.
func (m *Machine) advance(ctx context.Context, host inventory.Host, p *stopProgress, delay time.Duration) {
	seen := m.probe(ctx, host)
	p.lastHealthy = seen.Response.GetHealthy()
	action, detail := NextAction(host, seen)
	p.detail = detail
	now := m.deps.Clock()
	if action != p.dueAction {
		p.dueAction, p.dueSince = action, now
	}
	if action == ActionWait || now.Sub(p.dueSince) < delay || !m.mayActNow(host, p, action) {
		return
	}
	m.act(ctx, host, p, action)
}

// stableProbes is the number of healthy answers in a row after which a failure counts as over. A
// host that flaps would otherwise get work each time that it answers.
const stableProbes = 3

// mayActNow reports whether the action may be taken now.
func (m *Machine) mayActNow(host inventory.Host, p *stopProgress, action Action) bool {
	p.healthyInARow++
	if !p.lastHealthy {
		p.healthyInARow = 0
	}
	ends := action == ActionUndrain || action == ActionReturn
	if host.Phase == inventory.PhaseFailed && ends && p.healthyInARow < stableProbes {
		return false
	}
	if action == ActionReboot || action == ActionAssign {
		return p.lastCallAt.IsZero() || m.deps.Clock().Sub(p.lastCallAt) >= callRepeatInterval
	}
	return true
}

// act takes one action. A call whose answer is lost is judged by the next probe.
func (m *Machine) act(ctx context.Context, host inventory.Host, p *stopProgress, action Action) {
	if !m.unchanged(host) {
		return
	}
	switch action {
	case ActionDrain:
		m.callPlatform(ctx, host, fleet.StopEpoch(host.Epoch), m.deps.Platform.Drain)
	case ActionReboot:
		p.lastCallAt = m.deps.Clock()
		m.callPlatform(ctx, host, fleet.StopEpoch(host.Epoch), m.deps.Platform.Reboot)
	case ActionAssign:
		p.lastCallAt = m.deps.Clock()
		m.assign(ctx, host)
	case ActionUndrain:
		answer := m.callPlatform(ctx, host, fleet.ReturnEpoch(host.Epoch), m.deps.Platform.Undrain)
		if answer.GetHealthy() && !answer.GetDraining() {
			m.proposeHostBack(ctx, host)
		}
	case ActionReturn:
		m.proposeHostBack(ctx, host)
	}
}

// unchanged reports whether the newest state still has the host in the phase and epoch of the plan.
func (m *Machine) unchanged(host inventory.Host) bool {
	same := false
	m.deps.Reader.Read(func(view fleet.View) {
		now, known := view.Inventory.Host(host.Name)
		same = known && now.Epoch == host.Epoch && now.Phase == host.Phase
	})
	return same
}

func (m *Machine) proposeHostBack(ctx context.Context, host inventory.Host) {
	back := &v1.HostBack{Host: host.Name, HostEpoch: host.Epoch}
	err := m.deps.Proposer.Propose(ctx, &v1.Record{Payload: &v1.Record_HostBack{HostBack: back}})
	if err != nil {
		m.deps.Log.WithFields(logrus.Fields{"event": "host_back_not_accepted", "host": host.Name, "epoch": host.Epoch}).WithError(err).Warn("the host is back, but that was not accepted")
		return
	}
	m.deps.Log.WithFields(logrus.Fields{"event": "host_back", "host": host.Name, "epoch": host.Epoch}).Info("host is back")
}

func (m *Machine) assign(ctx context.Context, host inventory.Host) {
	ctx, cancel := context.WithTimeout(ctx, fleet.CallTimeout)
	defer cancel()
	request := &v1.AssignRequest{Host: host.Name, HostEpoch: fleet.StopEpoch(host.Epoch), Pool: host.MoveTo}
	if _, err := m.deps.Platform.Assign(ctx, request); err != nil {
		m.deps.Log.WithFields(logrus.Fields{"event": "host_call_failed", "call": "assign", "host": host.Name}).WithError(err).Warn("call of the platform failed")
	}
}

type hostCall func(context.Context, *v1.HostRequest) (*v1.HostResponse, error)

func (m *Machine) callPlatform(ctx context.Context, host inventory.Host, epoch uint64, call hostCall) *v1.HostResponse {
	ctx, cancel := context.WithTimeout(ctx, fleet.CallTimeout)
	defer cancel()
	answer, err := call(ctx, &v1.HostRequest{Host: host.Name, HostEpoch: epoch})
	if err != nil {
		m.deps.Log.WithFields(logrus.Fields{"event": "host_call_failed", "host": host.Name, "epoch": epoch}).WithError(err).Warn("call of the platform failed")
		return nil
	}
	return answer
}

// probe asks the host, and asks again with the epoch of the return when the stop has ended.
func (m *Machine) probe(ctx context.Context, host inventory.Host) ProbeAnswer {
	ctx, cancel := context.WithTimeout(ctx, fleet.CallTimeout)
	defer cancel()
	request := &v1.HostRequest{Host: host.Name, HostEpoch: fleet.StopEpoch(host.Epoch)}
	answer, err := m.deps.Platform.Probe(ctx, request)
	if err == nil {
		return ProbeAnswer{Response: answer}
	}
	if connect.CodeOf(err) != fault.ResponseFor(fault.HostEpochStale).ConnectCode {
		return ProbeAnswer{}
	}
	request.HostEpoch = fleet.ReturnEpoch(host.Epoch)
	answer, err = m.deps.Platform.Probe(ctx, request)
	if err != nil {
		return ProbeAnswer{}
	}
	return ProbeAnswer{Response: answer, StopEnded: true}
}
