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

// minUnresponsiveTime is how long a zone must have been unresponsive before waves are paused, so that one slow
// pass doesn't pause them.
const minUnresponsiveTime = 10 * time.Second

// pauseForUnresponsiveZones pauses the running waves of pools that have hosts in an unresponsive zone. The
// budgets of these pools count the hosts of the zone as available although they may be down.
func (l *Loop) pauseForUnresponsiveZones(ctx context.Context, unresponsive map[string]bool, wavesByPool map[string][]string) {
	now := l.deps.Clock()
	for zone := range l.unresponsiveSince {
		if !unresponsive[zone] {
			delete(l.unresponsiveSince, zone)
		}
	}
	for zone := range unresponsive {
		if _, known := l.unresponsiveSince[zone]; !known {
			l.unresponsiveSince[zone] = now
		}
	}
	for _, pool := range sortedPools(wavesByPool) {
		delay, ranked := l.deps.TakeoverDelay(fleet.PoolSubject(pool))
		zone := l.unresponsiveZoneOfPool(pool, now.Add(-minUnresponsiveTime-delay))
		if !ranked || zone == "" {
			continue
		}
		for _, wave := range wavesByPool[pool] {
			l.pauseWave(ctx, wave, fmt.Sprintf("no host of zone %s answers: it may be lost or cut off", zone))
		}
	}
}

// unresponsiveZoneOfPool returns the first zone by name that has hosts of the pool and has been unresponsive
// since the given time or longer, or "" if there is none.
func (l *Loop) unresponsiveZoneOfPool(pool string, before time.Time) string {
	first := ""
	for _, health := range l.health {
		since, unresponsive := l.unresponsiveSince[health.host.Zone]
		if health.host.Pool == pool && unresponsive && !since.After(before) && (first == "" || health.host.Zone < first) {
			first = health.host.Zone
		}
	}
	return first
}

// pauseWave proposes a pause of the wave; operators see the reason.
func (l *Loop) pauseWave(ctx context.Context, wave, reason string) {
	control := &v1.WaveControl{Wave: wave, Action: v1.WaveAction_WAVE_ACTION_PAUSE, Author: "controller", Reason: reason}
	if err := l.deps.Proposer.Propose(ctx, &v1.Record{Payload: &v1.Record_WaveControl{WaveControl: control}}); err != nil {
		l.deps.Log.WithFields(logrus.Fields{"event": "wave_pause_not_accepted", "wave": wave}).WithError(err).Warn("proposal about the wave was not accepted")
	}
}

// sortedPools returns the pools that have running waves, in order of name.
func sortedPools(wavesByPool map[string][]string) []string {
	pools := make([]string, 0, len(wavesByPool))
	for pool := range wavesByPool {
		pools = append(pools, pool)
	}
	slices.Sort(pools)
	return pools
}
