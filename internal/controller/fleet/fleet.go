// Package fleet declares the interfaces through which the control loops for hosts, waves and moves use the
// rest of the controller and the platform.
package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/rank"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/structs"
)

// View is the fleet state at one offset of the log. It is read-only, and valid only during the call to which
// it is passed.
type View struct {
	Offset    int64
	Document  *structs.Document
	Inventory *inventory.State
	// LogReachable is false while the controller can't read or append to the log. No planned stop begins
	// during that time.
	LogReachable bool
}

// Reader passes the newest state to a function.
type Reader interface {
	Read(func(View))
}

// Proposer appends a record with the payload and returns nil once the fold has accepted it. A rejection is an
// error with the kind of the rejection. The kind LogUnavailable means that the record wasn't appended, and
// AppendUnsettled that it may have been.
type Proposer interface {
	Propose(ctx context.Context, payload *v1.Record) error
}

// Ranker ranks the controllers for a subject, which is a piece of work that one of them does (design section
// 3.7).
type Ranker interface {
	// Rank returns the rank of this controller. Rank 0 acts first. Ok is false when it isn't ranked.
	Rank(subject string) (rank int, ok bool)
}

// Platform lists, probes, stops and starts hosts. The generated client of HostService implements it.
type Platform interface {
	List(context.Context, *v1.ListRequest) (*v1.ListResponse, error)
	Drain(context.Context, *v1.HostRequest) (*v1.HostResponse, error)
	Undrain(context.Context, *v1.HostRequest) (*v1.HostResponse, error)
	Reboot(context.Context, *v1.HostRequest) (*v1.HostResponse, error)
	Assign(context.Context, *v1.AssignRequest) (*v1.HostResponse, error)
	Probe(context.Context, *v1.HostRequest) (*v1.HostResponse, error)
}

// Dependencies holds what a control loop depends on.
type Dependencies struct {
	Reader   Reader
	Proposer Proposer
	Ranker   Ranker
	Platform Platform
	Log      logrus.FieldLogger
	// Now defaults to time.Now.
	Now func() time.Time
}

// Clock returns the current time of the injected clock.
func (d *Dependencies) Clock() time.Time {
	if d.Now == nil {
		return time.Now()
	}
	return d.Now()
}

// CallTimeout bounds one call to the platform, so that a slow host doesn't delay the others.
const CallTimeout = 4 * time.Second

// DelayPerRank is how long a controller waits, for each controller ranked before it, until it takes over
// pending work.
const DelayPerRank = rank.DelayPerRank

// TakeoverDelay returns how long work of the subject must have been pending before this controller does it.
// The result is false when this controller isn't ranked.
func (d *Dependencies) TakeoverDelay(subject string) (time.Duration, bool) {
	position, ok := d.Ranker.Rank(subject)
	return time.Duration(position) * DelayPerRank, ok
}

// PoolSubject returns the subject for which controllers are ranked to control the hosts of a pool.
func PoolSubject(pool string) string { return rank.PoolSubject(pool) }
