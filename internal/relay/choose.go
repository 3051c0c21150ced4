package relay

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
)

const (
	// maintainInterval is the interval at which the load is observed and links are opened and closed.
	maintainInterval = 100 * time.Millisecond
	// retryPause is the pause before another attempt to connect to a relay that failed.
	retryPause = time.Second
	// minRelayPower is the least processor power of a relay, as a fraction of that of this process: a weaker one can't bear
	// its part of the calls of a fleet that is worth relays.
	minRelayPower = 0.5
	// relayBudget is the share of its processor that a relay may spend on calls.
	relayBudget = 0.4
)

// chooseRelays returns the members to which links should be open so that together they can bear calls that take the given
// number of cores. Each availability zone gets the same part of them, and at least one relay. The most powerful members
// are chosen, and among equals those to which a link is open already.
func chooseRelays(self infra.Member, members []infra.Member, cores float64, linked map[string]bool) []infra.Member {
	byZone := map[string][]infra.Member{}
	for _, member := range members {
		if member.Name != self.Name && float64(member.CPUMilli) >= minRelayPower*float64(self.CPUMilli) {
			byZone[member.Zone] = append(byZone[member.Zone], member)
		}
	}
	var chosen []infra.Member
	for _, candidates := range byZone {
		slices.SortFunc(candidates, func(a, b infra.Member) int {
			return cmp.Or(cmp.Compare(preference(linked[a.Name]), preference(linked[b.Name])), cmp.Compare(b.CPUMilli, a.CPUMilli), cmp.Compare(hashOf(a.Name), hashOf(b.Name)))
		})
		power := 0.0
		for _, candidate := range candidates {
			if power >= cores/float64(len(byZone)) && power > 0 {
				break
			}
			chosen = append(chosen, candidate)
			power += relayBudget * float64(candidate.CPUMilli) / milliPerCore
		}
	}
	return chosen
}

// preference sorts relays with a link before those without.
func preference(linked bool) int {
	if linked {
		return 0
	}
	return 1
}

// maintain opens and closes links as the load and the members require.
func (r *Router) maintain(ctx context.Context) {
	now := r.Clock()
	calls := r.counters.calls.Load()
	relaying := r.load.observe(calls-r.observedCalls, now-r.observedAt, now)
	r.observedCalls, r.observedAt = calls, now
	r.forgetPaths(now)
	open := r.keepLinks(relaying, now)
	r.links.Store(&open)
	if relaying {
		r.openLinks(ctx, open, now)
	}
}

// keepLinks returns the links that stay open, and lets the others end.
func (r *Router) keepLinks(relaying bool, now time.Duration) (open []*link) {
	for _, l := range append(r.takeOpened(), *r.links.Load()...) {
		switch {
		case l.refusesCalls.Load():
			r.noteLinkEnded(l, now)
		case !relaying:
			l.refusesCalls.Store(true)
			go l.closeWhenDone()
		default:
			open = append(open, l)
		}
	}
	return open
}

// openLinks opens the links that are missing beside those that are open.
func (r *Router) openLinks(ctx context.Context, open []*link, now time.Duration) {
	members := r.Peers()
	linked := map[string]bool{}
	for _, l := range open {
		linked[l.relay.Name] = true
		if !slices.ContainsFunc(members, func(m infra.Member) bool { return m.Name == l.relay.Name }) {
			// The list of members may be behind.
			members = append(members, l.relay)
		}
	}
	usable := slices.DeleteFunc(members, func(m infra.Member) bool { return r.mustWait(m.Name, now) })
	r.markConnecting(linked)
	for _, member := range chooseRelays(r.Self, usable, r.load.peakCores, linked) {
		if !linked[member.Name] {
			r.open(ctx, member)
		}
	}
}

// noteLinkEnded logs the end of a link and delays the next connection to its relay.
func (r *Router) noteLinkEnded(l *link, now time.Duration) {
	l.mu.Lock()
	cause := l.cause
	l.mu.Unlock()
	r.Logger.WithFields(logrus.Fields{"event": "relay_lost", "relay": l.relay.Name, "zone": l.relay.Zone}).WithError(cause).Info("a relay for calls to workers is lost; others or this process make its calls")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryAt[l.relay.Name] = now + retryPause
}

// markConnecting adds the relays to which a link is being opened.
func (r *Router) markConnecting(linked map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.Copy(linked, r.connecting)
	for _, l := range r.opened {
		linked[l.relay.Name] = true
	}
}

// mustWait reports whether no connection to the relay may be opened now, since one has just failed.
func (r *Router) mustWait(name string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	retryAt, failed := r.retryAt[name]
	if failed && now >= retryAt {
		delete(r.retryAt, name)
		failed = false
	}
	return failed
}

// open opens a link to the member without waiting for it.
func (r *Router) open(ctx context.Context, member infra.Member) {
	r.mu.Lock()
	r.connecting[member.Name] = true
	r.mu.Unlock()
	r.opening.Go(func() {
		l, err := r.connect(ctx, member)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.connecting, member.Name)
		if err != nil {
			r.retryAt[member.Name] = r.Clock() + retryPause
			r.Logger.WithFields(logrus.Fields{"event": "relay_unreachable", "relay": member.Name, "zone": member.Zone}).WithError(err).Info("can't connect to a relay for calls to workers; trying again")
			return
		}
		r.opened = append(r.opened, l)
		r.Logger.WithFields(logrus.Fields{"event": "relay_linked", "relay": member.Name, "zone": member.Zone}).Info("calls to workers go through a relay")
		periodic.Wake(r.linksChanged)
	})
}

// takeOpened returns the links that were opened since the last call.
func (r *Router) takeOpened() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	opened := r.opened
	r.opened = nil
	return opened
}
