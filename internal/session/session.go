// Package session runs the scheduler during one term. It writes the batches of the scheduler's core to the
// log, sends the core's orders to workers and hosts, and passes their responses and the lists of workers and
// hosts to the core.
package session

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"turmericyoke/internal/boottime"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/journal"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/telemetry"
)

const (
	// idlePlanInterval is the interval at which the core plans without a wakeup, for example to release items
	// whose leases have lapsed.
	idlePlanInterval = 50 * time.Millisecond
	// batchPause is the pause after each append. Changes during it are written in one append. It grows by
	// batchPausePerUnit for each worker and unfinished job, up to maxBatchPause: planning may consider all of them, and
	// must leave most of the processor time to the calls to workers.
	batchPause        = 4 * time.Millisecond
	batchPausePerUnit = 10 * time.Microsecond
	maxBatchPause     = 20 * time.Millisecond
	// confirmationPause is the pause after an append that only confirms answers. Queries for unknown jobs thus cause 40
	// appends a second at most.
	confirmationPause = 25 * time.Millisecond
	// maxConfirmationAge is how long after its last confirmed append an idle term appends a confirmation
	// record, which proves that it isn't fenced. It is well below scheduler.LeaderLease.
	maxConfirmationAge = 500 * time.Millisecond
	// fenceCheckInterval is the interval at which a term checks whether a worker or host has seen a higher
	// fencing token.
	fenceCheckInterval = 50 * time.Millisecond
	// directoryPollInterval is the interval at which the list of workers is read.
	directoryPollInterval = 150 * time.Millisecond
	// maxHostOrderConfirmationAge is how long after its last confirmed append a term may still send orders to
	// hosts.
	maxHostOrderConfirmationAge = time.Second
	// maxHostOrderAge is how long after it was planned an order to a host may still be sent. It is below the margin of
	// scheduler.Options.HostOrderDelay.
	maxHostOrderAge = time.Second
	// hostPlanInterval is the pause between reads of the list of hosts, each of which is followed by the orders to hosts
	// that are then planned. After a read that takes long, the pause is hostPauseFactor times as long as the read, up to
	// maxHostPlanInterval: the list grows with the fleet, and the calls to workers share the link with it.
	hostPlanInterval    = 150 * time.Millisecond
	maxHostPlanInterval = time.Second
	hostPauseFactor     = 4
	// loadRetryPause is the pause after a failed read of the state at the start of a term.
	loadRetryPause = 100 * time.Millisecond
	// termKey is the key of confirmation records.
	termKey = "term"
)

// WaveStatus encodes the states of waves that are published to operators.
type WaveStatus interface {
	// Topic returns the topic of the log on which the states are published.
	Topic() string
	Record(wave int64, state infra.WaveState) infra.Record
}

// Config holds the dependencies and settings of sessions. It is shared by the sessions of all terms.
type Config struct {
	Log infra.Log
	// LogLimits are the limits of Log.
	LogLimits journal.Limits
	Workers   infra.Workers
	Hosts     infra.Hosts
	// NewDirectory returns a directory whose first Poll returns the whole list of workers.
	NewDirectory func() infra.Directory
	Status       WaveStatus
	// Advice is nil if there is no advice service.
	Advice    infra.AdviceService
	Options   scheduler.Options
	Clock     boottime.Clock
	WallClock func() time.Time
	Logger    *logrus.Entry
	Metrics   *scheduler.Metrics
	// JournalMetrics are those of the writer of the scheduler's state. They may be nil.
	JournalMetrics *journal.Metrics
	// ConfigureCore passes the newest configuration and waves to the core.
	ConfigureCore func(core *scheduler.Core)
	// AttachCore is called when the core has loaded its state and can serve requests, and DetachCore when the
	// term is over and the core must not be used any more.
	AttachCore func(core *scheduler.Core)
	DetachCore func()
	// Usage measures the stages of sessions. It may be nil.
	Usage *telemetry.Usage
}

