// Package viewclient follows the fleet state through a controller.
package viewclient

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/viewdelta"
)

// Times of the long poll.
const (
	// pollWait is the long poll's time at the controller. Freshness counts from when the poll was sent,
	// so that a response that was held up on its way doesn't look fresh; a longer wait would make
	// it look old.
	pollWait = time.Second
	// callTimeout bounds one poll.
	callTimeout = pollWait + 2*time.Second
	// retryPause is the pause before the next controller is asked.
	retryPause = 200 * time.Millisecond
	// homeRetryInterval is the time for which another controller is followed before the gateway's own
	// controller is tried again.
	homeRetryInterval = 5 * time.Second
)

// Controller serves views.
type Controller interface {
	View(ctx context.Context, request *v1.ViewRequest) (*v1.ViewResponse, error)
}

// Source is a controller with its name for logs.
type Source struct {
	Name   string
	Client Controller
}

// Follower polls one controller at a time.
type Follower struct {
	gateway string
	sources []Source
	store   *fleet.Store
	log     *logrus.Entry
	now     func() time.Time

	// currentSource is the index of the followed source, and leftHome when the first one was given up.
	currentSource int
	leftOwnAt     time.Time
	// needFullView is set when a delta didn't fit, until a whole view has arrived.
	needFullView bool
}

// New returns a follower for the named gateway. The first source is the gateway's own controller;
// the others are used while it doesn't answer.
func New(gateway string, sources []Source, store *fleet.Store, log *logrus.Entry, now func() time.Time) *Follower {
	return &Follower{gateway: gateway, sources: sources, store: store, log: log, now: now}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.retryOwnController()
		if err := f.poll(ctx); err != nil && ctx.Err() == nil {
			f.log.WithField("event", "view_unavailable").WithError(err).WithField("controller", f.sources[f.currentSource].Name).Warn("view unavailable")
			f.switchToNextSource()
			_ = periodic.Pause(ctx, retryPause)
		}
	}
	return nil
}

// switchToNextSource follows the next source.
func (f *Follower) switchToNextSource() {
	if f.currentSource == 0 {
		f.leftOwnAt = f.now()
	}
	f.currentSource = (f.currentSource + 1) % len(f.sources)
}

// retryOwnController goes back to the gateway's own controller after a while.
func (f *Follower) retryOwnController() {
	if f.currentSource != 0 && f.now().Sub(f.leftOwnAt) >= homeRetryInterval {
		f.currentSource = 0
	}
}

// poll asks the followed source once. A source that is behind the gateway is an error, so that
// another one is tried.
func (f *Follower) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	known := f.store.Current().View.Offset
	sentAt := f.now()
	response, err := f.sources[f.currentSource].Client.View(ctx, &v1.ViewRequest{
		AfterOffset: known, WaitMs: uint32(pollWait.Milliseconds()), Gateway: f.gateway,
		// A whole view of 2,800 hosts has 35 KB compressed, a delta about 0.2 KB.
		AcceptDelta: !f.needFullView,
	})
	if err != nil {
		return err
	}
	if response.GetOffset() < known {
		return fault.New(fault.NotReady, "the controller is at offset %d: want at least %d", response.GetOffset(), known)
	}
	return f.applyResponse(response, sentAt.Add(-freshnessAge(response.GetFreshnessMs())))
}

// maxAge bounds ages, so that a controller that was never current can't overflow the subtraction.
const maxAge = 365 * 24 * time.Hour

func freshnessAge(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxAge.Milliseconds()))) * time.Millisecond
}

func (f *Follower) applyResponse(response *v1.ViewResponse, freshAt time.Time) error {
	if len(response.GetDelta()) > 0 {
		return f.applyDelta(response.GetDelta(), freshAt)
	}
	if len(response.GetView()) == 0 {
		f.store.Refresh(response.GetOffset(), freshAt)
		return nil
	}
	view := &structs.View{}
	if err := json.Unmarshal(response.GetView(), view); err != nil {
		return fault.Wrap(fault.RecordCorrupt, err, "the view can't be decoded")
	}
	f.needFullView = false
	f.store.Update(view, freshAt)
	return nil
}

// applyDelta makes the next view from the current one. The next poll asks for a whole view when
// that isn't possible.
func (f *Follower) applyDelta(data []byte, freshAt time.Time) error {
	delta := &structs.ViewDelta{}
	if err := json.Unmarshal(data, delta); err != nil {
		f.needFullView = true
		return fault.Wrap(fault.RecordCorrupt, err, "the delta can't be decoded")
	}
	view, unfit := viewdelta.Apply(f.store.Current().View, delta)
	if unfit != nil {
		f.needFullView = true
		f.log.WithError(unfit).Warn("whole view needed")
		return nil
	}
	f.store.Update(view, freshAt)
	return nil
}
