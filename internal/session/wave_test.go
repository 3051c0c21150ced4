package session

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/infra/infratest"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

const (
	testStatusTopic = "status"
	// unansweredCallLimit is the time limit of calls without a response.
	unansweredCallLimit = 1200 * time.Millisecond
)

// testWaveStatus publishes the states of waves under their numbers.
type testWaveStatus struct{}

func (testWaveStatus) Topic() string { return testStatusTopic }

func (testWaveStatus) Record(wave int64, state infra.WaveState) infra.Record {
	return infra.Record{Key: strconv.FormatInt(wave, 10), Value: []byte(state)}
}

// standbyHosts are hosts in standby, which need not be drained, and the workers and the list of workers of a fleet without
// workers. They count the orders for their maintenance.
type standbyHosts struct {
	slowStarts
	names []string
	// unanswered is the token of the orders that get no response and aren't carried out; 0 if there are none. ordered is
	// called at each other order; nil if nothing follows them.
	unanswered int64
	ordered    func()

	hostsMu sync.Mutex
	orders  []maintenanceOrder
	// downUntil is until when hosts are down.
	downUntil map[string]time.Time
}

// upkeepTime is how long hosts are down for maintenance.
const upkeepTime = 2 * time.Second

// maintenanceOrder is an order that a host got.
type maintenanceOrder struct {
	host  string
	token int64
	at    time.Time
}

func (*standbyHosts) Poll(context.Context) (infra.WorkerUpdate, error) {
	return infra.WorkerUpdate{Full: true}, nil
}

func (h *standbyHosts) List(context.Context) ([]infra.Host, error) {
	h.hostsMu.Lock()
	defer h.hostsMu.Unlock()
	var hosts []infra.Host
	for _, name := range h.names {
		host := infra.Host{ID: name, Pool: "rest", State: infra.HostUp, Capacity: work.Resources{CPUMilli: 8000}}
		if time.Now().Before(h.downUntil[name]) {
			host.State = infra.HostMaintenance
		}
		hosts = append(hosts, host)
	}
	return hosts, nil
}

func (*standbyHosts) Move(context.Context, string, string, int64) error {
	return &infra.Error{Kind: infra.Busy, Op: "move"}
}

func (h *standbyHosts) StartMaintenance(_ context.Context, host string, _ int64, token int64) error {
	h.hostsMu.Lock()
	h.orders = append(h.orders, maintenanceOrder{host, token, time.Now()})
	h.hostsMu.Unlock()
	if token == h.unanswered {
		time.Sleep(unansweredCallLimit)
		return &infra.Error{Kind: infra.Unknown, Op: "upkeep"}
	}
	if h.ordered != nil {
		h.ordered()
	}
	h.hostsMu.Lock()
	defer h.hostsMu.Unlock()
	if h.downUntil == nil {
		h.downUntil = map[string]time.Time{}
	}
	h.downUntil[host] = time.Now().Add(upkeepTime)
	return nil
}

// newWaveConfig returns a configuration of sessions in which operators have requested a wave of all hosts, one at a time.
func newWaveConfig(log infra.Log, hosts *standbyHosts, begin time.Time) Config {
	config := newTestConfig(hosts, begin)
	config.Log, config.Hosts, config.Status = log, hosts, testWaveStatus{}
	config.Options.HostOrderDelay = 4500 * time.Millisecond
	config.ConfigureCore = func(core *scheduler.Core) {
		core.SetConfig(&work.Config{Version: 1, Pools: map[string]work.Pool{"p": {Name: "p"}, "rest": {Name: "rest", Standby: true}}})
		core.SetWaves([]infra.Wave{{ID: 1, Hosts: hosts.names, MaxDown: 1, TimeLimit: time.Minute}})
	}
	return config
}

// runTerm runs a term for the given time.
func runTerm(t *testing.T, config Config, term int64, duration time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	Run(ctx, config, term)
}

// publishedStates returns the states of waves that were published, in order.
func publishedStates(t *testing.T, log *infratest.Log) []string {
	page, err := log.Read(context.Background(), testStatusTopic, 0, 0)
	assert.NilError(t, err)
	var states []string
	for _, record := range page.Records {
		states = append(states, string(record.Value))
	}
	return states
}

// lateLog is a log that carries out the first append of a wave's state late, and never responds to it.
type lateLog struct {
	infratest.Log
	delay time.Duration
	late  atomic.Bool
}