// session is the state of the scheduler process during one term. Its core is used in this term only.
type session struct {
	Config
	term   int64
	core   *scheduler.Core
	writer *journal.Writer
	// statusWriter publishes the states of waves. Like writer, its first append of a term fences earlier terms: a state
	// that one of them sent may arrive late. publishing is set while an append of it is in progress.
	statusWriter *journal.Writer
	publishing   atomic.Bool
	startedAt    time.Duration
	stages       stages
	// endTerm ends the term because of an error.
	endTerm context.CancelCauseFunc
	// stops and paces hold the orders of these kinds that wait to be sent.
	stops, paces orderQueues

	// mu protects the fields below.
	mu sync.Mutex
	// renewalLoops holds the IDs of the workers for which renewLeases runs.
	renewalLoops map[string]bool
	// startWindows bound the starts in flight, by availability zone.
	startWindows map[string]*startWindow
	roundTrips   roundTrips
}

// Run runs the scheduler for the term until ctx ends or the term is fenced.
func Run(ctx context.Context, config Config, term int64) {
	logger := config.Logger.WithField("term", term)
	config.Options.Advice, config.Options.MaxRecordBytes = config.Advice != nil, config.LogLimits.Record
	s := &session{Config: config, term: term, renewalLoops: map[string]bool{}, startWindows: map[string]*startWindow{}, startedAt: config.Clock(),
		writer: journal.New(config.Log, scheduler.Topic, term, config.LogLimits, config.Clock, logger),
		core:   scheduler.New(term, config.Options, config.Clock, config.WallClock, logger, config.Metrics)}
	s.writer.Metrics = config.JournalMetrics
	if config.Status != nil {
		topic := config.Status.Topic()
		s.statusWriter = journal.New(config.Log, topic, term, config.LogLimits, config.Clock, logger.WithField("topic", topic))
	}
	s.Logger = logger
	s.stages = newStages(config.Usage)
	logger.WithField("event", "term_started").Info("this process is now the scheduler")
	ctx, s.endTerm = context.WithCancelCause(ctx)
	defer s.endTerm(nil)
	err := s.guarded(func() error { return s.run(ctx) })
	logger.WithField("event", "term_ended").WithError(err).Info("this process is no longer the scheduler")
}

// run loads the state and then runs the loops of the session until one of them fails or ctx ends.
func (s *session) run(ctx context.Context) error {
	if err := s.load(ctx); err != nil {
		return err
	}
	s.ConfigureCore(s.core)
	s.AttachCore(s.core)
	s.Logger.WithFields(logrus.Fields{"event": "term_open", "took_ms": (s.Clock() - s.startedAt).Milliseconds()}).Info("scheduler state loaded; requests are served")
	group, groupCtx := errgroup.WithContext(ctx)
	s.goGuarded(group, func() error {
		// The calls to workers that are in progress may take seconds more. Requests that come meanwhile would be
		// turned away by a core that is closed.
		<-groupCtx.Done()
		s.DetachCore()
		return groupCtx.Err()
	})
	s.goGuarded(group, func() error { return s.commitBatches(groupCtx) })
	s.goGuarded(group, func() error { return s.watchFence(groupCtx) })
	s.goGuarded(group, func() error { return s.followDirectory(groupCtx, group) })
	s.goGuarded(group, func() error { return s.manageHosts(groupCtx, group) })
	for range maxAdviceCalls {
		s.goGuarded(group, func() error { return s.requestAdvice(groupCtx) })
	}
	err := group.Wait()
	// After a panic nothing else closes the core.
	s.core.Abandon(&scheduler.Batch{})
	return err
}

