// Package proposer appends proposals to the fleet stream and determines the outcome of each of them, even if
// the log's response to the append is lost.
package proposer

import (
	"context"
	"sync"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/periodic"
)

// Limits of the queue and of one batch.
const (
	maxQueued       = 1024
	maxBatchRecords = 64
	maxBatchBytes   = 1 << 20
)

// Log is the platform's log; connect's LogServiceClient implements it.
type Log interface {
	Append(context.Context, *v1.AppendRequest) (*v1.AppendResponse, error)
	Read(context.Context, *v1.ReadRequest) (*v1.ReadResponse, error)
}

// Outcome is the result of looking for a proposal in the records that were folded so far.
type Outcome int

// Outcomes of a proposal.
const (
	// OutcomeNotFound is a proposal that isn't among the records up to the given offset.
	OutcomeNotFound Outcome = iota
	// OutcomeDecided is a proposal with a known verdict.
	OutcomeDecided
	// OutcomeVerdictDropped is a proposal that was folded, but whose verdict is no longer kept.
	OutcomeVerdictDropped
)

// OutcomeSource folds the fleet stream and finds proposals in it; follower.Follower implements it.
type OutcomeSource interface {
	// Outcome waits until the proposal is found or the records up to offset are folded. The error is that of
	// ctx, or the one that stopped folding.
	Outcome(ctx context.Context, incarnation string, seq uint64, offset int64) (Outcome, fold.Verdict, error)
}

// Proposer appends the proposals of one incarnation in order, one batch at a time. It is safe for concurrent
// use.
type Proposer struct {
	name        string
	incarnation string
	log         Log
	outcomes    OutcomeSource

	mu      sync.Mutex
	queue   []*queuedProposal
	lastSeq uint64
	stopped bool
	// queueFilled has a buffer of one and receives a value when a proposal is queued.
	queueFilled chan struct{}
}

// queuedProposal is a proposal whose outcome hasn't been reported to Propose yet.
type queuedProposal struct {
	record *v1.Record
	result chan result
}

type result struct {
	verdict fold.Verdict
	err     error
}

// New returns a proposer. It appends nothing until Run is called.
func New(name, incarnation string, log Log, outcomes OutcomeSource) *Proposer {
	return &Proposer{
		name: name, incarnation: incarnation, log: log, outcomes: outcomes,
		queueFilled: make(chan struct{}, 1),
	}
}

// Incarnation returns the incarnation under which proposals are appended.
func (p *Proposer) Incarnation() string { return p.incarnation }

// Propose appends a proposal and returns its verdict. Only the payload of the record is used. The error is of
// kind LogUnavailable if the proposal was not appended because the queue is full or ctx ended, ShuttingDown if
// it was not appended because the proposer has stopped, and AppendUnsettled if the outcome isn't known. If ctx
// ends after the proposal has left the queue, the proposer still settles it before it appends later proposals,
// so that they can't overtake it.
func (p *Proposer) Propose(ctx context.Context, record *v1.Record) (fold.Verdict, error) {
	proposal := &queuedProposal{record: record, result: make(chan result, 1)}
	if err := p.enqueue(proposal); err != nil {
		return fold.Verdict{}, err
	}
	select {
	case settled := <-proposal.result:
		return settled.verdict, settled.err
	case <-ctx.Done():
	}
	if p.withdraw(proposal) {
		return fold.Verdict{}, fault.Wrap(fault.LogUnavailable, ctx.Err(), "proposal wasn't appended")
	}
	select {
	case settled := <-proposal.result:
		return settled.verdict, settled.err
	default:
		return fold.Verdict{}, fault.Wrap(fault.AppendUnsettled, ctx.Err(), "proposal may take effect")
	}
}

// Forward appends a record with the envelope of another process, and returns its verdict. The error is of
// kind AppendUnsettled if the outcome isn't known. The other process then has to forward the same record
// again before its next one.
func (p *Proposer) Forward(ctx context.Context, record *v1.Record) (fold.Verdict, error) {
	data, err := fold.EncodeRecord(record)
	if err != nil {
		return fold.Verdict{}, err
	}
	if _, decodeErr := fold.DecodeRecord(data); decodeErr != nil {
		return fold.Verdict{}, fault.Wrap(fault.RequestInvalid, decodeErr, "record can't be forwarded")
	}
	var outcome result
	batch := []numberedRecord{{seq: record.GetSeq(), data: data}}
	p.settle(ctx, record.GetIncarnation(), batch, func(_ int, r result) { outcome = r })
	return outcome.verdict, outcome.err
}

// Run appends queued proposals until ctx ends, and then rejects those that are left in the queue.
func (p *Proposer) Run(ctx context.Context) error {
	defer p.rejectQueued()
	for {
		select {
		case <-p.queueFilled:
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			proposals, batch := p.nextBatch()
			if len(proposals) == 0 {
				break
			}
			p.settle(ctx, p.incarnation, batch, func(i int, r result) { proposals[i].result <- r })
		}
	}
}

// enqueue adds a proposal to the queue, unless the proposer has stopped or the queue is full.
func (p *Proposer) enqueue(proposal *queuedProposal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return fault.New(fault.ShuttingDown, "proposer has stopped")
	}
	if len(p.queue) >= maxQueued {
		return fault.New(fault.LogUnavailable, "%d proposals wait for the log", len(p.queue))
	}
	p.queue = append(p.queue, proposal)
	periodic.Wake(p.queueFilled)
	return nil
}

// withdraw removes a proposal from the queue. It returns false if the proposal has already left the queue.
func (p *Proposer) withdraw(proposal *queuedProposal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, queued := range p.queue {
		if queued == proposal {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return true
		}
	}
	return false
}

// nextBatch removes the proposals of the next batch from the queue and assigns sequence numbers to their
// records. A record that can't be encoded gets no number, and its proposal gets the error.
func (p *Proposer) nextBatch() ([]*queuedProposal, []numberedRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var proposals []*queuedProposal
	var batch []numberedRecord
	size := 0
	for len(p.queue) > 0 && len(proposals) < maxBatchRecords {
		proposal := p.queue[0]
		data, err := p.encode(proposal.record)
		if err != nil {
			proposal.result <- result{err: err}
			p.queue = p.queue[1:]
			continue
		}
		if len(proposals) > 0 && size+len(data) > maxBatchBytes {
			break
		}
		p.lastSeq++
		size += len(data)
		proposals = append(proposals, proposal)
		batch = append(batch, numberedRecord{seq: p.lastSeq, data: data})
		p.queue = p.queue[1:]
	}
	return proposals, batch
}

// encode returns the record with the next sequence number, encoded. p.mu must be held.
func (p *Proposer) encode(record *v1.Record) ([]byte, error) {
	if record.GetPayload() == nil {
		return nil, fault.New(fault.RequestInvalid, "proposal has no payload")
	}
	return fold.EncodeRecord(&v1.Record{
		Schema: fold.Schema, Proposer: p.name, Incarnation: p.incarnation, Seq: p.lastSeq + 1,
		TimeUnixMs: time.Now().UnixMilli(), Payload: record.GetPayload(),
	})
}

// rejectQueued reports ShuttingDown for all queued proposals, and for any that follow.
func (p *Proposer) rejectQueued() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	for _, proposal := range p.queue {
		proposal.result <- result{err: fault.New(fault.ShuttingDown, "proposal wasn't appended")}
	}
	p.queue = nil
}
