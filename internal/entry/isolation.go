package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"turmericyoke/internal/boottime"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
)

const (
	// probeDelay is how long the log and the group may be silent before other processes are probed. The group is joined
	// every 300 ms and responds within a few milliseconds.
	probeDelay = 350 * time.Millisecond
	// isolationProbeTimeout is the time limit of a probe, as in package peer. Processes answer probes within a few
	// milliseconds, without the log.
	isolationProbeTimeout = 250 * time.Millisecond
	// isolationTime is how long nobody may have responded before the process counts as isolated: two joins, and the
	// probes that were sent in the meantime, have had no response by then.
	isolationTime = probeDelay + isolationProbeTimeout
	// maxProbeDelay is how much longer than isolationProbeTimeout the probes may take that count. A process that is
	// behind or was suspended may reach their time limit although the answers have arrived.
	maxProbeDelay = 100 * time.Millisecond
	// probeInterval is the time between the starts of probes while nobody responds. The process becomes ready again after
	// at most that time.
	probeInterval = 300 * time.Millisecond
	// maxProbedPeers is the number of processes that are probed at the same time besides the scheduler, so that a few that
	// are stopping or down don't matter.
	maxProbedPeers = 4
)

// Isolation tells whether this process is cut off from the log, the group and the other availability zones, as all
// processes of a partitioned zone are. The calls to the log and the group show that they can be reached; other processes
// are probed only while both are silent.
type Isolation struct {
	Self     infra.Member
	Election Election
	// Reachable reports whether the process responds before ctx ends.
	Reachable func(ctx context.Context, member infra.Member) bool
	Clock     boottime.Clock
	Logger    *logrus.Entry
	// Metrics may be nil.
	Metrics *IsolationMetrics

	mu sync.Mutex
	// contactAt is when the log, the group or a process of another zone last responded.
	contactAt time.Duration
	isolated  bool
}

// IsolationMetrics holds the metrics of an Isolation.
type IsolationMetrics struct {
	isolated   prometheus.Gauge
	isolations prometheus.Counter
	probes     *prometheus.CounterVec
}

// NewIsolationMetrics creates the metrics and registers them.
func NewIsolationMetrics(registry prometheus.Registerer) *IsolationMetrics {
	m := &IsolationMetrics{
		isolated:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "entry_isolated", Help: "1 while this process reaches neither the log, the group nor another availability zone, and reports that it isn't ready."}),
		isolations: prometheus.NewCounter(prometheus.CounterOpts{Name: "entry_isolations_total", Help: "How often this process has become isolated."}),
		probes:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "entry_isolation_probes_total", Help: "Rounds of probes of processes in other availability zones, by outcome."}, []string{"outcome"}),
	}
	registry.MustRegister(m.isolated, m.isolations, m.probes)
	return m
}

