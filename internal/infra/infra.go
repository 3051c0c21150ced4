// Package infra declares the interfaces through which the product uses the infrastructure on which it runs: a
// log with keyed topics, group membership, the lists of workers and hosts, and calls to both. Package
// platform implements the interfaces for the users' platform, and infratest implements the log and the group
// in memory.
package infra

import (
	"context"
	"errors"
	"fmt"
	"time"

	"turmericyoke/internal/work"
)

// ErrorKind classifies the errors of a call by what is known about its effect. The list is closed.
type ErrorKind string

// Kinds of errors.
const (
	// Refused means that the call had no effect and won't have one later.
	Refused ErrorKind = "refused"
	// Unknown means that the call may have taken effect, or may still take effect later.
	Unknown ErrorKind = "unknown"
	// Conflict means that a condition of the call wasn't met.
	Conflict ErrorKind = "conflict"
	// Fenced means that a higher fencing token was seen before, so that another process has taken over.
	Fenced ErrorKind = "fenced"
	// OutOfSequence means that the writer's sequence number isn't the next one.
	OutOfSequence ErrorKind = "out_of_sequence"
	// Trimmed means that the requested records are no longer kept.
	Trimmed ErrorKind = "trimmed"
	// WorkerReplaced means that the addressed worker has ended and another one responds at its address.
	WorkerReplaced ErrorKind = "reborn"
	// Superseded means that this run, or a later run of the work item, already ended at the worker.
	Superseded ErrorKind = "superseded"
	// LeaseExpired means that the lease in the order had expired when the order arrived.
	LeaseExpired ErrorKind = "late"
	// NoCapacity means that the worker doesn't have enough free resources.
	NoCapacity ErrorKind = "no_room"
	// NotGranted means that the worker wants a valid ticket of the advice service.
	NotGranted ErrorKind = "not_granted"
	// Unavailable means that the worker or service rejected the call for the time being.
	Unavailable ErrorKind = "unhealthy"
	// Busy means that the host is down, moving or leaving.
	Busy ErrorKind = "busy"
	// Invalid means that the call or its response is malformed.
	Invalid ErrorKind = "invalid"
	// RelayFailed means that the process through which the call was to be sent doesn't respond. The call may have taken
	// effect or may take effect later. It says nothing about the addressed worker.
	RelayFailed ErrorKind = "relay_failed"
)

// Error is an error of a call, with its kind.
type Error struct {
	Kind ErrorKind
	// Op is the name of the call.
	Op     string
	Detail string
	Cause  error
	// Expected is the next sequence number; it is set only for OutOfSequence.
	Expected int64
}

// Error returns the call and the kind, followed by the detail and the cause where they are set.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Op, e.Kind)
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

// KindOf returns the kind of the first *Error in the chain of err, Unknown if there is none, and "" if err is
// nil.
func KindOf(err error) ErrorKind {
	if err == nil {
		return ""
	}
	var kindErr *Error
	if errors.As(err, &kindErr) {
		return kindErr.Kind
	}
	return Unknown
}

// Record is one record of a keyed topic.
type Record struct {
	Key string
	// Value is nil in a record that deletes the key.
	Value  []byte
	Offset int64
}

// RecordOverhead is the most bytes that a log stores with the key and the value of a record.
const RecordOverhead = 8

// Size returns the most bytes that the record takes in a log.
func (r *Record) Size() int { return len(r.Key) + len(r.Value) + RecordOverhead }

// Page is a contiguous range of records.
type Page struct {
	Records []Record
	// Next is the offset after the last record of the page.
	Next int64
	// End is the offset after the last record of the topic at the time of the read.
	End int64
}

// AppendOptions holds the conditions of an append.
type AppendOptions struct {
	// ExpectedEnd is the offset at which the topic must end; nil means no condition.
	ExpectedEnd *int64
	// Writer, Epoch and Sequence identify an append of one writer. An append in a lower epoch than the
	// highest one seen fails with Fenced, and an append that is repeated under the same sequence number takes
	// effect only once. Without a Writer, neither check is made.
	Writer   string
	Epoch    int64
	Sequence int64
}

// Log is an append-only log of keyed topics. It keeps at least the newest record of each key forever.
type Log interface {
	// LatestByKey returns the newest record of each key, and the offset from which to continue with Read.
	// Records that are appended during the call may or may not be in the result; in both cases they can be
	// read from that offset.
	LatestByKey(ctx context.Context, topic string) ([]Record, int64, error)
	// Read returns records from the offset on. If there are none, it waits up to wait for one; an empty page
	// isn't an error.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
	// Append adds all records or none, and returns the offset of the first one. Without records it only
	// raises the writer's epoch. Its error is of kind Invalid if the log never accepts the records.
	Append(ctx context.Context, topic string, records []Record, options AppendOptions) (int64, error)
}

