package server

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/gateway/pipe"
)

// Forward runs a request that another gateway forwarded. A refusal is returned as a response and not as an
// error, since the forwarding gateway treats the outcome after an error as unknown.
func (s *Server) Forward(ctx context.Context, message *v1.ForwardRequest) (*v1.ForwardResponse, error) {
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	r := s.newForwardedRequest(ctx, message, httpRequest, httpResponse)
	s.config.Chain.Run(r)
	response := forwardResponse(r)
	response.FreeSlots, response.FreeRights = s.config.FreeCapacity(r.PoolName, r.Team)
	return response, nil
}

// newForwardedRequest returns the request in message. The message has the time left until each deadline, which
// is counted from now.
func (s *Server) newForwardedRequest(ctx context.Context, message *v1.ForwardRequest, httpRequest *fasthttp.Request, httpResponse *fasthttp.Response) *pipe.Request {
	now := s.config.Now()
	for _, header := range message.GetHeaders() {
		httpRequest.Header.Add(header.GetName(), header.GetValue())
	}
	httpRequest.Header.SetMethod(message.GetMethod())
	httpRequest.SetBodyRaw(message.GetBody())
	_, number := s.NextID()
	return &pipe.Request{
		ID: string(httpRequest.Header.Peek(pipe.HeaderRequestID)), Number: number,
		Arrived: now, Ctx: ctx, HTTPRequest: httpRequest, HTTPResponse: httpResponse,
		PoolName: message.GetPool(), Path: message.GetPath(),
		Team: message.GetTeam(), KeyID: message.GetKeyId(),
		Idempotent:    message.GetIdempotent(),
		Deadline:      now.Add(time.Duration(message.GetTimeoutMs()) * time.Millisecond),
		QueueDeadline: now.Add(time.Duration(message.GetQueueMs()) * time.Millisecond),
		Forwarded:     true,
		RightHeld:     message.GetRightHeld(),
		CrossedZone:   message.GetCrossedZone(),
		Hops:          max(message.GetHops(), 1),
	}
}

// forwardResponse returns the message with the response or the refusal of r.
func forwardResponse(r *pipe.Request) *v1.ForwardResponse {
	if r.Fault != nil {
		return &v1.ForwardResponse{
			Outcome: protoOutcomes[r.Outcome], Kind: string(r.Fault.Kind), Detail: r.Fault.Detail,
		}
	}
	response := &v1.ForwardResponse{
		Outcome: protoOutcomes[r.Outcome],
		Status:  uint32(r.HTTPResponse.StatusCode()),
		Body:    append([]byte(nil), r.HTTPResponse.Body()...),
	}
	for name, value := range r.HTTPResponse.Header.All() {
		response.Headers = append(response.Headers, &v1.Header{Name: string(name), Value: string(value)})
	}
	return response
}

// protoOutcomes maps the outcomes to their values in messages.
var protoOutcomes = map[pipe.Outcome]v1.RequestOutcome{
	pipe.OutcomeDone:    v1.RequestOutcome_REQUEST_OUTCOME_DONE,
	pipe.OutcomeNotRun:  v1.RequestOutcome_REQUEST_OUTCOME_NOT_RUN,
	pipe.OutcomeUnknown: v1.RequestOutcome_REQUEST_OUTCOME_UNKNOWN,
}
