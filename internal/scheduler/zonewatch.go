package scheduler

import (
	"maps"
	"slices"
	"time"
)

const (
	// minUnansweredWorkers is the number of workers of an availability zone that have to leave calls unanswered before the
	// zone can count as lost. Fewer may have crashed together.
	minUnansweredWorkers = 3
	// unansweredWindow is how long a call without a response counts. The time limits of calls that are cut off together
	// end within that time: renewals may wait for 1 s, but starts and idle renewals end after 0.4 s.
	unansweredWindow = time.Second
	// zoneSilence is how long no worker of the zone may have responded. A relay that is lost is noticed after 200 ms; the
	// calls that are repeated without it need less than 100 ms.
	zoneSilence = 300 * time.Millisecond
	// otherZoneResponseTime is how recently a worker of another zone must have responded. If all zones have become silent
	// at about the same time, the fault is the link of this host.
	otherZoneResponseTime = zoneSilence / 2
)

// zoneWatch finds the availability zones that are lost as a whole, from the calls to their workers.
type zoneWatch struct {
	contacts map[string]*zoneContact
}

// zoneContact is what calls to the workers of a zone have shown.
type zoneContact struct {
	// respondedAt is when a worker last responded, or when the zone was first seen if none did.
	respondedAt time.Duration
	// unanswered holds the workers that left a call unanswered since then, with the time of the last one.
	unanswered map[string]time.Duration
	// lost is set from when the zone is found to be lost until a worker responds, and lostAt is when it was found.
	lost   bool
	lostAt time.Duration
}

// contact returns the contact with the zone.
func (z *zoneWatch) contact(zone string, now time.Duration) *zoneContact {
	contact := z.contacts[zone]
	if contact == nil {
		contact = &zoneContact{respondedAt: now, unanswered: map[string]time.Duration{}}
		if z.contacts == nil {
			z.contacts = map[string]*zoneContact{}
		}
		z.contacts[zone] = contact
	}
	return contact
}

// noteUnanswered notes that a call to the worker had no response.
func (z *zoneWatch) noteUnanswered(zone, worker string, now time.Duration) {
	z.contact(zone, now).unanswered[worker] = now
}

// noteResponse notes that a worker of the zone has responded. It reports whether the zone was lost, and for how long.
func (z *zoneWatch) noteResponse(zone string, now time.Duration) (regained bool, lostFor time.Duration) {
	contact := z.contact(zone, now)
	contact.respondedAt = now
	clear(contact.unanswered)
	regained, contact.lost = contact.lost, false
	return regained, now - contact.lostAt
}

// findLost marks the zones that are lost since the last call, and returns their names in order.
func (z *zoneWatch) findLost(now time.Duration) []string {
	var found []string
	for zone, contact := range z.contacts {
		if contact.lost || len(contact.unanswered) < minUnansweredWorkers {
			continue
		}
		maps.DeleteFunc(contact.unanswered, func(_ string, at time.Duration) bool { return now-at > unansweredWindow })
		if len(contact.unanswered) >= minUnansweredWorkers && now-contact.respondedAt >= zoneSilence && z.othersRespond(zone, now) {
			found = append(found, zone)
		}
	}
	slices.Sort(found)
	for _, zone := range found {
		z.contacts[zone].lost, z.contacts[zone].lostAt = true, now
	}
	return found
}

// othersRespond reports whether a worker of another zone has just responded.
func (z *zoneWatch) othersRespond(zone string, now time.Duration) bool {
	for other, contact := range z.contacts {
		if other != zone && !contact.lost && now-contact.respondedAt <= otherZoneResponseTime {
			return true
		}
	}
	return false
}

// isLost reports whether the zone is lost.
func (z *zoneWatch) isLost(zone string) bool {
	contact := z.contacts[zone]
	return contact != nil && contact.lost
}

// lostZones returns the zones that are lost, in order.
func (z *zoneWatch) lostZones() []string {
	var zones []string
	for zone, contact := range z.contacts {
		if contact.lost {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// forget forgets the zone.
func (z *zoneWatch) forget(zone string) { delete(z.contacts, zone) }