// load fences earlier terms by an append, so that they can't change the state any more, and then reads it.
func (s *session) load(ctx context.Context) error {
	if rejected, err := s.writer.Append(ctx, s.confirmationRecords()); err != nil {
		return err
	} else if len(rejected) > 0 {
		return errUnconfirmable
	}
	s.core.EarlierTermsFenced()
	for {
		records, _, err := s.Log.LatestByKey(ctx, scheduler.Topic)
		if err == nil {
			s.core.LoadHostRecords(records)
			s.core.Load(records)
			return nil
		}
		s.Logger.WithField("event", "load_failed").WithError(err).Warn("can't read the scheduler state from the log; trying again")
		if err := periodic.Pause(ctx, loadRetryPause); err != nil {
			return err
		}
	}
}

// confirmationRecords returns the record that a term appends to confirm that it isn't fenced.
func (s *session) confirmationRecords() []infra.Record {
	return []infra.Record{{Key: termKey, Value: []byte(strconv.FormatInt(s.term, 10))}}
}

// errUnconfirmable ends a term whose first append the log never accepts: earlier terms may not be fenced.
var errUnconfirmable = errors.New("the log rejects the first record of the term")

// errFenced ends a term after a worker or host has refused a call because it had seen the token of a later
// term.
var errFenced = errors.New("fenced: a worker or host has seen a higher fencing token")

// watchFence ends the term once a higher fencing token was seen. Unlike commitBatches, it does so even while an
// append is in progress. It also tells the core how late its checks begin, and has it answer what waits behind an append
// that takes too long.
func (s *session) watchFence(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.core.Fenced() {
			return errFenced
		}
		checkedAt := s.Clock()
		_ = periodic.Pause(ctx, fenceCheckInterval)
		s.core.ObserveDelay(s.Clock() - checkedAt - fenceCheckInterval)
		s.core.ExpireWaitingRequests()
	}
	return ctx.Err()
}

// commitBatches collects batches from the core, sends their orders, appends their records to the log, reports the durable
// batches to the core, and sends their starts.
func (s *session) commitBatches(ctx context.Context) error {
	timer := time.NewTimer(idlePlanInterval)
	defer timer.Stop()
	for {
		timer.Reset(idlePlanInterval)
		select {
		case <-ctx.Done():
			s.core.Abandon(&scheduler.Batch{})
			return ctx.Err()
		case <-s.core.Wakeups():
		case <-timer.C:
		}
		if s.core.Fenced() {
			s.core.Abandon(&scheduler.Batch{})
			return errFenced
		}
		batch := s.collect()
		confirmsOnly := len(batch.Records) == 0 && (s.core.AwaitsConfirmation() || s.Clock()-s.writer.ConfirmedAt() > maxConfirmationAge)
		if confirmsOnly {
			batch.Records = s.confirmationRecords()
			s.core.AppendStarted()
		}
		s.sendOrders(ctx, batch.Orders)
		var rejected []infra.Record
		err := s.guarded(func() (err error) {
			rejected, err = s.writer.Append(ctx, batch.Records)
			return err
		})
		if err != nil {
			s.core.Abandon(&batch)
			return err
		}
		committedAt := time.Now()
		starts := s.core.Committed(&batch, rejected...)
		s.stages.commit.Since(committedAt)
		s.sendOrders(ctx, starts)
		switch {
		case confirmsOnly:
			_ = periodic.Pause(ctx, confirmationPause)
		case len(batch.Records) > 0:
			_ = periodic.Pause(ctx, pauseAfterBatch(s.core.Size()))
		}
	}
}

// pauseAfterBatch returns the pause after an append of a core of the given size.
func pauseAfterBatch(size int) time.Duration {
	return min(maxBatchPause, batchPause+time.Duration(size)*batchPausePerUnit)
}

// sendOrders sends the orders without waiting for their results.
func (s *session) sendOrders(ctx context.Context, orders []scheduler.Order) {
	for i := range orders {
		order := &orders[i]
		switch order.Kind {
		case scheduler.OrderStart:
			s.queueStart(ctx, &startCall{order: order})
		case scheduler.OrderStop:
			s.stops.add(order, func() { s.endTermOnPanic(func() { s.sendStop(ctx, order) }) })
		case scheduler.OrderPace:
			s.paces.add(order, func() { s.endTermOnPanic(func() { s.sendPace(ctx, order) }) })
		}
	}
}

