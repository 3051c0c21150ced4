// Package session runs the scheduler for one term: it makes the core's batches durable, sends its
// orders, and tells it what workers, hosts and operators say.
package session

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"turmericyoke/internal/boottime"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/journal"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/scheduler"
)

const (
	// idleTick is how often the core plans when nothing happens: it gives up lapsed leases then.
	idleTick = 50 * time.Millisecond
	// batchPause is the least time between two batches; what comes in it shares an append.
	batchPause = 4 * time.Millisecond
	// confirmInterval is how often a term without anything to write confirms that it isn't fenced. It
	// is well below scheduler.SelfLease.
	confirmInterval = 500 * time.Millisecond
	// fenceInterval is how often a term looks whether a higher token was seen.
	fenceInterval = 50 * time.Millisecond
	// directoryInterval is how often the list of workers is read.
	directoryInterval = 150 * time.Millisecond
	// hostOrderConfirmed is how old the term's last confirmation may be for an order to a host.
	hostOrderConfirmed = time.Second
	// hostsInterval is how often hosts are planned; their list is read as often.
	hostsInterval = 150 * time.Millisecond
	// loadRetry is the pause after a failed read at the start of a term.
	loadRetry = 100 * time.Millisecond
	// startTries is how often a start is sent that has no answer; after that the run is stopped.
	startTries = 3
	// startRetryPause is the pause before a start whose connection was refused is sent again.
	startRetryPause = 40 * time.Millisecond
	// termKey is the key under which a term writes when it has nothing else to write.
	termKey = "term"
)

// WaveStatus tells operators how far waves are.
type WaveStatus interface {
	PutWave(ctx context.Context, wave int64, state infra.WaveState) error
}

// Config is what sessions need. Each session has a core of its own.
type Config struct {
	Log          infra.Log
	Workers      infra.Workers
	Hosts        infra.Hosts
	NewDirectory func() infra.Directory
	Status       WaveStatus
	// Advice is nil where there is no advice service.
	Advice    infra.Advice
	Options   scheduler.Options
	Clock     boottime.Clock
	WallClock func() time.Time
	Logger    *logrus.Entry
	Metrics   *scheduler.Metrics
	// Prepare gives the core the newest configuration and waves.
	Prepare func(core *scheduler.Core)
	// OnOpened is called once the core may be asked, and Closed when it may not any more.
	OnOpened func(core *scheduler.Core)
	OnClosed func()
}

// session is one term.
type session struct {
	Config
	term    int64
	core    *scheduler.Core
	writer  *journal.Writer
	started time.Duration

	mu    sync.Mutex
	links map[string]bool
}

// Run schedules for the term until ctx ends, or the term is fenced.
func Run(ctx context.Context, config Config, term int64) {
	logger := config.Logger.WithField("term", term)
	s := &session{Config: config, term: term, links: map[string]bool{}, started: config.Clock(),
		writer: journal.New(config.Log, scheduler.Topic, term, config.Clock, logger),
		core:   scheduler.New(term, config.Options, config.Clock, config.WallClock, logger, config.Metrics)}
	s.Logger = logger
	logger.WithField("event", "term_started").Info("this process schedules")
	err := s.run(ctx)
	s.OnClosed()
	logger.WithField("event", "term_ended").WithError(err).Info("this process doesn't schedule any more")
}

func (s *session) run(ctx context.Context) error {
	if err := s.load(ctx); err != nil {
		return err
	}
	s.Prepare(s.core)
	s.OnOpened(s.core)
	s.Logger.WithFields(logrus.Fields{"event": "term_open", "took_ms": (s.Clock() - s.started).Milliseconds()}).Info("state is loaded")
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error { return s.commit(inner) })
	group.Go(func() error { return s.watchFence(inner) })
	group.Go(func() error { return s.followWorkers(inner, group) })
	group.Go(func() error { return s.tendHosts(inner, group) })
	return group.Wait()
}

