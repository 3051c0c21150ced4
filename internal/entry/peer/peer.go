// Package peer implements calls between entry processes, over the Connect protocol with JSON messages.
// Message fields are sent under their Go names, so they must not be renamed.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/singleflight"

	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// HTTP paths of the procedures.
const (
	submitProcedure  = "/turmericyoke.entry.v1.Entry/Submit"
	cancelProcedure  = "/turmericyoke.entry.v1.Entry/Cancel"
	stateProcedure   = "/turmericyoke.entry.v1.Entry/State"
	pendingProcedure = "/turmericyoke.entry.v1.Entry/Pending"
	configProcedure  = "/turmericyoke.entry.v1.Entry/Config"
)

// SubmitRequest submits a job.
type SubmitRequest struct {
	Job *work.Job
}

// CancelRequest cancels a job on behalf of a customer, which is empty for a queue that is open to all.
type CancelRequest struct {
	Job, Customer string
}

// Origin tells which scheduler gave an answer, for the logs.
type Origin struct {
	// Scheduler is the name of its process, and Term its term.
	Scheduler string
	Term      int64
	// ConfirmedAgeMs is the time since it sent the last append that the log has confirmed.
	ConfirmedAgeMs int64
}

// OutcomeResponse is the response to a submission or cancellation. Origin is set for cancellations.
type OutcomeResponse struct {
	Origin
	Kind         scheduler.OutcomeKind
	RetryAfterMs int64
	Reason       string
}

// StateRequest asks for the state of a job.
type StateRequest struct {
	Job string
}

// StateResponse is the state of a job; Known is false when there is none. Origin is set then.
type StateResponse struct {
	Origin
	Known bool
	State scheduler.JobState
}

// PendingRequest asks how many jobs of a queue haven't started.
type PendingRequest struct {
	Queue string
}

// PendingResponse is the number of jobs of a queue that haven't started.
type PendingResponse struct {
	Pending int
}

// ConfigRequest asks for a configuration newer than Version.
type ConfigRequest struct {
	Version int64
}

// ConfigResponse holds the published encoding of the configuration. Source is empty if there is no newer one.
type ConfigResponse struct {
	Source []byte
	// Evacuated are the evacuated availability zones as of EvacuationOffset in the operators' topic, which is 0 if the
	// process doesn't know them.
	Evacuated        []string `json:",omitempty"`
	EvacuationOffset int64    `json:",omitempty"`
}

// Service is the interface that an entry process offers to other entry processes.
type Service interface {
	Submit(ctx context.Context, request *SubmitRequest) (*OutcomeResponse, error)
	Cancel(ctx context.Context, request *CancelRequest) (*OutcomeResponse, error)
	State(ctx context.Context, request *StateRequest) (*StateResponse, error)
	Pending(ctx context.Context, request *PendingRequest) (*PendingResponse, error)
	Config(ctx context.Context, request *ConfigRequest) (*ConfigResponse, error)
}

// ErrNotScheduling is the error of a process that doesn't run the scheduler. The call had no effect.
var ErrNotScheduling = connect.NewError(connect.CodeFailedPrecondition, errors.New("this process doesn't schedule"))

// ErrUnconfirmed is the error of a read whose scheduler may have been replaced without knowing it, since the log takes none
// of its records.
var ErrUnconfirmed = connect.NewError(connect.CodeAborted, errors.New("the scheduler can't confirm its state"))

// IsUnconfirmed reports whether err is ErrUnconfirmed, of this process or another one.
func IsUnconfirmed(err error) bool { return connect.CodeOf(err) == connect.CodeAborted }

// jsonCodec encodes messages that are plain structs; the JSON codec of Connect accepts only protobuf
// messages.
type jsonCodec struct{}

func (jsonCodec) Name() string                             { return "json" }
func (jsonCodec) Marshal(message any) ([]byte, error)      { return json.Marshal(message) }
func (jsonCodec) Unmarshal(data []byte, message any) error { return json.Unmarshal(data, message) }