// sendPace sets the pace of a run once.
func (s *session) sendPace(ctx context.Context, order *scheduler.Order) {
	if ctx.Err() != nil || !s.mayAct() {
		return
	}
	if _, err := s.Workers.SetPace(s.limited(ctx), order.Worker, order.Item, order.Run, order.Percent, s.term); err != nil {
		s.Logger.WithFields(logrus.Fields{"event": "pace_failed", "item": order.Item.String(), "worker": order.Worker.ID}).WithError(err).Info("can't set the pace of a work item; the worker's next report may change the pace again")
	}
}

// followDirectory passes changes of the list of workers to the core and starts a renewal loop for each worker.
func (s *session) followDirectory(ctx context.Context, group *errgroup.Group) error {
	directory := s.NewDirectory()
	failures := 0
	for ctx.Err() == nil {
		requestedAt := s.Clock()
		update, err := directory.Poll(ctx)
		if err != nil {
			if failures++; failures == 1 {
				s.Logger.WithField("event", "directory_lost").WithError(err).Warn("can't read the list of workers; trying again")
			}
		} else {
			if failures > 0 {
				s.Logger.WithFields(logrus.Fields{"event": "directory_regained", "failures": failures}).Info("list of workers can be read again")
			}
			failures = 0
			updatedAt := time.Now()
			s.core.UpdateWorkers(update)
			s.stages.workers.Since(updatedAt)
			s.core.WorkersListed(requestedAt)
			for _, id := range s.core.WorkerIDs() {
				s.startRenewalLoop(ctx, group, id)
			}
		}
		_ = periodic.Pause(ctx, directoryPollInterval)
	}
	return ctx.Err()
}

// startRenewalLoop starts the renewal loop of a worker unless it is already running.
func (s *session) startRenewalLoop(ctx context.Context, group *errgroup.Group, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.renewalLoops[id] {
		return
	}
	s.renewalLoops[id] = true
	s.goGuarded(group, func() error {
		s.renewLeases(ctx, id)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.renewalLoops, id)
		return nil
	})
}

// renewLeases is the renewal loop of a worker: it sends lease renewals until the core needs no more of them. The
// worker responds to each with a report of its runs.
func (s *session) renewLeases(ctx context.Context, id string) {
	for ctx.Err() == nil {
		plannedAt := time.Now()
		plan := s.core.NextRenewal(id)
		s.stages.renewal.Since(plannedAt)
		if plan.Ended {
			return
		}
		if periodic.Wait(ctx, plan.Pause, plan.Wake) != nil || plan.Worker.Address == "" {
			continue
		}
		sentAt := s.Clock()
		request := s.core.BuildRenewal(id, s.writer.ConfirmedAt())
		callCtx := ctx
		if request.LeaseEndMs > 0 {
			callCtx = s.limited(ctx)
		}
		report, err := s.Workers.RenewLease(callCtx, plan.Worker, request)
		if err != nil {
			s.core.RenewalFailed(id, err)
			continue
		}
		reportedAt := time.Now()
		s.core.ApplyReport(id, report, sentAt)
		s.stages.report.Since(reportedAt)
	}
}

// mayOrderHosts reports whether the last confirmed append is recent enough for orders to hosts.
func (s *session) mayOrderHosts() bool {
	return s.Clock()-s.writer.ConfirmedAt() <= maxHostOrderConfirmationAge
}

// errHostOrderLate is the outcome of an order to a host that isn't sent since it wasn't recorded in time.
var errHostOrderLate = &infra.Error{Kind: infra.Refused, Op: "order", Detail: "the order wasn't recorded in time, and wasn't sent"}

