package rights

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

const (
	// recordInterval bounds the records of one holder: 120 holders then stay well below the several
	// hundred appends a second that the log takes.
	recordInterval = time.Second
	// minRetry and maxRetry bound the time between two attempts to settle a record.
	minRetry = time.Second
	maxRetry = 5 * time.Second
	// staleAfter is the age of the view at which the log counts as down; no rights then move.
	staleAfter = 5 * time.Second
	// schema is the version of the records.
	schema = 1
	// skewStep is the first correction of a wall clock that is behind an earlier life of the name.
	skewStep = time.Minute
	// maxSkew is more than the age of any log.
	maxSkew = 100 * 365 * 24 * time.Hour
)

// pending is the one record in flight. Its outcome is known once a view includes its number; until
// then the same record is sent again, since a second copy is ignored by the fold.
type pending struct {
	record *v1.Record
	// sentAt is when it was first sent.
	sentAt time.Time
	// out holds the units that it gives away; they left the accounts before it was sent.
	out map[string]uint64
	// answered is set once its verdict is known; the view is then waited for.
	answered bool
	retryAt  time.Time
	retry    time.Duration
}

// Step sends at most one record: the one in flight if it isn't settled, else a new one if there is
// something to say and recordInterval has passed.
func (h *Holder) Step(ctx context.Context) {
	current, record := h.next()
	if record == nil {
		return
	}
	response, err := h.cfg.Proposer.Propose(ctx, record)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life.Load() != current || current.pending == nil || current.pending.record != record {
		return
	}
	if err != nil {
		h.cfg.Logger.WithField("event", "proposal_unsettled").WithField("seq", record.GetSeq()).WithField("kind", fault.KindOf(err)).WithError(err).Debug("proposal isn't settled")
		return
	}
	h.settle(current, response)
}

// next returns the record to send now, if any.
func (h *Holder) next() (*life, *v1.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current, now := h.life.Load(), h.cfg.Now()
	h.observeDemand(current)
	if waiting := current.pending; waiting != nil {
		if waiting.answered || now.Before(waiting.retryAt) {
			return current, nil
		}
		waiting.retry = min(2*waiting.retry, maxRetry)
		waiting.retryAt = now.Add(waiting.retry)
		return current, waiting.record
	}
	if now.Sub(h.lastNew) < recordInterval {
		return current, nil
	}
	return current, h.propose(current, now)
}

// propose needs the lock. It makes the next record the pending one.
func (h *Holder) propose(current *life, now time.Time) *v1.Record {
	record, out := h.decide(current, now)
	if record == nil {
		return nil
	}
	current.seq++
	record.Schema, record.Proposer, record.Incarnation = schema, current.ref.Name, current.ref.Incarnation
	record.Seq, record.TimeUnixMs = current.seq, now.UnixMilli()
	current.pending = &pending{record: record, sentAt: now, out: out, retry: minRetry, retryAt: now.Add(minRetry)}
	h.lastNew = now
	switch record.GetPayload().(type) {
	case *v1.Record_Claim, *v1.Record_Return, *v1.Record_Transfer:
		h.charge(proto.Size(record), now)
	}
	return record
}

// decide needs the lock. It returns what to say next, the most urgent first.
func (h *Holder) decide(current *life, now time.Time) (*v1.Record, map[string]uint64) {
	if !current.joined {
		return h.join(), nil
	}
	if h.reclaims.left {
		return nil, nil
	}
	entry := findEntry(h.view, current.ref)
	if h.keeper.NeedsHeartbeat() || entry.SeenOffset < h.ackOffset {
		return h.heartbeat(), nil
	}
	if now.Sub(h.freshAt) > staleAfter {
		h.clearHoldbacks(current)
		return nil, nil
	}
	if record := h.reclaims.next(h.view); record != nil {
		return record, nil
	}
	if h.leaving.Load() {
		return h.leave(current)
	}
	return h.plan(current, entry, now)
}

func (h *Holder) join() *v1.Record {
	if h.leaving.Load() {
		h.goneOnce.Do(func() { close(h.gone) })
		return nil
	}
	return &v1.Record{Payload: &v1.Record_Join{Join: &v1.Join{
		Zone: h.cfg.Zone, Address: h.cfg.Address, Role: v1.Role_ROLE_GATEWAY,
	}}}
}

// heartbeat renews the lease and confirms the members of the zone that it is counted against.
func (h *Holder) heartbeat() *v1.Record {
	return &v1.Record{Payload: &v1.Record_Heartbeat{Heartbeat: &v1.Heartbeat{SeenOffset: h.view.Offset}}}
}

// settle needs the lock. It takes in a verdict. The record stays in flight until a view includes it,
// so that its effect on rights is taken from the view and never guessed; only a heartbeat has none.
func (h *Holder) settle(current *life, response *v1.ProposeResponse) {
	waiting := current.pending
	waiting.answered = true
	if !response.GetAccepted() {
		h.cfg.Logger.WithField("event", "proposal_rejected").WithField("seq", waiting.record.GetSeq()).WithField("kind", response.GetKind()).
			WithField("detail", response.GetDetail()).Debug("proposal was rejected")
	}
	switch waiting.record.GetPayload().(type) {
	case *v1.Record_Heartbeat:
		if response.GetAccepted() {
			h.keeper.HeartbeatRead(current.ref.Incarnation, waiting.sentAt)
		}
		current.pending = nil
	case *v1.Record_Join:
		h.joinAnswered(current, response)
	case *v1.Record_Leave:
		h.leaveAnswered(response)
	}
}

// joinAnswered needs the lock. A Join that counts as a duplicate although no view has the life is
// that of an incarnation below an earlier one of the name: the wall clock is behind.
func (h *Holder) joinAnswered(current *life, response *v1.ProposeResponse) {
	if response.GetAccepted() {
		return
	}
	// Until a view reaches the offset, the first copy may still turn out to have been accepted.
	current.pending.answered = false
	if fault.Kind(response.GetKind()) != fault.ProposalDuplicate || h.view == nil || h.view.Offset < response.GetOffset() {
		return
	}
	h.skew = min(max(2*h.skew, skewStep), maxSkew)
	h.life.Store(newLife(h.nextRef(current.ref.Incarnation)))
	h.cfg.Logger.WithField("event", "join_rejected").WithField("detail", response.GetDetail()).Warn("join was rejected; trying a higher incarnation")
}

// observeDemand needs the lock.
func (h *Holder) observeDemand(current *life) {
	now := h.cfg.Now()
	if now.Sub(h.plans.sampled) < recordInterval {
		return
	}
	h.plans.sampled = now
	var waiting map[string]uint64
	if h.cfg.Waiting != nil {
		waiting = h.cfg.Waiting()
	}
	h.plans.samples = map[string]sample{}
	for team, a := range *current.accounts.Load() {
		s := a.sample()
		h.plans.samples[team] = s
		need := s.peak + waiting[team]
		if h.cfg.Waiting == nil && s.refused > 0 {
			// Without the queue's length, a refusal asks for a quarter more than what is in use.
			need += 1 + s.peak/4
		}
		if current.demands[team] == nil {
			current.demands[team] = &demand{}
		}
		current.demands[team].observe(need)
	}
}
