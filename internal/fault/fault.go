// Package fault defines the closed list of error kinds and the response for each of them.
package fault

import (
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
)

// Kind is a class of errors. The list is closed: every error that leaves a process has one of these kinds.
type Kind string

// Kinds of errors, grouped by the part of the system that detects them.
const (
	// KeyUnknown is a request whose API key is missing, malformed, unknown or revoked.
	KeyUnknown Kind = "key_unknown"
	// KeyFreshnessUnknown is a request whose API key is refused because the configuration isn't known to have
	// been current within the key's FailClosedAfter or, if it doesn't have the key, within the time of a roll-out.
	KeyFreshnessUnknown Kind = "key_freshness_unknown"
	// PoolUnknown is a request for a pool that the document doesn't have.
	PoolUnknown Kind = "pool_unknown"
	// RequestInvalid is a request that can't be parsed.
	RequestInvalid Kind = "request_invalid"
	// RequestTooLarge is a request whose headers or body exceed the size limits.
	RequestTooLarge Kind = "request_too_large"
	// TeamLimit is a request or job that would exceed the team's upper limit.
	TeamLimit Kind = "team_limit"
	// LeaseLapsed is a gateway that may not admit work until its lease is renewed.
	LeaseLapsed Kind = "lease_lapsed"
	// QueueFull is a request that was shed from a full queue because its team is furthest above its share.
	QueueFull Kind = "queue_full"
	// QueueTimeout is a request whose deadline passed before an endpoint had a free slot.
	QueueTimeout Kind = "queue_timeout"
	// EndpointUnavailable is a request for a pool without a usable endpoint; the request did not run.
	EndpointUnavailable Kind = "endpoint_unavailable"
	// OutcomeUnknown is a request that may or may not have run.
	OutcomeUnknown Kind = "outcome_unknown"
	// Unconfirmed is a submission of which it isn't known whether another process has accepted the job. Unlike one of kind
	// OutcomeUnknown it isn't repeated before its caller is told: the caller submits the job again, at any process.
	Unconfirmed Kind = "unconfirmed"
	// ResponseTruncated is a response that ended before it was complete.
	ResponseTruncated Kind = "response_truncated"
	// CallerGone is a request whose caller disconnected before the response.
	CallerGone Kind = "caller_gone"
	// ShuttingDown is a request to a process that is shutting down and accepts no new work.
	ShuttingDown Kind = "shutting_down"

	// DocumentInvalid is a configuration document that fails validation.
	DocumentInvalid Kind = "document_invalid"
	// VersionConflict is a change based on a version of the document that is no longer current.
	VersionConflict Kind = "version_conflict"
	// OutcomeMismatch is a change set whose result differs from its outcome hash.
	OutcomeMismatch Kind = "outcome_mismatch"
	// LimitBelowAllotted is a new upper limit below the units that rights holders and running jobs have.
	LimitBelowAllotted Kind = "limit_below_allotted"
	// SettingsInvalid is a settings file that fails validation.
	SettingsInvalid Kind = "settings_invalid"

	// ProposalDuplicate is a proposal whose record was already read from the log.
	ProposalDuplicate Kind = "proposal_duplicate"
	// ProposerUnknown is a proposal of an incarnation that has not joined or was superseded.
	ProposerUnknown Kind = "proposer_unknown"
	// HolderSuspected is a proposal by or for a suspected rights holder.
	HolderSuspected Kind = "holder_suspected"
	// VowsInsufficient is a proposal to suspect a holder without vows of a quorum of its zone, or of an
	// earlier membership of the zone that the holder may still use. A controller can only be suspected with
	// an operator's confirmation.
	VowsInsufficient Kind = "vows_insufficient"
	// RightsInsufficient is a proposal to give away rights that the holder doesn't have.
	RightsInsufficient Kind = "rights_insufficient"
	// RightsHeld is a proposal to leave by a holder that still has rights.
	RightsHeld Kind = "rights_held"
	// HostUnknown is a reference to a host that isn't in the document.
	HostUnknown Kind = "host_unknown"
	// HostEpochStale is a proposal whose host epoch is no longer current.
	HostEpochStale Kind = "host_epoch_stale"
	// HostBusy is a proposal for a host that already has a maintenance grant, is moving or has failed.
	HostBusy Kind = "host_busy"
	// BudgetExhausted is a planned stop that the pool's availability budget doesn't permit.
	BudgetExhausted Kind = "budget_exhausted"
	// WaveUnknown is a reference to a wave that isn't in the document.
	WaveUnknown Kind = "wave_unknown"
	// WaveNotRunning is a maintenance grant for a paused, stopped or finished wave.
	WaveNotRunning Kind = "wave_not_running"
	// WaveLimit is a maintenance grant that would exceed the wave's own limits.
	WaveLimit Kind = "wave_limit"
	// JobUnknown is a reference to a job that doesn't exist or has ended.
	JobUnknown Kind = "job_unknown"
	// JobUnplaceable is a job that no worker of its pool is able to run.
	JobUnplaceable Kind = "job_unplaceable"
	// JobConflict is a proposal for an older attempt of the job, or for a state that has changed meanwhile.
	JobConflict Kind = "job_conflict"

	// LogUnavailable is a log that can't be reached or doesn't respond.
	LogUnavailable Kind = "log_unavailable"
	// AppendUnsettled is an append whose outcome isn't known yet.
	AppendUnsettled Kind = "append_unsettled"
	// LogGap is a gap between a reader's offset and the next record available to it, for example because
	// older records are no longer kept.
	LogGap Kind = "log_gap"
	// RecordCorrupt is a log record that can't be decoded.
	RecordCorrupt Kind = "record_corrupt"
	// SchemaUnsupported is a log record in a newer format than this process supports.
	SchemaUnsupported Kind = "schema_unsupported"
	// StateDiverged is a follower whose state differs from the state of a peer at the same offset.
	StateDiverged Kind = "state_diverged"
	// NotReady is a process that has not caught up with the log yet.
	NotReady Kind = "not_ready"
	// Internal is a defect of the program, or an error without a kind.
	Internal Kind = "internal"
)

