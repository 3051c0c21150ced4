// Package entry implements the part of an entry process that serves callers. It forwards requests to the
// scheduler, which runs in one of the entry processes, and follows the configuration of keys and queues.
package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/election"
	"turmericyoke/internal/entry/peer"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

const (
	// configPollTimeout is the time for which one read waits for a newer configuration.
	configPollTimeout = time.Second
	// configRetryPause is the pause after a failed read of the configuration.
	configRetryPause = 200 * time.Millisecond
	// peerFallbackDelay is the time for which reads of the configuration may fail before the process asks its
	// peers for it. A process whose reads the platform's store rejects must still apply a new configuration
	// within the platform's time limit.
	peerFallbackDelay = 700 * time.Millisecond
	// maxConfigPeers is the number of peers that are asked for the configuration at the same time. When the log
	// rejects a third of the processes, one in several thousand such samples has no peer that can read it.
	maxConfigPeers = 8
	// peerConfigTimeout is the time limit of requests to peers for the configuration.
	peerConfigTimeout = 500 * time.Millisecond
	// schedulerLookupTimeout is the time for which a call retries to find the scheduler while the scheduler
	// may be moving to another process. A change of the leader after a resignation takes up to 0.35 s in a fleet of
	// 350 hosts, most of it to load the state.
	schedulerLookupTimeout = 500 * time.Millisecond
	schedulerLookupPause   = 50 * time.Millisecond
)

// Time limits and pauses of a submission or cancellation. The scheduler responds within a few milliseconds,
// or within a few hundred while the log is slow.
const (
	// attemptTimeout is the time limit of one attempt, and attemptPause the pause before the next attempt.
	attemptTimeout = 1200 * time.Millisecond
	attemptPause   = 100 * time.Millisecond
)

// Election reports which entry process runs the scheduler, and the other entry processes.
type Election interface {
	Current() election.Claim
	// FollowsClaims reports whether a change of the scheduler would soon show in Current.
	FollowsClaims() bool
	Peers() []infra.Member
}

// Entry serves the callers of one entry process.
type Entry struct {
	Self         infra.Member
	Election     Election
	PeerClients  *peer.Clients
	ConfigSource infra.ConfigSource
	// DecodeConfig decodes the published encoding of a configuration, as received from a peer.
	DecodeConfig func(raw []byte) (*work.Config, error)
	Logger       *logrus.Entry

	// serviceOverride replaces the scheduler in tests.
	serviceOverride peer.Service
	current         atomic.Pointer[publishedConfig]
	// core is nil unless the scheduler runs in this process.
	core atomic.Pointer[scheduler.Core]

	mu sync.Mutex
	// waves holds all published maintenance waves by ID.
	waves map[int64]infra.Wave
	// evacuations holds the evacuated availability zones.
	evacuations evacuations
	// peerEvacuations is the response to peers about evacuations.
	peerEvacuations atomic.Pointer[peer.ConfigResponse]
}

// publishedConfig is a configuration with its published encoding.
type publishedConfig struct {
	config *work.Config
	raw    []byte
}

// Config returns the newest known configuration, or nil if none was received yet.
func (e *Entry) Config() *work.Config {
	if published := e.current.Load(); published != nil {
		return published.config
	}
	return nil
}

// ConfigureCore passes the current configuration and all waves to core.
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
	core.SetEvacuations(e.evacuations.names())
}

// AttachCore makes this process serve requests from core. DetachCore ends that.
func (e *Entry) AttachCore(core *scheduler.Core) {
	e.core.Store(core)
	e.ConfigureCore(core)
}

// DetachCore must be called when the scheduler no longer runs in this process.
func (e *Entry) DetachCore() { e.core.Store(nil) }

// FollowConfig applies new versions of the operators' configuration until ctx ends.
func (e *Entry) FollowConfig(ctx context.Context) error {
	var failingSince time.Time
	for ctx.Err() == nil {
		update, err := e.ConfigSource.Wait(ctx, configPollTimeout)
		if err == nil {
			if !failingSince.IsZero() {
				e.Logger.WithFields(logrus.Fields{"event": "config_regained", "after_ms": time.Since(failingSince).Milliseconds()}).Info("configuration can be read again")
			}
			failingSince = time.Time{}
			e.applyUpdate(update)
			continue
		}
		if failingSince.IsZero() {
			failingSince = time.Now()
			e.Logger.WithField("event", "config_lost").WithError(err).Warn("configuration can't be read from the log; trying again")
		}
		if time.Since(failingSince) > peerFallbackDelay || e.Config() == nil {
			e.fetchConfigFromPeers(ctx)
		}
		_ = periodic.Pause(ctx, configRetryPause)
	}
	return ctx.Err()
}

