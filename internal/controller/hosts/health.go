package hosts

import (
	"hash/fnv"
	"time"

	"connectrpc.com/connect"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold/inventory"
)

// failuresToConfirmDown is the number of failed probes in a row that prove that a host is down.
const failuresToConfirmDown = 3

// failuresToConfirmGone is the number of failed probes that confirm that a host is gone from the list.
// The list alone proves nothing, since it lags and shows hosts as gone that are only cut off.
const failuresToConfirmGone = 1

// probeResult is what one probe found.
type probeResult int

const (
	// probeHealthy is an answer of a host that is well.
	probeHealthy probeResult = iota
	// probeDown is the platform's answer that the host is down.
	probeDown
	// probeUnanswered is a probe without an answer. The host, the platform or the way may have failed.
	probeUnanswered
	// probeStaleEpoch is a probe that was refused because the state of this controller is old.
	probeStaleEpoch
)

func classifyProbe(answer *v1.HostResponse, err error) probeResult {
	switch {
	case err == nil && answer.GetHealthy():
		return probeHealthy
	case err == nil:
		return probeDown
	case connect.CodeOf(err) == fault.ResponseFor(fault.HostEpochStale).ConnectCode:
		return probeStaleEpoch
	}
	return probeUnanswered
}

// hostHealth is what the probes of one serving host have found.
type hostHealth struct {
	host        inventory.Host
	listedGone  bool
	nextProbeAt time.Time
	// failures counts failed probes in a row, and silences those among them without an answer.
	failures, unanswered int
	failingSince         time.Time
	// probed is set once the host was asked, at probedAt for the last time.
	probed      bool
	lastProbeAt time.Time
	// lastUnanswered is set while the last probe had no answer.
	lastUnanswered bool
}

// probeDue reports whether the host shall be probed now. Controllers that aren't ranked first probe only
// what looks suspicious, and otherwise once a minute for each rank.
func (h *hostHealth) probeDue(now time.Time, delay time.Duration) bool {
	if h.failures > 0 || h.listedGone {
		return true
	}
	return !now.Before(h.nextProbeAt.Add(12 * delay))
}

// recordProbe notes the answer to a probe; next is the time to the next probe of a healthy host.
func (h *hostHealth) recordProbe(now time.Time, next time.Duration, found probeResult) {
	h.probed = true
	h.lastProbeAt = now
	h.lastUnanswered = found == probeUnanswered
	h.nextProbeAt = now.Add(next)
	switch found {
	case probeHealthy, probeStaleEpoch:
		h.failures, h.unanswered = 0, 0
		return
	case probeUnanswered:
		h.unanswered++
	}
	if h.failures == 0 {
		h.failingSince = now
	}
	h.failures++
}

// provenDown reports whether the host is proven down. Probes without an answer count only while another
// host of the zone answers: a zone in which none does may be cut off from the platform and serve on.
func (h *hostHealth) provenDown(zoneSilent bool) bool {
	proof := h.failures
	if zoneSilent {
		proof -= h.unanswered
	}
	if h.listedGone {
		return proof >= failuresToConfirmGone
	}
	return proof >= failuresToConfirmDown
}

// unresponsiveZones returns the zones with probed hosts of which none has answered its last probe.
func unresponsiveZones(hosts map[string]*hostHealth) map[string]bool {
	silent := map[string]bool{}
	for _, h := range hosts {
		if h.probed && h.lastUnanswered {
			silent[h.host.Zone] = true
		}
	}
	for _, h := range hosts {
		if h.probed && !h.lastUnanswered {
			delete(silent, h.host.Zone)
		}
	}
	return silent
}

// anyHostAnswered reports whether any host answered its last probe. Without one, this controller or the
// platform's service is cut off rather than a zone.
func anyHostAnswered(hosts map[string]*hostHealth) bool {
	for _, h := range hosts {
		if h.probed && !h.lastUnanswered {
			return true
		}
	}
	return false
}

// nameBasedDelay returns a delay below the interval that depends on the name, so that probes don't bunch.
func nameBasedDelay(name string, interval time.Duration) time.Duration {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(name))
	return time.Duration(digest.Sum32()) % interval
}
