// Package adminclient is the client with which the command line and the console call controllers.
package adminclient

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"connectrpc.com/connect"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/transport"
)

// callTimeout bounds one call to a controller. A proposal waits until the log has stored it and the controller
// has folded it.
const callTimeout = 15 * time.Second

// Client calls the controllers in the order of their addresses until one of them responds.
type Client struct {
	controllers []turmericyokev1connect.ControllerServiceClient
	addresses   []string
}

// NewClient returns a client for the controllers at addresses (IP:port).
func NewClient(httpTransport *transport.Transport, addresses []string, options ...connect.ClientOption) *Client {
	client := &Client{addresses: addresses}
	httpClient := httpTransport.Client()
	for _, address := range addresses {
		controller := turmericyokev1connect.NewControllerServiceClient(httpClient, httpTransport.URL(address), options...)
		client.controllers = append(client.controllers, controller)
	}
	return client
}

// Query decodes a section of the state into out and returns the configuration version of the controller that
// responded. If name isn't empty, it selects one object of the section.
func (c *Client) Query(ctx context.Context, section, name string, out any) (uint64, error) {
	return c.queryWhere(ctx, section, name, func(*v1.QueryResponse) error { return nil }, out)
}

// queryWhere is like Query, but also passes over controllers for whose response check returns an error.
func (c *Client) queryWhere(ctx context.Context, section, name string, check func(*v1.QueryResponse) error, out any) (uint64, error) {
	var errs []error
	for _, controller := range c.controllers {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		response, err := controller.Query(callCtx, &v1.QueryRequest{Section: section, Name: name})
		cancel()
		if err == nil {
			err = check(response)
		}
		if err != nil {
			errs = append(errs, err)
			continue
		}
		return response.GetConfigVersion(), decodeSection(response, section, out)
	}
	return 0, noControllerAnswered(errs)
}

// atOffset returns a check of queryWhere for states that include the record at the offset.
func atOffset(offset int64) func(*v1.QueryResponse) error {
	return func(response *v1.QueryResponse) error {
		if response.GetOffset() < offset {
			return fault.New(fault.NotReady, "the state is at offset %d: want at least %d", response.GetOffset(), offset)
		}
		return nil
	}
}

func decodeSection(response *v1.QueryResponse, section string, out any) error {
	if err := json.Unmarshal(response.GetJson(), out); err != nil {
		return fault.Wrap(fault.Internal, err, "answer to query %s can't be decoded", section)
	}
	return nil
}

// Propose sends a record to the first controller that is available. A rejection is returned as an error of the
// verdict's kind. If the outcome of a call is unknown, the record isn't sent to another controller, whose verdict
// would say nothing about the first copy, and the error is of kind AppendUnsettled.
func (c *Client) Propose(ctx context.Context, author string, record *v1.Record) (*v1.ProposeResponse, error) {
	var errs []error
	for _, controller := range c.controllers {
		var trace transport.CallTrace
		callCtx, cancel := context.WithTimeout(trace.Context(ctx), callTimeout)
		response, err := controller.Propose(callCtx, &v1.ProposeRequest{Record: record, Author: author})
		cancel()
		switch {
		case err == nil:
			return response, verdictError(response)
		case connect.CodeOf(err) == connect.CodeUnauthenticated:
			return nil, err
		case trace.Unsent(err) || transport.IsUnavailableAnswer(err):
			errs = append(errs, err)
		default:
			return nil, fault.Wrap(fault.AppendUnsettled, err, "the proposal may or may not have been accepted")
		}
	}
	return nil, noControllerAnswered(errs)
}

// verdictError returns nil if the proposal was accepted, and otherwise an error of the verdict's kind.
func verdictError(response *v1.ProposeResponse) error {
	if response.GetAccepted() {
		return nil
	}
	return fault.New(fault.Kind(response.GetKind()), "%s", response.GetDetail())
}

// ControllerStatus is the status that one controller returned, or the error of the call.
type ControllerStatus struct {
	Address string             `json:"address"`
	Status  *v1.StatusResponse `json:"status,omitempty"`
	Error   string             `json:"error,omitempty"`
}

// Statuses returns the status of every controller. A controller that can't be reached is listed with the error.
func (c *Client) Statuses(ctx context.Context) []ControllerStatus {
	statuses := make([]ControllerStatus, len(c.controllers))
	for i, controller := range c.controllers {
		statuses[i].Address = c.addresses[i]
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		response, err := controller.Status(callCtx, &v1.StatusRequest{})
		cancel()
		if err != nil {
			statuses[i].Error = err.Error()
			continue
		}
		statuses[i].Status = response
	}
	return statuses
}

// Document returns the accepted document with its version, or an earlier one while the controller that responds lags
// behind the log.
func (c *Client) Document(ctx context.Context) (*structs.DocumentStatus, error) {
	status := &structs.DocumentStatus{}
	_, err := c.Query(ctx, "document", "", status)
	return status, err
}

func noControllerAnswered(errs []error) error {
	return fault.Wrap(fault.NotReady, errors.Join(errs...), "no controller answered")
}
