// Package election elects the entry process that schedules the fleet. A process claims leadership by a
// conditional append to the log, which fails if another process has claimed since. The term is the offset of
// the claim's record plus 1, and is the fencing token against earlier leaders. Group membership only shows
// when a new claim is due; wrong membership data can't produce two leaders of one term.
package election

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"turmericyoke/internal/boottime"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
)

const (
	// claimTopic is the log topic of the claims, which all have the key claimKey.
	claimTopic = "duty"
	claimKey   = "scheduler"
	// memberTTL is how long a process stays a member of the group after its last join. Together with
	// watchInterval it bounds the time of a takeover. The platform accepts no TTL below 1 s.
	memberTTL = 1500 * time.Millisecond
	// joinInterval is the time between joins; several fit into memberTTL. A join doesn't wait for the
	// previous one: the store may lose a third of its responses for several seconds, and waiting for a lost
	// response would take a whole timeout.
	joinInterval = 300 * time.Millisecond
	// maxConcurrentJoins bounds the join calls in flight.
	maxConcurrentJoins = 4
	// watchInterval is the time between reads of the member list by the highest-ranked processes, or by all
	// processes while the leader is missing. The leader, which has the least of its link and processor to
	// spare, reads it every minIdleWatchInterval. The others read it at least as often as that, and those that would
	// wait longer than that before a claim, because of their rank, as often as they would wait, up to
	// maxIdleWatchInterval.
	watchInterval        = 250 * time.Millisecond
	minIdleWatchInterval = time.Second
	maxIdleWatchInterval = 4 * time.Second
	// rankDelay is the additional delay per rank before a claim, so that the highest-ranked
	// process claims first.
	rankDelay = 300 * time.Millisecond
	// firstClaimDelay delays the first claim in an empty log, so that the other processes can join.
	firstClaimDelay = time.Second
	// readWait is the long-poll time of a read of the claims, and resignedReadWait that of a read after a resignation: the
	// next claim comes at once then, and a read that begins while it is appended returns only at the end of its wait.
	readWait         = time.Second
	resignedReadWait = 200 * time.Millisecond
	// frequentWatchRanks is the number of highest-ranked processes that read the member list every
	// watchInterval.
	frequentWatchRanks = 3
	// rejoinTime is how long after an outage of the group a leader that isn't listed may still rejoin: its
	// membership has lapsed, and its next join may come maxUnansweredJoin later. A takeover from a leader that is
	// alive costs more than this wait.
	rejoinTime = maxUnansweredJoin
	// retryDelay is the pause after a failed read of the claims.
	retryDelay = 150 * time.Millisecond
	// maxUnansweredJoin is how long a process continues to renew its membership without any response. After
	// that it joins so seldom that its membership lapses between joins: the joins may still arrive while their
	// responses are lost, and the other processes must not wait for a leader in that state.
	maxUnansweredJoin = 2 * time.Second
	// yieldTime is how long a process doesn't claim after it has yielded. The others claim within that time, unless they
	// have ended as well and are still listed.
	yieldTime = 2 * memberTTL
)

// Claim is the newest claim of leadership, or a resignation from it.
type Claim struct {
	// Term is the fencing token; it rises with each claim. 0 means that no process has claimed yet.
	Term int64
	// Holder is the process that made the claim.
	Holder infra.Member
	// Nonce distinguishes the lifetimes of a process that restarts under the same name.
	Nonce string
	// Resigned is set when the holder resigned, so that others may claim without waiting for its membership to
	// lapse.
	Resigned bool
	// Reclaimed is set if the claim before it was by an earlier lifetime of the same process, which didn't resign.
	Reclaimed bool
}

// claimRecord is the JSON value of a claim in the log.
type claimRecord struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Nonce   string `json:"nonce"`
	// Resigned is set in the record by which a leader resigns.
	Resigned bool `json:"resigned,omitempty"`
	// Reclaimed is that of Claim.
	Reclaimed bool `json:"reclaimed,omitempty"`
}

