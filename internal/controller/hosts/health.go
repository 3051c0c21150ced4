package hosts

import (
	"hash/fnv"
	"time"

	"connectrpc.com/connect"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold/inventory"
)

// failuresToConfirmDown is the number of consecutive failed probes after which a host counts as down.
const failuresToConfirmDown = 3

// failuresToConfirmGone is the same number for a host that the platform's host list shows as gone. The list
// alone isn't enough: it lags, and it also shows hosts as gone that are only cut off from the platform.
const failuresToConfirmGone = 1

// probeOutcome is the outcome of one probe of a host.
type probeOutcome int

const (
	// probeHealthy means that the host is healthy.
	probeHealthy probeOutcome = iota
	// probeDown means that the platform answered that the host isn't healthy.
	probeDown
	// probeUnanswered means that the probe failed without an answer: the host, the platform's service or the
	// network may be at fault.
	probeUnanswered
	// probeStaleEpoch means that the platform refused the probe because its epoch is old: this controller's
	// state lags.
	probeStaleEpoch
)

// classifyProbe returns the outcome of a probe from the platform's response or error.
func classifyProbe(response *v1.HostResponse, err error) probeOutcome {
	switch {
	case err == nil && response.GetHealthy():
		return probeHealthy
	case err == nil:
		return probeDown
	case connect.CodeOf(err) == fault.ResponseFor(fault.HostEpochStale).ConnectCode:
		return probeStaleEpoch
	}
	return probeUnanswered
}

// hostHealth is the probe history of one serving host.
type hostHealth struct {
	host inventory.Host
	// listedGone is set while the platform's host list shows the host as gone.
	listedGone  bool
	nextProbeAt time.Time
	// consecutiveFailures is the number of consecutive failed probes, unansweredFailures how many of them had no
	// answer, and witnessedFailures how many of these had none while another host of the zone answered.
	consecutiveFailures, unansweredFailures, witnessedFailures int
	// failingSince is the time of the first of the consecutive failures.
	failingSince time.Time
	// probed is set once the host has been probed; lastProbeAt is the time of the last probe.
	probed      bool
	lastProbeAt time.Time
	// lastUnanswered is set when the last probe had no answer.
	lastUnanswered bool
}

// probeDue reports whether the host is to be probed now. Hosts with failed probes and hosts that are listed as
// gone are always due. The delay is that of the controller's rank for the pool: the first-ranked controller
// probes healthy hosts at nextProbeAt, and the others one minute later for each rank, which is 12 times the
// delay of 5 s per rank.
func (h *hostHealth) probeDue(now time.Time, delay time.Duration) bool {
	if h.suspicious() {
		return true
	}
	return !now.Before(h.nextProbeAt.Add(12 * delay))
}

// suspicious reports whether the host may be down.
func (h *hostHealth) suspicious() bool { return h.consecutiveFailures > 0 || h.listedGone }

// recordProbe updates the history with the outcome of a probe. The next probe of a healthy host is due after
// the given interval.
func (h *hostHealth) recordProbe(now time.Time, interval time.Duration, outcome probeOutcome) {
	h.probed = true
	h.lastProbeAt = now
	h.lastUnanswered = outcome == probeUnanswered
	h.nextProbeAt = now.Add(interval)
	switch outcome {
	case probeHealthy, probeStaleEpoch:
		h.consecutiveFailures, h.unansweredFailures, h.witnessedFailures = 0, 0, 0
		return
	case probeUnanswered:
		h.unansweredFailures++
	}
	if h.consecutiveFailures == 0 {
		h.failingSince = now
	}
	h.consecutiveFailures++
}

// recordWitness records that another host of the zone answered while the last probe was made. An answer from before
// shows nothing: the zone, the platform's service or this controller may have been cut off since.
func (h *hostHealth) recordWitness() {
	if h.lastUnanswered {
		h.witnessedFailures++
	}
}

// provenDown reports whether the failed probes suffice to report the host as down. Unanswered probes count only
// if another host of the zone answered at the same time: if none did, the zone may be cut off from the platform while
// its hosts still serve.
func (h *hostHealth) provenDown() bool {
	failures := h.consecutiveFailures - h.unansweredFailures + h.witnessedFailures
	if h.listedGone {
		return failures >= failuresToConfirmGone
	}
	return failures >= failuresToConfirmDown
}

// unresponsiveZones returns the zones that have probed hosts, none of which answered its last probe.
func unresponsiveZones(hosts map[string]*hostHealth) map[string]bool {
	unresponsive := map[string]bool{}
	for _, health := range hosts {
		if health.probed && health.lastUnanswered {
			unresponsive[health.host.Zone] = true
		}
	}
	for _, health := range hosts {
		if health.probed && !health.lastUnanswered {
			delete(unresponsive, health.host.Zone)
		}
	}
	return unresponsive
}

// anyHostAnswered reports whether any host answered its last probe. If none did, this controller or the
// platform's host service is cut off rather than a zone.
func anyHostAnswered(hosts map[string]*hostHealth) bool {
	for _, health := range hosts {
		if health.probed && !health.lastUnanswered {
			return true
		}
	}
	return false
}

// nameBasedDelay returns a delay below the interval that is derived from a hash of the name. It spreads the
// first probes of the hosts over the interval.
func nameBasedDelay(name string, interval time.Duration) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return time.Duration(hash.Sum32()) % interval
}
