package session

import (
	"sync"
	"time"
)

const (
	// maxIdleRoundTrip is the mean time of an order's round trip above which the link of this host counts as congested:
	// workers respond within a few milliseconds.
	maxIdleRoundTrip = 25 * time.Millisecond
	// roundTripWeight is the weight of the newest round trip in the mean, as a divisor.
	roundTripWeight = 8
)

// roundTrips keeps the mean time of the round trips of answered orders. It tells a worker that leaves orders unanswered
// from a congested link, on which the answered orders take long as well.
type roundTrips struct {
	mu       sync.Mutex
	answered bool
	mean     time.Duration
}

// observe adds the round trip of an answered order.
func (r *roundTrips) observe(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.answered {
		r.answered, r.mean = true, took
	}
	r.mean += (took - r.mean) / roundTripWeight
}

// congested reports whether answered orders take so long that the link must be congested.
func (r *roundTrips) congested() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mean > maxIdleRoundTrip
}
