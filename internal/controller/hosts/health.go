package hosts

import (
	"hash/fnv"
	"time"

	"connectrpc.com/connect"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold/inventory"
)

// downAfter is the number of failed probes in a row that prove that a host is down.
const downAfter = 3

// listedDownAfter is the number of failed probes that confirm that a host is gone from the list.
// The list alone proves nothing, since it lags and shows hosts as gone that are only cut off.
const listedDownAfter = 1

// probeResult is what one probe found.
type probeResult int

const (
	// probeHealthy is an answer of a host that is well.
	probeHealthy probeResult = iota
	// probeDown is the platform's answer that the host is down.
	probeDown
	// probeSilent is a probe without an answer. The host, the platform or the way may have failed.
	probeSilent
	// probeStale is a probe that was refused because the state of this controller is old.
	probeStale
)

func result(answer *v1.HostResponse, err error) probeResult {
	switch {
	case err == nil && answer.GetHealthy():
		return probeHealthy
	case err == nil:
		return probeDown
	case connect.CodeOf(err) == fault.ResponseFor(fault.HostEpochStale).ConnectCode:
		return probeStale
	}
	return probeSilent
}

// health is what the probes of one serving host have found.
type health struct {
	host       inventory.Host
	listedGone bool
	nextProbe  time.Time
	// failures counts failed probes in a row, and silences those among them without an answer.
	failures, silences int
	failingSince       time.Time
	// probed is set once the host was asked, at probedAt for the last time.
	probed   bool
	probedAt time.Time
	// silent is set while the last probe had no answer.
	silent bool
}

// due reports whether the host shall be probed now. Controllers that aren't ranked first probe only
// what looks suspicious, and otherwise once a minute for each rank.
func (h *health) due(now time.Time, delay time.Duration) bool {
	if h.failures > 0 || h.listedGone {
		return true
	}
	return !now.Before(h.nextProbe.Add(12 * delay))
}

// record notes the answer to a probe; next is the time to the next probe of a healthy host.
func (h *health) record(now time.Time, next time.Duration, found probeResult) {
	h.probed = true
	h.probedAt = now
	h.silent = found == probeSilent
	h.nextProbe = now.Add(next)
	switch found {
	case probeHealthy, probeStale:
		h.failures, h.silences = 0, 0
		return
	case probeSilent:
		h.silences++
	}
	if h.failures == 0 {
		h.failingSince = now
	}
	h.failures++
}

// down reports whether the host is proven down. Probes without an answer count only while another
// host of the zone answers: a zone in which none does may be cut off from the platform and serve on.
func (h *health) down(zoneSilent bool) bool {
	proof := h.failures
	if zoneSilent {
		proof -= h.silences
	}
	if h.listedGone {
		return proof >= listedDownAfter
	}
	return proof >= downAfter
}

// silentZones returns the zones with probed hosts of which none has answered its last probe.
func silentZones(hosts map[string]*health) map[string]bool {
	silent := map[string]bool{}
	for _, h := range hosts {
		if h.probed && h.silent {
			silent[h.host.Zone] = true
		}
	}
	for _, h := range hosts {
		if h.probed && !h.silent {
			delete(silent, h.host.Zone)
		}
	}
	return silent
}

// anyAnswer reports whether any host answered its last probe. Without one, this controller or the
// platform's service is cut off rather than a zone.
func anyAnswer(hosts map[string]*health) bool {
	for _, h := range hosts {
		if h.probed && !h.silent {
			return true
		}
	}
	return false
}

// spreadOver returns a delay below the interval that depends on the name, so that probes don't bunch.
func spreadOver(name string, interval time.Duration) time.Duration {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(name))
	return time.Duration(digest.Sum32()) % interval
}
