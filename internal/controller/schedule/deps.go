// Package schedule is the control loop that places jobs: it follows the fold, plans once a cycle,
// proposes starts, runs the started attempts on workers under leases, and proposes their ends.
// All that it must not forget is in the fold; another controller goes on at any step.
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

// State is what the loop reads of the fleet state.
type State interface {
	// Offset is the offset of the last folded record.
	Offset() int64
	// Document is the accepted document; it is replaced, never changed.
	Document() *structs.Document
	Jobs() *jobs.State
	Hosts() []inventory.Host
	// Unallocated returns the units of the team that no holder and no job has.
	Unallocated(team string) uint64
}

// Reader gives access to the newest state. The state isn't used after the function returns.
type Reader interface {
	Read(func(State))
}

// Ranker ranks this controller for a subject.
type Ranker interface {
	// Rank returns the rank, from 0. It returns false while the controller hasn't joined.
	Rank(subject string) (int, bool)
}

// Proposer appends a proposal and returns nil once the fold has accepted it. An error of kind
// LogUnavailable or AppendUnsettled leaves open whether it is accepted later.
type Proposer interface {
	Propose(ctx context.Context, record *v1.Record) error
}

// Workers is the platform's WorkerService. The platform keeps a lower attempt of a job from
// running on or being renewed once a higher one was started.
type Workers interface {
	Start(context.Context, *v1.StartTaskRequest) (*v1.StartTaskResponse, error)
	Control(context.Context, *v1.ControlTaskRequest) (*v1.ControlTaskResponse, error)
	Report(context.Context, *v1.ReportRequest) (*v1.ReportResponse, error)
}

// Dependencies are what the loop works with.
type Dependencies struct {
	Reader   Reader
	Ranker   Ranker
	Proposer Proposer
	Workers  Workers
	// Now is the clock.
	Now func() time.Time
	Log *logrus.Entry
}

// Settings are the spans and bounds of the loop.
type Settings struct {
	// Lease is the time for which a task runs without a renewal. It exceeds the time in which the
	// host list notices the loss of the controllers that renew it.
	Lease time.Duration
	// Tick is the time between two looks at tasks.
	Tick time.Duration
	// PlanInterval is the time between two plans of a pool without urgent jobs.
	PlanInterval time.Duration
	// ReportInterval is the time between two requests for reports.
	ReportInterval time.Duration
	// CallTimeout bounds a call to the platform.
	CallTimeout time.Duration
	// RankDelay is the time for which work is left to each controller of a lower rank.
	RankDelay time.Duration
	// StartTimeout is the time after which a start without an answer is given up.
	StartTimeout time.Duration
	// CheckpointTimeout, ThrottleTimeout and StopTimeout bound the steps of a preemption: with the
	// ticks, calls and proposals around them, an urgent job starts within 4.1 s even when the
	// first controller is lost and the first victim can't be stopped.
	CheckpointTimeout time.Duration
	ThrottleTimeout   time.Duration
	StopTimeout       time.Duration
	// VacateTimeout bounds the checkpoint of a task whose host is to be drained.
	VacateTimeout time.Duration
	// ProposeTimeout bounds a proposal.
	ProposeTimeout time.Duration
	// MaxCalls bounds concurrent calls to the platform.
	MaxCalls int
	Options  placement.Options
}

// DefaultSettings returns the settings of the controller.
func DefaultSettings() Settings {
	return Settings{
		Lease: 15 * time.Second, Tick: 100 * time.Millisecond, PlanInterval: 250 * time.Millisecond,
		ReportInterval: 500 * time.Millisecond, CallTimeout: 800 * time.Millisecond, RankDelay: 500 * time.Millisecond,
		StartTimeout: 5 * time.Second, CheckpointTimeout: 600 * time.Millisecond, ThrottleTimeout: 200 * time.Millisecond,
		StopTimeout:   600 * time.Millisecond,
		VacateTimeout: 20 * time.Second, ProposeTimeout: 2 * time.Second, MaxCalls: 128, Options: placement.DefaultOptions(),
	}
}

const (
	// actingRanks are the ranks that renew leases and read reports, so that the loss of two
	// controllers at once interrupts no task.
	actingRanks = 3
	// backupPlanEvery is the time between two plans of the acting ranks above 0, and
	// distantPlanEvery that of the others, which act only when all of those are lost.
	backupPlanEvery  = 500 * time.Millisecond
	distantPlanEvery = 5 * time.Second
	// renewPart is the part of the lease after which it is renewed.
	renewPart = 3
	// leaseMargin is added to a lease before its task counts as ended, for calls under way and
	// clocks that differ in rate.
	leaseMargin = 2 * time.Second
	// retryEvery is the time between two tries of a call.
	retryEvery = 200 * time.Millisecond
	// sweepEvery is the time between two looks at all tasks, a small part of the lease.
	sweepEvery = time.Second
	// hostsEvery is the time between two readings of the hosts.
	hostsEvery = 500 * time.Millisecond
)
