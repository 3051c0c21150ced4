// Package viewclient keeps a gateway's view of the fleet state current by polling a controller.
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

// Timing of the polls.
const (
	// pollWait is how long the controller may hold a poll while there is no newer view. Freshness counts
	// from when the poll was sent, so that a response that was delayed on its way doesn't look fresh; with
	// a longer wait a response would look too old.
	pollWait = time.Second
	// callTimeout is the longest time of one poll.
	callTimeout = pollWait + 2*time.Second
	// retryPause is the pause between a failed poll and the poll of the next controller.
	retryPause = 200 * time.Millisecond
	// ownControllerRetryInterval is how long another controller is polled before the gateway's own
	// controller is tried again.
	ownControllerRetryInterval = 5 * time.Second
)

// Controller serves views of the fleet state.
type Controller interface {
	View(ctx context.Context, request *v1.ViewRequest) (*v1.ViewResponse, error)
}

// Source is a controller and its name in log lines.
type Source struct {
	Name   string
	Client Controller
}

// Follower polls one controller at a time, and stores the views.
type Follower struct {
	gateway string
	sources []Source
	store   *fleet.Store
	log     *logrus.Entry
	now     func() time.Time

	// currentSource is the index of the source that is polled. leftOwnControllerAt is when the gateway last
	// switched from the first source, its own controller, to another one.
	currentSource       int
	leftOwnControllerAt time.Time
	// needFullView is set from when a delta could not be applied until a full view has been received.
	needFullView bool
}

// New returns a follower for the named gateway. The first source is the gateway's own controller; the others
// are polled while that one fails.
func New(gateway string, sources []Source, store *fleet.Store, log *logrus.Entry, now func() time.Time) *Follower {
	return &Follower{gateway: gateway, sources: sources, store: store, log: log, now: now}
}

// Run polls until ctx ends.
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

// switchToNextSource makes the next source current.
func (f *Follower) switchToNextSource() {
	if f.currentSource == 0 {
		f.leftOwnControllerAt = f.now()
	}
	f.currentSource = (f.currentSource + 1) % len(f.sources)
}

// retryOwnController makes the gateway's own controller current again after ownControllerRetryInterval.
func (f *Follower) retryOwnController() {
	if f.currentSource != 0 && f.now().Sub(f.leftOwnControllerAt) >= ownControllerRetryInterval {
		f.currentSource = 0
	}
}

// poll polls the current source once. It returns an error if the source has an older view than the gateway, so
// that another source is tried.
func (f *Follower) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	offset := f.store.Current().View.Offset
	sentAt := f.now()
	response, err := f.sources[f.currentSource].Client.View(ctx, &v1.ViewRequest{
		AfterOffset: offset, WaitMs: uint32(pollWait.Milliseconds()), Gateway: f.gateway,
		// A full view of 2,800 hosts has 35 KB compressed, a delta about 0.2 KB.
		AcceptDelta: !f.needFullView,
	})
	if err != nil {
		return err
	}
	if response.GetOffset() < offset {
		return fault.New(fault.NotReady, "the view of the controller is at offset %d: want at least %d", response.GetOffset(), offset)
	}
	return f.applyResponse(response, sentAt.Add(-freshnessAge(response.GetFreshnessMs())))
}

// maxAge limits the age of a view: a controller whose view was never current reports an age that would overflow
// the subtraction.
const maxAge = 365 * 24 * time.Hour

// freshnessAge returns the age in milliseconds as a duration, at most maxAge.
func freshnessAge(millis uint64) time.Duration {
	return time.Duration(min(millis, uint64(maxAge.Milliseconds()))) * time.Millisecond
}

// applyResponse stores the view or delta of a response. A response with neither confirms that the current
// view was current at freshAt.
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

// applyDelta applies a delta to the current view and stores the result. If that fails, the next poll requests
// a full view.
func (f *Follower) applyDelta(data []byte, freshAt time.Time) error {
	delta := &structs.ViewDelta{}
	if err := json.Unmarshal(data, delta); err != nil {
		f.needFullView = true
		return fault.Wrap(fault.RecordCorrupt, err, "the delta can't be decoded")
	}
	view, applyErr := viewdelta.Apply(f.store.Current().View, delta)
	if applyErr != nil {
		f.needFullView = true
		f.log.WithError(applyErr).Warn("view delta can't be applied; requesting the full view")
		return nil
	}
	f.store.Update(view, freshAt)
	return nil
}
