package hosts

import (
	"testing"

	"gotest.tools/v3/assert"

	"time"
	"turmericyoke/internal/fold/inventory"
)

// Guards against a host that is taken out of service because the list lags, one probe was lost or
// its zone is cut off, and against a dead host that is never reported.
func TestDown(t *testing.T) {
	healthy, down, silent := probeHealthy, probeDown, probeUnanswered
	for name, tc := range map[string]struct {
		probes     []probeResult
		listed     bool
		zoneSilent bool
		want       bool
	}{
		"listed, but answers":              {[]probeResult{healthy}, true, false, false},
		"listed, one probe fails":          {[]probeResult{down}, true, false, true},
		"listed, zone is cut off":          {[]probeResult{silent, silent, silent, silent}, true, true, false},
		"zone is cut off, host known down": {[]probeResult{down, down, down, silent}, false, true, true},
		"two probes fail":                  {[]probeResult{down, silent}, false, false, false},
		"three probes fail":                {[]probeResult{down, silent, down}, false, false, true},
		"an answer between":                {[]probeResult{down, down, healthy, down}, false, false, false},
		"a stale epoch between":            {[]probeResult{down, down, probeStaleEpoch, down}, false, false, false},
	} {
		h := &hostHealth{listedGone: tc.listed, host: inventory.Host{Zone: "z"}}
		for _, found := range tc.probes {
			h.recordProbe(time.Unix(0, 0), minHealthyProbeInterval, found)
		}
		assert.Equal(t, h.provenDown(tc.zoneSilent), tc.want, name)
	}
}
