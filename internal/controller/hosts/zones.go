package hosts

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/fleet"
)

// minUnresponsiveTime is how long a zone must be silent before waves are paused; one slow pass isn't enough.
const minUnresponsiveTime = 10 * time.Second

// pauseForUnresponsiveZones pauses the waves of pools that have hosts in a zone that doesn't answer. Their
// budgets count those hosts as available although nobody knows whether they are.
func (l *Loop) pauseForUnresponsiveZones(ctx context.Context, silent map[string]bool, waves map[string][]string) {
	now := l.deps.Clock()
	for zone := range l.unresponsiveSince {
		if !silent[zone] {
			delete(l.unresponsiveSince, zone)
		}
	}
	for zone := range silent {
		if _, known := l.unresponsiveSince[zone]; !known {
			l.unresponsiveSince[zone] = now
		}
	}
	for _, pool := range sortedPools(waves) {
		delay, ranked := l.deps.Delay(fleet.Subject(pool))
		zone := l.unresponsiveZoneOfPool(pool, now.Add(-minUnresponsiveTime-delay))
		if !ranked || zone == "" {
			continue
		}
		for _, wave := range waves[pool] {
			l.pauseWave(ctx, wave, fmt.Sprintf("no host of zone %s answers: it may be lost or cut off", zone))
		}
	}
}

// unresponsiveZoneOfPool returns a zone with hosts of the pool that has been silent since before the time.
func (l *Loop) unresponsiveZoneOfPool(pool string, before time.Time) string {
	found := ""
	for _, h := range l.health {
		since, silent := l.unresponsiveSince[h.host.Zone]
		if h.host.Pool == pool && silent && !since.After(before) && (found == "" || h.host.Zone < found) {
			found = h.host.Zone
		}
	}
	return found
}

func (l *Loop) pauseWave(ctx context.Context, wave, reason string) {
	control := &v1.WaveControl{Wave: wave, Action: v1.WaveAction_WAVE_ACTION_PAUSE, Author: "controller", Reason: reason}
	if err := l.deps.Proposer.Propose(ctx, &v1.Record{Payload: &v1.Record_WaveControl{WaveControl: control}}); err != nil {
		l.deps.Log.WithFields(logrus.Fields{"event": "wave_pause_not_accepted", "wave": wave}).WithError(err).Warn("proposal about the wave was not accepted")
	}
}

func sortedPools(waves map[string][]string) []string {
	pools := make([]string, 0, len(waves))
	for pool := range waves {
		pools = append(pools, pool)
	}
	slices.Sort(pools)
	return pools
}
