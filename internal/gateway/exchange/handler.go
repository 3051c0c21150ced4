package exchange

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

// Exchange answers the exchange of another gateway.
func (e *Exchange) Exchange(_ context.Context, request *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	load := request.GetLoad()
	if load.GetGateway() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, fault.New(fault.RequestInvalid, "the exchange has no load"))
	}
	e.applyReport(load, time.Time{})
	response := &v1.ExchangeResponse{}
	if load.GetZone() == e.config.Zone {
		e.renewFromAck(request)
		e.storePending(request.GetPending())
		response.Renewed = e.config.Lease.MayRenew(load.GetGateway(), load.GetIncarnation())
		response.Pending = e.config.Pending.Copy(load.GetGateway())
		response.Load = e.buildReport()
	} else {
		response.Load = e.buildZoneReport()
	}
	e.recordAnswer(load.GetGateway(), response.Load.GetSeq())
	e.addRoundBytes(proto.Size(request) + proto.Size(response) + callOverhead)
	return response, nil
}

// renewFromAck renews this gateway's lease when the caller confirms that it received the last
// answer. The lease counts from when that answer was sent.
func (e *Exchange) renewFromAck(request *v1.ExchangeRequest) {
	load := request.GetLoad()
	if !request.GetRenewed() || request.GetAnswererIncarnation() != e.config.Incarnation() {
		return
	}
	e.mu.Lock()
	last, ok := e.lastAnswers[load.GetGateway()]
	e.mu.Unlock()
	if ok && last.seq == request.GetAckSeq() {
		e.config.Lease.Renewed(load.GetGateway(), load.GetIncarnation(), last.sentAt)
	}
}

func (e *Exchange) storePending(batch *v1.RefusalBatch) {
	if batch != nil {
		e.config.Pending.Keep(batch)
	}
}

// maxLastAnswers bounds the callers that are remembered; the design scale is 120 entry hosts.
const maxLastAnswers = 512

func (e *Exchange) recordAnswer(caller string, seq uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.lastAnswers) >= maxLastAnswers {
		clear(e.lastAnswers)
	}
	e.lastAnswers[caller] = lastAnswer{seq: seq, sentAt: e.config.Now()}
}

// RequestVow answers a gateway that collects vows against a silent holder.
func (e *Exchange) RequestVow(_ context.Context, request *v1.RequestVowRequest) (*v1.RequestVowResponse, error) {
	vow := e.config.Lease.Vow(request.GetHolder(), request.GetHolderIncarnation())
	return &v1.RequestVowResponse{Vow: vow}, nil
}
