// Package infra declares what the product needs from the infrastructure on which it runs: a log
// with keyed topics and groups, the lists of workers and hosts, and the calls to them. The adapter
// of the users' platform implements it, and tests implement it in memory.
package infra

import (
	"context"
	"errors"
	"fmt"
	"time"

	"turmericyoke/internal/work"
)

// ErrorKind says what is known of a call that didn't succeed. The list is closed.
type ErrorKind string

// Kinds of errors.
const (
	// Refused: the call had no effect and won't have one.
	Refused ErrorKind = "refused"
	// Unknown: the call may have taken effect, or may do so later.
	Unknown ErrorKind = "unknown"
	// Conflict: the condition of the call didn't hold.
	Conflict ErrorKind = "conflict"
	// Fenced: someone with a higher fencing token has taken over.
	Fenced ErrorKind = "fenced"
	// OutOfSequence: the writer's sequence number doesn't follow the last one.
	OutOfSequence ErrorKind = "out_of_sequence"
	// Trimmed: the records aren't kept any more.
	Trimmed ErrorKind = "trimmed"
	// WorkerReplaced: the worker that was meant is gone; another one answers at its address.
	WorkerReplaced ErrorKind = "reborn"
	// Superseded: the worker has seen this run, or a later one, end.
	Superseded ErrorKind = "superseded"
	// LeaseExpired: the lease of the order had lapsed when the order arrived.
	LeaseExpired ErrorKind = "late"
	// NoCapacity: the worker has no room.
	NoCapacity ErrorKind = "no_room"
	// Unavailable: the worker or service turned the call away for now.
	Unavailable ErrorKind = "unhealthy"
	// Busy: the host is down, moving or leaving.
	Busy ErrorKind = "busy"
	// Invalid: the call or its answer can't be understood.
	Invalid ErrorKind = "invalid"
)

// Error is an error of a known kind.
type Error struct {
	Kind ErrorKind
	// Op names the call.
	Op     string
	Detail string
	Cause  error
	// Expected is the sequence number that an OutOfSequence names.
	Expected int64
}

// Error implements error.
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

// KindOf returns the kind of err, Unknown for an error without one, and "" for nil.
func KindOf(err error) ErrorKind {
	if err == nil {
		return ""
	}
	var known *Error
	if errors.As(err, &known) {
		return known.Kind
	}
	return Unknown
}

// Record is a record of a keyed topic.
type Record struct {
	Key string
	// Value is nil when the key is dropped.
	Value  []byte
	Offset int64
}

// Page is a range of records.
type Page struct {
	Records []Record
	// Next is the offset after the last record of the page.
	Next int64
	// End is the offset after the last record of the topic when it was read.
	End int64
}

// AppendOptions are the conditions of an append.
type AppendOptions struct {
	// ExpectedEnd is the offset at which the topic must end; nil: no condition.
	ExpectedEnd *int64
	// Writer, Epoch and Sequence number the appends of one writer. Once an epoch has been seen, lower
	// ones are Fenced, and a repeated append has the effect of one. An empty Writer numbers nothing.
	Writer   string
	Epoch    int64
	Sequence int64
}

// Log is an append-only log of keyed topics that keeps the newest record of each key for good.
type Log interface {
	// LatestByKey returns the newest record of each key, and an offset from which to read on: changes made
	// while the pages were read may or may not be included.
	LatestByKey(ctx context.Context, topic string) ([]Record, int64, error)
	// Read returns the records from the offset on, and waits for one. An empty page is no error.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
	// Append adds the records all or nothing, and returns the offset of the first one. Without records
	// it only sets the epoch.
	Append(ctx context.Context, topic string, records []Record, options AppendOptions) (int64, error)
}

// Member is a process that is joined to the group of entry processes.
type Member struct {
	Name string
	// Zone and Address are where other processes reach it.
	Zone    string
	Address string
	// CPUMilli is the processor share of its host in thousandths of a core.
	CPUMilli int64
	// StartUnix is the Unix second of its start.
	StartUnix int64
}

// Group tells the entry processes of each other.
type Group interface {
	// Join joins, or renews membership for the time to live.
	Join(ctx context.Context, self Member, ttl time.Duration) error
	Leave(ctx context.Context, self Member) error
	// Members lists those joined.
	Members(ctx context.Context) ([]Member, error)
}

// ConfigSource tells of the operators' configuration.
type ConfigSource interface {
	// Wait returns what is new after at most wait. Config is nil when there is no newer one.
	Wait(ctx context.Context, wait time.Duration) (ConfigUpdate, error)
}

// ConfigUpdate is what operators published since the last update.
type ConfigUpdate struct {
	Config *work.Config
	// RawConfig is the published form of Config, for processes that can't reach the log.
	RawConfig []byte
	Waves     []Wave
}

