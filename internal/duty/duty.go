// Package duty decides which entry process schedules. The claim of a process is a record of the log
// that was appended under the condition that nobody else claimed meanwhile; its offset is the term,
// which fences everything that an earlier holder still does. Membership of the group only tells when
// a new claim is due, and may be wrong without harm.
package duty

import (
	"cmp"
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
	// topic holds the claims under one key.
	topic    = "duty"
	claimKey = "scheduler"
	// memberTTL is how long a silent process stays a member. It bounds the takeover together with
	// watchInterval; the platform takes no less than a second.
	memberTTL = 1500 * time.Millisecond
	// joinInterval renews membership some times within memberTTL. A join doesn't wait for the one before
	// it: a third of the store's answers may be lost for seconds, each of which would cost a timeout.
	joinInterval = 300 * time.Millisecond
	// maxJoins bounds the joins under way.
	maxJoins = 4
	// watchInterval is how often a process that is ranked high looks at the members, and
	// idleWatchInterval how often the others do, which need it to know their peers.
	watchInterval     = 250 * time.Millisecond
	idleWatchInterval = time.Second
	// claimDelay is how much longer a process waits than the one ranked before it.
	claimDelay = 300 * time.Millisecond
	// bootDelay is how long the first claim of all waits for the other processes to join.
	bootDelay = time.Second
	// followWait is how long a read of the claims waits for a new one.
	followWait = time.Second
	// watchingRanks is how many processes look at the members often.
	watchingRanks = 3
	// retryPause follows a call that failed.
	retryPause = 150 * time.Millisecond
	// silentAfter is how long a process joins on without an answer. Beyond it, it lets its membership
	// lapse: its calls may arrive while the answers are lost, and then others must not wait for it.
	silentAfter = 2 * time.Second
)

// Claim says who schedules.
type Claim struct {
	// Term is the fencing token; it rises with each claim. 0: nobody has claimed.
	Term   int64
	Holder infra.Member
	// Nonce tells lifetimes of one process apart.
	Nonce string
	// Resigned is set when the last holder gave the duty away, so that anyone may claim at once.
	Resigned bool
}

// claimBody is the value of a claim's record.
type claimBody struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Nonce   string `json:"nonce"`
	// Resigned marks the end of the duty of the process.
	Resigned bool `json:"resigned,omitempty"`
}

// Keeper follows the claims and claims when the holder is lost.
type Keeper struct {
	Self   infra.Member
	Nonce  string
	Log    infra.Log
	Group  infra.Group
	Logger *logrus.Entry
	Clock  boottime.Clock
	// Lead schedules for the term until ctx ends; it returns when it was fenced or failed.
	Lead func(ctx context.Context, term int64)
	// Eligible reports whether this process is able to schedule now.
	Eligible func() bool

	mu      sync.Mutex
	claim   Claim
	next    int64
	loaded  bool
	changed chan struct{}
	// free gets a value when a holder resigned.
	free    chan struct{}
	members []infra.Member
	// answered is when the last join was answered.
	answered time.Duration
	// claimSeen is when the newest claim was read.
	claimSeen time.Duration
	// missingSince is when the holder was first seen missing; 0 while it isn't.
	missingSince time.Duration
	// leaving is set once this process makes no claim any more.
	leaving bool
	// resigned is the last term that this process gave up.
	resigned int64
}

// Current returns the newest claim that is known here.
func (k *Keeper) Current() Claim {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.claim
}

// Peers returns the other entry processes that were joined when last asked.
func (k *Keeper) Peers() []infra.Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	var peers []infra.Member
	for _, member := range k.members {
		if member.Name != k.Self.Name {
			peers = append(peers, member)
		}
	}
	return peers
}

// Run follows and claims until ctx ends, and then leaves the group.
func (k *Keeper) Run(ctx context.Context) error {
	k.changed, k.free = make(chan struct{}, 1), make(chan struct{}, 1)
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error { return k.follow(inner) })
	group.Go(func() error { return k.join(inner) })
	group.Go(func() error { return k.watch(inner) })
	group.Go(func() error { return k.lead(inner) })
	return group.Wait()
}

// follow reads the claims.
func (k *Keeper) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := k.readClaims(ctx); err != nil {
			_ = periodic.Pause(ctx, retryPause)
		}
	}
	return ctx.Err()
}

