package rights

import (
	"math"
	"sync"
	"sync/atomic"

	"turmericyoke/internal/lease"
)

// account counts the rights of one team that one holder has.
type account struct {
	mu sync.Mutex
	// held is the number of rights that the newest view shows, less those that a record in flight gives away.
	held uint64
	// holdback is the number of rights that requests can't acquire even if they are free, since they are to
	// be given away.
	holdback uint64
	// used is the number of rights in use by requests.
	used uint64
	// peak is the highest value of used since the last sample.
	peak uint64
	// refused is the number of failed calls of acquire since the last sample.
	refused uint64
}

// acquire takes one right for a request. It returns false if none is free.
func (a *account) acquire() bool {
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

// freeUnits returns the number of rights that acquire could take.
func (a *account) freeUnits() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held - min(a.held, a.used+a.holdback)
}

// withdraw removes up to units rights that aren't in use from the account, and returns how many it removed.
func (a *account) withdraw(units uint64) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	units = min(units, a.held-min(a.held, a.used))
	a.held -= units
	a.holdback -= min(a.holdback, units)
	return units
}

// setGranted sets held to the rights that the view shows, less those that a record in flight gives away.
func (a *account) setGranted(granted, outgoing uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held = granted - min(granted, outgoing)
}

// setHoldback sets the number of rights that requests can't acquire even if they are free.
func (a *account) setHoldback(units uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holdback = units
}

// sample is a snapshot of an account. Peak and refused cover the time since the previous sample.
type sample struct {
	held, used, peak, refused uint64
}

// takeSample returns a sample and starts the next one.
func (a *account) takeSample() sample {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := sample{held: a.held, used: a.used, peak: a.peak, refused: a.refused}
	a.peak, a.refused = a.used, 0
	return s
}

// demand tracks how many rights of a team the holder needs.
type demand struct {
	// latest is the number of rights needed in the last recordInterval.
	latest uint64
	// recentPeak is the peak of latest, which decays by the factor peakDecay in each recordInterval.
	recentPeak float64
}

// peakDecay is the factor by which recentPeak decays in each recordInterval, which halves it in about 6.6 s.
// Queues have peaks of some seconds, and rights that are given away between two peaks cost two records.
const peakDecay = 0.9

// observe records the need of the last recordInterval.
func (d *demand) observe(needed uint64) {
	d.latest = needed
	d.recentPeak = max(float64(needed), d.recentPeak*peakDecay)
	if d.recentPeak < 0.5 {
		d.recentPeak = 0
	}
}

// peakNeed returns the number of rights that the holder needs for a peak like the recent one.
func (d *demand) peakNeed() uint64 { return uint64(math.Ceil(d.recentPeak - 0.5)) }

// incarnation is the state of one incarnation of the holder. The rights of an ended incarnation stay with it:
// the next one starts without any.
type incarnation struct {
	ref lease.Ref
	// accounts holds the account of each team. The map is replaced when teams come or go, so that requests can
	// read it without a lock.
	accounts atomic.Pointer[map[string]*account]
	// demands holds the demand for each team.
	demands map[string]*demand
	// joined is set once a view has included the incarnation.
	joined bool
	// seq is the sequence number of the newest proposal.
	seq uint64
	// pending is the proposal in flight, if any.
	pending *proposal
}

func newIncarnation(ref lease.Ref) *incarnation {
	inc := &incarnation{ref: ref, demands: map[string]*demand{}}
	inc.accounts.Store(&map[string]*account{})
	return inc
}

// account returns the account of the team, or nil if there is none.
func (inc *incarnation) account(team string) *account { return (*inc.accounts.Load())[team] }

// totalUsed returns the number of rights in use, of all teams.
func (inc *incarnation) totalUsed() uint64 {
	sum := uint64(0)
	for _, a := range *inc.accounts.Load() {
		a.mu.Lock()
		sum += a.used
		a.mu.Unlock()
	}
	return sum
}

// setRights updates the accounts to the rights that the view shows, less the outgoing ones that a record in
// flight gives away. An account that still has rights, free or in use, stays when its team is
// removed from the configuration document.
func (inc *incarnation) setRights(teams []string, granted, outgoing map[string]uint64) {
	previous := *inc.accounts.Load()
	updated := make(map[string]*account, len(teams))
	for team, a := range previous {
		if granted[team] > 0 || a.freeUnits() > 0 || a.usedUnits() > 0 {
			updated[team] = a
		}
	}
	for _, team := range teams {
		updated[team] = previous[team]
		if updated[team] == nil {
			updated[team] = &account{}
		}
	}
	for team, a := range updated {
		a.setGranted(granted[team], outgoing[team])
	}
	for team := range inc.demands {
		if updated[team] == nil {
			delete(inc.demands, team)
		}
	}
	inc.accounts.Store(&updated)
}

// usedUnits returns the number of rights in use.
func (a *account) usedUnits() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}
