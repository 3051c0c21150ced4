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

// proposalStream is the stream of the log to which proposals are appended.
const proposalStream = fold.FleetStream

// Timeout and backoff of calls to the log.
const (
	// callTimeout limits one call of the log. A slow log responds within seconds.
	callTimeout = 5 * time.Second
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = 5 * time.Second
)

// numberedRecord is an encoded record with its sequence number.
type numberedRecord struct {
	seq  uint64
	data []byte
}

// settle appends the batch until the outcome of each of its records is known, and calls report once for each
// of them. Records whose outcome isn't known when ctx ends are reported as AppendUnsettled.
func (p *Proposer) settle(ctx context.Context, incarnation string, batch []numberedRecord, report func(int, result)) {
	s := &settlement{proposer: p, incarnation: incarnation, batch: batch, report: report}
	for i := range batch {
		s.unresolved = append(s.unresolved, i)
	}
	backoff := minBackoff
	for len(s.unresolved) > 0 {
		if s.attempt(ctx) {
			continue
		}
		if !sleepWithJitter(ctx, backoff) {
			s.failAll(fault.Wrap(fault.AppendUnsettled, ctx.Err(), "proposal may take effect"))
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// settlement is the state of settling one batch.
type settlement struct {
	proposer    *Proposer
	incarnation string
	batch       []numberedRecord
	// unresolved has the indexes in batch of the records whose outcome isn't known.
	unresolved []int
	report     func(int, result)
	// mayBeAppended is set after an append without a clear response, until the log has been read up to its
	// head to see whether the records are there.
	mayBeAppended bool
}

// attempt either looks for records that may have been appended, or appends the unresolved ones. It returns
// false if the next attempt should back off.
func (s *settlement) attempt(ctx context.Context) bool {
	if s.mayBeAppended {
		return s.checkLog(ctx)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &v1.AppendRequest{Stream: proposalStream}
	for _, i := range s.unresolved {
		request.Records = append(request.Records, s.batch[i].data)
	}
	response, err := s.proposer.log.Append(callCtx, request)
	switch {
	case err == nil:
		s.awaitVerdicts(ctx, response.GetFirstOffset()+int64(len(s.unresolved))-1)
		return true
	case connect.CodeOf(err) == connect.CodeInvalidArgument:
		s.failAll(fault.Wrap(fault.RequestInvalid, err, "log refused the record"))
		return true
	}
	s.mayBeAppended = connect.CodeOf(err) != connect.CodeResourceExhausted
	return false
}

// awaitVerdicts waits for the verdicts of the unresolved records after the log has confirmed their append;
// the last one has offset lastOffset. They are never appended again: if a verdict isn't found after
// lastOffset is folded, it has been dropped in favour of later ones.
func (s *settlement) awaitVerdicts(ctx context.Context, lastOffset int64) {
	if !s.collectOutcomes(ctx, lastOffset) {
		s.failAll(fault.Wrap(fault.AppendUnsettled, ctx.Err(), "the proposal is on the log but not folded yet"))
		return
	}
	for _, i := range s.unresolved {
		s.report(i, result{err: s.verdictDroppedError(i)})
	}
	s.unresolved = nil
}

// checkLog reports the outcome of those records that are in the log, and clears mayBeAppended once the log
// has been folded up to its head. It returns false if the next attempt should back off.
func (s *settlement) checkLog(ctx context.Context) bool {
	// Offset 0 asks without waiting: while the log is down, the records may have been folded from a peer.
	if !s.collectOutcomes(ctx, 0) || len(s.unresolved) == 0 {
		return len(s.unresolved) == 0
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := s.proposer.log.Read(callCtx, &v1.ReadRequest{Stream: proposalStream, AfterOffset: math.MaxInt64 - 1})
	if err != nil {
		return false
	}
	if !s.collectOutcomes(ctx, response.GetHeadOffset()) {
		return false
	}
	s.mayBeAppended = false
	return true
}

// collectOutcomes waits until the records up to offset are folded, reports each outcome that is then known,
// and leaves the other records unresolved. It returns false if the wait failed and records are still
// unresolved.
func (s *settlement) collectOutcomes(ctx context.Context, offset int64) bool {
	notFound := s.unresolved[:0:0]
	for position, i := range s.unresolved {
		outcome, verdict, err := s.proposer.outcomes.Outcome(ctx, s.incarnation, s.batch[i].seq, offset)
		if err != nil {
			s.unresolved = append(notFound, s.unresolved[position:]...)
			s.handleOutcomeError(ctx, err)
			return len(s.unresolved) == 0
		}
		switch outcome {
		case OutcomeDecided:
			s.report(i, result{verdict: verdict})
		case OutcomeVerdictDropped:
			s.report(i, result{err: s.verdictDroppedError(i)})
		default:
			notFound = append(notFound, i)
		}
	}
	s.unresolved = notFound
	return true
}

// verdictDroppedError returns the error for a record that was folded, but whose verdict is no longer kept.
func (s *settlement) verdictDroppedError(i int) *fault.Error {
	return fault.New(fault.AppendUnsettled, "the verdict on proposal %d is no longer kept", s.batch[i].seq)
}

// handleOutcomeError fails all unresolved records if err shows that folding has stopped, and does nothing if
// ctx ended.
func (s *settlement) handleOutcomeError(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, context.Canceled) {
		return
	}
	s.failAll(fault.Wrap(fault.AppendUnsettled, err, "the reader of the log has stopped"))
}

// failAll reports err for each unresolved record.
func (s *settlement) failAll(err *fault.Error) {
	for _, i := range s.unresolved {
		s.report(i, result{err: err})
	}
	s.unresolved = nil
}

// sleepWithJitter waits for between 0.5 and 1.5 times the mean, and returns false if ctx ends first. The
// jitter keeps proposers from appending at the same time after an outage.
func sleepWithJitter(ctx context.Context, mean time.Duration) bool {
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
