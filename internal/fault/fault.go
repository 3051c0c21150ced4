// Package fault holds the closed list of error kinds and the answer for each of them.
package fault

import (
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
)

// Kind names one class of error. The list is closed: every error that leaves a process has one of these kinds.
type Kind string

// Kinds of errors, grouped by the part that finds them.
const (
	// KeyUnknown is a missing, malformed, unknown or withdrawn key.
	KeyUnknown Kind = "key_unknown"
	// KeyFreshnessUnknown is a key that fails closed because the configuration is too old to trust.
	KeyFreshnessUnknown Kind = "key_freshness_unknown"
	// PoolUnknown is a request for a pool that the document doesn't have.
	PoolUnknown Kind = "pool_unknown"
	// RequestInvalid is a request that can't be parsed.
	RequestInvalid Kind = "request_invalid"
	// RequestTooLarge is a request whose headers or body exceed the limits.
	RequestTooLarge Kind = "request_too_large"
	// TeamLimit is a request or job beyond the team's upper limit.
	TeamLimit Kind = "team_limit"
	// LeaseLapsed is a gateway that may not admit work until its lease is renewed.
	LeaseLapsed Kind = "lease_lapsed"
	// QueueFull is a request that was shed because its team is furthest above its share.
	QueueFull Kind = "queue_full"
	// QueueTimeout is a request whose deadline passed before an endpoint was free.
	QueueTimeout Kind = "queue_timeout"
	// EndpointUnavailable is a request for a pool without a usable endpoint; it did not run.
	EndpointUnavailable Kind = "endpoint_unavailable"
	// OutcomeUnknown is a request that may or may not have run.
	OutcomeUnknown Kind = "outcome_unknown"
	// ResponseTruncated is an answer that ended early.
	ResponseTruncated Kind = "response_truncated"
	// CallerGone is a request whose caller disconnected before the answer.
	CallerGone Kind = "caller_gone"
	// ShuttingDown is a process that takes no new work.
	ShuttingDown Kind = "shutting_down"

	// DocumentInvalid is a document that breaks a rule.
	DocumentInvalid Kind = "document_invalid"
	// VersionConflict is a change against a version that is no longer current.
	VersionConflict Kind = "version_conflict"
	// OutcomeMismatch is a change set whose result differs from its outcome hash.
	OutcomeMismatch Kind = "outcome_mismatch"
	// LimitBelowAllotted is a limit below what holders and jobs have.
	LimitBelowAllotted Kind = "limit_below_allotted"
	// SettingsInvalid is a settings file that breaks a rule.
	SettingsInvalid Kind = "settings_invalid"

	// ProposalDuplicate is a record that was read before.
	ProposalDuplicate Kind = "proposal_duplicate"
	// ProposerUnknown is a record from an incarnation that has not joined or was superseded.
	ProposerUnknown Kind = "proposer_unknown"
	// HolderSuspected is a proposal by or for a suspected holder.
	HolderSuspected Kind = "holder_suspected"
	// VowsInsufficient is a suspicion without a superior set of vows.
	VowsInsufficient Kind = "vows_insufficient"
	// RightsInsufficient is a holder without the rights that it gives away.
	RightsInsufficient Kind = "rights_insufficient"
	// RightsHeld is a holder that can't leave because it still has rights.
	RightsHeld Kind = "rights_held"
	// HostUnknown is a host that the document doesn't have.
	HostUnknown Kind = "host_unknown"
	// HostEpochStale is a proposal with an old host epoch.
	HostEpochStale Kind = "host_epoch_stale"
	// HostBusy is a host that is already granted, moving or failed.
	HostBusy Kind = "host_busy"
	// BudgetExhausted is a planned stop that the availability budget doesn't permit.
	BudgetExhausted Kind = "budget_exhausted"
	// WaveUnknown is a wave that the document doesn't have.
	WaveUnknown Kind = "wave_unknown"
	// WaveNotRunning is a grant for a paused, stopped or finished wave.
	WaveNotRunning Kind = "wave_not_running"
	// WaveLimit is a grant beyond the wave's own bounds.
	WaveLimit Kind = "wave_limit"
	// JobUnknown is a job that isn't known or has ended.
	JobUnknown Kind = "job_unknown"
	// JobUnplaceable is a job that no worker of its pool can run.
	JobUnplaceable Kind = "job_unplaceable"
	// JobConflict is a proposal against an older attempt or a changed state of the job.
	JobConflict Kind = "job_conflict"

	// LogUnavailable is a log that can't be reached or doesn't answer.
	LogUnavailable Kind = "log_unavailable"
	// AppendUnsettled is an append whose outcome isn't known yet.
	AppendUnsettled Kind = "append_unsettled"
	// LogGap is a tail whose records are no longer kept.
	LogGap Kind = "log_gap"
	// RecordCorrupt is a record that can't be decoded.
	RecordCorrupt Kind = "record_corrupt"
	// SchemaUnsupported is a record of a newer format.
	SchemaUnsupported Kind = "schema_unsupported"
	// StateDiverged is a follower whose state differs from its peer's at the same offset.
	StateDiverged Kind = "state_diverged"
	// NotReady is a process that has not caught up yet.
	NotReady Kind = "not_ready"
	// Internal is a defect of the program.
	Internal Kind = "internal"
)

// StatusCallerGone is the status in the account of a request whose caller disconnected; nobody receives it.
const StatusCallerGone = 499

// Response is what a caller or operator receives for an error kind.
type Response struct {
	// HTTPStatus answers callers over HTTP.
	HTTPStatus int
	// ConnectCode answers other processes over connect.
	ConnectCode connect.Code
	// NotRun is set when the kind proves that the request did not run.
	NotRun bool
	// RetryAfterSeconds is sent as Retry-After when above 0.
	RetryAfterSeconds int
}

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
	// Field is the path of the offending field, when there is one.
	Field string
	// Detail says what was found and what is accepted.
	Detail string
	// Cause is the underlying error, when there is one.
	Cause error
}

// New returns an error of kind with a formatted detail.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind with a cause.
func Wrap(kind Kind, cause error, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), Cause: cause}
}

// Invalid returns an error of kind for the field at path.
func Invalid(kind Kind, field, format string, args ...any) *Error {
	return &Error{Kind: kind, Field: field, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
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

// ResponseFor returns the answer for kind, and that of Internal for a kind outside the list.
func ResponseFor(kind Kind) Response {
	if answer, ok := responses[kind]; ok {
		return answer
	}
	return responses[Internal]
}

// KindOf returns the kind of err, or Internal when it has none.
func KindOf(err error) Kind {
	var known *Error
	if errors.As(err, &known) {
		return known.Kind
	}
	return Internal
}

// Kinds returns all kinds of the list.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for kind := range responses {
		kinds = append(kinds, kind)
	}
	return kinds
}