// orderHost sends one order to a host once it is recorded, unless the order or the last confirmed append of the term is too
// old by then: a later term may have started. The later term waits before its own first order to that host, counted from
// the time in the record, so that the two terms don't alternate as the host's controller.
func (s *session) orderHost(ctx context.Context, order scheduler.HostOrder, plannedAt time.Duration) error {
	if s.awaitHostOrderRecord(ctx, order.Host) != nil || s.Clock()-plannedAt > maxHostOrderAge {
		return errHostOrderLate
	}
	if !s.mayOrderHosts() {
		return errTermUnconfirmed
	}
	if order.Pool != "" {
		return s.Hosts.Move(ctx, order.Host, order.Pool, s.term)
	}
	return s.Hosts.StartMaintenance(ctx, order.Host, order.Wave, s.term)
}

// awaitHostOrderRecord waits until the last order to the host is recorded.
func (s *session) awaitHostOrderRecord(ctx context.Context, host string) error {
	for {
		recorded, changed := s.core.HostOrderRecorded(host)
		if recorded {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// manageHosts carries out maintenance waves and moves hosts between pools, every hostPlanInterval or less often.
func (s *session) manageHosts(ctx context.Context, group *errgroup.Group) error {
	for ctx.Err() == nil {
		readTime := s.manageHostsOnce(ctx, group)
		_ = periodic.Pause(ctx, min(max(hostPlanInterval, hostPauseFactor*readTime), maxHostPlanInterval))
	}
	return ctx.Err()
}

// manageHostsOnce reads the list of hosts, sends the orders that the core plans, and publishes changes of
// waves. While orders can't be sent it plans none, since hosts get no work from the time at which an order is planned.
// It returns how long the read took.
func (s *session) manageHostsOnce(ctx context.Context, group *errgroup.Group) (readTime time.Duration) {
	requestedAt := s.Clock()
	hosts, err := s.Hosts.List(ctx)
	readTime = s.Clock() - requestedAt
	if err != nil {
		s.Logger.WithField("event", "hosts_unlisted").WithError(err).Warn("can't read the list of hosts; maintenance waves and host moves wait until it can be read")
		return readTime
	}
	plannedAt := s.Clock()
	orders, waveChanges := s.planHosts(hosts, requestedAt)
	for _, order := range orders {
		s.goGuarded(group, func() error {
			s.core.ApplyHostOrderResult(order, s.orderHost(ctx, order, plannedAt))
			return nil
		})
	}
	s.publishWaves(ctx, group, waveChanges)
	return readTime
}

// publishWaves publishes changes of waves in one append, without waiting for it. While an append is in progress it does
// nothing: the core plans the changes again. A refused append ends the term.
func (s *session) publishWaves(ctx context.Context, group *errgroup.Group, changes []scheduler.WaveStateChange) {
	if len(changes) == 0 || !s.publishing.CompareAndSwap(false, true) {
		return
	}
	s.goGuarded(group, func() error {
		defer s.publishing.Store(false)
		var records []infra.Record
		for _, change := range changes {
			records = append(records, s.Status.Record(change.Wave, change.State))
		}
		// States that the log never accepts aren't published again.
		if _, err := s.statusWriter.Append(ctx, records); err != nil {
			return err
		}
		for _, change := range changes {
			s.core.WaveStatePublished(change)
		}
		return nil
	})
}

// planHosts passes the list of hosts that was requested at the given time to the core, and returns the orders and the
// changes of waves that it plans.
func (s *session) planHosts(hosts []infra.Host, requestedAt time.Duration) ([]scheduler.HostOrder, []scheduler.WaveStateChange) {
	defer s.stages.hosts.Since(time.Now())
	s.core.SetHosts(hosts, requestedAt)
	if !s.mayOrderHosts() {
		s.core.ObserveLoads()
		return nil, nil
	}
	return s.core.PlanHosts()
}
