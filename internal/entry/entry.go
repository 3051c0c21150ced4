// Package entry serves callers at each entry process: it answers from the scheduler, which runs in
// one of the processes, and keeps the configuration that decides on keys and queues.
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/duty"
	"turmericyoke/internal/entry/peer"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

const (
	// configPollTimeout is how long a read waits for a newer configuration.
	configPollTimeout = time.Second
	// configRetryPause is the pause after a failed read.
	configRetryPause = 200 * time.Millisecond
	// peerFallbackDelay is how long reads may fail before peers are asked for the configuration: a
	// process that the platform's store turns away must still follow it within the platform's bound.
	peerFallbackDelay = 700 * time.Millisecond
	// peerConfigTimeout bounds the question for the configuration.
	peerConfigTimeout = 500 * time.Millisecond
	// schedulerLookupTimeout is how long a call looks for the scheduler while it may be changing.
	schedulerLookupTimeout = 250 * time.Millisecond
	schedulerLookupPause   = 50 * time.Millisecond
)

// Times of a submission or cancellation: an answer takes some milliseconds, and up to some hundred
// while the log is slow.
const (
	// attemptTimeout is how long one try may take, settlePause the pause before the next.
	attemptTimeout = 1200 * time.Millisecond
	attemptPause   = 100 * time.Millisecond
)

// Election knows who schedules.
type Election interface {
	Current() duty.Claim
	Peers() []infra.Member
}

// Entry is one entry process as its callers see it.
type Entry struct {
	Self         infra.Member
	Election     Election
	PeerClients  *peer.Clients
	ConfigSource infra.ConfigSource
	// DecodeConfig reads a configuration that a peer sent in its published form.
	DecodeConfig func(source []byte) (*work.Config, error)
	Logger       *logrus.Entry

	// serviceOverride answers instead of the scheduler, in tests.
	serviceOverride peer.Service
	current         atomic.Pointer[publishedConfig]
	core            atomic.Pointer[scheduler.Core]

	mu    sync.Mutex
	waves map[int64]infra.Wave
}

// publishedConfig is a configuration with its published form.
type publishedConfig struct {
	config *work.Config
	raw    []byte
}

// Config returns the newest configuration, or nil before there is one.
func (e *Entry) Config() *work.Config {
	if p := e.current.Load(); p != nil {
		return p.config
	}
	return nil
}

// ConfigureCore gives a core the configuration and the waves.
func (e *Entry) ConfigureCore(core *scheduler.Core) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if config := e.Config(); config != nil {
		core.SetConfig(config)
	}
	var waves []infra.Wave
	for _, wave := range e.waves {
		waves = append(waves, wave)
	}
	core.SetWaves(waves)
}

// AttachCore makes the core answer, and Closed ends that.
func (e *Entry) AttachCore(core *scheduler.Core) {
	e.core.Store(core)
	e.ConfigureCore(core)
}

// DetachCore is called when this process doesn't schedule any more.
func (e *Entry) DetachCore() { e.core.Store(nil) }

// FollowConfig follows the operators' configuration until ctx ends.
func (e *Entry) FollowConfig(ctx context.Context) error {
	var failingSince time.Time
	for ctx.Err() == nil {
		update, err := e.ConfigSource.Wait(ctx, configPollTimeout)
		if err == nil {
			if !failingSince.IsZero() {
				e.Logger.WithFields(logrus.Fields{"event": "config_regained", "after_ms": time.Since(failingSince).Milliseconds()}).Info("configuration is read again")
			}
			failingSince = time.Time{}
			e.applyUpdate(update)
			continue
		}
		if failingSince.IsZero() {
			failingSince = time.Now()
			e.Logger.WithField("event", "config_lost").WithError(err).Warn("configuration can't be read")
		}
		if time.Since(failingSince) > peerFallbackDelay || e.Config() == nil {
			e.fetchConfigFromPeers(ctx)
		}
		_ = periodic.Pause(ctx, configRetryPause)
	}
	return ctx.Err()
}

// applyUpdate takes what operators published.
func (e *Entry) applyUpdate(update infra.ConfigUpdate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if update.Config != nil {
		current := e.Config()
		if current == nil || update.Config.Version > current.Version {
			e.current.Store(&publishedConfig{config: update.Config, raw: update.RawConfig})
			e.Logger.WithFields(logrus.Fields{"event": "config_in_force", "version": update.Config.Version, "queues": len(update.Config.Queues),
				"customers": len(update.Config.Customers)}).Info("configuration is in force here")
		}
	}
	if e.waves == nil {
		e.waves = map[int64]infra.Wave{}
	}
	for _, wave := range update.Waves {
		e.waves[wave.ID] = wave
	}
	if core := e.core.Load(); core != nil {
		core.SetConfig(e.Config())
		core.SetWaves(update.Waves)
	}
}