// applyUpdate applies what operators published. A configuration that isn't newer than the current one is
// ignored.
func (e *Entry) applyUpdate(update infra.ConfigUpdate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if update.Config != nil {
		current := e.Config()
		if current == nil || update.Config.Version > current.Version {
			e.current.Store(&publishedConfig{config: update.Config, raw: update.RawConfig})
			e.Logger.WithFields(logrus.Fields{"event": "config_in_force", "version": update.Config.Version, "queues": len(update.Config.Queues),
				"customers": len(update.Config.Customers)}).Info("configuration is in force in this process")
		}
	}
	if e.waves == nil {
		e.waves = map[int64]infra.Wave{}
	}
	for _, wave := range update.Waves {
		e.waves[wave.ID] = wave
	}
	e.applyEvacuations(update)
	if core := e.core.Load(); core != nil {
		core.SetConfig(e.Config())
		core.SetWaves(update.Waves)
		core.SetEvacuations(e.evacuations.names())
	}
}

// fetchConfigFromPeers asks maxConfigPeers other entry processes, chosen at random, in parallel for a newer
// configuration, and applies the newest one. A process that has just started has none, and a peer that is cut off itself
// may answer first with one that still has withdrawn keys.
func (e *Entry) fetchConfigFromPeers(ctx context.Context) {
	version := int64(0)
	if config := e.Config(); config != nil {
		version = config.Version
	}
	ctx, cancel := context.WithTimeout(ctx, peerConfigTimeout)
	defer cancel()
	var requests sync.WaitGroup
	var mu sync.Mutex
	var newest infra.ConfigUpdate
	peers := e.Election.Peers()
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	for _, member := range peers[:min(len(peers), maxConfigPeers)] {
		requests.Go(func() {
			response, err := e.PeerClients.At(member.Address).Config(ctx, &peer.ConfigRequest{Version: version})
			if err != nil {
				return
			}
			e.applyPeerEvacuations(member.Name, response)
			if len(response.Source) == 0 {
				return
			}
			config, err := e.DecodeConfig(response.Source)
			if err != nil {
				e.Logger.WithFields(logrus.Fields{"event": "peer_config_unreadable", "peer": member.Name}).WithError(err).Warn("configuration from a peer can't be decoded; ignoring it")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if newest.Config == nil || config.Version > newest.Config.Version {
				newest = infra.ConfigUpdate{Config: config, RawConfig: response.Source}
			}
		})
	}
	requests.Wait()
	if newest.Config != nil {
		e.applyUpdate(newest)
	}
}

// schedulerService returns the service of the scheduler: the core of this process, or a client of the process
// that runs the scheduler. It returns false if no such process is known, or if this process was elected but
// has no core.
func (e *Entry) schedulerService() (peer.Service, bool) {
	if e.serviceOverride != nil {
		return e.serviceOverride, true
	}
	if core := e.core.Load(); core != nil {
		return localService{core, e.Self.Name}, true
	}
	claim := e.Election.Current()
	if claim.Term == 0 || claim.Holder.Name == e.Self.Name {
		return nil, false
	}
	return e.PeerClients.At(claim.Holder.Address), true
}

// lookup tells for how long callScheduler looks for a scheduler.
type lookup uint8

const (
	// lookUpWhileFollowing is for schedulerLookupTimeout, but not in a process that is cut off from the log as well, since it
	// wouldn't learn of another scheduler.
	lookUpWhileFollowing lookup = iota
	// lookUpAnyway is for schedulerLookupTimeout, including the time to connect to a process: the link to the scheduler may
	// return before the log does.
	lookUpAnyway
)

// callScheduler calls the scheduler. After an error for which mayRepeat returns true, it looks up the scheduler again and
// retries for as long as lookup says.
func callScheduler[Response any](ctx context.Context, e *Entry, lookup lookup, mayRepeat func(error) bool, call func(context.Context, peer.Service) (*Response, error)) (*Response, error) {
	deadline := time.Now().Add(schedulerLookupTimeout)
	callCtx := ctx
	if lookup == lookUpAnyway {
		callCtx = peer.ConnectBefore(ctx, deadline)
	}
	for {
		var err error
		if service, known := e.schedulerService(); !known {
			err = peer.ErrNotScheduling
		} else {
			var response *Response
			if response, err = call(callCtx, service); err == nil {
				return response, nil
			}
		}
		if !mayRepeat(err) {
			return nil, fault.Wrap(fault.OutcomeUnknown, err, "the call to the scheduler failed, but may have taken effect")
		}
		if !time.Now().Before(deadline) || lookup == lookUpWhileFollowing && !e.Election.FollowsClaims() || periodic.Pause(ctx, schedulerLookupPause) != nil {
			return nil, fault.Wrap(fault.NotReady, err, "no scheduler can be reached")
		}
	}
}

// Submit submits a job to the scheduler and waits for the outcome. Its error is of kind Unconfirmed, and its outcome
// OutcomeUnconfirmed, if it isn't known whether a scheduler has accepted the job: only a scheduler whose term is confirmed may
// reject a job, since the rejection promises that the job never runs.
func (e *Entry) Submit(ctx context.Context, job *work.Job) (*peer.OutcomeResponse, error) {
	uncertain := false
	for {
		response, err := callScheduler(ctx, e, lookUpAnyway, peer.HadNoEffect, limitAttempt(func(ctx context.Context, s peer.Service) (*peer.OutcomeResponse, error) {
			return s.Submit(ctx, &peer.SubmitRequest{Job: job})
		}))
		switch {
		case isUnknown(response, err):
		case err == nil && response.Kind == scheduler.OutcomeDone:
			return response, nil
		case uncertain:
			// An attempt without a response may still arrive and be accepted.
			return nil, fault.Wrap(fault.Unconfirmed, err, "an attempt had no response, and the next one wasn't accepted")
		case err != nil:
			return nil, fault.Wrap(fault.Unconfirmed, err, "no scheduler was reached in time")
		case response.Kind == scheduler.OutcomeUnavailable:
			// A scheduler of an earlier version answers so without proof.
			response.Kind = scheduler.OutcomeUnconfirmed
			return response, nil
		default:
			return response, nil
		}
		uncertain = true
		if periodic.Pause(ctx, attemptPause) != nil {
			return nil, fault.Wrap(fault.OutcomeUnknown, err, "the outcome isn't known")
		}
	}
}

// Cancel cancels a job on behalf of a customer and waits for the outcome. It is repeated until its outcome is known or ctx ends.
// If a repeated call is rejected, an earlier one may still arrive; then the outcome remains unknown. A cancellation of a job that
// isn't known holds for what arrives later.
func (e *Entry) Cancel(ctx context.Context, id, customer string) (*peer.OutcomeResponse, error) {
	uncertain := false
	for {
		response, err := callScheduler(ctx, e, lookUpWhileFollowing, peer.HadNoEffect, limitAttempt(func(ctx context.Context, s peer.Service) (*peer.OutcomeResponse, error) {
			return s.Cancel(ctx, &peer.CancelRequest{Job: id, Customer: customer})
		}))
		if !isUnknown(response, err) && !uncertain || err == nil && (response.Kind == scheduler.OutcomeDone || response.Kind == scheduler.OutcomeNotFound) {
			return response, err
		}
		uncertain = true
		if periodic.Pause(ctx, attemptPause) != nil {
			return nil, fault.Wrap(fault.OutcomeUnknown, err, "the outcome isn't known")
		}
	}
}

// isUnknown reports whether a call may have taken effect without a durable outcome. Repeating it is safe, since jobs are
// identified by their IDs.
func isUnknown(response *peer.OutcomeResponse, err error) bool {
	return fault.KindOf(err) == fault.OutcomeUnknown || err == nil && response.Kind == scheduler.OutcomeUnknown
}

// limitAttempt returns call with the time limit attemptTimeout.
func limitAttempt[Response any](call func(context.Context, peer.Service) (*Response, error)) func(context.Context, peer.Service) (*Response, error) {
	return func(ctx context.Context, s peer.Service) (*Response, error) {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		return call(attemptCtx, s)
	}
}

// State returns the state of a job.
func (e *Entry) State(ctx context.Context, id string) (*peer.StateResponse, error) {
	return read(ctx, e, func(ctx context.Context, s peer.Service) (*peer.StateResponse, error) {
		return s.State(ctx, &peer.StateRequest{Job: id})
	})
}

// Pending returns the number of jobs of a queue that haven't started.
func (e *Entry) Pending(ctx context.Context, queue string) (*peer.PendingResponse, error) {
	return read(ctx, e, func(ctx context.Context, s peer.Service) (*peer.PendingResponse, error) {
		return s.Pending(ctx, &peer.PendingRequest{Queue: queue})
	})
}

// read calls the scheduler for an answer that has no effect. It is repeated after any error, except one of a scheduler that
// can't confirm its state, and until ctx ends after an attempt without a response.
func read[Response any](ctx context.Context, e *Entry, call func(context.Context, peer.Service) (*Response, error)) (*Response, error) {
	for {
		timedOut := false
		response, err := callScheduler(ctx, e, lookUpWhileFollowing, func(err error) bool { return !peer.IsUnconfirmed(err) }, func(ctx context.Context, s peer.Service) (*Response, error) {
			attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
			defer cancel()
			response, err := call(attemptCtx, s)
			timedOut = err != nil && attemptCtx.Err() != nil
			return response, err
		})
		switch {
		case peer.IsUnconfirmed(err):
			return nil, fault.Wrap(fault.NotReady, err, "the log takes no records")
		case !timedOut || ctx.Err() != nil:
			return response, err
		}
	}
}

// PeerService returns the service that this process offers to other entry processes.
func (e *Entry) PeerService() peer.Service { return peerServer{e} }
