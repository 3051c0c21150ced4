package exchange

import "time"

// Intervals and sizes of the exchange.
const (
	// MinInterval and MaxInterval bound the time between two exchanges of two gateways of a zone.
	MinInterval = 250 * time.Millisecond
	MaxInterval = time.Second
	// otherZoneInterval is the minimum time between two calls to another zone.
	otherZoneInterval = 2 * time.Second
	// bytesPerSecond is the rate that the exchange may use of the 3 KB/s that a node has for control traffic.
	bytesPerSecond = 1500
	// callOverhead is the size in bytes of the HTTP/2 frames and compressed headers of one exchange,
	// request and response together.
	callOverhead = 160
)

// intervalPacer adapts the interval between rounds to the size of the exchanges, to keep to bytesPerSecond.
type intervalPacer struct {
	// smoothedBytes is the smoothed number of bytes of one round of calls to all peers.
	smoothedBytes float64
}

// newestRoundWeight is the weight of the newest round in smoothedBytes.
const newestRoundWeight = 0.3

// nextInterval adds the bytes of a round to the smoothed number, and returns the time until the next round.
func (p *intervalPacer) nextInterval(roundBytes int) time.Duration {
	if p.smoothedBytes == 0 {
		p.smoothedBytes = float64(roundBytes)
	}
	p.smoothedBytes += newestRoundWeight * (float64(roundBytes) - p.smoothedBytes)
	interval := time.Duration(p.smoothedBytes / bytesPerSecond * float64(time.Second))
	return min(max(interval, MinInterval), MaxInterval)
}
