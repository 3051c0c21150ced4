package exchange

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

// Exchange handles the report of another gateway and responds with the report of this gateway.
func (e *Exchange) Exchange(_ context.Context, request *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	report := request.GetLoad()
	if report.GetGateway() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, fault.New(fault.RequestInvalid, "the exchange has no load"))
	}
	e.applyReport(report, time.Time{})
	response := &v1.ExchangeResponse{}
	if report.GetZone() == e.config.Zone {
		e.renewFromAck(request)
		e.storeRefusals(request.GetPending())
		response.Renewed = e.config.Lease.MayRenew(report.GetGateway(), report.GetIncarnation())
		response.Pending = e.config.PendingRefusals.RefusalsFor(report.GetGateway())
		response.Load = e.buildReport()
	} else {
		response.Load = e.buildZoneReport()
	}
	e.recordResponse(report.GetGateway(), response.Load.GetSeq())
	e.addRoundBytes(proto.Size(request) + proto.Size(response) + callOverhead)
	return response, nil
}

// renewFromAck renews this gateway's lease if the caller renews it and confirms that it received this
// gateway's last response. The renewal counts from when that response was sent.
func (e *Exchange) renewFromAck(request *v1.ExchangeRequest) {
	report := request.GetLoad()
	if !request.GetRenewed() || request.GetAnswererIncarnation() != e.config.Incarnation() {
		return
	}
	e.mu.Lock()
	last, ok := e.lastResponses[report.GetGateway()]
	e.mu.Unlock()
	if ok && last.seq == request.GetAckSeq() {
		e.config.Lease.RecordRenewal(report.GetGateway(), report.GetIncarnation(), last.sentAt)
	}
}

// storeRefusals stores a copy of the refusals of another gateway, if it sent any.
func (e *Exchange) storeRefusals(batch *v1.RefusalBatch) {
	if batch != nil {
		e.config.PendingRefusals.StoreRefusalCopy(batch)
	}
}

// maxLastResponses bounds the number of gateways in lastResponses; the design scale is 120 entry hosts.
const maxLastResponses = 512

// recordResponse records the sequence number and the time of the response to caller.
func (e *Exchange) recordResponse(caller string, seq uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.lastResponses) >= maxLastResponses {
		clear(e.lastResponses)
	}
	e.lastResponses[caller] = lastResponse{seq: seq, sentAt: e.config.Now()}
}

// RequestVow responds to a gateway that collects vows against a holder that sends no reports.
func (e *Exchange) RequestVow(_ context.Context, request *v1.RequestVowRequest) (*v1.RequestVowResponse, error) {
	vow := e.config.Lease.Vow(request.GetHolder(), request.GetHolderIncarnation())
	return &v1.RequestVowResponse{Vow: vow}, nil
}
