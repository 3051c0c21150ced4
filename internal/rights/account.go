package rights

import (
	"math"
	"sync"
	"sync/atomic"

	"turmericyoke/internal/lease"
)

// account is one holder's rights of one team.
type account struct {
	mu sync.Mutex
	// held is what the fold's newest view grants, less what is being given away.
	held uint64
	// holdback is the part of held that isn't given out again, since it is to be given away.
	holdback uint64
	// used is the number of rights in use.
	used uint64
	// peak is the highest used since the last sample, and refused the failed takes since then.
	peak    uint64
	refused uint64
}

// take uses one right.
func (a *account) take() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.used+a.holdback >= a.held {
		a.refused++
		return false
	}
	a.used++
	a.peak = max(a.peak, a.used)
	return true
}

func (a *account) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used--
}

func (a *account) free() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held - min(a.held, a.used+a.holdback)
}

// give reduces held by up to units that aren't in use, and returns by how many.
func (a *account) give(units uint64) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	units = min(units, a.held-min(a.held, a.used))
	a.held -= units
	a.holdback -= min(a.holdback, units)
	return units
}

// set takes in what the fold grants, less what is being given away.
func (a *account) set(granted, leaving uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held = granted - min(granted, leaving)
}

func (a *account) setHoldback(units uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holdback = units
}

// sample is the use of an account since the last sample.
type sample struct {
	held, used, peak, refused uint64
}

func (a *account) sample() sample {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := sample{held: a.held, used: a.used, peak: a.peak, refused: a.refused}
	a.peak, a.refused = a.used, 0
	return s
}

// demand is what one step knows about the need for a team's rights.
type demand struct {
	// now is the need of this second, and recent its maximum, which falls by recentDecay a second.
	now    uint64
	recent float64
}

// recentDecay halves the remembered peak of demand within about 6.6 s: queues peak for some seconds,
// and rights that are given away between two peaks of one queue cost two records.
const recentDecay = 0.9

func (d *demand) observe(now uint64) {
	d.now = now
	d.recent = max(float64(now), d.recent*recentDecay)
	if d.recent < 0.5 {
		d.recent = 0
	}
}

// keep is what the holder needs for a peak like the recent one.
func (d *demand) keep() uint64 { return uint64(math.Ceil(d.recent - 0.5)) }

// life is one incarnation of the holder. Rights of an ended life stay with it.
type life struct {
	ref lease.Ref
	// accounts is replaced when teams come or go, so that requests read it without a lock.
	accounts atomic.Pointer[map[string]*account]
	demands  map[string]*demand
	// joined is set once a view has included the life.
	joined bool
	// seq is the number of the newest proposal.
	seq     uint64
	pending *pending
}

func newLife(ref lease.Ref) *life {
	l := &life{ref: ref, demands: map[string]*demand{}}
	l.accounts.Store(&map[string]*account{})
	return l
}

func (l *life) account(team string) *account { return (*l.accounts.Load())[team] }

// used returns the rights in use.
func (l *life) used() uint64 {
	sum := uint64(0)
	for _, a := range *l.accounts.Load() {
		a.mu.Lock()
		sum += a.used
		a.mu.Unlock()
	}
	return sum
}

// setRights brings the accounts in line with what the fold grants. An account in use stays when its
// team is gone from the document.
func (l *life) setRights(teams []string, granted, leaving map[string]uint64) {
	old := *l.accounts.Load()
	fresh := make(map[string]*account, len(teams))
	for team, a := range old {
		if granted[team] > 0 || a.free() > 0 || a.sampleUsed() > 0 {
			fresh[team] = a
		}
	}
	for _, team := range teams {
		fresh[team] = old[team]
		if fresh[team] == nil {
			fresh[team] = &account{}
		}
	}
	for team, a := range fresh {
		a.set(granted[team], leaving[team])
	}
	for team := range l.demands {
		if fresh[team] == nil {
			delete(l.demands, team)
		}
	}
	l.accounts.Store(&fresh)
}

func (a *account) sampleUsed() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}
