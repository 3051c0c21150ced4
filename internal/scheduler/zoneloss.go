package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

// A partitioned availability zone is found as a whole: without that, each of its workers gets starts until a call of its
// own has had no response, and the work of these starts is held until the leases lapse. The workers of a lost zone get no
// starts until they report, and count as no capacity.

// watchesZones reports whether partitioned zones are found as a whole.
func (c *Core) watchesZones() bool { return c.options.Policy.Zones.InHomeZone() }

// noteZoneUnanswered notes that a call to the worker had no response, or that it was lost with the relay that sent it. A
// late process proves nothing, see maxTimelyDelay.
func (c *Core) noteZoneUnanswered(w *worker) {
	if !c.watchesZones() || w.entry.Zone == "" || c.delay > maxTimelyDelay {
		return
	}
	c.zones.noteUnanswered(w.entry.Zone, w.entry.ID, c.clock())
	c.findLostZones(c.clock())
}

// noteZoneOutcome notes the outcome of a call to the worker if it is a response.
func (c *Core) noteZoneOutcome(w *worker, kind infra.ErrorKind) {
	if !c.watchesZones() || w.entry.Zone == "" || kind == infra.Unknown || kind == infra.Refused || kind == infra.RelayFailed {
		return
	}
	if regained, lostFor := c.zones.noteResponse(w.entry.Zone, c.clock()); regained {
		c.endZoneLoss(w.entry.Zone, lostFor, "worker_responded")
	}
}

// noteZoneReport notes a report of the worker. One of a lost zone may get work again, and isn't blamed for the calls that
// the partition has cut off.
func (c *Core) noteZoneReport(w *worker, now time.Duration) {
	c.noteZoneOutcome(w, "")
	if !w.inLostZone {
		return
	}
	w.inLostZone, w.unansweredAt, w.unconfirmedPause = false, 0, 0
	if w.pausedUntil == w.probeUntil {
		w.pausedUntil, w.probeUntil = now, 0
	}
	c.supply.expiresAt = now
	c.wakeUp()
}

// findLostZones acts on zones that are found to be lost.
func (c *Core) findLostZones(now time.Duration) {
	for _, zone := range c.zones.findLost(now) {
		c.beginZoneLoss(zone, now)
	}
}

// beginZoneLoss keeps starts from the workers of the zone. Those that were ordered and haven't been sent are given up. The
// workers are asked to report at once, so that a false alarm ends soon.
func (c *Core) beginZoneLoss(zone string, now time.Duration) {
	workers, unsent := 0, 0
	for _, w := range c.sortedWorkers() {
		if w.entry.Zone != zone {
			continue
		}
		workers++
		w.inLostZone = true
		for _, i := range w.sortedItems(func(i *item) bool { return i.startQueued }) {
			// A start of a gang may have been given up with another member.
			if i.worker == w && i.startQueued {
				c.startNotSent(&Order{Kind: OrderStart, Worker: w.ref(), Item: i.id(), Run: i.run})
				unsent++
			}
		}
		w.wakeRenewalLoop()
	}
	contact := c.zones.contacts[zone]
	c.supply.expiresAt = now
	c.metrics.zoneLost(len(c.zones.lostZones()))
	c.logger.WithFields(logrus.Fields{"event": "zone_lost", "zone": zone, "workers": workers, "unanswered": len(contact.unanswered), "silent_ms": (now - contact.respondedAt).Milliseconds(),
		"starts_given_up": unsent}).Warn("several workers of the zone leave calls unanswered and none responds; its workers get no starts until they report")
	c.wakeUp()
}

// endZoneLoss notes that the zone is no longer lost. Its workers get starts once they have reported.
func (c *Core) endZoneLoss(zone string, lostFor time.Duration, cause string) {
	c.supply.expiresAt = c.clock()
	c.metrics.zoneRegained(len(c.zones.lostZones()))
	c.logger.WithFields(logrus.Fields{"event": "zone_regained", "zone": zone, "cause": cause, "lost_ms": lostFor.Milliseconds()}).Info("the zone is no longer lost; its workers get starts once they have reported")
	c.wakeUp()
}

// checkZones finds lost zones whose last calls have had no response for a while, and forgets those of which no worker is
// left that could respond.
func (c *Core) checkZones(now time.Duration) {
	if !c.watchesZones() {
		return
	}
	c.findLostZones(now)
	for _, zone := range c.zones.lostZones() {
		left := false
		for _, w := range c.sortedWorkers() {
			left = left || w.inLostZone && w.entry.Zone == zone
		}
		if !left {
			lostFor := now - c.zones.contacts[zone].lostAt
			c.zones.forget(zone)
			c.endZoneLoss(zone, lostFor, "no_worker_left")
		}
	}
}

// inLostZone reports whether the host is in a lost zone. It is of no use then, and no order reaches it.
func (c *Core) inLostZone(host infra.Host) bool { return c.zones.isLost(host.Zone) }

// inUnusableZone reports whether the host is in a lost or an evacuated zone, so that no pool can count on it.
func (c *Core) inUnusableZone(host infra.Host) bool {
	return c.evacuations.covers(host.Zone) || c.inLostZone(host)
}
