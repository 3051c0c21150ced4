// Package serve implements the ControllerService, which answers gateways, other controllers and operators'
// tools from the fleet state.
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

// Follower gives access to the folded state and its progress; follower.Follower implements it.
type Follower interface {
	Read(use func(*fold.State)) bool
	Wait(ctx context.Context, after int64) (int64, error)
	Ready() bool
	Status() *v1.StatusResponse
	Tail(*v1.TailRequest) (*v1.TailResponse, error)
	FetchState() (*v1.FetchStateResponse, error)
}

// Proposer appends proposals to the log and returns their verdicts; proposer.Proposer implements it. Propose
// sets the controller's envelope, and Forward keeps that of the record.
type Proposer interface {
	Propose(ctx context.Context, record *v1.Record) (fold.Verdict, error)
	Forward(ctx context.Context, record *v1.Record) (fold.Verdict, error)
}

// Config holds the dependencies of the service.
type Config struct {
	Follower Follower
	Proposer Proposer
	// Joined reports whether the controller has joined, so that its own proposals can be accepted.
	Joined  func() bool
	Metrics *Metrics
	// Demand collects the demand that gateways report; if it is nil, the reports are dropped.
	Demand Demand
}

// Demand collects the demand of gateways by pool; demand.Table implements it. LocalDemand returns the demand
// of the gateways that poll this controller.
type Demand interface {
	RecordGatewayDemand(gateway string, pools []*v1.PoolDemand)
	LocalDemand() []*v1.PoolDemand
}

// Service implements the ControllerService.
type Service struct {
	cfg      Config
	views    viewCache
	gateways gatewayTable
}

// New returns a service without cached views and known gateways.
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
		status.Demand = s.cfg.Demand.LocalDemand()
	}
	return status, nil
}

// connectError returns err with the Connect code of its fault kind. An error that has a code already is
// unchanged.
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
