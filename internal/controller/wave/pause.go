package wave

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/controller/stop"
)

// pauseOverdue pauses waves whose hosts aren't back in time, and reports hosts as failed that don't
// answer any more. A host that still runs something past the longest permitted run isn't rebooted;
// its stop goes on once nothing runs.
func (l *Loop) pauseOverdue(ctx context.Context, snap passState, reports []stop.Report) {
	for _, report := range reports {
		for _, wave := range snap.waves {
			if wave.spec.Name == report.Host.Wave {
				l.checkOverdue(ctx, snap, wave, report)
			}
		}
	}
}

func (l *Loop) checkOverdue(ctx context.Context, snap passState, wave runningWave, report stop.Report) {
	limit := wave.spec.HostTimeout.Duration() + snap.maxRunTimes[report.Host.Pool]
	delay, ranked := l.deps.Delay(fleet.Subject(wave.spec.Pool))
	running := l.deps.Clock().Sub(l.runningSince[wave.spec.Name])
	if !ranked || min(report.Age, running) < limit+delay {
		return
	}
	reason := fmt.Sprintf("host %s isn't back after %s: it %s", report.Host.Name, limit, report.Detail)
	l.pauseWave(ctx, wave.spec.Name, reason)
	if report.Down {
		l.proposeHostDown(ctx, report, reason)
	}
}

// pauseStalled pauses a wave that has hosts left but couldn't stop any for a long time.
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
	delay, ranked := l.deps.Delay(fleet.Subject(wave.spec.Pool))
	if ranked && now.Sub(since) >= stallTimeout+delay {
		reason := fmt.Sprintf("none of the %d hosts that are left could be stopped for %s: they have failed, or the budget of their pool is spent",
			wave.pending, stallTimeout)
		l.pauseWave(ctx, name, reason)
	}
}

func (l *Loop) pauseWave(ctx context.Context, wave, reason string) {
	control := &v1.WaveControl{Wave: wave, Action: v1.WaveAction_WAVE_ACTION_PAUSE, Author: "controller", Reason: reason}
	l.propose(ctx, wave, &v1.Record{Payload: &v1.Record_WaveControl{WaveControl: control}})
}

func (l *Loop) proposeHostDown(ctx context.Context, report stop.Report, reason string) {
	down := &v1.HostDown{Host: report.Host.Name, HostEpoch: report.Host.Epoch, Reason: reason}
	l.propose(ctx, report.Host.Wave, &v1.Record{Payload: &v1.Record_HostDown{HostDown: down}})
}

func (l *Loop) propose(ctx context.Context, wave string, record *v1.Record) {
	if err := l.deps.Proposer.Propose(ctx, record); err != nil {
		l.deps.Log.WithFields(logrus.Fields{"event": "wave_pause_not_accepted", "wave": wave}).WithError(err).Warn("proposal about the wave was not accepted")
	}
}