// StatusCallerGone is the status recorded for a request whose caller disconnected. It is never sent, since
// there is no caller left to receive it.
const StatusCallerGone = 499

// Response is the response to a caller or operator for an error kind.
type Response struct {
	// HTTPStatus is the status for callers over HTTP.
	HTTPStatus int
	// ConnectCode is the status code for other processes over the Connect protocol.
	ConnectCode connect.Code
	// NotRun is set when an error of this kind proves that the request did not run.
	NotRun bool
	// RetryAfterSeconds is sent as the Retry-After header if it is above 0.
	RetryAfterSeconds int
}

// responses maps each kind of the closed list to its response.
var responses = map[Kind]Response{
	KeyUnknown:          {http.StatusUnauthorized, connect.CodeUnauthenticated, true, 0},
	KeyFreshnessUnknown: {http.StatusServiceUnavailable, connect.CodeUnavailable, true, 5},
	PoolUnknown:         {http.StatusNotFound, connect.CodeNotFound, true, 0},
	RequestInvalid:      {http.StatusBadRequest, connect.CodeInvalidArgument, true, 0},
	RequestTooLarge:     {http.StatusRequestEntityTooLarge, connect.CodeInvalidArgument, true, 0},
	TeamLimit:           {http.StatusTooManyRequests, connect.CodeResourceExhausted, true, 1},
	LeaseLapsed:         {http.StatusServiceUnavailable, connect.CodeUnavailable, true, 1},
	QueueFull:           {http.StatusServiceUnavailable, connect.CodeResourceExhausted, true, 1},
	QueueTimeout:        {http.StatusServiceUnavailable, connect.CodeDeadlineExceeded, true, 1},
	EndpointUnavailable: {http.StatusServiceUnavailable, connect.CodeUnavailable, true, 1},
	OutcomeUnknown:      {http.StatusBadGateway, connect.CodeUnknown, false, 0},
	Unconfirmed:         {http.StatusBadGateway, connect.CodeUnknown, false, 0},
	ResponseTruncated:   {http.StatusBadGateway, connect.CodeDataLoss, false, 0},
	CallerGone:          {StatusCallerGone, connect.CodeCanceled, false, 0},
	ShuttingDown:        {http.StatusServiceUnavailable, connect.CodeUnavailable, true, 1},

	DocumentInvalid:    {http.StatusUnprocessableEntity, connect.CodeInvalidArgument, true, 0},
	VersionConflict:    {http.StatusConflict, connect.CodeAborted, true, 0},
	OutcomeMismatch:    {http.StatusConflict, connect.CodeAborted, true, 0},
	LimitBelowAllotted: {http.StatusConflict, connect.CodeFailedPrecondition, true, 1},
	SettingsInvalid:    {http.StatusUnprocessableEntity, connect.CodeInvalidArgument, true, 0},

	ProposalDuplicate:  {http.StatusConflict, connect.CodeAlreadyExists, true, 0},
	ProposerUnknown:    {http.StatusConflict, connect.CodeFailedPrecondition, true, 0},
	HolderSuspected:    {http.StatusConflict, connect.CodeFailedPrecondition, true, 0},
	VowsInsufficient:   {http.StatusConflict, connect.CodeFailedPrecondition, true, 0},
	RightsInsufficient: {http.StatusConflict, connect.CodeFailedPrecondition, true, 0},
	RightsHeld:         {http.StatusConflict, connect.CodeFailedPrecondition, true, 0},
	HostUnknown:        {http.StatusNotFound, connect.CodeNotFound, true, 0},
	HostEpochStale:     {http.StatusConflict, connect.CodeAborted, true, 0},
	HostBusy:           {http.StatusConflict, connect.CodeFailedPrecondition, true, 0},
	BudgetExhausted:    {http.StatusConflict, connect.CodeFailedPrecondition, true, 0},
	WaveUnknown:        {http.StatusNotFound, connect.CodeNotFound, true, 0},
	WaveNotRunning:     {http.StatusConflict, connect.CodeFailedPrecondition, true, 0},
	WaveLimit:          {http.StatusConflict, connect.CodeFailedPrecondition, true, 0},
	JobUnknown:         {http.StatusNotFound, connect.CodeNotFound, true, 0},
	JobUnplaceable:     {http.StatusUnprocessableEntity, connect.CodeFailedPrecondition, true, 0},
	JobConflict:        {http.StatusConflict, connect.CodeAborted, true, 0},

	LogUnavailable:    {http.StatusServiceUnavailable, connect.CodeUnavailable, true, 5},
	AppendUnsettled:   {http.StatusAccepted, connect.CodeUnknown, false, 5},
	LogGap:            {http.StatusServiceUnavailable, connect.CodeDataLoss, true, 5},
	RecordCorrupt:     {http.StatusServiceUnavailable, connect.CodeDataLoss, true, 0},
	SchemaUnsupported: {http.StatusServiceUnavailable, connect.CodeUnimplemented, true, 0},
	StateDiverged:     {http.StatusServiceUnavailable, connect.CodeDataLoss, true, 0},
	NotReady:          {http.StatusServiceUnavailable, connect.CodeUnavailable, true, 1},
	Internal:          {http.StatusInternalServerError, connect.CodeInternal, false, 0},
}

