package entry

import (
	"context"
	"errors"
	"math"
	"time"

	"connectrpc.com/connect"

	"turmericyoke/internal/entry/peer"
	"turmericyoke/internal/scheduler"
)

// localService implements peer.Service with the scheduler core of this process.
type localService struct {
	core *scheduler.Core
	// process is the name of this process.
	process string
}

// origin returns the origin of an answer that is given now.
func (l localService) origin() peer.Origin {
	term, age := l.core.LastConfirmation()
	return peer.Origin{Scheduler: l.process, Term: term, ConfirmedAgeMs: age.Milliseconds()}
}

// await passes a channel to request and waits for the outcome that the core sends on it. A core whose term is over counts as
// one that isn't there.
func await(ctx context.Context, request func(chan<- scheduler.Outcome)) (scheduler.Outcome, error) {
	// The buffer keeps the core from blocking if ctx ends first.
	outcomes := make(chan scheduler.Outcome, 1)
	request(outcomes)
	select {
	case outcome := <-outcomes:
		if outcome.Kind == scheduler.OutcomeTermOver {
			return scheduler.Outcome{}, peer.ErrNotScheduling
		}
		return outcome, nil
	case <-ctx.Done():
		return scheduler.Outcome{}, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

// awaitOutcome is await for a submission or cancellation.
func awaitOutcome(ctx context.Context, request func(chan<- scheduler.Outcome)) (*peer.OutcomeResponse, error) {
	outcome, err := await(ctx, request)
	if err != nil {
		return nil, err
	}
	return &peer.OutcomeResponse{Kind: outcome.Kind, RetryAfterMs: outcome.RetryAfter.Milliseconds(), Reason: outcome.Reason}, nil
}

// awaitAnswer is await for a query.
func awaitAnswer(ctx context.Context, request func(chan<- scheduler.Outcome)) (scheduler.Outcome, error) {
	outcome, err := await(ctx, request)
	if err == nil && outcome.Kind == scheduler.OutcomeUnavailable {
		err = peer.ErrUnconfirmed
	}
	return outcome, err
}

func (l localService) Submit(ctx context.Context, request *peer.SubmitRequest) (*peer.OutcomeResponse, error) {
	timeLeft := time.Duration(math.MaxInt64)
	if deadline, limited := ctx.Deadline(); limited {
		timeLeft = time.Until(deadline)
	}
	return awaitOutcome(ctx, func(outcomes chan<- scheduler.Outcome) { l.core.SubmitWithin(request.Job, timeLeft, outcomes) })
}

func (l localService) Cancel(ctx context.Context, request *peer.CancelRequest) (*peer.OutcomeResponse, error) {
	response, err := awaitOutcome(ctx, func(outcomes chan<- scheduler.Outcome) { l.core.Cancel(request.Job, request.Customer, outcomes) })
	if err == nil {
		response.Origin = l.origin()
	}
	return response, err
}

func (l localService) State(ctx context.Context, request *peer.StateRequest) (*peer.StateResponse, error) {
	outcome, err := awaitAnswer(ctx, func(outcomes chan<- scheduler.Outcome) { l.core.QueryState(request.Job, outcomes) })
	if err != nil {
		return nil, err
	}
	response := &peer.StateResponse{Known: outcome.Kind == scheduler.OutcomeDone, State: outcome.State}
	if !response.Known {
		response.Origin = l.origin()
	}
	return response, nil
}

func (l localService) Pending(ctx context.Context, request *peer.PendingRequest) (*peer.PendingResponse, error) {
	outcome, err := awaitAnswer(ctx, func(outcomes chan<- scheduler.Outcome) { l.core.QueryPending(request.Queue, outcomes) })
	if err != nil {
		return nil, err
	}
	return &peer.PendingResponse{Pending: outcome.Pending}, nil
}

func (l localService) Config(context.Context, *peer.ConfigRequest) (*peer.ConfigResponse, error) {
	return nil, peer.ErrNotScheduling
}

var errNoJob = errors.New("submission has no job")

// peerServer implements peer.Service for other entry processes. Calls to the scheduler fail with
// peer.ErrNotScheduling unless the scheduler runs in this process.
type peerServer struct{ entry *Entry }

func (s peerServer) localScheduler() (localService, error) {
	if core := s.entry.core.Load(); core != nil {
		return localService{core, s.entry.Self.Name}, nil
	}
	return localService{}, peer.ErrNotScheduling
}

// Submit implements peer.Service.
func (s peerServer) Submit(ctx context.Context, request *peer.SubmitRequest) (*peer.OutcomeResponse, error) {
	local, err := s.localScheduler()
	if err != nil {
		return nil, err
	}
	if request.Job == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoJob)
	}
	// Any program can reach the port. A job out of range could use up the memory.
	request.Job.Normalize()
	if err := request.Job.Check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return local.Submit(ctx, request)
}

// Cancel implements peer.Service.
func (s peerServer) Cancel(ctx context.Context, request *peer.CancelRequest) (*peer.OutcomeResponse, error) {
	local, err := s.localScheduler()
	if err != nil {
		return nil, err
	}
	return local.Cancel(ctx, request)
}

// State implements peer.Service.
func (s peerServer) State(ctx context.Context, request *peer.StateRequest) (*peer.StateResponse, error) {
	local, err := s.localScheduler()
	if err != nil {
		return nil, err
	}
	return local.State(ctx, request)
}

// Pending implements peer.Service.
func (s peerServer) Pending(ctx context.Context, request *peer.PendingRequest) (*peer.PendingResponse, error) {
	local, err := s.localScheduler()
	if err != nil {
		return nil, err
	}
	return local.Pending(ctx, request)
}

// Config implements peer.Service. The response has no configuration if this process has no newer one.
func (s peerServer) Config(_ context.Context, request *peer.ConfigRequest) (*peer.ConfigResponse, error) {
	published := s.entry.current.Load()
	response := s.entry.evacuationsForPeer()
	if published == nil || published.config.Version <= request.Version {
		return response, nil
	}
	response.Source = published.raw
	return response, nil
}
