package session

import (
	"sync"
	"time"
)

const (
	// maxStartsInFlight bounds the starts that are sent to the workers of one availability zone at the same time.
	// After a takeover thousands are due at once; sent together, most would reach their time limit in this
	// process. The bound is per zone, so that a zone that is cut off doesn't delay the starts in others.
	maxStartsInFlight = 64
	// initialStartWindow is the size of a window before any response. It doubles in each round trip.
	initialStartWindow = 8
	// minStartWindow keeps a few workers without response from holding up the starts on all others of their zone.
	minStartWindow = 4
)

// startWindow bounds the starts in flight to one availability zone. Like a congestion window it grows with each
// response and is halved when a start has none: starts beyond what the link of this host carries reach their time
// limits in its queue, and their repetitions keep the queue full.
type startWindow struct {
	mu       sync.Mutex
	size     float64
	inFlight int
	// waiting holds what sends each start that waits for its turn, in order.
	waiting []func()
	// threshold is the size from which on the window grows by one in each round trip instead of with each response.
	threshold float64
	// reducedAt is when the window was last reduced.
	reducedAt time.Duration
}

func newStartWindow() *startWindow {
	return &startWindow{size: initialStartWindow, threshold: maxStartsInFlight}
}

// enqueue calls send in a goroutine of its own when a start may be sent. Until then the start takes no goroutine, since
// tens of thousands may wait. send must call release.
func (w *startWindow) enqueue(send func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = append(w.waiting, send)
	w.admit()
}

// release ends a start that was admitted.
func (w *startWindow) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	w.admit()
}

// admit gives waiting starts their turns. w.mu must be held.
func (w *startWindow) admit() {
	for len(w.waiting) > 0 && w.inFlight < int(w.size) {
		w.inFlight++
		go w.waiting[0]()
		w.waiting[0] = nil
		w.waiting = w.waiting[1:]
	}
}

// observe adjusts the window to the outcome at now of a start that was sent at sentAt.
func (w *startWindow) observe(sentAt, now time.Duration, responded bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !responded && sentAt >= w.reducedAt:
		// The others that are in flight now meet the same queue, and don't reduce the window again.
		w.size = max(minStartWindow, w.size/2)
		w.threshold, w.reducedAt = w.size, now
	case responded && w.inFlight < int(w.size):
		// The window isn't what bounds the starts, so that nothing shows that a larger one is safe.
	case responded && w.size < w.threshold:
		w.size = min(maxStartsInFlight, w.size+1)
	case responded:
		w.size = min(maxStartsInFlight, w.size+1/w.size)
	}
	w.admit()
}
