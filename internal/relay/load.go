package relay

import (
	"time"
)

const (
	// directCallCost is the processor time of a direct call to a worker (docs/MEASUREMENTS.md).
	directCallCost = 100 * time.Microsecond
	// relayShare is the share of its processor that this process may spend on direct calls before it uses relays, and
	// directShare the share below which it makes all calls itself again after directAfter.
	relayShare  = 0.2
	directShare = 0.05
	directAfter = 20 * time.Second
	// loadTime is the time constant of the mean rate of calls. Peaks rise within a second.
	loadTime = 500 * time.Millisecond
	// sizeTime is the time constant of the mean rate by which the number of relays is chosen. A takeover asks for several
	// thousand calls at once, and further relays would only make batches smaller.
	sizeTime = 3 * time.Second

	milliPerCore = 1000
)

// load decides whether the calls to workers are worth the use of relays.
type load struct {
	// cpuMilli is the processor time available to this process, in thousandths of a core.
	cpuMilli int64
	// rate and slowRate are the mean rates of calls a second over loadTime and sizeTime.
	rate, slowRate float64
	// peakCores is the most processor time that direct calls would have taken since relays are used, in cores.
	peakCores float64
	// relaying is set while relays are used, and quietSince is since when the load is below directShare; 0 if it isn't.
	relaying   bool
	quietSince time.Duration
}

// observe updates the load after an interval with this number of calls, at now, and reports whether to use relays.
func (l *load) observe(calls int64, interval, now time.Duration) bool {
	if interval <= 0 {
		return l.relaying
	}
	perSecond := float64(calls) / interval.Seconds()
	l.rate += min(1, float64(interval)/float64(loadTime)) * (perSecond - l.rate)
	l.slowRate += min(1, float64(interval)/float64(sizeTime)) * (perSecond - l.slowRate)
	cores := l.rate * directCallCost.Seconds()
	l.peakCores = max(l.peakCores, l.slowRate*directCallCost.Seconds())
	share := cores * milliPerCore / float64(max(l.cpuMilli, 1))
	switch {
	case share >= relayShare:
		l.relaying, l.quietSince = true, 0
	case share >= directShare:
		l.quietSince = 0
	case l.quietSince == 0:
		l.quietSince = now
	case now-l.quietSince >= directAfter:
		l.relaying, l.peakCores = false, 0
	}
	return l.relaying
}
