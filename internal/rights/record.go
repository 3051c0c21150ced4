package rights

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
)

const (
	// recordInterval is the least time between two new records of one holder. With it, 120 holders stay well
	// below the several hundred appends a second that the log can take.
	recordInterval = time.Second
	// minRetryDelay and maxRetryDelay bound the time between two attempts to send the record in flight.
	minRetryDelay = time.Second
	maxRetryDelay = 5 * time.Second
	// maxViewAge is the age of the view above which the log counts as down. No rights are moved then.
	maxViewAge = 5 * time.Second
	// recordSchema is the schema version of the records.
	recordSchema = 1
	// minClockCorrection is the first correction when the wall clock is behind an earlier incarnation of the
	// same name.
	minClockCorrection = time.Minute
	// maxClockCorrection bounds the correction; it is more than the age of any log.
	maxClockCorrection = 100 * 365 * 24 * time.Hour
)

// proposal is the record in flight, of which there is at most one. It is settled once a view includes its
// sequence number. Until its verdict is known, the same record is sent again; the fold ignores further copies.
type proposal struct {
	record *v1.Record
	// sentAt is when the record was first sent.
	sentAt time.Time
	// outgoing holds the units, by team, that the record gives away. They were withdrawn from the accounts
	// before the record was sent.
	outgoing map[string]uint64
	// verdictKnown is set once a controller has returned the verdict. The record isn't sent again then, but
	// stays in flight until a view includes it.
	verdictKnown bool
	// retryAt is when the record is to be sent again, and retryDelay the last delay, which is doubled each
	// time.
	retryAt    time.Time
	retryDelay time.Duration
}

// Step sends at most one record: the one in flight if a retry is due, or a new one if none is in flight,
// there is something to propose and recordInterval has passed.
func (h *Holder) Step(ctx context.Context) {
	current, record := h.nextToSend()
	if record == nil {
		return
	}
	response, err := h.cfg.Proposer.Propose(ctx, record)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current.Load() != current || current.pending == nil || current.pending.record != record {
		return
	}
	if err != nil {
		h.cfg.Logger.WithField("event", "proposal_unsettled").WithField("seq", record.GetSeq()).WithField("kind", fault.KindOf(err)).WithError(err).Debug("proposal isn't settled")
		return
	}
	h.applyVerdict(current, response)
}

// nextToSend returns the current incarnation and the record to send now, if any.
func (h *Holder) nextToSend() (*incarnation, *v1.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current, now := h.current.Load(), h.cfg.Now()
	h.observeDemand(current)
	if pending := current.pending; pending != nil {
		if pending.verdictKnown || now.Before(pending.retryAt) {
			return current, nil
		}
		pending.retryDelay = min(2*pending.retryDelay, maxRetryDelay)
		pending.retryAt = now.Add(pending.retryDelay)
		return current, pending.record
	}
	if now.Sub(h.lastProposedAt) < recordInterval {
		return current, nil
	}
	return current, h.newProposal(current, now)
}

// newProposal puts the next record, if any, in flight and returns it. h.mu must be held.
func (h *Holder) newProposal(current *incarnation, now time.Time) *v1.Record {
	record, outgoing := h.chooseRecord(current, now)
	if record == nil {
		return nil
	}
	current.seq++
	record.Schema, record.Proposer, record.Incarnation = recordSchema, current.ref.Name, current.ref.Incarnation
	record.Seq, record.TimeUnixMs = current.seq, now.UnixMilli()
	current.pending = &proposal{record: record, sentAt: now, outgoing: outgoing, retryDelay: minRetryDelay, retryAt: now.Add(minRetryDelay)}
	h.lastProposedAt = now
	switch record.GetPayload().(type) {
	case *v1.Record_Claim, *v1.Record_Return, *v1.Record_Transfer:
		h.scheduleNextRecord(proto.Size(record), now)
	}
	return record
}

