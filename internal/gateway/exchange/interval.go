package exchange

import "time"

// Intervals of the exchange.
const (
	// MinInterval and MaxInterval bound the time between two exchanges of a pair of gateways.
	MinInterval = 250 * time.Millisecond
	MaxInterval = time.Second
	// otherZoneInterval is the time between two exchanges with another zone.
	otherZoneInterval = 2 * time.Second
	// bytesPerSecond is the part of a node's 3 KB/s for control that the exchange may use.
	bytesPerSecond = 1500
	// callOverhead is the size of the HTTP/2 frames and compressed headers of one exchange, both ways, in bytes.
	callOverhead = 160
)

// intervalPacer adapts the interval to the size of the exchanges.
type intervalPacer struct {
	// smoothedBytes is the smoothed number of bytes of one round with all peers.
	smoothedBytes float64
}

// newestRoundWeight is the weight of the newest round.
const newestRoundWeight = 0.3

// nextInterval notes the bytes of a round, and returns the time until the next one.
func (p *intervalPacer) nextInterval(bytes int) time.Duration {
	if p.smoothedBytes == 0 {
		p.smoothedBytes = float64(bytes)
	}
	p.smoothedBytes += newestRoundWeight * (float64(bytes) - p.smoothedBytes)
	interval := time.Duration(p.smoothedBytes / bytesPerSecond * float64(time.Second))
	return min(max(interval, MinInterval), MaxInterval)
}
