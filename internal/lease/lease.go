package lease

import (
	"slices"
	"time"
)

const (
	// Duration is how long a lease lasts.
	Duration = 4 * time.Second
	// ClockDriftDivisor bounds the drift between two clocks: in any period, one clock gains at most
	// 1/ClockDriftDivisor of the period on another.
	ClockDriftDivisor = 1000
	// MinSilence is how long a gateway must not have heard a member before it may vow against it.
	MinSilence = 10 * time.Second
)

// Ref identifies one process lifetime (incarnation) of a gateway.
type Ref struct {
	Name        string
	Incarnation string
}

// Lease is the lease of one gateway, the holder, which may admit work until it expires. It isn't safe for
// concurrent use.
type Lease struct {
	self    Ref
	members []Ref
	// renewalSentAt holds, for each member that renewed the lease, when the newest request that led to a
	// renewal was sent.
	renewalSentAt map[Ref]time.Time
	// heartbeatSentAt is when the newest accepted heartbeat was sent.
	heartbeatSentAt time.Time
}

// New returns a lease of self that isn't valid yet.
func New(self Ref) *Lease {
	return &Lease{self: self, renewalSentAt: map[Ref]time.Time{}}
}

// SetMembers replaces the members of the zone, which are its joined gateways that aren't suspected. The
// lease isn't valid while self isn't one of them.
func (l *Lease) SetMembers(members []Ref) {
	l.members = slices.Clone(members)
	for member := range l.renewalSentAt {
		if !slices.Contains(members, member) {
			delete(l.renewalSentAt, member)
		}
	}
}

// RecordRenewal records that the member renewed the lease in its response to a request sent at sentAt.
func (l *Lease) RecordRenewal(member Ref, sentAt time.Time) {
	if member != l.self && slices.Contains(l.members, member) && sentAt.After(l.renewalSentAt[member]) {
		l.renewalSentAt[member] = sentAt
	}
}

// RecordHeartbeat records that the fold accepted a heartbeat sent at sentAt.
func (l *Lease) RecordHeartbeat(sentAt time.Time) {
	if sentAt.After(l.heartbeatSentAt) {
		l.heartbeatSentAt = sentAt
	}
}

// ExpiresAt returns when the lease expires. The time is in the past or zero if the lease isn't valid. For a
// holder that is a quorum by itself, the lease starts now.
func (l *Lease) ExpiresAt(now time.Time) time.Time {
	if !slices.Contains(l.members, l.self) {
		return time.Time{}
	}
	start := l.heartbeatSentAt
	if quorumAt := l.quorumSince(now); quorumAt.After(start) {
		start = quorumAt
	}
	if start.IsZero() {
		return time.Time{}
	}
	return start.Add(Duration)
}

// quorumSince returns the latest time such that self and the members that renewed the lease in response to a
// request sent at or after it are a quorum, or zero if there is none.
func (l *Lease) quorumSince(now time.Time) time.Time {
	names := make([]string, 0, len(l.members))
	for _, member := range l.members {
		names = append(names, member.Name)
	}
	sentTimes := []time.Time{now}
	for _, sentAt := range l.renewalSentAt {
		sentTimes = append(sentTimes, sentAt)
	}
	slices.SortFunc(sentTimes, func(a, b time.Time) int { return b.Compare(a) })
	for _, since := range sentTimes {
		if IsQuorum(names, func(name string) bool { return l.renewedSince(name, since) }) {
			return since
		}
	}
	return time.Time{}
}

// renewedSince reports whether the named member is self or renewed the lease in response to a request sent at
// or after since.
func (l *Lease) renewedSince(name string, since time.Time) bool {
	if name == l.self.Name {
		return true
	}
	for member, sentAt := range l.renewalSentAt {
		if member.Name == name && !sentAt.Before(since) {
			return true
		}
	}
	return false
}
