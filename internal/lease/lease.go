package lease

import (
	"slices"
	"time"
)

const (
	// Span is how long a lease lasts.
	Span = 4 * time.Second
	// RateBound is the bound on the difference between the rates of two clocks, as a divisor: one
	// clock gains at most 1/RateBound of a span on another.
	RateBound = 1000
	// Silence is how long a member must not have been heard before another vows against it.
	Silence = 10 * time.Second
)

// Ref identifies one process lifetime of a gateway.
type Ref struct {
	Name        string
	Incarnation string
}

// Lease decides until when one holder may admit work. It isn't safe for concurrent use.
type Lease struct {
	self    Ref
	members []Ref
	// answered holds, for each member, when the newest answered request was sent.
	answered map[Ref]time.Time
	// heartbeat is when the newest heartbeat that was read back was sent.
	heartbeat time.Time
}

// New returns a lease of self that isn't valid.
func New(self Ref) *Lease {
	return &Lease{self: self, answered: map[Ref]time.Time{}}
}

// SetMembers replaces the members of the zone: its joined gateways that aren't suspected. The
// lease isn't valid while self is missing from them.
func (l *Lease) SetMembers(members []Ref) {
	l.members = slices.Clone(members)
	for member := range l.answered {
		if !slices.Contains(members, member) {
			delete(l.answered, member)
		}
	}
}

// Answered notes that the member renewed the lease in answer to a request sent at sentAt.
func (l *Lease) Answered(member Ref, sentAt time.Time) {
	if member != l.self && slices.Contains(l.members, member) && sentAt.After(l.answered[member]) {
		l.answered[member] = sentAt
	}
}

// HeartbeatRead notes that a heartbeat sent at sentAt was accepted by the fold.
func (l *Lease) HeartbeatRead(sentAt time.Time) {
	if sentAt.After(l.heartbeat) {
		l.heartbeat = sentAt
	}
}

// Until returns the end of the lease, which is in the past or zero when it isn't valid. A holder
// that is a quorum by itself has a lease as of now.
func (l *Lease) Until(now time.Time) time.Time {
	if !slices.Contains(l.members, l.self) {
		return time.Time{}
	}
	start := l.heartbeat
	if quorum := l.quorumSince(now); quorum.After(start) {
		start = quorum
	}
	if start.IsZero() {
		return time.Time{}
	}
	return start.Add(Span)
}

// quorumSince returns the latest moment since which members that with self are a quorum have
// answered, or zero.
func (l *Lease) quorumSince(now time.Time) time.Time {
	names := make([]string, 0, len(l.members))
	for _, member := range l.members {
		names = append(names, member.Name)
	}
	moments := []time.Time{now}
	for _, sentAt := range l.answered {
		moments = append(moments, sentAt)
	}
	slices.SortFunc(moments, func(a, b time.Time) int { return b.Compare(a) })
	for _, moment := range moments {
		if IsQuorum(names, func(name string) bool { return l.answeredSince(name, moment) }) {
			return moment
		}
	}
	return time.Time{}
}

func (l *Lease) answeredSince(name string, moment time.Time) bool {
	if name == l.self.Name {
		return true
	}
	for member, sentAt := range l.answered {
		if member.Name == name && !sentAt.Before(moment) {
			return true
		}
	}
	return false
}
