package lease

import "time"

// Vows records when one member last heard each other member, and its vows: promises never to renew the lease
// of an incarnation again. It isn't safe for concurrent use.
type Vows struct {
	// lastHeardAt has an entry for each member of the zone: when it was last heard.
	lastHeardAt map[Ref]time.Time
	// vowedAgainst holds the incarnations that this member vowed not to renew.
	vowedAgainst map[Ref]bool
}

// NewVows returns Vows without members.
func NewVows() *Vows {
	return &Vows{lastHeardAt: map[Ref]time.Time{}, vowedAgainst: map[Ref]bool{}}
}

// SetMembers replaces the members. A new member counts as heard now, so that it has time to report. Vows
// against former members stay; MayRenew returns false for former members in any case.
func (v *Vows) SetMembers(members []Ref, now time.Time) {
	heard := make(map[Ref]time.Time, len(members))
	for _, member := range members {
		heard[member] = now
		if last, known := v.lastHeardAt[member]; known {
			heard[member] = last
		}
	}
	v.lastHeardAt = heard
}

// DropUnknown drops the vows against incarnations for which known returns false. The fold rejects everything
// that those propose, so no member renews their leases.
func (v *Vows) DropUnknown(known func(Ref) bool) {
	for holder := range v.vowedAgainst {
		if !known(holder) {
			delete(v.vowedAgainst, holder)
		}
	}
}

// RecordReport records that the member was heard now. Other processes are ignored.
func (v *Vows) RecordReport(member Ref, now time.Time) {
	if _, known := v.lastHeardAt[member]; known {
		v.lastHeardAt[member] = now
	}
}

// MayRenew reports whether this member may renew the lease of the holder.
func (v *Vows) MayRenew(holder Ref) bool {
	_, member := v.lastHeardAt[holder]
	return member && !v.vowedAgainst[holder]
}

// Vow promises never to renew the lease of the holder again. It returns false, without a promise, if the
// holder isn't a member, or was heard within MinSilence and there is no earlier vow against it.
func (v *Vows) Vow(holder Ref, now time.Time) bool {
	last, member := v.lastHeardAt[holder]
	if !member || (!v.vowedAgainst[holder] && now.Sub(last) < MinSilence) {
		return false
	}
	v.vowedAgainst[holder] = true
	return true
}

// SilentFor returns how long the member has not been heard, and false if it isn't a member of the zone.
func (v *Vows) SilentFor(member Ref, now time.Time) (time.Duration, bool) {
	last, known := v.lastHeardAt[member]
	return now.Sub(last), known
}