// Elector follows the claims in the log, and claims leadership when the leader is lost.
type Elector struct {
	Self   infra.Member
	Nonce  string
	Log    infra.Log
	Group  infra.Group
	Logger *logrus.Entry
	Clock  boottime.Clock
	// RunTerm schedules during the term until ctx ends. It returns early if a later term fenced it or if it failed.
	RunTerm func(ctx context.Context, term int64)
	// Eligible reports whether this process can schedule now.
	Eligible func() bool

	mu sync.Mutex
	// claim is the newest claim that was read.
	claim Claim
	// nextOffset is where the next read of the claims starts. It is known once claimsLoaded is set.
	nextOffset   int64
	claimsLoaded bool
	// claimsUnreadable is set while reads of the claims fail.
	claimsUnreadable bool
	// claimChanged is signalled when a newer claim was read.
	claimChanged chan struct{}
	// joinDue is signalled when the store responds again after joins without a response, so that the next join isn't
	// delayed by maxUnansweredJoin.
	joinDue chan struct{}
	// leaderResigned is signalled when the leader's resignation was read, to wake watchMembers.
	leaderResigned chan struct{}
	// members is the group as it was last read.
	members []infra.Member
	// joinSucceededAt is when a join last succeeded.
	joinSucceededAt time.Duration
	// claimReadAt is when the newest claim was read.
	claimReadAt time.Duration
	// membersUnreadable is set while reads of the member list fail, and membersReadableSince is when they succeeded
	// again; 0 if none has failed yet.
	membersUnreadable    bool
	membersReadableSince time.Duration
	// leaderMissingSince is when the leader was first found missing from the group; 0 while it is present.
	leaderMissingSince time.Duration
	// yieldedUntil is until when this process doesn't claim because it has yielded to others.
	yieldedUntil time.Duration
	// stopClaiming is set by Resign; this process then makes no further claims.
	stopClaiming bool
	// endedTerm is the last term that this process led and no longer leads.
	endedTerm int64
}

// Current returns the newest claim that this process has read.
func (e *Elector) Current() Claim {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.claim
}

// FollowsClaims reports whether this process would soon learn of a new claim.
func (e *Elector) FollowsClaims() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.claimsUnreadable
}

// Peers returns the other entry processes in the group as it was last read.
func (e *Elector) Peers() []infra.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	var peers []infra.Member
	for _, member := range e.members {
		if member.Name != e.Self.Name {
			peers = append(peers, member)
		}
	}
	return peers
}

// Run takes part in the election until ctx ends, and then leaves the group.
func (e *Elector) Run(ctx context.Context) error {
	e.claimChanged, e.leaderResigned, e.joinDue = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.followClaims(groupCtx) })
	group.Go(func() error { return e.keepJoined(groupCtx) })
	group.Go(func() error { return e.watchMembers(groupCtx) })
	group.Go(func() error { return e.leadTerms(groupCtx) })
	return group.Wait()
}

