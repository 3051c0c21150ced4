// Package fleet holds what the control loops of hosts, waves and moves need from the rest of the
// controller and from the platform.
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

// View is the state at one offset. It is valid only inside the call that passes it, and read-only.
type View struct {
	Offset    int64
	Document  *structs.Document
	Inventory *inventory.State
	// LogReachable is false while the controller can't read or append to the log. No new planned
	// stop begins then.
	LogReachable bool
}

// Reader gives access to the newest state.
type Reader interface {
	Read(func(View))
}

// Proposer appends a record with the payload and returns the verdict of the fold: nil, or an error
// with its kind. LogUnavailable means that the record wasn't appended, AppendUnsettled that it may
// have been.
type Proposer interface {
	Propose(ctx context.Context, payload *v1.Record) error
}

// Ranker ranks the controllers for a subject (design section 3.7).
type Ranker interface {
	// Rank returns the place of this controller, from 0. Ok is false when it isn't ranked.
	Rank(subject string) (rank int, ok bool)
}

// Platform is the part of the platform that stops and starts hosts. The generated client of
// HostService implements it.
type Platform interface {
	List(context.Context, *v1.ListRequest) (*v1.ListResponse, error)
	Drain(context.Context, *v1.HostRequest) (*v1.HostResponse, error)
	Undrain(context.Context, *v1.HostRequest) (*v1.HostResponse, error)
	Reboot(context.Context, *v1.HostRequest) (*v1.HostResponse, error)
	Assign(context.Context, *v1.AssignRequest) (*v1.HostResponse, error)
	Probe(context.Context, *v1.HostRequest) (*v1.HostResponse, error)
}

// Deps are the parts that each loop is given.
type Deps struct {
	Reader   Reader
	Proposer Proposer
	Ranker   Ranker
	Platform Platform
	Log      logrus.FieldLogger
	// Now defaults to time.Now.
	Now func() time.Time
}

// Clock returns the time by the injected clock.
func (d *Deps) Clock() time.Time {
	if d.Now == nil {
		return time.Now()
	}
	return d.Now()
}

// CallTimeout bounds one call of the platform, so that a slow host doesn't hold up the others.
const CallTimeout = 4 * time.Second

// RankDelay is how long a controller waits for each controller that is ranked before it.
const RankDelay = rank.TakeoverDelay

// Delay returns how long a controller waits before it acts on undone work of the subject.
func (d *Deps) Delay(subject string) (time.Duration, bool) {
	place, ok := d.Ranker.Rank(subject)
	return time.Duration(place) * RankDelay, ok
}

// PoolSubject is what controllers are ranked for in the control of a pool's hosts.
func PoolSubject(pool string) string { return rank.PoolSubject(pool) }
