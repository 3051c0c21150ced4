package entry

import (
	"context"

	"connectrpc.com/connect"

	"turmericyoke/internal/entry/peer"
	"turmericyoke/internal/scheduler"
)

// localService answers from the core of this process.
type localService struct{ core *scheduler.Core }

// awaitOutcome waits for an outcome that the core sends.
func awaitOutcome(ctx context.Context, send func(chan<- scheduler.Outcome)) (*peer.OutcomeResponse, error) {
	// The core never waits for its receiver.
	waiter := make(chan scheduler.Outcome, 1)
	send(waiter)
	select {
	case outcome := <-waiter:
		return &peer.OutcomeResponse{Kind: outcome.Kind, RetryAfterMs: outcome.RetryAfter.Milliseconds(), Reason: outcome.Reason}, nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

func (l localService) Submit(ctx context.Context, request *peer.SubmitRequest) (*peer.OutcomeResponse, error) {
	return awaitOutcome(ctx, func(waiter chan<- scheduler.Outcome) { l.core.Submit(request.Job, waiter) })
}

func (l localService) Cancel(ctx context.Context, request *peer.CancelRequest) (*peer.OutcomeResponse, error) {
	return awaitOutcome(ctx, func(waiter chan<- scheduler.Outcome) { l.core.Cancel(request.Job, waiter) })
}

func (l localService) State(_ context.Context, request *peer.StateRequest) (*peer.StateResponse, error) {
	state, known := l.core.State(request.Job)
	return &peer.StateResponse{Known: known, State: state}, nil
}

func (l localService) Pending(_ context.Context, request *peer.PendingRequest) (*peer.PendingResponse, error) {
	return &peer.PendingResponse{Pending: l.core.Pending(request.Queue)}, nil
}

func (l localService) Config(context.Context, *peer.ConfigRequest) (*peer.ConfigResponse, error) {
	return nil, peer.ErrNotScheduling
}

// peerServer answers other entry processes: from the core when this process schedules.
type peerServer struct{ entry *Entry }

func (s peerServer) core() (localService, error) {
	if core := s.entry.core.Load(); core != nil {
		return localService{core}, nil
	}
	return localService{}, peer.ErrNotScheduling
}

// Submit implements peer.Service.
func (s peerServer) Submit(ctx context.Context, request *peer.SubmitRequest) (*peer.OutcomeResponse, error) {
	core, err := s.core()
	if err != nil {
		return nil, err
	}
	return core.Submit(ctx, request)
}

// Cancel implements peer.Service.
func (s peerServer) Cancel(ctx context.Context, request *peer.CancelRequest) (*peer.OutcomeResponse, error) {
	core, err := s.core()
	if err != nil {
		return nil, err
	}
	return core.Cancel(ctx, request)
}

// State implements peer.Service.
func (s peerServer) State(ctx context.Context, request *peer.StateRequest) (*peer.StateResponse, error) {
	core, err := s.core()
	if err != nil {
		return nil, err
	}
	return core.State(ctx, request)
}

// Pending implements peer.Service.
func (s peerServer) Pending(ctx context.Context, request *peer.PendingRequest) (*peer.PendingResponse, error) {
	core, err := s.core()
	if err != nil {
		return nil, err
	}
	return core.Pending(ctx, request)
}

// Config implements peer.Service.
func (s peerServer) Config(_ context.Context, request *peer.ConfigRequest) (*peer.ConfigResponse, error) {
	p := s.entry.current.Load()
	if p == nil || p.config.Version <= request.Version {
		return &peer.ConfigResponse{}, nil
	}
	return &peer.ConfigResponse{Source: p.raw}, nil
}