// Member describes an entry process that joined the group.
type Member struct {
	Name string
	// Zone is the availability zone of the process, and Address the host:port for calls of other entry
	// processes.
	Zone    string
	Address string
	// CPUMilli is the processor time available to the process, in thousandths of a core.
	CPUMilli int64
	// StartUnix is the start time of the process, in Unix seconds.
	StartUnix int64
}

// Group is the membership of the entry processes, through which they find each other.
type Group interface {
	// Join adds self to the group or renews its membership, which expires after ttl. leads is set by the
	// process that schedules.
	Join(ctx context.Context, self Member, leads bool, ttl time.Duration) error
	Leave(ctx context.Context, self Member) error
	// Members returns the members that joined with leads set, and the other members as far as the platform
	// lists them: in a large group, members may be missing.
	Members(ctx context.Context) ([]Member, error)
}

// ConfigSource delivers the configuration and the maintenance waves that operators publish.
type ConfigSource interface {
	// Wait returns what was published since the last call. If nothing was, it waits up to wait and may return
	// an empty update.
	Wait(ctx context.Context, wait time.Duration) (ConfigUpdate, error)
}

// ConfigUpdate holds what operators published since the last update.
type ConfigUpdate struct {
	// Config is nil when there is no newer configuration.
	Config *work.Config
	// RawConfig is the published encoding of Config. Processes that can't reach the log get it from a peer.
	RawConfig []byte
	Waves     []Wave
	// Evacuations are the changes of zone evacuations, in the order of the log. If Complete is set, they are instead all
	// evacuations in force.
	Evacuations []EvacuationChange
	Complete    bool
	// Offset is the offset in the operators' topic up to which the update was read; 0 if it isn't known. It orders
	// updates from different processes.
	Offset int64
}

// EvacuationChange begins or ends the evacuation of an availability zone.
type EvacuationChange struct {
	Zone  string
	Ended bool
	// Offset is that of the record in the operators' topic.
	Offset int64
}

// Wave is a request for maintenance of a set of hosts.
type Wave struct {
	ID    int64
	Hosts []string
	// TimeLimit is the time, from the publication of the wave, within which the maintenance of every host
	// should be done.
	TimeLimit time.Duration
	// MaxDown limits the number of hosts that are down for the wave at the same time.
	MaxDown int
}

// WorkerEntry is a worker's entry in the platform's list of workers. The list lags behind the actual state.
type WorkerEntry struct {
	ID      string
	Pool    string
	Address string
	Zone    string
	// Draining workers accept no new work.
	Draining bool
	// MinTimeLeft is the minimum time until a draining worker stops.
	MinTimeLeft time.Duration
	// WarmupLeft is the remaining time for which the worker is slow after its start.
	WarmupLeft time.Duration
	Capacity   work.Resources
	Labels     []string
	// StartUnixMs is the worker's start time in Unix milliseconds. It tells restarts under the same ID apart:
	// a restarted worker has lost all earlier runs.
	StartUnixMs int64
	// ClockMs is the time of the worker's clock when it wrote the entry, in milliseconds; 0 if unknown.
	ClockMs int64
}

// WorkerUpdate is a change to the list of workers.
type WorkerUpdate struct {
	// Full is set when Entries is the complete list.
	Full    bool
	Entries []WorkerEntry
	// Removed holds the IDs of workers that left the list.
	Removed []string
}

// Directory is the platform's list of workers.
type Directory interface {
	// Poll returns the changes since the last call. The first update is the complete list.
	Poll(ctx context.Context) (WorkerUpdate, error)
}

// WorkerRef identifies the worker that a call is meant for. A call fails with WorkerReplaced if a worker with
// another ID responds at the address.
type WorkerRef struct {
	ID      string
	Address string
	// Zone is the availability zone of the worker, as far as it is known.
	Zone string
}

// StartOrder is an order to a worker to start a run of a work item.
type StartOrder struct {
	Item       work.ItemID
	Run        int64
	Spec       string
	Checkpoint string
	// LeaseEndMs is the time on the worker's clock, in milliseconds, at which the lease of the run ends.
	LeaseEndMs int64
	// Token is the fencing token: the scheduler's term number. Workers that saw a higher one refuse the call.
	Token int64
	// Ticket is the permission of the advice service; empty for queues that don't need it.
	Ticket string
}

