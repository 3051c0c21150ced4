package exchange

import "time"

// Intervals of the exchange.
const (
	// MinInterval and MaxInterval bound the time between two exchanges of a pair of gateways.
	MinInterval = 250 * time.Millisecond
	MaxInterval = time.Second
	// zoneInterval is the time between two exchanges with another zone.
	zoneInterval = 2 * time.Second
	// bytesPerSecond is the part of a node's 3 KB/s for control that the exchange may use.
	bytesPerSecond = 1500
	// callOverhead is the size of the HTTP/2 frames and compressed headers of one exchange, both ways, in bytes.
	callOverhead = 160
)

// pace adapts the interval to the size of the exchanges.
type pace struct {
	// round is the smoothed number of bytes of one round with all peers.
	round float64
}

// smoothing is the weight of the newest round.
const smoothing = 0.3

// next notes the bytes of a round, and returns the time until the next one.
func (p *pace) next(bytes int) time.Duration {
	if p.round == 0 {
		p.round = float64(bytes)
	}
	p.round += smoothing * (float64(bytes) - p.round)
	interval := time.Duration(p.round / bytesPerSecond * float64(time.Second))
	return min(max(interval, MinInterval), MaxInterval)
}
