package serve

import (
	"context"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
)

// Propose implements the ControllerService. A record without an envelope comes from an operator and is appended
// under the controller's own incarnation. A record of a gateway keeps the gateway's envelope.
func (s *Service) Propose(ctx context.Context, request *v1.ProposeRequest) (*v1.ProposeResponse, error) {
	record := request.GetRecord()
	verdict, err := s.propose(ctx, request.GetAuthor(), record)
	if err != nil {
		s.cfg.Metrics.proposals.WithLabelValues(string(fault.KindOf(err))).Inc()
		return nil, connectError(err)
	}
	response := &v1.ProposeResponse{
		Offset: verdict.Offset, Accepted: verdict.Accepted,
		Kind: string(verdict.Kind), Detail: verdict.Detail, ConfigVersion: verdict.Version,
	}
	s.cfg.Metrics.proposals.WithLabelValues(outcomeLabel(verdict)).Inc()
	return response, nil
}

// outcomeLabel returns the value of the outcome label of the proposals metric.
func outcomeLabel(verdict fold.Verdict) string {
	if verdict.Accepted {
		return "accepted"
	}
	return string(verdict.Kind)
}

// propose checks that the sender may propose the record and proposes it. A Suspect record of an operator
// names the operator as the one who confirmed it, and has no vows.
func (s *Service) propose(ctx context.Context, author string, record *v1.Record) (fold.Verdict, error) {
	if record.GetPayload() == nil {
		return fold.Verdict{}, fault.New(fault.RequestInvalid, "proposal without a payload")
	}
	if record.GetProposer() != "" {
		if !gatewayMayPropose(record) {
			return fold.Verdict{}, fault.New(fault.RequestInvalid, "payload %T isn't one that gateways propose", record.GetPayload())
		}
		return s.cfg.Proposer.Forward(ctx, record)
	}
	if !operatorMayPropose(record) {
		return fold.Verdict{}, fault.New(fault.RequestInvalid, "payload %T isn't one that operators propose", record.GetPayload())
	}
	if !s.cfg.Joined() {
		return fold.Verdict{}, fault.New(fault.NotReady, "the controller has not joined yet")
	}
	if suspect := record.GetSuspect(); suspect != nil {
		suspect.Vows, suspect.ConfirmedBy = nil, author
	}
	return s.cfg.Proposer.Propose(ctx, record)
}

// gatewayMayPropose reports whether a gateway may propose the record. All other records need an operator's
// token or come from the controllers' own loops.
func gatewayMayPropose(record *v1.Record) bool {
	switch payload := record.GetPayload().(type) {
	case *v1.Record_Join, *v1.Record_Leave, *v1.Record_Heartbeat, *v1.Record_Claim, *v1.Record_Return,
		*v1.Record_Transfer, *v1.Record_Reclaim, *v1.Record_JobSubmit, *v1.Record_JobCancel:
		return true
	case *v1.Record_Suspect:
		return payload.Suspect.GetConfirmedBy() == ""
	}
	return false
}

// operatorMayPropose reports whether an operator may propose the record. Operators may not propose a Reclaim:
// only a gateway that has waited for the holder's requests to end may.
func operatorMayPropose(record *v1.Record) bool {
	switch record.GetPayload().(type) {
	case *v1.Record_ChangeSet, *v1.Record_Surrender, *v1.Record_Suspect, *v1.Record_WaveControl,
		*v1.Record_JobSubmit, *v1.Record_JobCancel:
		return true
	}
	return false
}
