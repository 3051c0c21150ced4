package lease

import "time"

// Vows remembers whom one member has heard, and its promises never to renew certain incarnations
// again. It isn't safe for concurrent use.
type Vows struct {
	// heard holds the members of the zone, and when each was last heard.
	heard map[Ref]time.Time
	vowed map[Ref]bool
}

// NewVows returns a record without members.
func NewVows() *Vows {
	return &Vows{heard: map[Ref]time.Time{}, vowed: map[Ref]bool{}}
}

// SetMembers replaces the members. A new one counts as heard now, so that it has time to report.
// Vows against others stay: a renewal for a former member is refused anyway.
func (v *Vows) SetMembers(members []Ref, now time.Time) {
	heard := make(map[Ref]time.Time, len(members))
	for _, member := range members {
		heard[member] = now
		if last, known := v.heard[member]; known {
			heard[member] = last
		}
	}
	v.heard = heard
}

// Forget drops vows against incarnations that known doesn't report: the fold never lets them act
// again, so nobody renews them.
func (v *Vows) Forget(known func(Ref) bool) {
	for holder := range v.vowed {
		if !known(holder) {
			delete(v.vowed, holder)
		}
	}
}

// Heard notes a report of the member.
func (v *Vows) Heard(member Ref, now time.Time) {
	if _, known := v.heard[member]; known {
		v.heard[member] = now
	}
}

// MayRenew reports whether the lease of the holder may be renewed.
func (v *Vows) MayRenew(holder Ref) bool {
	_, member := v.heard[holder]
	return member && !v.vowed[holder]
}

// Vow promises never to renew the holder again. It returns false, and promises nothing, when the
// holder isn't a member or was heard within Silence.
func (v *Vows) Vow(holder Ref, now time.Time) bool {
	last, member := v.heard[holder]
	if !member || (!v.vowed[holder] && now.Sub(last) < Silence) {
		return false
	}
	v.vowed[holder] = true
	return true
}

// SilentFor returns how long the member has not been heard; false for a process that is no member.
func (v *Vows) SilentFor(member Ref, now time.Time) (time.Duration, bool) {
	last, known := v.heard[member]
	return now.Sub(last), known
}