// load fences earlier terms and then reads what they left.
func (s *session) load(ctx context.Context) error {
	if err := s.writer.Append(ctx, s.confirmation()); err != nil {
		return err
	}
	for {
		records, _, err := s.Log.Newest(ctx, scheduler.Topic)
		if err == nil {
			s.core.Load(records)
			s.core.LoadHostRecords(records)
			return nil
		}
		s.Logger.WithField("event", "load_failed").WithError(err).Warn("jobs can't be read; trying again")
		if err := periodic.Pause(ctx, loadRetry); err != nil {
			return err
		}
	}
}

func (s *session) confirmation() []infra.Record {
	return []infra.Record{{Key: termKey, Value: []byte(strconv.FormatInt(s.term, 10))}}
}

// errFenced ends a term of which a worker or host has seen a successor.
var errFenced = errors.New("a higher token was seen")

// watchFence ends the term once a higher token was seen, also while an append is under way.
func (s *session) watchFence(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.core.Fenced() {
			return errFenced
		}
		_ = periodic.Pause(ctx, fenceInterval)
	}
	return ctx.Err()
}

// commit makes batches durable and releases their effects.
func (s *session) commit(ctx context.Context) error {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		timer.Reset(idleTick)
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
		batch := s.core.Collect()
		if len(batch.Records) == 0 && s.Clock()-s.writer.ConfirmedAt() > confirmInterval {
			batch.Records = s.confirmation()
		}
		for i := range batch.Orders {
			go s.send(ctx, &batch.Orders[i])
		}
		if err := s.writer.Append(ctx, batch.Records); err != nil {
			s.core.Abandon(&batch)
			return err
		}
		s.core.Committed(&batch)
		if len(batch.Records) > 0 {
			_ = periodic.Pause(ctx, batchPause)
		}
	}
}

// send sends one order and tells the core the result.
func (s *session) send(ctx context.Context, order *scheduler.Order) {
	switch order.Kind {
	case scheduler.OrderStart:
		s.sendStart(ctx, order)
	case scheduler.OrderStop:
		_, err := s.Workers.Stop(ctx, order.Worker, order.Item, order.Run, s.term)
		s.core.ApplyStopResult(order, err)
	case scheduler.OrderPace:
		if _, err := s.Workers.Pace(ctx, order.Worker, order.Item, order.Run, order.Percent, s.term); err != nil {
			s.Logger.WithFields(logrus.Fields{"event": "pace_failed", "item": order.Item.String(), "worker": order.Worker.ID}).WithError(err).Info("pace wasn't set; the next report decides again")
		}
	}
}

// sendStart sends a start until its outcome is known, or startTries times.
func (s *session) sendStart(ctx context.Context, order *scheduler.Order) {
	start := infra.StartOrder{Item: order.Item, Run: order.Run, Spec: order.Spec, Checkpoint: order.Checkpoint, Token: s.term}
	if order.NeedsAdvice && s.Advice != nil {
		tickets, _, err := s.Advice.Ask(ctx, order.Item.Job, order.Item.Occurrence, order.Item.Step, []string{order.Worker.ID})
		if start.Ticket = tickets[order.Worker.ID]; err != nil || start.Ticket == "" {
			s.Logger.WithFields(logrus.Fields{"event": "not_granted", "item": order.Item.String(), "worker": order.Worker.ID}).WithError(err).Info("advice service grants no ticket")
			s.core.StartNotSent(order)
			return
		}
	}
	uncertain := false
	for try := 1; ; try++ {
		if start.LeaseEndMs = s.core.StartLease(order, s.writer.ConfirmedAt()); start.LeaseEndMs == 0 {
			if uncertain {
				s.core.ApplyStartResult(order, &infra.Error{Kind: infra.Unknown, Op: "start", Detail: "no lease may be given any more"}, true)
			} else {
				s.core.StartNotSent(order)
			}
			return
		}
		_, err := s.Workers.Start(ctx, order.Worker, start)
		kind := infra.KindOf(err)
		if (kind != infra.Unknown && kind != infra.Refused) || try == startTries {
			s.core.ApplyStartResult(order, err, uncertain)
			return
		}
		uncertain = uncertain || kind == infra.Unknown
		if kind == infra.Refused {
			_ = periodic.Pause(ctx, startRetryPause)
		}
	}
}

