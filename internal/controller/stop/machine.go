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

// repeatAfter is how long a reboot or an assignment has to show before it is asked for again. A
// platform that is slow to begin would otherwise get the call twice.
const repeatAfter = 30 * time.Second

// probeInterval is how often the controller that is ranked first asks a host that is stopped. The
// others ask once in the time that they wait before they act, so that the hosts aren't probed by all.
const probeInterval = 2 * time.Second

// parallelCalls bounds the hosts that one loop handles at a time; a pass over 100 stopped hosts
// with calls that time out then takes 4 rounds of calls.
const parallelCalls = 32

// Machine carries hosts through their stops. It is safe for use by one loop.
type Machine struct {
	deps *fleet.Deps
	seen map[string]*progress
}

// progress is what the machine remembers about one stop. Losing it costs time only.
type progress struct {
	epoch     uint64
	phase     inventory.Phase
	since     time.Time
	wanted    Action
	wantedAt  time.Time
	calledAt  time.Time
	nextProbe time.Time
	healthy   int
	detail    string
	answered  bool
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
	return &Machine{deps: deps, seen: map[string]*progress{}}
}

// Pass takes each host one step further and returns where the stops stand, in the same order.
// Hosts that aren't in the list any more are forgotten.
func (m *Machine) Pass(ctx context.Context, hosts []inventory.Host) []Report {
	m.forget(hosts)
	reports := make([]Report, len(hosts))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)
	for i, host := range hosts {
		group.Go(func() error {
			reports[i] = m.step(groupCtx, host)
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

func (m *Machine) forget(hosts []inventory.Host) {
	kept := make(map[string]*progress, len(hosts))
	for _, host := range hosts {
		p := m.seen[host.Name]
		if p == nil || p.epoch != host.Epoch || p.phase != host.Phase {
			now := m.deps.Clock()
			p = &progress{epoch: host.Epoch, phase: host.Phase, since: now, wantedAt: now}
		}
		kept[host.Name] = p
	}
	m.seen = kept
}

func (m *Machine) step(ctx context.Context, host inventory.Host) Report {
	p := m.seen[host.Name]
	now := m.deps.Clock()
	delay, ranked := m.deps.TakeoverDelay(fleet.PoolSubject(host.Pool))
	if ranked && !now.Before(p.nextProbe) {
		p.nextProbe = now.Add(max(probeInterval, delay) - probeInterval/2)
		m.advance(ctx, host, p, delay)
	}
	return Report{Host: host, Age: now.Sub(p.since), Detail: p.detail, Down: !p.answered}
}

// advance probes the host and acts when the same step has been due for the delay of the rank.
func (m *Machine) advance(ctx context.Context, host inventory.Host, p *progress, delay time.Duration) {
	seen := m.probe(ctx, host)
	p.answered = seen.Host.GetHealthy()
	action, detail := Next(host, seen)
	p.detail = detail
	now := m.deps.Clock()
	if action != p.wanted {
		p.wanted, p.wantedAt = action, now
	}
	if action == ActionWait || now.Sub(p.wantedAt) < delay || !m.settled(host, p, action) {
		return
	}
	m.act(ctx, host, p, action)
}

// stableProbes is the number of healthy answers in a row after which a failure counts as over. A
// host that flaps would otherwise get work each time that it answers.
const stableProbes = 3

// settled reports whether the action may be taken now.
func (m *Machine) settled(host inventory.Host, p *progress, action Action) bool {
	p.healthy++
	if !p.answered {
		p.healthy = 0
	}
	ends := action == ActionUndrain || action == ActionReturn
	if host.Phase == inventory.PhaseFailed && ends && p.healthy < stableProbes {
		return false
	}
	if action == ActionReboot || action == ActionAssign {
		return p.calledAt.IsZero() || m.deps.Clock().Sub(p.calledAt) >= repeatAfter
	}
	return true
}

// act takes one action. A call whose answer is lost is judged by the next probe.
func (m *Machine) act(ctx context.Context, host inventory.Host, p *progress, action Action) {
	if !m.current(host) {
		return
	}
	switch action {
	case ActionDrain:
		m.call(ctx, host, fleet.StopEpoch(host.Epoch), m.deps.Platform.Drain)
	case ActionReboot:
		p.calledAt = m.deps.Clock()
		m.call(ctx, host, fleet.StopEpoch(host.Epoch), m.deps.Platform.Reboot)
	case ActionAssign:
		p.calledAt = m.deps.Clock()
		m.assign(ctx, host)
	case ActionUndrain:
		answer := m.call(ctx, host, fleet.UndrainEpoch(host.Epoch), m.deps.Platform.Undrain)
		if answer.GetHealthy() && !answer.GetDraining() {
			m.giveBack(ctx, host)
		}
	case ActionReturn:
		m.giveBack(ctx, host)
	}
}

// current reports whether the newest state still has the host in the phase and epoch of the plan.
func (m *Machine) current(host inventory.Host) bool {
	same := false
	m.deps.Reader.Read(func(view fleet.View) {
		now, known := view.Inventory.Host(host.Name)
		same = known && now.Epoch == host.Epoch && now.Phase == host.Phase
	})
	return same
}

func (m *Machine) giveBack(ctx context.Context, host inventory.Host) {
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

func (m *Machine) call(ctx context.Context, host inventory.Host, epoch uint64, call hostCall) *v1.HostResponse {
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
func (m *Machine) probe(ctx context.Context, host inventory.Host) Answer {
	ctx, cancel := context.WithTimeout(ctx, fleet.CallTimeout)
	defer cancel()
	request := &v1.HostRequest{Host: host.Name, HostEpoch: fleet.StopEpoch(host.Epoch)}
	answer, err := m.deps.Platform.Probe(ctx, request)
	if err == nil {
		return Answer{Host: answer}
	}
	if connect.CodeOf(err) != fault.ResponseFor(fault.HostEpochStale).ConnectCode {
		return Answer{}
	}
	request.HostEpoch = fleet.UndrainEpoch(host.Epoch)
	answer, err = m.deps.Platform.Probe(ctx, request)
	if err != nil {
		return Answer{}
	}
	return Answer{Host: answer, Ended: true}
}