// ActiveRun is a run that is active at a worker, as reported by it.
type ActiveRun struct {
	Item       work.ItemID
	Run        int64
	Checkpoint string
	// ProgressPercent is the progress of the run. A long-running work item reports 100 once it is fully
	// started.
	ProgressPercent int
	// Load is the tail latency in milliseconds if the work item serves requests, and otherwise its processor
	// use in thousandths of a core.
	Load int64
}

// EndCause is the reason why a run ended.
type EndCause string

// Reasons for the end of a run.
const (
	EndDone         EndCause = "done"
	EndFailed       EndCause = "failed"
	EndStopped      EndCause = "stopped"
	EndLeaseExpired EndCause = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndCause = "broken"
	// EndGangIncomplete means that the other members of the gang weren't started in time.
	EndGangIncomplete EndCause = "alone"
)

// EndedRun is the end of a run. A worker reports it until the end is acknowledged.
type EndedRun struct {
	// Sequence numbers the ended runs from 1 in each lifetime of a worker.
	Sequence   int64
	Item       work.ItemID
	Run        int64
	Cause      EndCause
	Checkpoint string
}

// LeaseRenewal renews the leases of all runs on a worker and requests its report.
type LeaseRenewal struct {
	// Token is the fencing token: the scheduler's term number. Workers that saw a higher one refuse the call.
	Token int64
	// AckedEnd acknowledges the ended runs up to this sequence number.
	AckedEnd int64
	// LeaseEndMs is the new end of the leases on the worker's clock, in milliseconds; 0 doesn't renew them.
	LeaseEndMs int64
	// Wait is the time for which the worker may delay its report until a run ends.
	Wait time.Duration
	// ResponseTime is the time limit for the response, besides Wait; 0 means the adapter's own limit.
	ResponseTime time.Duration
}

// WorkerReport is a worker's response to a lease renewal.
type WorkerReport struct {
	// ClockMs is the worker's clock in milliseconds.
	ClockMs int64
	// StartUnixMs is the worker's start time in Unix milliseconds, or 0 if the worker didn't report it.
	StartUnixMs int64
	Running     []ActiveRun
	Ended       []EndedRun
	// Partial is set when the report holds the maximum number of ended runs, so that more may follow.
	Partial bool
}

// sendLimitKey is the key of the send limit in a context.
type sendLimitKey struct{}

// WithSendLimit returns a context in which a call may wait for at most this long before it is sent to its worker. It
// doesn't limit the time until the response.
func WithSendLimit(ctx context.Context, limit time.Duration) context.Context {
	return context.WithValue(ctx, sendLimitKey{}, limit)
}

// SendLimit returns the limit that WithSendLimit has set, and false if there is none.
func SendLimit(ctx context.Context) (time.Duration, bool) {
	limit, limited := ctx.Value(sendLimitKey{}).(time.Duration)
	return limit, limited
}

// Workers calls workers. Errors are of type *Error.
type Workers interface {
	Start(ctx context.Context, worker WorkerRef, order StartOrder) (clockMs int64, err error)
	Stop(ctx context.Context, worker WorkerRef, item work.ItemID, run, token int64) (clockMs int64, err error)
	// SetPace limits a best-effort work item to a percentage of its full speed.
	SetPace(ctx context.Context, worker WorkerRef, item work.ItemID, run int64, percent int, token int64) (clockMs int64, err error)
	RenewLease(ctx context.Context, worker WorkerRef, request LeaseRenewal) (WorkerReport, error)
}

// HostState is the state of a host.
type HostState string

// States of hosts. The platform calls maintenance upkeep.
const (
	HostUp          HostState = "up"
	HostMoving      HostState = "moving"
	HostMaintenance HostState = "upkeep"
	HostDown        HostState = "down"
)

// Host is a host of the fleet.
type Host struct {
	ID       string
	Pool     string
	State    HostState
	Zone     string
	WorkerID string
	Labels   []string
	Capacity work.Resources
}

// Hosts lists hosts and sends orders to them. The platform compares the fencing tokens of orders per host.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
	// Move orders a host to move to another pool.
	Move(ctx context.Context, host, pool string, token int64) error
	// StartMaintenance orders the maintenance of a host, as part of a wave.
	StartMaintenance(ctx context.Context, host string, wave int64, token int64) error
}

// WaveState is the state of a wave that is published to operators.
type WaveState string

// States of waves.
const (
	WaveRunning   WaveState = "running"
	WaveCompleted WaveState = "completed"
)

// AdviceService grants permission to run a step on a worker, for queues that need it.
type AdviceService interface {
	// RequestTickets returns a ticket for each worker that may run the step, by worker ID, and the time for
	// which the tickets are valid.
	RequestTickets(ctx context.Context, job string, occurrence, step int, workers []string) (map[string]string, time.Duration, error)
}
