// Package adminclient is the client of controllers that the command line and the console share.
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

// callTimeout bounds one call of a controller; a proposal waits for the log and the fold.
const callTimeout = 15 * time.Second

// Client asks controllers in turn until one answers.
type Client struct {
	controllers []turmericyokev1connect.ControllerServiceClient
	addresses   []string
}

// NewClient returns a client of the controllers at addresses (IP:port).
func NewClient(httpTransport *transport.Transport, addresses []string, options ...connect.ClientOption) *Client {
	client := &Client{addresses: addresses}
	httpClient := httpTransport.Client()
	for _, address := range addresses {
		controller := turmericyokev1connect.NewControllerServiceClient(httpClient, httpTransport.URL(address), options...)
		client.controllers = append(client.controllers, controller)
	}
	return client
}

// Query reads a section of the state into out and returns the configuration version.
func (c *Client) Query(ctx context.Context, section, name string, out any) (uint64, error) {
	var errs []error
	for _, controller := range c.controllers {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		response, err := controller.Query(callCtx, &v1.QueryRequest{Section: section, Name: name})
		cancel()
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if err := json.Unmarshal(response.GetJson(), out); err != nil {
			return 0, fault.Wrap(fault.Internal, err, "answer to query %s can't be decoded", section)
		}
		return response.GetConfigVersion(), nil
	}
	return 0, noControllerAnswered(errs)
}

// Propose sends a record to the first controller that answers. A call whose outcome isn't known is
// not repeated elsewhere: the error is then of kind AppendUnsettled.
func (c *Client) Propose(ctx context.Context, author string, record *v1.Record) (*v1.ProposeResponse, error) {
	var errs []error
	for _, controller := range c.controllers {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		response, err := controller.Propose(callCtx, &v1.ProposeRequest{Record: record, Author: author})
		cancel()
		switch {
		case err == nil:
			return response, verdictError(response)
		case connect.CodeOf(err) == connect.CodeUnauthenticated:
			return nil, err
		case connect.CodeOf(err) == connect.CodeUnavailable:
			errs = append(errs, err)
		default:
			return nil, fault.Wrap(fault.AppendUnsettled, err, "the proposal may or may not have been accepted")
		}
	}
	return nil, noControllerAnswered(errs)
}

// verdictError turns a rejection into an error of its kind.
func verdictError(response *v1.ProposeResponse) error {
	if response.GetAccepted() {
		return nil
	}
	return fault.New(fault.Kind(response.GetKind()), "%s", response.GetDetail())
}

// ControllerStatus is the answer of one controller, or the reason why there is none.
type ControllerStatus struct {
	Address string             `json:"address"`
	Status  *v1.StatusResponse `json:"status,omitempty"`
	Error   string             `json:"error,omitempty"`
}

// Statuses asks every controller. An unreachable one is listed with its error.
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

// Document reads the accepted document.
func (c *Client) Document(ctx context.Context) (*structs.DocumentStatus, error) {
	status := &structs.DocumentStatus{}
	_, err := c.Query(ctx, "document", "", status)
	return status, err
}

func noControllerAnswered(errs []error) error {
	return fault.Wrap(fault.NotReady, errors.Join(errs...), "no controller answered")
}
