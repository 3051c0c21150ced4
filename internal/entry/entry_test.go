package entry

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/duty"
	"turmericyoke/internal/entry/peer"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// scriptedService answers submissions one after the other.
type scriptedService struct {
	peer.Service
	responses []func() (*peer.OutcomeResponse, error)
	calls     int
}

func (s *scriptedService) Submit(ctx context.Context, _ *peer.SubmitRequest) (*peer.OutcomeResponse, error) {
	at := min(s.calls, len(s.responses)-1)
	s.calls++
	return s.responses[at]()
}

func respondWith(kind scheduler.OutcomeKind) func() (*peer.OutcomeResponse, error) {
	return func() (*peer.OutcomeResponse, error) { return &peer.OutcomeResponse{Kind: kind}, nil }
}

func loseResponse() (*peer.OutcomeResponse, error) {
	return nil, connect.NewError(connect.CodeUnavailable, errors.New("connection reset"))
}

func submitWith(t *testing.T, answers ...func() (*peer.OutcomeResponse, error)) (*peer.OutcomeResponse, int, error) {
	service := &scriptedService{responses: answers}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	e := &Entry{Logger: logrus.NewEntry(logger), Election: noLeader{}, serviceOverride: service}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	response, err := e.Submit(ctx, &work.Job{ID: "j"})
	return response, service.calls, err
}

type noLeader struct{}

func (noLeader) Current() duty.Claim   { return duty.Claim{} }
func (noLeader) Peers() []infra.Member { return nil }

// Guards against a caller that gets no outcome although the job could still be accepted, which it
// can't try again by itself.
func TestSubmitIsRetriedAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		response, calls, err := submitWith(t, loseResponse, respondWith(scheduler.Undecided), respondWith(scheduler.Done))
		assert.NilError(t, err)
		assert.Equal(t, response.Kind, scheduler.Done)
		assert.Equal(t, calls, 3)
	})
}

// Guards against a promise that a job never runs while an earlier call for it may still arrive.
func TestRejectionAfterLostResponseIsOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, err := submitWith(t, loseResponse, respondWith(scheduler.Rejected))
		assert.Equal(t, fault.KindOf(err), fault.OutcomeUnknown)
		assert.Assert(t, !fault.ResponseFor(fault.OutcomeUnknown).NotRun)
	})
}

// Guards against rejections that wait for the caller's time to run out.
func TestRejectionIsReturnedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		response, calls, err := submitWith(t, respondWith(scheduler.Rejected))
		assert.NilError(t, err)
		assert.Equal(t, response.Kind, scheduler.Rejected)
		assert.Equal(t, calls, 1)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

// Guards against a caller that waits long when no scheduler is known.
func TestMissingSchedulerFailsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		_, _, err := submitWith(t, func() (*peer.OutcomeResponse, error) { return nil, peer.ErrNotScheduling })
		assert.Equal(t, fault.KindOf(err), fault.NotReady)
		assert.Assert(t, time.Since(start) <= schedulerLookupTimeout+schedulerLookupPause)
	})
}

// Guards against a configuration that goes back when an older one comes from a peer.
func TestOlderConfigIsIgnored(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	e := &Entry{Logger: logrus.NewEntry(logger)}
	for _, version := range []int64{3, 7, 5, 7, 6} {
		e.applyUpdate(infra.ConfigUpdate{Config: &work.Config{Version: version}})
	}
	assert.Equal(t, e.Config().Version, int64(7))
}