// NewHandler returns an HTTP handler for the procedures of service.
func NewHandler(service Service) http.Handler {
	mux := http.NewServeMux()
	registerUnary(mux, submitProcedure, service.Submit)
	registerUnary(mux, cancelProcedure, service.Cancel)
	registerUnary(mux, stateProcedure, service.State)
	registerUnary(mux, pendingProcedure, service.Pending)
	registerUnary(mux, configProcedure, service.Config)
	return mux
}

func registerUnary[Request, Response any](mux *http.ServeMux, procedure string, serve func(context.Context, *Request) (*Response, error)) {
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Response], error) {
		response, err := serve(ctx, request.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(response), nil
	}, connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(minCompressedBytes)))
}

const (
	// maxMessageBytes limits a message. The largest ones are jobs and the published configuration, which the log bounds
	// to less.
	maxMessageBytes = 16 << 20
	// minCompressedBytes is the size from which responses are compressed. For a shorter one the compressor costs as much
	// processor time as the rest of the call.
	minCompressedBytes = 4 << 10
	// dialTimeout is the time limit for opening a connection to another entry process.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 20 * time.Second
	// maxIdleConns is the maximum number of idle connections to one process.
	maxIdleConns = 16
)

// Clients holds one Client for each address of an entry process.
type Clients struct {
	mu        sync.Mutex
	byAddress map[string]*Client
}

// NewClients returns an empty set of clients.
func NewClients() *Clients { return &Clients{byAddress: map[string]*Client{}} }

// newHTTPClient returns an HTTP client with connections of its own.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}

// Client implements Service by calling one entry process.
type Client struct {
	http *http.Client
	// suspect is set while the process may have stopped responding, and probes is the probe in progress.
	suspect atomic.Bool
	probes  singleflight.Group

	submit  *connect.Client[SubmitRequest, OutcomeResponse]
	cancel  *connect.Client[CancelRequest, OutcomeResponse]
	state   *connect.Client[StateRequest, StateResponse]
	pending *connect.Client[PendingRequest, PendingResponse]
	config  *connect.Client[ConfigRequest, ConfigResponse]
}

// At returns the client for the process at address.
func (c *Clients) At(address string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client := c.byAddress[address]; client != nil {
		return client
	}
	httpClient := newHTTPClient()
	client := &Client{
		http:    httpClient,
		submit:  newClient[SubmitRequest, OutcomeResponse](httpClient, address, submitProcedure),
		cancel:  newClient[CancelRequest, OutcomeResponse](httpClient, address, cancelProcedure),
		state:   newClient[StateRequest, StateResponse](httpClient, address, stateProcedure),
		pending: newClient[PendingRequest, PendingResponse](httpClient, address, pendingProcedure),
		config:  newClient[ConfigRequest, ConfigResponse](httpClient, address, configProcedure),
	}
	c.byAddress[address] = client
	return client
}

func newClient[Request, Response any](client *http.Client, address, procedure string) *connect.Client[Request, Response] {
	return connect.NewClient[Request, Response](client, "http://"+address+procedure, connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(maxMessageBytes))
}

// Submit implements Service.
func (c *Client) Submit(ctx context.Context, request *SubmitRequest) (*OutcomeResponse, error) {
	return callVerified(ctx, c, c.submit, request)
}

// Cancel implements Service.
func (c *Client) Cancel(ctx context.Context, request *CancelRequest) (*OutcomeResponse, error) {
	return callVerified(ctx, c, c.cancel, request)
}

// State implements Service.
func (c *Client) State(ctx context.Context, request *StateRequest) (*StateResponse, error) {
	return callVerified(ctx, c, c.state, request)
}

// Pending implements Service.
func (c *Client) Pending(ctx context.Context, request *PendingRequest) (*PendingResponse, error) {
	return callVerified(ctx, c, c.pending, request)
}

// Config implements Service.
func (c *Client) Config(ctx context.Context, request *ConfigRequest) (*ConfigResponse, error) {
	return callUnary(ctx, c, c.config, request)
}

// HadNoEffect reports whether err proves that the call had no effect: it wasn't sent, the connection couldn't be
// opened, or the process responded that it doesn't run the scheduler.
func HadNoEffect(err error) bool {
	if errors.Is(err, errNotSent) || connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return true
	}
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED)
}