// chooseRecord returns the most urgent record to propose, if any, and the units that it gives away. h.mu must
// be held.
func (h *Holder) chooseRecord(current *incarnation, now time.Time) (*v1.Record, map[string]uint64) {
	if !current.joined {
		return h.joinRecord(), nil
	}
	if h.reclaims.leaveProposed {
		return nil, nil
	}
	entry := findEntry(h.view, current.ref)
	if h.lease.NeedsHeartbeat() || entry.SeenOffset < h.membersOffset {
		return h.heartbeatRecord(), nil
	}
	if now.Sub(h.viewFreshAt) > maxViewAge {
		h.clearHoldbacks(current)
		return nil, nil
	}
	if record := h.reclaims.nextRecord(h.view); record != nil {
		return record, nil
	}
	if h.leaving.Load() {
		return h.leaveRecord(current)
	}
	return h.planRecord(current, entry, now)
}

// joinRecord returns a Join. If the holder is leaving, it returns nil and closes left, since there is nothing
// to leave.
func (h *Holder) joinRecord() *v1.Record {
	if h.leaving.Load() {
		h.leftOnce.Do(func() { close(h.left) })
		return nil
	}
	return &v1.Record{Payload: &v1.Record_Join{Join: &v1.Join{
		Zone: h.cfg.Zone, Address: h.cfg.Address, Role: v1.Role_ROLE_GATEWAY,
	}}}
}

// heartbeatRecord returns a Heartbeat. It renews the lease, and confirms which members of the zone this gateway
// uses for its quorum.
func (h *Holder) heartbeatRecord() *v1.Record {
	return &v1.Record{Payload: &v1.Record_Heartbeat{Heartbeat: &v1.Heartbeat{SeenOffset: h.view.Offset}}}
}

// applyVerdict applies the verdict on the record in flight. The record stays in flight until a view includes
// it, so that its effect on rights is always taken from the view. Only a heartbeat is settled at once, since
// it has no effect on rights. h.mu must be held.
func (h *Holder) applyVerdict(current *incarnation, response *v1.ProposeResponse) {
	pending := current.pending
	pending.verdictKnown = true
	if !response.GetAccepted() {
		h.cfg.Logger.WithField("event", "proposal_rejected").WithField("seq", pending.record.GetSeq()).WithField("kind", response.GetKind()).
			WithField("detail", response.GetDetail()).Debug("proposal was rejected")
	}
	switch pending.record.GetPayload().(type) {
	case *v1.Record_Heartbeat:
		if response.GetAccepted() {
			h.lease.RecordHeartbeat(current.ref.Incarnation, pending.sentAt)
		}
		current.pending = nil
	case *v1.Record_Join:
		h.applyJoinVerdict(current, response)
	case *v1.Record_Leave:
		h.applyLeaveVerdict(response)
	}
}

// applyJoinVerdict applies the verdict on a Join. If the Join is rejected as a duplicate and the view at that
// offset doesn't have the incarnation, an earlier incarnation of the same name was higher: the wall clock is
// behind, and the next incarnation is made with a larger correction. h.mu must be held.
func (h *Holder) applyJoinVerdict(current *incarnation, response *v1.ProposeResponse) {
	if response.GetAccepted() {
		return
	}
	// Until a view reaches the offset, an earlier copy of the Join may still turn out to have been accepted.
	current.pending.verdictKnown = false
	if fault.Kind(response.GetKind()) != fault.ProposalDuplicate || h.view == nil || h.view.Offset < response.GetOffset() {
		return
	}
	h.clockCorrection = min(max(2*h.clockCorrection, minClockCorrection), maxClockCorrection)
	h.current.Store(newIncarnation(h.nextRef(current.ref.Incarnation)))
	h.cfg.Logger.WithField("event", "join_rejected").WithField("detail", response.GetDetail()).Warn("join was rejected; trying a higher incarnation")
}

// observeDemand samples the accounts and updates the demand for each team, once in each recordInterval. h.mu
// must be held.
func (h *Holder) observeDemand(current *incarnation) {
	now := h.cfg.Now()
	if now.Sub(h.plans.lastSampledAt) < recordInterval {
		return
	}
	h.plans.lastSampledAt = now
	var waiting map[string]uint64
	if h.cfg.Waiting != nil {
		waiting = h.cfg.Waiting()
	}
	for team, a := range *current.accounts.Load() {
		s := a.takeSample()
		need := s.peak + waiting[team]
		if h.cfg.Waiting == nil && s.refused > 0 {
			// If the length of the queue isn't known, refused requests raise the need to a quarter above the
			// peak.
			need += 1 + s.peak/4
		}
		if current.demands[team] == nil {
			current.demands[team] = &demand{}
		}
		current.demands[team].observe(need)
	}
}
