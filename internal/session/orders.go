package session

import (
	"context"
	"time"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/scheduler"
)

// Workers respond to an order within a few milliseconds. An order without a response is repeated on another connection:
// a start or stop of the same run has no further effect if an earlier one was carried out.
const (
	// maxOrderAttempts bounds how often an order is sent while its outcome isn't known. If the outcome of a start is
	// still uncertain after the last attempt, the core stops the run.
	maxOrderAttempts = 5
	// orderRepeatTime bounds the time in attempts after which an order isn't repeated any more: attempts at a worker that
	// is cut off take longer than others, since they open a connection.
	orderRepeatTime = 800 * time.Millisecond
	// firstOrderTimeLimit is the time limit of the first attempt at a worker that has recently left a call unanswered.
	// It doubles with each further attempt, up to the adapter's own limit, since a worker behind a slow link needs longer.
	firstOrderTimeLimit = 60 * time.Millisecond
	// refusedOrderPause is the pause before a refused order, such as one whose connection was refused, is sent again.
	refusedOrderPause = 40 * time.Millisecond
)

// attempts counts the attempts to send an order.
type attempts struct {
	sent int
	// inProgress is the time that the attempts have taken, without what starts wait for their turn.
	inProgress time.Duration
	// uncertain is set once an attempt had no response, so that the order may have taken effect.
	uncertain bool
}

// attempt sends the order once with the time limit of this attempt. It reports whether the order has to be sent again: it
// had no response or was refused, and attempts are left.
func (s *session) attempt(ctx context.Context, a *attempts, worker string, send func(ctx context.Context) error) (again bool, err error) {
	callCtx := ctx
	if s.core.Unresponsive(worker) && !s.roundTrips.congested() {
		var cancel context.CancelFunc
		callCtx, cancel = context.WithTimeout(ctx, firstOrderTimeLimit<<a.sent)
		defer cancel()
	}
	a.sent++
	sentAt := s.Clock()
	err = send(callCtx)
	took := s.Clock() - sentAt
	a.inProgress += took
	kind := infra.KindOf(err)
	if isResponse(kind) {
		s.roundTrips.observe(took)
	}
	if kind == infra.Unknown {
		s.core.CallUnanswered(worker)
	}
	if isResponse(kind) || a.sent == maxOrderAttempts || a.inProgress > orderRepeatTime {
		if kind == infra.RelayFailed {
			err = &infra.Error{Kind: infra.Unknown, Op: "order", Cause: err}
		}
		return false, err
	}
	a.uncertain = a.uncertain || kind == infra.Unknown || kind == infra.RelayFailed
	if kind == infra.Refused {
		_ = periodic.Pause(ctx, refusedOrderPause)
	}
	return true, err
}

// isResponse reports whether an error of the kind, or success, is the response of the worker.
func isResponse(kind infra.ErrorKind) bool {
	return kind != infra.Unknown && kind != infra.Refused && kind != infra.RelayFailed
}

// limited returns a context in which a call isn't sent to its worker once this term may no longer act.
func (s *session) limited(ctx context.Context) context.Context {
	return infra.WithSendLimit(ctx, s.writer.ConfirmedAt()+scheduler.LeaderLease-s.Clock())
}

// mayAct reports whether the last confirmed append is recent enough for orders to workers. A process that was suspended,
// or is far behind, may find that a later term has begun meanwhile. Starts are checked with their leases.
func (s *session) mayAct() bool { return s.Clock()-s.writer.ConfirmedAt() <= scheduler.LeaderLease }

// errTermUnconfirmed is the outcome of an order that isn't sent since the last confirmed append is too old.
var errTermUnconfirmed = &infra.Error{Kind: infra.Refused, Op: "order", Detail: "the last confirmed append of this term is too old; the order wasn't sent"}

// sendStop sends a stop until it is confirmed, the attempts are used up, or this term may no longer act. The core orders
// an unconfirmed stop again.
func (s *session) sendStop(ctx context.Context, order *scheduler.Order) {
	a := attempts{}
	for {
		if ctx.Err() != nil || !s.mayAct() {
			s.core.ApplyStopResult(order, errTermUnconfirmed)
			return
		}
		again, err := s.attempt(ctx, &a, order.Worker.ID, func(ctx context.Context) error {
			_, err := s.Workers.Stop(s.limited(ctx), order.Worker, order.Item, order.Run, s.term)
			return err
		})
		if !again {
			s.core.ApplyStopResult(order, err)
			return
		}
	}
}

// startWindow returns the window of the starts to the availability zone.
func (s *session) startWindow(zone string) *startWindow {
	s.mu.Lock()
	defer s.mu.Unlock()
	window := s.startWindows[zone]
	if window == nil {
		window = newStartWindow()
		s.startWindows[zone] = window
	}
	return window
}

// startCall is a start whose outcome isn't known yet.
type startCall struct {
	order    *scheduler.Order
	attempts attempts
}

// queueStart sends the start when the window of its zone admits it, until its outcome is known or the attempts are used
// up.
func (s *session) queueStart(ctx context.Context, call *startCall) {
	window := s.startWindow(call.order.Zone)
	window.enqueue(func() { s.endTermOnPanic(func() { s.sendStart(ctx, window, call) }) })
}

// sendStart sends a start once, unless it must not be sent any more, and passes the outcome to the core or queues the
// start again.
func (s *session) sendStart(ctx context.Context, window *startWindow, call *startCall) {
	sent, again, err := s.attemptStart(ctx, window, call)
	switch {
	case sent && again:
		s.queueStart(ctx, call)
	case sent:
		appliedAt := time.Now()
		s.core.ApplyStartResult(call.order, err, call.attempts.uncertain)
		s.stages.start.Since(appliedAt)
	case call.attempts.uncertain:
		s.core.ApplyStartResult(call.order, &infra.Error{Kind: infra.Unknown, Op: "start", Detail: "an earlier attempt had no response, and the start must not be sent again"}, true)
	default:
		s.core.StartNotSent(call.order)
	}
}

// attemptStart sends a start once, and releases its place in the window. sent is false if the start must not be sent, and
// again is set if it has to be sent again.
func (s *session) attemptStart(ctx context.Context, window *startWindow, call *startCall) (sent, again bool, err error) {
	defer window.release()
	if ctx.Err() != nil {
		return false, false, nil
	}
	order := call.order
	leasedAt := time.Now()
	leaseEndMs := s.core.LeaseForStart(order, s.writer.ConfirmedAt())
	s.stages.start.Since(leasedAt)
	if leaseEndMs == 0 {
		return false, false, nil
	}
	start := infra.StartOrder{Item: order.Item, Run: order.Run, Spec: order.Spec, Checkpoint: order.Checkpoint, Token: s.term, Ticket: order.Ticket, LeaseEndMs: leaseEndMs}
	unresponsive := s.core.Unresponsive(order.Worker.ID)
	sentAt := s.Clock()
	again, err = s.attempt(ctx, &call.attempts, order.Worker.ID, func(ctx context.Context) error {
		_, err := s.Workers.Start(s.limited(ctx), order.Worker, start)
		return err
	})
	kind := infra.KindOf(err)
	if kind == infra.Unknown {
		s.core.StartUnanswered(order)
	}
	// A worker that has left other calls unanswered says nothing about a link on which the answered ones are fast.
	// The failure of a relay says nothing about the link to the workers either.
	if responded := isResponse(kind); kind != infra.RelayFailed && (responded || !unresponsive || s.roundTrips.congested()) {
		window.observe(sentAt, s.Clock(), responded)
	}
	return true, again, err
}
