package session

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/periodic"
)

const (
	// maxAdviceCalls is the number of requests to the advice service in flight. The service handles one request of a host
	// at a time; the next one is on its way meanwhile.
	maxAdviceCalls = 2
	// failedAdvicePause is the pause of each sender after a failed request. It doubles with each further failure, up to
	// maxAdvicePause.
	failedAdvicePause = 100 * time.Millisecond
	maxAdvicePause    = time.Second
)

// requestAdvice sends requests to the advice service, one at a time, until ctx ends. Only starts that need a ticket wait
// for them.
func (s *session) requestAdvice(ctx context.Context) error {
	failures, pause := 0, failedAdvicePause
	for ctx.Err() == nil {
		request, due := s.core.NextAdviceRequest()
		if !due {
			_ = periodic.Wait(ctx, idlePlanInterval, s.core.AdviceWakeups())
			continue
		}
		sentAt := s.Clock()
		tickets, validFor, err := s.Advice.RequestTickets(ctx, request.Job, request.Occurrence, request.Step, request.Workers)
		s.core.ApplyAdvice(request, tickets, validFor, sentAt, err)
		if err == nil {
			if failures > 0 {
				s.Logger.WithFields(logrus.Fields{"event": "advice_regained", "failures": failures}).Info("the advice service answers again")
			}
			failures, pause = 0, failedAdvicePause
			continue
		}
		if failures++; failures == 1 {
			s.Logger.WithFields(logrus.Fields{"event": "advice_lost", "job": request.Job, "step": request.Step, "workers": len(request.Workers)}).WithError(err).Warn(
				"request to the advice service failed; starts of queues with advice wait")
		}
		_ = periodic.Pause(ctx, pause)
		pause = min(2*pause, maxAdvicePause)
	}
	return ctx.Err()
}