// followWorkers follows the list of workers and keeps a link to each.
func (s *session) followWorkers(ctx context.Context, group *errgroup.Group) error {
	directory := s.NewDirectory()
	failures := 0
	for ctx.Err() == nil {
		update, err := directory.Poll(ctx)
		if err != nil {
			if failures++; failures == 1 {
				s.Logger.WithField("event", "directory_lost").WithError(err).Warn("list of workers can't be read")
			}
		} else {
			if failures > 0 {
				s.Logger.WithFields(logrus.Fields{"event": "directory_regained", "failures": failures}).Info("list of workers is read again")
			}
			failures = 0
			s.core.UpdateWorkers(update)
			for _, id := range s.core.WorkerIDs() {
				s.openLink(ctx, group, id)
			}
		}
		_ = periodic.Pause(ctx, directoryInterval)
	}
	return ctx.Err()
}

// openLink starts asking the worker, unless that goes on already.
func (s *session) openLink(ctx context.Context, group *errgroup.Group, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links[id] {
		return
	}
	s.links[id] = true
	group.Go(func() error {
		s.hold(ctx, id)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.links, id)
		return nil
	})
}

// hold asks one worker again and again what it runs, which renews its lease.
func (s *session) hold(ctx context.Context, id string) {
	for ctx.Err() == nil {
		next := s.core.NextHold(id)
		if next.Ended {
			return
		}
		if periodic.Wait(ctx, next.Pause, next.Wake) != nil || next.Worker.Address == "" {
			continue
		}
		sent := s.Clock()
		report, err := s.Workers.Hold(ctx, next.Worker, s.core.BuildHoldRequest(id, s.writer.ConfirmedAt()))
		if err != nil {
			s.core.HoldFailed(id, err)
			continue
		}
		s.core.ApplyReport(id, report, sent)
	}
}

// orderHost sends one order to a host. A term that hasn't confirmed itself lately sends none: its
// successor waits before its first order, so that two holders don't take turns at a host.
func (s *session) orderHost(ctx context.Context, order scheduler.HostOrder) error {
	if s.Clock()-s.writer.ConfirmedAt() > hostOrderConfirmed {
		return &infra.Error{Kind: infra.Refused, Op: "host order", Detail: "the term isn't confirmed"}
	}
	if order.Pool != "" {
		return s.Hosts.Move(ctx, order.Host, order.Pool, s.term)
	}
	return s.Hosts.Upkeep(ctx, order.Host, order.Wave, s.term)
}

// tendHosts carries out waves of upkeep and sizes pools.
func (s *session) tendHosts(ctx context.Context, group *errgroup.Group) error {
	for ctx.Err() == nil {
		s.tendOnce(ctx, group)
		_ = periodic.Pause(ctx, hostsInterval)
	}
	return ctx.Err()
}

func (s *session) tendOnce(ctx context.Context, group *errgroup.Group) {
	asked := s.Clock()
	hosts, err := s.Hosts.List(ctx)
	if err != nil {
		s.Logger.WithField("event", "hosts_unlisted").WithError(err).Warn("hosts can't be listed; waves wait")
		return
	}
	s.core.SetHosts(hosts, asked)
	orders, news := s.core.PlanHosts()
	for _, order := range orders {
		group.Go(func() error {
			s.core.HostOrderResult(order, s.orderHost(ctx, order))
			return nil
		})
	}
	for _, item := range news {
		if err := s.Status.PutWave(ctx, item.Wave, item.State); err != nil {
			s.Logger.WithFields(logrus.Fields{"event": "wave_state_unwritten", "wave": item.Wave}).WithError(err).Warn("state of a wave can't be written; trying again")
			continue
		}
		s.core.WaveStatePublished(item)
	}
}
