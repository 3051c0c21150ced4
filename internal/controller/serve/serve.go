// Package serve answers gateways, other controllers and operators' tools from the fleet state.
package serve

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
)

// Follower is the source of state; follower.Follower implements it.
type Follower interface {
	Read(use func(*fold.State)) bool
	Wait(ctx context.Context, after int64) (int64, error)
	Ready() bool
	Status() *v1.StatusResponse
	Tail(*v1.TailRequest) (*v1.TailResponse, error)
	FetchState() (*v1.FetchStateResponse, error)
}

// Proposer appends proposals; proposer.Proposer implements it.
type Proposer interface {
	Propose(ctx context.Context, record *v1.Record) (fold.Verdict, error)
	Forward(ctx context.Context, record *v1.Record) (fold.Verdict, error)
}

// Config is what the service needs.
type Config struct {
	Follower Follower
	Proposer Proposer
	// Joined reports whether the controller's own proposals can be accepted.
	Joined  func() bool
	Metrics *Metrics
	// Demand takes and sums what gateways ask for; nil drops it.
	Demand Demand
}

// Demand collects what gateways ask of each pool; demand.Table implements it.
type Demand interface {
	Report(gateway string, pools []*v1.PoolDemand)
	Own() []*v1.PoolDemand
}

// Service implements the ControllerService.
type Service struct {
	cfg      Config
	views    viewCache
	gateways gatewayTable
}

// New returns the service.
func New(cfg Config) *Service {
	return &Service{cfg: cfg, gateways: gatewayTable{entries: map[string]*gatewayProgress{}}}
}

// Tail implements the ControllerService.
func (s *Service) Tail(_ context.Context, request *v1.TailRequest) (*v1.TailResponse, error) {
	response, err := s.cfg.Follower.Tail(request)
	return response, connectError(err)
}

// FetchState implements the ControllerService.
func (s *Service) FetchState(context.Context, *v1.FetchStateRequest) (*v1.FetchStateResponse, error) {
	response, err := s.cfg.Follower.FetchState()
	return response, connectError(err)
}

// Status implements the ControllerService.
func (s *Service) Status(context.Context, *v1.StatusRequest) (*v1.StatusResponse, error) {
	status := s.cfg.Follower.Status()
	status.Gateways = s.gateways.statuses(time.Now())
	if s.cfg.Demand != nil {
		status.Demand = s.cfg.Demand.Own()
	}
	return status, nil
}

// connectError gives err the code of its kind.
func connectError(err error) error {
	if err == nil {
		return nil
	}
	var coded *connect.Error
	if errors.As(err, &coded) {
		return err
	}
	return connect.NewError(fault.ResponseFor(fault.KindOf(err)).ConnectCode, err)
}
