package scheduler

import "time"

// Outcome is the result of a submission or cancellation, or the answer to a query.
type Outcome struct {
	Kind OutcomeKind
	// RetryAfter is how long the caller should wait before it submits a rejected job again.
	RetryAfter time.Duration
	// Reason is the machine-readable reason for a rejection, e.g. "overload".
	Reason string
	// State is the answer to QueryState, and Pending that to QueryPending, if Kind is OutcomeDone.
	State   JobState
	Pending int
}

// OutcomeKind enumerates the outcomes.
type OutcomeKind uint8

const (
	// OutcomeDone: the acceptance or cancellation is durable, or the job had already finished; the query is answered.
	OutcomeDone OutcomeKind = iota
	// OutcomeRejected: the job isn't accepted and never runs.
	OutcomeRejected
	// OutcomeNotFound: there is no such job. After a cancellation, a job that is submitted later under the ID doesn't run.
	OutcomeNotFound
	// OutcomeUnknown: the term ended before the outcome became durable.
	OutcomeUnknown
	// OutcomeUnavailable: the log takes no appends at the moment, and the cancellation or query had no effect.
	OutcomeUnavailable
	// OutcomeTermOver: the term was over before the request, which had no effect.
	OutcomeTermOver
	// OutcomeInvalid: the job can never be accepted, and never runs.
	OutcomeInvalid
	// OutcomeUnconfirmed: this term hasn't accepted the job, and no append has confirmed that a later term hasn't either. The
	// caller is told at once, and may submit the job again. The values are sent between processes of different versions, so
	// that new ones come last.
	OutcomeUnconfirmed
)

// JobState is the state of a job as callers see it.
type JobState string

// States of jobs.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// ended reports whether a job stays in this state.
func (s JobState) ended() bool { return s == JobCompleted || s == JobFailed || s == JobCancelled }