// followClaims reads the claims from the log until ctx ends.
func (e *Elector) followClaims(ctx context.Context) error {
	for ctx.Err() == nil {
		err := e.readClaims(ctx)
		e.mu.Lock()
		e.claimsUnreadable = err != nil
		e.mu.Unlock()
		if err != nil {
			_ = periodic.Pause(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

// readClaims reads new claims once. At first, and after a gap due to trimming, it loads the newest claim.
func (e *Elector) readClaims(ctx context.Context) error {
	e.mu.Lock()
	loaded, nextOffset, wait := e.claimsLoaded, e.nextOffset, readWait
	if e.claim.Resigned {
		wait = resignedReadWait
	}
	e.mu.Unlock()
	if !loaded {
		records, end, err := e.Log.LatestByKey(ctx, claimTopic)
		if err != nil {
			return err
		}
		e.applyRecords(records, end)
		return nil
	}
	page, err := e.Log.Read(ctx, claimTopic, nextOffset, wait)
	if infra.KindOf(err) == infra.Trimmed {
		e.mu.Lock()
		e.claimsLoaded = false
		e.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	e.applyRecords(page.Records, page.Next)
	return nil
}

// applyRecords applies the claims among records that are newer than the current one. The next read starts
// at nextOffset.
func (e *Elector) applyRecords(records []infra.Record, nextOffset int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, record := range records {
		if record.Key != claimKey || record.Offset+1 <= e.claim.Term {
			continue
		}
		var value claimRecord
		if err := json.Unmarshal(record.Value, &value); err != nil {
			e.Logger.WithFields(logrus.Fields{"event": "claim_skipped", "offset": record.Offset}).WithError(err).Warn("claim skipped: its value isn't valid JSON")
			continue
		}
		e.claim = Claim{Term: record.Offset + 1, Holder: infra.Member{Name: value.Name, Zone: value.Zone, Address: value.Address}, Nonce: value.Nonce, Resigned: value.Resigned, Reclaimed: value.Reclaimed}
		e.leaderMissingSince, e.claimReadAt = 0, e.Clock()
		e.Logger.WithFields(logrus.Fields{"event": "scheduler_changed", "term": e.claim.Term, "holder": value.Name, "address": value.Address}).Info("read a newer scheduler claim")
		periodic.Wake(e.claimChanged)
		if value.Resigned {
			periodic.Wake(e.leaderResigned)
		}
	}
	e.claimsLoaded, e.nextOffset = true, max(e.nextOffset, nextOffset)
}

// keepJoined renews this process's membership of the group until ctx ends, and then leaves the group.
func (e *Elector) keepJoined(ctx context.Context) error {
	e.mu.Lock()
	e.joinSucceededAt = e.Clock()
	e.mu.Unlock()
	var joins errgroup.Group
	joins.SetLimit(maxConcurrentJoins)
	for ctx.Err() == nil {
		joins.TryGo(func() error {
			if err := e.Group.Join(ctx, e.Self, e.leads(), memberTTL); err == nil {
				e.noteJoined()
			}
			return nil
		})
		pause := joinInterval
		e.mu.Lock()
		if e.Clock()-e.joinSucceededAt > maxUnansweredJoin {
			pause = memberTTL + joinInterval
		}
		e.mu.Unlock()
		_ = periodic.Wait(ctx, pause, e.joinDue)
	}
	// A join that arrives after the leave would make this process a member again, so all of them have to
	// return first. The functions in joins never return an error.
	_ = joins.Wait()
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := e.Group.Leave(leaveCtx, e.Self); err != nil {
		e.Logger.WithField("event", "leave_failed").WithError(err).Info("can't leave the group; the membership ends when its TTL has passed")
	}
	return ctx.Err()
}

// noteJoined records a successful join.
func (e *Elector) noteJoined() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock()
	if now-e.joinSucceededAt > maxUnansweredJoin {
		periodic.Wake(e.joinDue)
	}
	e.joinSucceededAt = now
}

// watchMembers reads the member list until ctx ends, and claims leadership when it is this process's turn.
func (e *Elector) watchMembers(ctx context.Context) error {
	for ctx.Err() == nil {
		members, err := e.Group.Members(ctx)
		now := e.Clock()
		e.mu.Lock()
		e.noteMembersRead(members, err, now)
		claimDue := err == nil && e.claimsLoaded && !e.stopClaiming && now >= e.yieldedUntil && e.shouldClaim(now)
		yields := claimDue && e.shouldYield()
		if yields {
			e.yieldedUntil = now + yieldTime
		}
		pause := e.watchPause()
		claim, nextOffset := e.claim, e.nextOffset
		e.mu.Unlock()
		if claimDue && (yields || e.Eligible()) {
			e.appendClaim(ctx, claim, nextOffset, yields)
		}
		_ = periodic.Wait(ctx, pause, e.leaderResigned)
	}
	return ctx.Err()
}

// noteMembersRead records the result of a read of the member list. e.mu must be held.
func (e *Elector) noteMembersRead(members []infra.Member, err error, now time.Duration) {
	if err != nil {
		e.membersUnreadable = true
		return
	}
	e.members = members
	if e.membersUnreadable {
		e.membersUnreadable, e.membersReadableSince, e.leaderMissingSince = false, now, 0
		periodic.Wake(e.joinDue)
	}
}

// leads reports whether this process has claimed the current term and still leads it.
func (e *Elector) leads() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isCurrentLeader()
}

// isCurrentLeader is leads with e.mu held.
func (e *Elector) isCurrentLeader() bool {
	return e.claim.Term > 0 && e.claim.Nonce == e.Nonce && !e.claim.Resigned && e.claim.Term != e.endedTerm
}

// watchPause returns the time until the next read of the member list. e.mu must be held.
func (e *Elector) watchPause() time.Duration {
	if e.isCurrentLeader() && !e.membersUnreadable {
		// It doesn't claim. After an outage of the group it has to rejoin at once.
		return minIdleWatchInterval
	}
	rank := e.rank()
	if e.leaderMissingSince > 0 || rank < frequentWatchRanks {
		return watchInterval
	}
	return min(max(minIdleWatchInterval, time.Duration(rank)*rankDelay), maxIdleWatchInterval)
}

// Resign gives up leadership if this process has it, and stops this process from claiming again.
func (e *Elector) Resign(ctx context.Context) {
	e.mu.Lock()
	e.stopClaiming = true
	claim, nextOffset := e.claim, e.nextOffset
	e.mu.Unlock()
	if claim.Nonce == e.Nonce && !claim.Resigned {
		e.appendClaim(ctx, claim, nextOffset, true)
	}
}

// appendClaim appends a claim or a resignation at the offset, on the condition that the topic ends there, so
// that no other claim came after previous. Success is only known once followClaims reads the record back.
func (e *Elector) appendClaim(ctx context.Context, previous Claim, offset int64, resigned bool) {
	reclaimed := !resigned && !previous.Resigned && previous.Holder.Name == e.Self.Name
	value, err := json.Marshal(claimRecord{Name: e.Self.Name, Zone: e.Self.Zone, Address: e.Self.Address, Nonce: e.Nonce, Resigned: resigned, Reclaimed: reclaimed})
	if err == nil {
		_, err = e.Log.Append(ctx, claimTopic, []infra.Record{{Key: claimKey, Value: value}}, infra.AppendOptions{ExpectedEnd: &offset})
	}
	e.Logger.WithFields(logrus.Fields{"event": "claimed", "after_term": previous.Term, "at": offset, "resigned": resigned, "reclaimed": reclaimed, "outcome": outcome(err)}).WithError(err).Info("tried to append a scheduler claim or resignation")
}

// outcome returns the value of the log field "outcome".
func outcome(err error) string {
	if err == nil {
		return "done"
	}
	return string(infra.KindOf(err))
}

// leadTerms calls leadTerm for each term that this process has claimed, until ctx ends.
func (e *Elector) leadTerms(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.claimChanged:
		}
		claim := e.Current()
		if claim.Nonce != e.Nonce || claim.Term == e.endedTerm || claim.Resigned {
			continue
		}
		if e.claimsEnded() {
			e.resignLateClaim(ctx, claim.Term)
			continue
		}
		e.leadTerm(ctx, claim.Term)
	}
}

// claimsEnded reports whether Resign was called.
func (e *Elector) claimsEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopClaiming
}

// resignLateClaim gives up a claim of this process that was on its way to the log when Resign was called. Without a
// resignation the other processes wait for memberTTL before they claim, although nobody leads.
func (e *Elector) resignLateClaim(ctx context.Context, term int64) {
	for ctx.Err() == nil && e.Current().Term == term {
		e.Resign(ctx)
		_ = periodic.Wait(ctx, retryDelay, e.claimChanged)
	}
}

// leadTerm runs RunTerm for one term, until a later claim supersedes the term or RunTerm returns.
func (e *Elector) leadTerm(ctx context.Context, term int64) {
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.RunTerm(termCtx, term)
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-e.claimChanged:
			if e.Current().Term > term {
				cancel()
				<-done
				running = false
			}
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endedTerm = term
	if e.claim.Term > term && e.claim.Nonce == e.Nonce {
		periodic.Wake(e.claimChanged)
	}
}
