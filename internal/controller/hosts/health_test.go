package hosts

import (
	"testing"

	"gotest.tools/v3/assert"

	"time"
	"turmericyoke/internal/fold/inventory"
)

// Guards against a healthy host that is reported as down because the host list lags, one probe was lost or its
// zone is cut off from the platform, and against a dead host that is never reported.
func TestProvenDown(t *testing.T) {
	healthy, down, unanswered := probeHealthy, probeDown, probeUnanswered
	for name, tc := range map[string]struct {
		probes           []probeOutcome
		listedGone       bool
		zoneUnresponsive bool
		wantDown         bool
	}{
		"listed as gone, but healthy":                           {[]probeOutcome{healthy}, true, false, false},
		"listed as gone, one probe fails":                       {[]probeOutcome{down}, true, false, true},
		"listed as gone, zone doesn't answer":                   {[]probeOutcome{unanswered, unanswered, unanswered, unanswered}, true, true, false},
		"zone doesn't answer, three probes found the host down": {[]probeOutcome{down, down, down, unanswered}, false, true, true},
		"two probes fail":                                       {[]probeOutcome{down, unanswered}, false, false, false},
		"three probes fail":                                     {[]probeOutcome{down, unanswered, down}, false, false, true},
		"a healthy answer between failures":                     {[]probeOutcome{down, down, healthy, down}, false, false, false},
		"a stale epoch between failures":                        {[]probeOutcome{down, down, probeStaleEpoch, down}, false, false, false},
	} {
		h := &hostHealth{listedGone: tc.listedGone, host: inventory.Host{Zone: "z"}}
		for _, outcome := range tc.probes {
			h.recordProbe(time.Unix(0, 0), minHealthyProbeInterval, outcome)
			if !tc.zoneUnresponsive {
				h.recordWitness()
			}
		}
		assert.Equal(t, h.provenDown(), tc.wantDown, name)
	}
}