// Isolated reports whether the process is isolated. It is false for a nil Isolation.
func (i *Isolation) Isolated() bool {
	if i == nil {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.isolated
}

// Run probes other processes while the log and the group are silent, until ctx ends.
func (i *Isolation) Run(ctx context.Context) error {
	i.noteContact("start")
	for ctx.Err() == nil {
		if wait := probeDelay - i.silence(); wait > 0 {
			_ = periodic.Pause(ctx, wait)
			continue
		}
		startedAt := i.Clock()
		targets := i.targets()
		answered := i.probe(ctx, targets)
		if ctx.Err() == nil {
			i.noteProbes(len(targets), answered, i.Clock()-startedAt)
		}
		_ = periodic.Pause(ctx, probeInterval-(i.Clock()-startedAt))
	}
	return ctx.Err()
}

// targets returns the scheduling process and up to maxProbedPeers others, chosen at random, of other availability zones.
// Processes in the zone of this one may be cut off together with it.
func (i *Isolation) targets() []infra.Member {
	var targets, others []infra.Member
	claim := i.Election.Current()
	if claim.Term > 0 && !claim.Resigned && claim.Holder.Zone != i.Self.Zone {
		targets = append(targets, claim.Holder)
	}
	for _, member := range i.Election.Peers() {
		if member.Zone != i.Self.Zone && (len(targets) == 0 || member.Name != claim.Holder.Name) {
			others = append(others, member)
		}
	}
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	return append(targets, others[:min(len(others), maxProbedPeers)]...)
}

// probe probes the processes in parallel, and reports whether any responds. The other probes aren't cancelled: the client
// would take a cancelled call for one without a response.
func (i *Isolation) probe(ctx context.Context, targets []infra.Member) bool {
	results := make(chan bool, len(targets))
	for _, member := range targets {
		go func() {
			probeCtx, cancel := context.WithTimeout(ctx, isolationProbeTimeout)
			defer cancel()
			results <- i.Reachable(probeCtx, member)
		}()
	}
	for range targets {
		if <-results {
			return true
		}
	}
	return false
}

// noteProbes records the outcome of probes that took the given time.
func (i *Isolation) noteProbes(probed int, answered bool, took time.Duration) {
	late := took > isolationProbeTimeout+maxProbeDelay
	outcome := "none"
	switch {
	case answered:
		outcome = "answered"
	case probed == 0:
		outcome = "no_target"
	case late:
		outcome = "late"
	}
	if i.Metrics != nil {
		i.Metrics.probes.WithLabelValues(outcome).Inc()
	}
	if answered {
		i.noteContact("probe")
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	silence := i.Clock() - i.contactAt
	if i.isolated || probed == 0 || late || silence < isolationTime {
		return
	}
	i.isolated = true
	if i.Metrics != nil {
		i.Metrics.isolated.Set(1)
		i.Metrics.isolations.Inc()
	}
	i.Logger.WithFields(logrus.Fields{"event": "isolated", "silent_ms": silence.Milliseconds(), "probed": probed}).Warn("neither the log, the group nor a process of another zone responds; this process reports that it isn't ready")
}

// noteContact notes that the log, the group or a process of another zone has responded. by names the call.
func (i *Isolation) noteContact(by string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.Clock()
	if i.isolated {
		i.isolated = false
		if i.Metrics != nil {
			i.Metrics.isolated.Set(0)
		}
		i.Logger.WithFields(logrus.Fields{"event": "isolation_ended", "by": by, "silent_ms": (now - i.contactAt).Milliseconds()}).Info("this process is no longer isolated, and reports that it is ready")
	}
	i.contactAt = now
}

// silence returns the time since the last contact.
func (i *Isolation) silence() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.Clock() - i.contactAt
}

// noteCall notes the outcome of a call to the log or the group. A refused call may not have reached it.
func (i *Isolation) noteCall(err error) {
	switch infra.KindOf(err) {
	case infra.Unknown, infra.Refused, infra.RelayFailed:
	default:
		i.noteContact("store")
	}
}

// ObserveLog returns the log, with its responses noted. A nil Isolation returns it unchanged.
func (i *Isolation) ObserveLog(log infra.Log) infra.Log {
	if i == nil {
		return log
	}
	return observedLog{log, i}
}

// ObserveGroup returns the group, with its responses noted. A nil Isolation returns it unchanged.
func (i *Isolation) ObserveGroup(group infra.Group) infra.Group {
	if i == nil {
		return group
	}
	return observedGroup{group, i}
}

// observedLog notes the responses of a log.
type observedLog struct {
	infra.Log
	isolation *Isolation
}

// LatestByKey implements infra.Log.
func (l observedLog) LatestByKey(ctx context.Context, topic string) ([]infra.Record, int64, error) {
	records, end, err := l.Log.LatestByKey(ctx, topic)
	l.isolation.noteCall(err)
	return records, end, err
}

// Read implements infra.Log.
func (l observedLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (infra.Page, error) {
	page, err := l.Log.Read(ctx, topic, from, wait)
	l.isolation.noteCall(err)
	return page, err
}

// Append implements infra.Log.
func (l observedLog) Append(ctx context.Context, topic string, records []infra.Record, options infra.AppendOptions) (int64, error) {
	offset, err := l.Log.Append(ctx, topic, records, options)
	l.isolation.noteCall(err)
	return offset, err
}

// observedGroup notes the responses of a group.
type observedGroup struct {
	infra.Group
	isolation *Isolation
}

// Join implements infra.Group.
func (g observedGroup) Join(ctx context.Context, self infra.Member, leads bool, ttl time.Duration) error {
	err := g.Group.Join(ctx, self, leads, ttl)
	g.isolation.noteCall(err)
	return err
}

// Members implements infra.Group.
func (g observedGroup) Members(ctx context.Context) ([]infra.Member, error) {
	members, err := g.Group.Members(ctx)
	g.isolation.noteCall(err)
	return members, err
}
