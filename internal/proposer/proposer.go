// Package proposer appends proposals to the fleet stream and finds out what became of each of
// them, also when the log's answer was lost.
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

// Limits of the queue and of one append.
const (
	maxQueued     = 1024
	maxBatch      = 64
	maxBatchBytes = 1 << 20
)

// Log is the platform's log; connect's LogServiceClient implements it.
type Log interface {
	Append(context.Context, *v1.AppendRequest) (*v1.AppendResponse, error)
	Read(context.Context, *v1.ReadRequest) (*v1.ReadResponse, error)
}

// Outcome is what the fold knows about one proposal.
type Outcome int

// Outcomes of a proposal.
const (
	// OutcomeNotFound is a proposal that no record up to the asked offset carries.
	OutcomeNotFound Outcome = iota
	// OutcomeDecided is a proposal with a known verdict.
	OutcomeDecided
	// OutcomeVerdictDropped is a proposal that was read, but whose verdict is no longer kept.
	OutcomeVerdictDropped
)

// OutcomeSource is the reader of the fleet stream; follower.Follower implements it.
type OutcomeSource interface {
	// Outcome waits until the proposal's verdict is known or the records up to offset are folded.
	// The error is that of ctx, or the one that stopped the reader.
	Outcome(ctx context.Context, incarnation string, seq uint64, offset int64) (Outcome, fold.Verdict, error)
}

// Proposer appends the proposals of one incarnation, in order and one append at a time.
type Proposer struct {
	name        string
	incarnation string
	log         Log
	fold        OutcomeSource

	mu      sync.Mutex
	queue   []*pending
	seq     uint64
	stopped bool
	// queued holds one token while the queue isn't empty.
	queued chan struct{}
}

// pending is one proposal between Propose and its verdict.
type pending struct {
	record *v1.Record
	result chan result
}

type result struct {
	verdict fold.Verdict
	err     error
}

// New returns a proposer. Nothing is appended before Run is called.
func New(name, incarnation string, log Log, reader OutcomeSource) *Proposer {
	return &Proposer{
		name: name, incarnation: incarnation, log: log, fold: reader,
		queued: make(chan struct{}, 1),
	}
}

// Incarnation returns the process lifetime under which proposals are appended.
func (p *Proposer) Incarnation() string { return p.incarnation }

// Propose appends a proposal and returns the fold's verdict. The record needs only its payload.
// The error is of kind LogUnavailable when the proposal was never appended, and AppendUnsettled
// when ctx ended before the outcome was known; the proposer then goes on to settle it, so that a
// later proposal can't overtake it.
func (p *Proposer) Propose(ctx context.Context, record *v1.Record) (fold.Verdict, error) {
	item := &pending{record: record, result: make(chan result, 1)}
	if err := p.enqueue(item); err != nil {
		return fold.Verdict{}, err
	}
	select {
	case done := <-item.result:
		return done.verdict, done.err
	case <-ctx.Done():
	}
	if p.withdraw(item) {
		return fold.Verdict{}, fault.Wrap(fault.LogUnavailable, ctx.Err(), "proposal wasn't appended")
	}
	select {
	case done := <-item.result:
		return done.verdict, done.err
	default:
		return fold.Verdict{}, fault.Wrap(fault.AppendUnsettled, ctx.Err(), "proposal may take effect")
	}
}

// Forward appends a record that has the envelope of another process, and returns the verdict. The
// error is of kind AppendUnsettled when the outcome isn't known; the writer then has to forward the
// same record again before its next one.
func (p *Proposer) Forward(ctx context.Context, record *v1.Record) (fold.Verdict, error) {
	raw, err := fold.EncodeRecord(record)
	if err != nil {
		return fold.Verdict{}, err
	}
	if _, corrupt := fold.DecodeRecord(raw); corrupt != nil {
		return fold.Verdict{}, fault.Wrap(fault.RequestInvalid, corrupt, "record can't be forwarded")
	}
	var outcome result
	batch := []appended{{seq: record.GetSeq(), raw: raw}}
	p.settle(ctx, record.GetIncarnation(), batch, func(_ int, r result) { outcome = r })
	return outcome.verdict, outcome.err
}

// Run appends proposals until ctx ends.
func (p *Proposer) Run(ctx context.Context) error {
	defer p.stop()
	for {
		select {
		case <-p.queued:
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			items, batch := p.take()
			if len(items) == 0 {
				break
			}
			p.settle(ctx, p.incarnation, batch, func(i int, r result) { items[i].result <- r })
		}
	}
}

func (p *Proposer) enqueue(item *pending) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return fault.New(fault.ShuttingDown, "proposer has stopped")
	}
	if len(p.queue) >= maxQueued {
		return fault.New(fault.LogUnavailable, "%d proposals wait for the log", len(p.queue))
	}
	p.queue = append(p.queue, item)
	periodic.Wake(p.queued)
	return nil
}

// withdraw removes a proposal that hasn't been appended yet.
func (p *Proposer) withdraw(item *pending) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, queued := range p.queue {
		if queued == item {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return true
		}
	}
	return false
}

// take removes the next batch from the queue and numbers its records. A record that can't be
// encoded gets no number.
func (p *Proposer) take() ([]*pending, []appended) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var items []*pending
	var batch []appended
	size := 0
	for len(p.queue) > 0 && len(items) < maxBatch {
		item := p.queue[0]
		raw, err := p.encode(item.record)
		if err != nil {
			item.result <- result{err: err}
			p.queue = p.queue[1:]
			continue
		}
		if len(items) > 0 && size+len(raw) > maxBatchBytes {
			break
		}
		p.seq++
		size += len(raw)
		items = append(items, item)
		batch = append(batch, appended{seq: p.seq, raw: raw})
		p.queue = p.queue[1:]
	}
	return items, batch
}

func (p *Proposer) encode(record *v1.Record) ([]byte, error) {
	if record.GetPayload() == nil {
		return nil, fault.New(fault.RequestInvalid, "proposal has no payload")
	}
	return fold.EncodeRecord(&v1.Record{
		Schema: fold.Schema, Proposer: p.name, Incarnation: p.incarnation, Seq: p.seq + 1,
		TimeUnixMs: time.Now().UnixMilli(), Payload: record.GetPayload(),
	})
}

func (p *Proposer) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	for _, item := range p.queue {
		item.result <- result{err: fault.New(fault.ShuttingDown, "proposal wasn't appended")}
	}
	p.queue = nil
}