func (k *Keeper) readClaims(ctx context.Context) error {
	k.mu.Lock()
	loaded, next := k.loaded, k.next
	k.mu.Unlock()
	if !loaded {
		records, end, err := k.Log.LatestByKey(ctx, topic)
		if err != nil {
			return err
		}
		k.apply(records, end)
		return nil
	}
	page, err := k.Log.Read(ctx, topic, next, followWait)
	if infra.KindOf(err) == infra.Trimmed {
		k.mu.Lock()
		k.loaded = false
		k.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	k.apply(page.Records, page.Next)
	return nil
}

// apply takes claims from records, and the offset from which to read on.
func (k *Keeper) apply(records []infra.Record, next int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, record := range records {
		if record.Key != claimKey || record.Offset+1 <= k.claim.Term {
			continue
		}
		var body claimBody
		if err := json.Unmarshal(record.Value, &body); err != nil {
			k.Logger.WithFields(logrus.Fields{"event": "claim_skipped", "offset": record.Offset}).WithError(err).Warn("claim can't be read")
			continue
		}
		k.claim = Claim{Term: record.Offset + 1, Holder: infra.Member{Name: body.Name, Zone: body.Zone, Address: body.Address}, Nonce: body.Nonce, Resigned: body.Resigned}
		k.missingSince, k.claimSeen = 0, k.Clock()
		k.Logger.WithFields(logrus.Fields{"event": "scheduler_changed", "term": k.claim.Term, "holder": body.Name, "address": body.Address}).Info("scheduler known")
		periodic.Wake(k.changed)
		if body.Resigned {
			periodic.Wake(k.free)
		}
	}
	k.loaded, k.next = true, max(k.next, next)
}

// join keeps this process a member of the group.
func (k *Keeper) join(ctx context.Context) error {
	k.mu.Lock()
	k.answered = k.Clock()
	k.mu.Unlock()
	var joins errgroup.Group
	joins.SetLimit(maxJoins)
	for ctx.Err() == nil {
		joins.TryGo(func() error {
			if err := k.Group.Join(ctx, k.Self, memberTTL); err == nil {
				k.mu.Lock()
				defer k.mu.Unlock()
				k.answered = k.Clock()
			}
			return nil
		})
		pause := joinInterval
		k.mu.Lock()
		if k.Clock()-k.answered > silentAfter {
			pause = memberTTL + joinInterval
		}
		k.mu.Unlock()
		_ = periodic.Pause(ctx, pause)
	}
	// A join that arrives after the leave would make this process a member again. Joins return no error.
	_ = joins.Wait()
	leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := k.Group.Leave(leave, k.Self); err != nil {
		k.Logger.WithField("event", "leave_failed").WithError(err).Info("group membership lapses by itself")
	}
	return ctx.Err()
}

// watch looks at the members, and claims when the holder isn't one of them.
func (k *Keeper) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		members, err := k.Group.Members(ctx)
		now := k.Clock()
		k.mu.Lock()
		if err == nil {
			k.members = members
		}
		due := err == nil && k.loaded && !k.leaving && k.due(now)
		pause := idleWatchInterval
		if k.missingSince > 0 || k.rank() < watchingRanks {
			pause = watchInterval
		}
		claim, next := k.claim, k.next
		k.mu.Unlock()
		if due && k.Eligible() {
			k.append(ctx, claim, next, false)
		}
		_ = periodic.Wait(ctx, pause, k.free)
	}
	return ctx.Err()
}

// rank is the place of this process among those that may take over: the strongest hosts first, and
// then those that started last, which a rolling restart isn't about to stop. k.mu is held.
func (k *Keeper) rank() int {
	rank := 0
	for _, member := range k.members {
		if member.Name != k.Self.Name && member.Name != k.claim.Holder.Name && before(member, k.Self) {
			rank++
		}
	}
	return rank
}

// before reports whether a goes before b.
func before(a, b infra.Member) bool {
	return cmp.Or(cmp.Compare(b.CPUMilli, a.CPUMilli), cmp.Compare(b.StartUnix, a.StartUnix), cmp.Compare(a.Name, b.Name)) < 0
}

// due reports whether this process should claim. k.mu is held.
func (k *Keeper) due(now time.Duration) bool {
	mine := k.claim.Holder.Name == k.Self.Name
	if mine && !k.claim.Resigned && k.claim.Nonce == k.Nonce && k.claim.Term != k.resigned {
		k.missingSince = 0
		return false
	}
	if !mine && !k.claim.Resigned && k.claim.Term > 0 && now-k.claimSeen < memberTTL {
		// After an outage of the group its members come back one by one; the holder has just shown
		// that it lives.
		return false
	}
	if !mine && k.claim.Term > 0 && !k.claim.Resigned {
		for _, member := range k.members {
			if member.Name == k.claim.Holder.Name {
				k.missingSince = 0
				return false
			}
		}
	}
	if k.missingSince == 0 {
		k.missingSince = now
	}
	if mine && !k.claim.Resigned {
		// This process had the duty in an earlier lifetime, and the others still see it joined.
		return true
	}
	wait := time.Duration(k.rank()) * claimDelay
	if k.claim.Term == 0 {
		wait += bootDelay
	}
	return now-k.missingSince >= wait
}

// Resign gives the duty away if this process has it, and makes no claim any more.
func (k *Keeper) Resign(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	claim, next := k.claim, k.next
	k.mu.Unlock()
	if claim.Nonce == k.Nonce && !claim.Resigned {
		k.append(ctx, claim, next, true)
	}
}

// append appends a claim, or the end of one, on the condition that no other one came. Whether it
// succeeded is read from the log.
func (k *Keeper) append(ctx context.Context, old Claim, at int64, resigned bool) {
	value, err := json.Marshal(claimBody{Name: k.Self.Name, Zone: k.Self.Zone, Address: k.Self.Address, Nonce: k.Nonce, Resigned: resigned})
	if err == nil {
		_, err = k.Log.Append(ctx, topic, []infra.Record{{Key: claimKey, Value: value}}, infra.AppendOptions{ExpectedEnd: &at})
	}
	k.Logger.WithFields(logrus.Fields{"event": "claimed", "after_term": old.Term, "at": at, "resigned": resigned, "outcome": outcome(err)}).WithError(err).Info("claimed the scheduler's duty")
}

func outcome(err error) string {
	if err == nil {
		return "done"
	}
	return string(infra.KindOf(err))
}

// lead schedules while the newest claim is this process's.
func (k *Keeper) lead(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.changed:
		}
		claim := k.Current()
		if claim.Nonce != k.Nonce || claim.Term == k.resigned || claim.Resigned {
			continue
		}
		k.leadTerm(ctx, claim.Term)
	}
}

// leadTerm schedules for one term, until it is superseded or Lead returns.
func (k *Keeper) leadTerm(ctx context.Context, term int64) {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.Lead(inner, term)
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-k.changed:
			if k.Current().Term > term {
				cancel()
				<-done
				running = false
			}
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.resigned = term
	if k.claim.Term > term && k.claim.Nonce == k.Nonce {
		periodic.Wake(k.changed)
	}
}
