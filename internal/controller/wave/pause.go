package wave

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/controller/stop"
)

// pauseOverdue pauses waves whose stopped hosts aren't back in time, and reports the unhealthy ones of these
// hosts as down. A host that still runs requests or tasks after the longest permitted run time isn't
// rebooted; its stop goes on once nothing runs.
func (l *Loop) pauseOverdue(ctx context.Context, state passState, reports []stop.Report) {
	for _, report := range reports {
		for _, wave := range state.waves {
			if wave.spec.Name == report.Host.Wave {
				l.checkOverdue(ctx, state, wave, report)
			}
		}
	}
}

// checkOverdue pauses the wave if the host isn't back within the wave's host timeout and the pool's longest
// run time. The time counts from when this controller saw both the stop and the running wave.
func (l *Loop) checkOverdue(ctx context.Context, state passState, wave runningWave, report stop.Report) {
	limit := wave.spec.HostTimeout.Duration() + state.maxRunTimes[report.Host.Pool]
	delay, ranked := l.deps.TakeoverDelay(fleet.PoolSubject(wave.spec.Pool))
	runningFor := l.deps.Clock().Sub(l.runningSince[wave.spec.Name])
	if !ranked || min(report.Age, runningFor) < limit+delay {
		return
	}
	reason := fmt.Sprintf("host %s isn't back after %s: it %s", report.Host.Name, limit, report.Detail)
	l.pauseWave(ctx, wave.spec.Name, reason)
	if report.Down {
		l.proposeHostDown(ctx, report, reason)
	}
}

// pauseStalled pauses a wave that has pending hosts but hasn't been able to stop any for stallTimeout.
func (l *Loop) pauseStalled(ctx context.Context, wave runningWave) {
	if wave.stopped > 0 || wave.pending == 0 {
		return
	}
	name := wave.spec.Name
	now := l.deps.Clock()
	since, known := l.idleSince[name]
	if !known {
		l.idleSince[name] = now
		return
	}
	delay, ranked := l.deps.TakeoverDelay(fleet.PoolSubject(wave.spec.Pool))
	if ranked && now.Sub(since) >= stallTimeout+delay {
		reason := fmt.Sprintf("none of the %d hosts that are left could be stopped for %s: they have failed, or the budget of their pool is spent",
			wave.pending, stallTimeout)
		l.pauseWave(ctx, name, reason)
	}
}

// pauseWave proposes a pause of the wave; operators see the reason.
func (l *Loop) pauseWave(ctx context.Context, wave, reason string) {
	control := &v1.WaveControl{Wave: wave, Action: v1.WaveAction_WAVE_ACTION_PAUSE, Author: "controller", Reason: reason}
	l.propose(ctx, wave, &v1.Record{Payload: &v1.Record_WaveControl{WaveControl: control}})
}

// proposeHostDown proposes a HostDown record for an overdue host that isn't healthy.
func (l *Loop) proposeHostDown(ctx context.Context, report stop.Report, reason string) {
	hostDown := &v1.HostDown{Host: report.Host.Name, HostEpoch: report.Host.Epoch, Reason: reason}
	l.propose(ctx, report.Host.Wave, &v1.Record{Payload: &v1.Record_HostDown{HostDown: hostDown}})
}

// propose proposes a record about the wave or one of its hosts, and logs when it isn't accepted.
func (l *Loop) propose(ctx context.Context, wave string, record *v1.Record) {
	if err := l.deps.Proposer.Propose(ctx, record); err != nil {
		l.deps.Log.WithFields(logrus.Fields{"event": "wave_pause_not_accepted", "wave": wave}).WithError(err).Warn("proposal about the wave was not accepted")
	}
}