// fetchConfigFromPeers asks the other processes for a newer configuration, all at once.
func (e *Entry) fetchConfigFromPeers(ctx context.Context) {
	version := int64(0)
	if config := e.Config(); config != nil {
		version = config.Version
	}
	ctx, cancel := context.WithTimeout(ctx, peerConfigTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, member := range e.Election.Peers() {
		asked.Go(func() {
			response, err := e.PeerClients.At(member.Address).Config(ctx, &peer.ConfigRequest{Version: version})
			if err != nil || len(response.Source) == 0 {
				return
			}
			config, err := e.DecodeConfig(response.Source)
			if err != nil {
				e.Logger.WithFields(logrus.Fields{"event": "peer_config_unreadable", "peer": member.Name}).WithError(err).Warn("configuration of a peer can't be read")
				return
			}
			e.applyUpdate(infra.ConfigUpdate{Config: config, RawConfig: response.Source})
		})
	}
	asked.Wait()
}

// schedulerService returns who answers: this process's core, or another process.
func (e *Entry) schedulerService() (peer.Service, bool) {
	if e.serviceOverride != nil {
		return e.serviceOverride, true
	}
	if core := e.core.Load(); core != nil {
		return localService{core}, true
	}
	claim := e.Election.Current()
	if claim.Term == 0 || claim.Holder.Name == e.Self.Name {
		return nil, false
	}
	return e.PeerClients.At(claim.Holder.Address), true
}

// callScheduler calls the scheduler, and looks for it again while a call had no effect and time is left.
func callScheduler[Response any](ctx context.Context, e *Entry, call func(peer.Service) (*Response, error)) (*Response, error) {
	until := time.Now().Add(schedulerLookupTimeout)
	for {
		var err error
		if service, known := e.schedulerService(); !known {
			err = peer.ErrNotScheduling
		} else {
			var response *Response
			if response, err = call(service); err == nil {
				return response, nil
			}
		}
		if !peer.HadNoEffect(err) {
			return nil, fault.Wrap(fault.OutcomeUnknown, err, "the scheduler didn't answer")
		}
		if time.Now().After(until) || periodic.Pause(ctx, schedulerLookupPause) != nil {
			return nil, fault.Wrap(fault.NotReady, err, "no scheduler can be reached")
		}
	}
}

// Submit submits a job.
func (e *Entry) Submit(ctx context.Context, job *work.Job) (*peer.OutcomeResponse, error) {
	return e.retryUntilKnown(ctx, func(ctx context.Context, s peer.Service) (*peer.OutcomeResponse, error) {
		return s.Submit(ctx, &peer.SubmitRequest{Job: job})
	})
}

// Cancel cancels a job.
func (e *Entry) Cancel(ctx context.Context, id string) (*peer.OutcomeResponse, error) {
	return e.retryUntilKnown(ctx, func(ctx context.Context, s peer.Service) (*peer.OutcomeResponse, error) {
		return s.Cancel(ctx, &peer.CancelRequest{Job: id})
	})
}

// retryUntilKnown repeats a submission or cancellation without a known outcome while the caller waits. Jobs
// are told apart by their IDs, so that a repeated call has the effect of one. An earlier call may
// still arrive after a repeated one was rejected; the outcome is unknown then.
func (e *Entry) retryUntilKnown(ctx context.Context, call func(context.Context, peer.Service) (*peer.OutcomeResponse, error)) (*peer.OutcomeResponse, error) {
	uncertain := false
	for {
		response, err := callScheduler(ctx, e, func(s peer.Service) (*peer.OutcomeResponse, error) {
			try, cancel := context.WithTimeout(ctx, attemptTimeout)
			defer cancel()
			return call(try, s)
		})
		unknown := fault.KindOf(err) == fault.OutcomeUnknown || err == nil && response.Kind == scheduler.Undecided
		if !unknown && !uncertain || err == nil && response.Kind == scheduler.Done {
			return response, err
		}
		uncertain = true
		if periodic.Pause(ctx, attemptPause) != nil {
			return nil, fault.Wrap(fault.OutcomeUnknown, err, "the outcome isn't known")
		}
	}
}

// State returns the state of a job.
func (e *Entry) State(ctx context.Context, id string) (*peer.StateResponse, error) {
	return callScheduler(ctx, e, func(s peer.Service) (*peer.StateResponse, error) { return s.State(ctx, &peer.StateRequest{Job: id}) })
}

// Pending counts the jobs of a queue that haven't begun.
func (e *Entry) Pending(ctx context.Context, queue string) (*peer.PendingResponse, error) {
	return callScheduler(ctx, e, func(s peer.Service) (*peer.PendingResponse, error) {
		return s.Pending(ctx, &peer.PendingRequest{Queue: queue})
	})
}

// PeerService returns the service for other entry processes.
func (e *Entry) PeerService() peer.Service { return peerServer{e} }