// Error is an error of a known kind.
type Error struct {
	Kind Kind
	// Field is the path of the invalid field; empty if the error isn't about a field.
	Field string
	// Detail describes what was found and what would be accepted.
	Detail string
	// Cause is the underlying error; nil if there is none.
	Cause error
}

// New returns an error of kind with a formatted detail.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind with a cause and a formatted detail.
func Wrap(kind Kind, cause error, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), Cause: cause}
}

// Invalid returns an error of kind about a field, given by its path, with a formatted detail.
func Invalid(kind Kind, field, format string, args ...any) *Error {
	return &Error{Kind: kind, Field: field, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the kind, followed by the field, the detail and the cause where they are set.
func (e *Error) Error() string {
	text := string(e.Kind)
	if e.Field != "" {
		text += " " + e.Field
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ResponseFor returns the response for kind, or the response for Internal if kind isn't in the list.
func ResponseFor(kind Kind) Response {
	if response, ok := responses[kind]; ok {
		return response
	}
	return responses[Internal]
}

// KindOf returns the kind of the first *Error in the chain of err, or Internal if there is none.
func KindOf(err error) Kind {
	var kindErr *Error
	if errors.As(err, &kindErr) {
		return kindErr.Kind
	}
	return Internal
}

// Kinds returns all kinds of the list, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for kind := range responses {
		kinds = append(kinds, kind)
	}
	return kinds
}