func (l *lateLog) Append(ctx context.Context, topic string, records []infra.Record, options infra.AppendOptions) (int64, error) {
	if topic != testStatusTopic || !l.late.CompareAndSwap(false, true) {
		return l.Log.Append(ctx, topic, records, options)
	}
	time.AfterFunc(l.delay, func() { _, _ = l.Log.Append(context.Background(), topic, records, options) })
	time.Sleep(unansweredCallLimit)
	return 0, &infra.Error{Kind: infra.Unknown, Op: "append"}
}

// Guards against a wave that operators see as running for ever after it has completed: the state that the killed leader
// sent arrives after that of its successor.
func TestLateWaveStateDoesNotReplaceThatOfTheNextTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &lateLog{delay: 6 * time.Second}
		config := newWaveConfig(log, &standbyHosts{names: []string{"host-0"}}, time.Now())
		runTerm(t, config, 1, time.Second)
		runTerm(t, config, 2, 9*time.Second)
		states := publishedStates(t, &log.Log)
		assert.Equal(t, states[len(states)-1], string(infra.WaveCompleted), "published: %v", states)
	})
}

// cutOffLog is the log as seen by a leader that is cut off from it, but for the states of waves.
type cutOffLog struct {
	*infratest.Log
	cutOff atomic.Bool
}

func (l *cutOffLog) Append(ctx context.Context, topic string, records []infra.Record, options infra.AppendOptions) (int64, error) {
	if l.cutOff.Load() && topic == scheduler.Topic {
		time.Sleep(unansweredCallLimit)
		return 0, &infra.Error{Kind: infra.Unknown, Op: "append"}
	}
	return l.Log.Append(ctx, topic, records, options)
}

// Guards against a term that goes on after the log has refused its state of a wave because of a later term.
func TestRefusedWaveStateEndsTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &infratest.Log{}
		own := &cutOffLog{Log: log}
		hosts := &standbyHosts{names: []string{"host-0"}}
		config := newWaveConfig(own, hosts, time.Now())
		config.AttachCore = func(*scheduler.Core) {
			own.cutOff.Store(true)
			// The first state that the next term publishes.
			options := infra.AppendOptions{Writer: "scheduler", Epoch: 2}
			_, err := log.Append(t.Context(), testStatusTopic, []infra.Record{{Key: "1", Value: []byte(infra.WaveCompleted)}}, options)
			assert.NilError(t, err)
		}
		begin := time.Now()
		runTerm(t, config, 1, 10*time.Second)
		endedAfter := time.Since(begin)
		time.Sleep(unansweredCallLimit)
		assert.DeepEqual(t, publishedStates(t, log), []string{string(infra.WaveCompleted)})
		assert.Assert(t, endedAfter < 2*unansweredCallLimit, "the term ended only after %s", endedAfter)
	})
}

// Guards against two leaders that order the same host within the time in which the platform regards the first one as its
// controller: the first one was cut off from the log, which has no record of its order.
func TestNextTermKnowsOfAllHostOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &infratest.Log{}
		own := &cutOffLog{Log: log}
		hosts := &standbyHosts{names: []string{"host-0"}, unanswered: 1}
		config := newWaveConfig(own, hosts, time.Now())
		config.AttachCore = func(*scheduler.Core) { own.cutOff.Store(true) }
		runTerm(t, config, 1, 900*time.Millisecond)
		config.Log, config.AttachCore = log, func(*scheduler.Core) {}
		runTerm(t, config, 2, 10*time.Second)
		orders := hosts.orders
		assert.Assert(t, len(orders) > 0 && orders[len(orders)-1].token == 2, "the next term gave no order")
		for n := 1; n < len(orders); n++ {
			gap := orders[n].at.Sub(orders[n-1].at)
			assert.Assert(t, orders[n].token == orders[n-1].token || gap >= config.Options.HostOrderDelay, "term %d orders the host %s after term %d", orders[n].token, gap, orders[n-1].token)
		}
	})
}

// Guards against a wave that operators see as completed and then as running again: the leader that had completed it was cut
// off from the log, which has no record of that.
func TestCompletedWaveStaysCompletedInTheNextTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &infratest.Log{}
		own := &cutOffLog{Log: log}
		hosts := &standbyHosts{names: []string{"host-0"}, ordered: func() { own.cutOff.Store(true) }}
		config := newWaveConfig(own, hosts, time.Now())
		runTerm(t, config, 1, 900*time.Millisecond)
		assert.Equal(t, len(hosts.orders), 1)
		config.Log = log
		runTerm(t, config, 2, 10*time.Second)
		states := publishedStates(t, log)
		completed := slices.Index(states, string(infra.WaveCompleted))
		assert.Assert(t, completed >= 0, "the wave wasn't completed: %v", states)
		for _, state := range states[completed:] {
			assert.Equal(t, state, string(infra.WaveCompleted), "published: %v", states)
		}
	})
}
