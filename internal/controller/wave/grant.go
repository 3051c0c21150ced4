package wave

import (
	"context"

	"github.com/sirupsen/logrus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/fault"
)

// advance asks for grants of one running wave, or pauses the wave when it has stalled.
func (l *Loop) advance(ctx context.Context, snap passState, wave runningWave) {
	name := wave.spec.Name
	candidates := snap.candidates[name]
	if wave.stopped > 0 || !snap.logReachable {
		delete(l.idleSince, name)
	}
	if !snap.logReachable {
		return
	}
	l.pauseStalled(ctx, wave)
	if len(candidates) == 0 || !l.rankDelayPassed(wave, candidates[0].Host.Name) {
		return
	}
	for _, candidate := range candidates {
		if !l.proposeGrant(ctx, candidate) {
			return
		}
	}
}

// rankDelayPassed reports whether this controller's rank lets it ask for grants: the first candidate has to
// have waited for the delay of the rank.
func (l *Loop) rankDelayPassed(wave runningWave, first string) bool {
	name := wave.spec.Name
	delay, ranked := l.deps.Delay(fleet.Subject(wave.spec.Pool))
	now := l.deps.Clock()
	if l.firstCandidate[name].name != first {
		l.firstCandidate[name] = waitingCandidate{name: first, since: now}
	}
	return ranked && now.Sub(l.firstCandidate[name].since) >= delay
}

// proposeGrant probes the host, whose boot count goes into the grant, and proposes the grant. It returns
// false when no further grant should be asked for in this pass.
func (l *Loop) proposeGrant(ctx context.Context, candidate Candidate) bool {
	boots, ok := l.probeBootCount(ctx, candidate)
	if !ok {
		l.skipUntil[candidate.Host.Name] = l.deps.Clock().Add(skipTime)
		return true
	}
	host := candidate.Host
	grant := &v1.Grant{
		Wave: candidate.Wave, Host: host.Name, HostEpoch: host.Epoch, BootCount: boots, Reason: "maintenance wave " + candidate.Wave,
	}
	err := l.deps.Proposer.Propose(ctx, &v1.Record{Payload: &v1.Record_Grant{Grant: grant}})
	if err == nil {
		l.deps.Log.WithFields(logrus.Fields{"event": "grant", "wave": candidate.Wave, "host": host.Name, "epoch": host.Epoch}).Info("grant accepted")
		return true
	}
	l.deps.Log.WithFields(logrus.Fields{"event": "grant_not_accepted", "wave": candidate.Wave, "host": host.Name}).WithError(err).Warn("grant was not accepted")
	switch fault.KindOf(err) {
	case fault.HostBusy, fault.HostEpochStale, fault.HostUnknown:
		return true
	}
	return false
}

// probeBootCount asks a host before its stop. A host that doesn't answer isn't stopped.
func (l *Loop) probeBootCount(ctx context.Context, candidate Candidate) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, fleet.CallTimeout)
	defer cancel()
	request := &v1.HostRequest{Host: candidate.Host.Name, HostEpoch: fleet.StopEpoch(candidate.Host.Epoch)}
	answer, err := l.deps.Platform.Probe(ctx, request)
	if err != nil || !answer.GetHealthy() {
		return 0, false
	}
	return answer.GetBootCount(), true
}
