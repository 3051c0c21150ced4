// Package schedule is the control loop that places jobs on workers. It follows the fold, plans in cycles,
// proposes starts, runs the started attempts on workers under leases, and proposes their ends. All durable
// state is in the fold, so another controller can take over at any step.
package schedule

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/fold/jobs"
	"turmericyoke/internal/placement"
	"turmericyoke/internal/structs"
)

// State is the part of the fleet state that the loop reads.
type State interface {
	// Offset returns the offset of the last folded record.
	Offset() int64
	// Document returns the accepted document. It is never modified, only replaced by a new one.
	Document() *structs.Document
	Jobs() *jobs.State
	Hosts() []inventory.Host
	// Unallocated returns the units of the team that neither a holder nor a job has.
	Unallocated(team string) uint64
}

// Reader passes the newest state to a function, which may use it only until it returns.
type Reader interface {
	Read(func(State))
}

// Ranker ranks this controller for a subject.
type Ranker interface {
	// Rank returns the rank. Rank 0 acts first. The result is false while the controller hasn't joined the
	// fleet.
	Rank(subject string) (int, bool)
}

// Proposer appends a record and returns nil once the fold has accepted it. After an error of kind
// LogUnavailable or AppendUnsettled, the record may still be accepted later.
type Proposer interface {
	Propose(ctx context.Context, record *v1.Record) error
}

// Workers is the platform's WorkerService. Once an attempt of a job has been started, the platform stops
// earlier attempts of the job and refuses to renew them.
type Workers interface {
	Start(context.Context, *v1.StartTaskRequest) (*v1.StartTaskResponse, error)
	Control(context.Context, *v1.ControlTaskRequest) (*v1.ControlTaskResponse, error)
	Report(context.Context, *v1.ReportRequest) (*v1.ReportResponse, error)
}

// Dependencies holds what the loop depends on.
type Dependencies struct {
	Reader   Reader
	Ranker   Ranker
	Proposer Proposer
	Workers  Workers
	// Now returns the current time.
	Now func() time.Time
	Log *logrus.Entry
}

// Settings are the intervals, timeouts and limits of the loop.
type Settings struct {
	// Lease is the time for which a task runs without a renewal. It is longer than the time after
	// which the platform's host list shows the loss of the controllers that renew it.
	Lease time.Duration
	// Tick is the time between two steps of the loop.
	Tick time.Duration
	// PlanInterval is the time between two plans of a pool in which no urgent job waits.
	PlanInterval time.Duration
	// ReportInterval is the time between two polls of the workers' reports.
	ReportInterval time.Duration
	// CallTimeout bounds one call to the platform.
	CallTimeout time.Duration
	// DelayPerRank is how long a controller waits, for each controller ranked before it, until it takes over
	// pending work.
	DelayPerRank time.Duration
	// StartTimeout is the time after which an unconfirmed start is given up.
	StartTimeout time.Duration
	// CheckpointTimeout, ThrottleTimeout and StopTimeout bound the steps of a preemption. Including the
	// ticks, calls and proposals around these steps, an urgent job starts within 4.1 s, even when the
	// controller of rank 0 is lost and the first victim can't be stopped.
	CheckpointTimeout time.Duration
	ThrottleTimeout   time.Duration
	StopTimeout       time.Duration
	// VacateTimeout bounds the checkpoint of a task whose host no longer serves its pool.
	VacateTimeout time.Duration
	// ProposeTimeout bounds one proposal.
	ProposeTimeout time.Duration
	// MaxCalls limits the concurrent calls to the platform.
	MaxCalls int
	Options  placement.Options
}

// DefaultSettings returns the settings with which controllers run.
func DefaultSettings() Settings {
	return Settings{
		Lease: 15 * time.Second, Tick: 100 * time.Millisecond, PlanInterval: 250 * time.Millisecond,
		ReportInterval: 500 * time.Millisecond, CallTimeout: 800 * time.Millisecond, DelayPerRank: 500 * time.Millisecond,
		StartTimeout: 5 * time.Second, CheckpointTimeout: 600 * time.Millisecond, ThrottleTimeout: 200 * time.Millisecond,
		StopTimeout:   600 * time.Millisecond,
		VacateTimeout: 20 * time.Second, ProposeTimeout: 2 * time.Second, MaxCalls: 128, Options: placement.DefaultOptions(),
	}
}

const (
	// actingRanks is the number of ranks that renew leases and poll reports. With three, the loss of two
	// controllers at once interrupts no task.
	actingRanks = 3
	// backupPlanInterval is the time between two plans of an acting rank other than 0. standbyPlanInterval
	// is the time between two plans of the remaining ranks, which act only when all acting ranks are lost.
	backupPlanInterval  = 500 * time.Millisecond
	standbyPlanInterval = 5 * time.Second
	// renewalsPerLease divides the lease: a lease is renewed once this part of it has passed.
	renewalsPerLease = 3
	// leaseMargin is added to a lease before its task counts as ended. It allows for calls in flight and
	// clocks that run at different rates.
	leaseMargin = 2 * time.Second
	// retryInterval is the time between two attempts of a call or proposal.
	retryInterval = 200 * time.Millisecond
	// maxPollGap is the longest time between two answered polls of the reports that count as following each other.
	// It allows for a poll without an answer.
	maxPollGap = 3 * time.Second
	// sweepInterval is the time between two passes over all tasks. It is a small part of the lease.
	sweepInterval = time.Second
	// hostReadInterval is the minimum time between two reads of the hosts from the state.
	hostReadInterval = 500 * time.Millisecond
)
