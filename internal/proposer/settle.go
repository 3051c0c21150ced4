package proposer

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
)

// Stream is the stream of the log that proposals go to.
const Stream = fold.FleetStream

// Times of one append.
const (
	// callTimeout bounds one call of the log; a slow log answers within seconds.
	callTimeout = 5 * time.Second
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = 5 * time.Second
)

// appended is one numbered record.
type appended struct {
	seq uint64
	raw []byte
}

// settle appends the batch until each of its records has an outcome, and reports each once. When
// ctx ends, what is left is reported as AppendUnsettled.
func (p *Proposer) settle(ctx context.Context, incarnation string, batch []appended, report func(int, result)) {
	s := &settlement{proposer: p, incarnation: incarnation, batch: batch, report: report}
	for i := range batch {
		s.open = append(s.open, i)
	}
	wait := minBackoff
	for len(s.open) > 0 {
		if s.attempt(ctx) {
			continue
		}
		if !pause(ctx, wait) {
			s.failAll(fault.Wrap(fault.AppendUnsettled, ctx.Err(), "proposal may take effect"))
			return
		}
		wait = min(2*wait, maxBackoff)
	}
}

// settlement is the state of one batch.
type settlement struct {
	proposer    *Proposer
	incarnation string
	batch       []appended
	// open holds the places of the records without an outcome.
	open   []int
	report func(int, result)
	// uncertain is set while an append may have taken effect unseen.
	uncertain bool
}

// attempt makes one step; false means that the next one should wait.
func (s *settlement) attempt(ctx context.Context) bool {
	if s.uncertain {
		return s.look(ctx)
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &v1.AppendRequest{Stream: Stream}
	for _, i := range s.open {
		request.Records = append(request.Records, s.batch[i].raw)
	}
	response, err := s.proposer.log.Append(call, request)
	switch {
	case err == nil:
		s.landed(ctx, response.GetFirstOffset()+int64(len(s.open))-1)
		return true
	case connect.CodeOf(err) == connect.CodeInvalidArgument:
		s.failAll(fault.Wrap(fault.RequestInvalid, err, "log refused the record"))
		return true
	}
	s.uncertain = connect.CodeOf(err) != connect.CodeResourceExhausted
	return false
}

// landed waits for the verdicts of records that the log has confirmed. Such a record is never
// appended again: a verdict that is missing once last is folded was pushed out by later ones.
func (s *settlement) landed(ctx context.Context, last int64) {
	if !s.collect(ctx, last) {
		s.failAll(fault.Wrap(fault.AppendUnsettled, ctx.Err(), "the proposal is on the log but not folded yet"))
		return
	}
	for _, i := range s.open {
		s.report(i, result{err: s.forgotten(i)})
	}
	s.open = nil
}

// look folds up to the log's head and drops the records that took effect.
func (s *settlement) look(ctx context.Context) bool {
	// Offset 0 asks only for what is known: while the log is down, the records may arrive by relay.
	if !s.collect(ctx, 0) || len(s.open) == 0 {
		return len(s.open) == 0
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := s.proposer.log.Read(call, &v1.ReadRequest{Stream: Stream, AfterOffset: math.MaxInt64 - 1})
	if err != nil {
		return false
	}
	if !s.collect(ctx, response.GetHeadOffset()) {
		return false
	}
	s.uncertain = false
	return true
}

// collect reports the records whose outcome is known once the records up to offset are folded. It
// returns false when they couldn't be folded.
func (s *settlement) collect(ctx context.Context, offset int64) bool {
	absent := s.open[:0:0]
	for n, i := range s.open {
		outcome, verdict, err := s.proposer.fold.Outcome(ctx, s.incarnation, s.batch[i].seq, offset)
		if err != nil {
			s.open = append(absent, s.open[n:]...)
			s.stopAt(ctx, err)
			return len(s.open) == 0
		}
		switch outcome {
		case OutcomeDecided:
			s.report(i, result{verdict: verdict})
		case OutcomeVerdictDropped:
			s.report(i, result{err: s.forgotten(i)})
		default:
			absent = append(absent, i)
		}
	}
	s.open = absent
	return true
}

func (s *settlement) forgotten(i int) *fault.Error {
	return fault.New(fault.AppendUnsettled, "the verdict on proposal %d is no longer kept", s.batch[i].seq)
}

// stopAt ends the settlement when the reader has stopped for good.
func (s *settlement) stopAt(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, context.Canceled) {
		return
	}
	s.failAll(fault.Wrap(fault.AppendUnsettled, err, "the reader of the log has stopped"))
}

// failAll reports err for each record without an outcome.
func (s *settlement) failAll(err *fault.Error) {
	for _, i := range s.open {
		s.report(i, result{err: err})
	}
	s.open = nil
}

// pause waits for about span, and returns false when ctx ends first. The jitter keeps proposers
// from appending at the same moment after an outage.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span/2 + rand.N(span))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
