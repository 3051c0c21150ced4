package wave

import (
	"context"

	"github.com/sirupsen/logrus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/fault"
)

// advance proposes grants for the candidates of one running wave, and pauses the wave when it has stalled.
// Without a reachable log it does nothing, and the time doesn't count towards a stall.
func (l *Loop) advance(ctx context.Context, state passState, wave runningWave) {
	name := wave.spec.Name
	candidates := state.candidates[name]
	if wave.stopped > 0 || !state.logReachable {
		delete(l.idleSince, name)
	}
	if !state.logReachable {
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

// rankDelayPassed reports whether this controller may propose grants for the wave: the same host must have
// been the first candidate for the delay of the controller's rank.
func (l *Loop) rankDelayPassed(wave runningWave, first string) bool {
	name := wave.spec.Name
	delay, ranked := l.deps.TakeoverDelay(fleet.PoolSubject(wave.spec.Pool))
	now := l.deps.Clock()
	if l.firstCandidate[name].name != first {
		l.firstCandidate[name] = waitingCandidate{name: first, since: now}
	}
	return ranked && now.Sub(l.firstCandidate[name].since) >= delay
}

// proposeGrant probes the host and proposes a grant with its boot count. It returns false when no further
// grant should be proposed in this pass.
func (l *Loop) proposeGrant(ctx context.Context, candidate Candidate) bool {
	bootCount, healthy := l.probeBootCount(ctx, candidate)
	if !healthy {
		l.skipUntil[candidate.Host.Name] = l.deps.Clock().Add(skipTime)
		return true
	}
	host := candidate.Host
	grant := &v1.Grant{
		Wave: candidate.Wave, Host: host.Name, HostEpoch: host.Epoch, BootCount: bootCount, Reason: "maintenance wave " + candidate.Wave,
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

// probeBootCount probes a host before its stop and returns its boot count. It returns false if the host isn't
// healthy or doesn't answer; such a host isn't stopped.
func (l *Loop) probeBootCount(ctx context.Context, candidate Candidate) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, fleet.CallTimeout)
	defer cancel()
	request := &v1.HostRequest{Host: candidate.Host.Name, HostEpoch: fleet.StopEpoch(candidate.Host.Epoch)}
	response, err := l.deps.Platform.Probe(ctx, request)
	if err != nil || !response.GetHealthy() {
		return 0, false
	}
	return response.GetBootCount(), true
}