// Wave asks for the upkeep of hosts.
type Wave struct {
	ID    int64
	Hosts []string
	// TimeLimit is the time from its publication in which every host should have had its upkeep.
	TimeLimit time.Duration
	// MaxDown bounds the hosts of the wave that are down for it at once.
	MaxDown int
}

// WorkerEntry is a worker's entry in the platform's list. The list lags.
type WorkerEntry struct {
	ID      string
	Pool    string
	Address string
	Zone    string
	// Draining workers take no new work.
	Draining bool
	// MinTimeLeft is the least time that a draining worker stays.
	MinTimeLeft time.Duration
	// WarmupLeft is how much longer the worker is slow after its start.
	WarmupLeft time.Duration
	Capacity   work.Resources
	Labels     []string
	// StartUnixMs is the Unix millisecond of the worker's start. A worker that starts again under its ID knows nothing of before.
	StartUnixMs int64
}

// WorkerUpdate is a change of the list of workers.
type WorkerUpdate struct {
	// Full is set when the update is the whole list.
	Full    bool
	Entries []WorkerEntry
	// Removed are the IDs of workers that left the list.
	Removed []string
}

// Directory is the platform's list of workers.
type Directory interface {
	// Poll returns the changes since the last call; the first update is the whole list.
	Poll(ctx context.Context) (WorkerUpdate, error)
}

// WorkerRef names one lifetime of a worker.
type WorkerRef struct {
	ID      string
	Address string
}

// StartOrder starts a run of a work item.
type StartOrder struct {
	Item       work.ItemID
	Run        int64
	Spec       string
	Checkpoint string
	// LeaseEndMs is the end of the lease on the worker's clock.
	LeaseEndMs   int64
	FencingToken int64
	// Ticket is needed for queues whose hosts an advice service grants.
	Ticket string
}

// ActiveRun is a run that a worker lists.
type ActiveRun struct {
	Item       work.ItemID
	Run        int64
	Checkpoint string
	// ProgressPercent is 100 when a lasting work item is at work, and progress otherwise.
	ProgressPercent int
	// Load is the tail of response times in ms of a serving work item, and thousandths of a core of others.
	Load int64
}

// EndCause says how a run ended.
type EndCause string

// Causes of ends.
const (
	EndDone         EndCause = "done"
	EndFailed       EndCause = "failed"
	EndStopped      EndCause = "stopped"
	EndLeaseExpired EndCause = "lapsed"
	// EndGangBroken: another member of the gang ended.
	EndGangBroken EndCause = "broken"
	// EndGangIncomplete: the other members of the gang didn't come in time.
	EndGangIncomplete EndCause = "alone"
)

// EndedRun is the end of a run that a worker lists until it is confirmed.
type EndedRun struct {
	// Sequence rises from 1 in each lifetime of a worker.
	Sequence   int64
	Item       work.ItemID
	Run        int64
	Cause      EndCause
	Checkpoint string
}

// LeaseRenewal renews the lease of all that runs on a worker and asks for its lists.
type LeaseRenewal struct {
	FencingToken int64
	// AckedEnd confirms the ends up to this number.
	AckedEnd int64
	// LeaseEndMs is the end of the lease on the worker's clock; 0 doesn't renew it.
	LeaseEndMs int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// WorkerReport is a worker's answer to a hold.
type WorkerReport struct {
	ClockMs int64
	// StartUnixMs is 0 when the worker didn't say.
	StartUnixMs int64
	Running     []ActiveRun
	Ended       []EndedRun
	// Partial is set when more ends wait than one answer holds.
	Partial bool
}

// Workers calls workers. Errors are of kind Error.
type Workers interface {
	Start(ctx context.Context, worker WorkerRef, order StartOrder) (clockMs int64, err error)
	Stop(ctx context.Context, worker WorkerRef, item work.ItemID, run, token int64) (clockMs int64, err error)
	SetPace(ctx context.Context, worker WorkerRef, item work.ItemID, run int64, percent int, token int64) (clockMs int64, err error)
	RenewLease(ctx context.Context, worker WorkerRef, request LeaseRenewal) (WorkerReport, error)
}

// HostState is what a host does.
type HostState string

// States of hosts.
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

// Hosts lists and changes hosts. Orders are fenced for each host.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
	Move(ctx context.Context, host, pool string, token int64) error
	StartMaintenance(ctx context.Context, host string, wave int64, token int64) error
}

// WaveState is what operators read of a wave.
type WaveState string

// States of waves.
const (
	WaveRunning   WaveState = "running"
	WaveCompleted WaveState = "completed"
)

// AdviceService asks which workers may run a step.
type AdviceService interface {
	// RequestTickets returns the tickets of the granted workers by ID, and how long they hold.
	RequestTickets(ctx context.Context, job string, occurrence, step int, workers []string) (map[string]string, time.Duration, error)
}
