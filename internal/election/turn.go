package election

import (
	"cmp"
	"slices"
	"time"

	"turmericyoke/internal/infra"
)

// rank returns the position of this process, from 0, among those that may take over. Processes on the most
// powerful hosts come first. Among equals, the process that started last comes first, since a rolling restart
// won't stop it soon. e.mu must be held.
func (e *Elector) rank() int {
	rank := 0
	for _, member := range e.members {
		if member.Name != e.Self.Name && member.Name != e.claim.Holder.Name && ranksBefore(member, e.Self) {
			rank++
		}
	}
	return rank
}

// ranksBefore reports whether a ranks before b.
func ranksBefore(a, b infra.Member) bool {
	return cmp.Or(cmp.Compare(b.CPUMilli, a.CPUMilli), cmp.Compare(b.StartUnix, a.StartUnix), cmp.Compare(a.Name, b.Name)) < 0
}

// shouldClaim reports whether it is this process's turn to claim, and keeps track of how long the leader has
// been missing. e.mu must be held.
func (e *Elector) shouldClaim(now time.Duration) bool {
	selfIsLeader := e.claim.Holder.Name == e.Self.Name
	if e.isCurrentLeader() {
		e.leaderMissingSince = 0
		return false
	}
	if !selfIsLeader && !e.claim.Resigned && e.claim.Term > 0 && now-e.claimReadAt < memberTTL {
		// After an outage of the group service its members rejoin one by one. A leader whose claim is this
		// recent was just alive, even if it isn't listed yet.
		return false
	}
	if !selfIsLeader && !e.claim.Resigned && e.membersReadableSince > 0 && now-e.membersReadableSince < rejoinTime {
		return false
	}
	if !selfIsLeader && e.claim.Term > 0 && !e.claim.Resigned {
		for _, member := range e.members {
			if member.Name == e.claim.Holder.Name {
				e.leaderMissingSince = 0
				return false
			}
		}
	}
	if e.leaderMissingSince == 0 {
		e.leaderMissingSince = now
	}
	if selfIsLeader && !e.claim.Resigned {
		// The claim is of an earlier lifetime of this process, or RunTerm has returned. The other processes don't
		// claim, since they see this process as a member.
		return true
	}
	delay := time.Duration(e.rank()) * rankDelay
	if e.claim.Term == 0 {
		delay += firstClaimDelay
	}
	return now-e.leaderMissingSince >= delay
}

// shouldYield reports whether this process resigns from the claim of its earlier lifetime instead of claiming again. If
// that one was a second claim in a row already, something that it does as the leader may have ended it each time, for
// example with the memory that its state takes, and another host may bear it. e.mu must be held.
func (e *Elector) shouldYield() bool {
	return e.claim.Holder.Name == e.Self.Name && !e.claim.Resigned && e.claim.Reclaimed &&
		slices.ContainsFunc(e.members, func(m infra.Member) bool { return m.Name != e.Self.Name && m.CPUMilli >= e.Self.CPUMilli })
}
