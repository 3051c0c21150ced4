package queue

import (
	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/pipe"
)

// waiter is one waiting request. The lock of its poolQueue guards all fields except ready.
type waiter struct {
	request    *pipe.Request
	queue      *teamQueue
	prev, next *waiter
	bytes      int64
	// shedFault is the refusal of a request that was removed because the queue was full, and otherwise nil.
	shedFault *fault.Error
	// ready receives one value when the request has been placed or shed.
	ready chan struct{}
}

// teamQueue holds the waiting requests of one team in one pool, oldest first, in a doubly linked list.
type teamQueue struct {
	team  string
	share uint64
	// running counts the requests of the team that this gateway accepted from callers and placed, on its own
	// slots or at a peer.
	running uint64
	// runningElsewhere is the smoothed number of requests of the team that other gateways report as running.
	runningElsewhere float64
	waiting          uint64
	first, last      *waiter
	// reason is why the last scan could not place the first request. Those behind it wait for the same
	// reason, although the scan doesn't try them.
	reason PlaceResult
	// blocked is set during a scan once the first request could not be placed.
	blocked bool
}

func (q *teamQueue) pushBack(w *waiter) {
	w.queue, w.prev, w.next = q, q.last, nil
	if q.last != nil {
		q.last.next = w
	} else {
		q.first = w
	}
	q.last = w
	q.waiting++
}

func (q *teamQueue) pushFront(w *waiter) {
	w.queue, w.prev, w.next = q, nil, q.first
	if q.first != nil {
		q.first.prev = w
	} else {
		q.last = w
	}
	q.first = w
	q.waiting++
}

func (q *teamQueue) remove(w *waiter) {
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		q.first = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		q.last = w.prev
	}
	w.queue, w.prev, w.next = nil, nil, nil
	q.waiting--
}

// usage returns the number of running requests of the team across all gateways, as far as it is known.
func (q *teamQueue) usage() float64 { return float64(q.running) + q.runningElsewhere }

// servedBefore reports whether the team of q is served before the team of other: its usage in proportion to its
// share is lower, or equal and its first request is older.
func (q *teamQueue) servedBefore(other *teamQueue) bool {
	ours, theirs := q.usage()*float64(other.share), other.usage()*float64(q.share)
	if ours != theirs {
		return ours < theirs
	}
	return q.first.request.Arrived.Before(other.first.request.Arrived)
}

// shedBefore reports whether a request of q is shed before one of other: q's usage in proportion to its
// share, with waiting requests counted as running, is higher.
func (q *teamQueue) shedBefore(other *teamQueue) bool {
	ours := (q.usage() + float64(q.waiting)) * float64(other.share)
	theirs := (other.usage() + float64(other.waiting)) * float64(q.share)
	if ours != theirs {
		return ours > theirs
	}
	return q.team > other.team
}
