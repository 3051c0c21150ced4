package queue

import (
	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/pipe"
)

// waiter is one queued request. The lock of its pool guards all fields but ready.
type waiter struct {
	request    *pipe.Request
	queue      *teamQueue
	prev, next *waiter
	bytes      int64
	// shedFault is set when the request lost its place to another team's request.
	shedFault *fault.Error
	// ready receives one value when the request is placed or shed.
	ready chan struct{}
}

// teamQueue holds the waiting requests of one team in one pool, oldest first.
type teamQueue struct {
	team  string
	share uint64
	// running counts requests of the team that this gateway accepted and placed, here or at a peer.
	running uint64
	// runningElsewhere counts requests of the team that the rest of the fleet reports as running.
	runningElsewhere float64
	waiting          uint64
	first, last      *waiter
	// reason is why the newest scan found no place for the requests of the line. Those behind the
	// first one wait for the same reason, although they aren't tried themselves.
	reason PlaceResult
	// blocked is set while a scan has found no place for the first request.
	blocked bool
}

func (l *teamQueue) pushBack(w *waiter) {
	w.queue, w.prev, w.next = l, l.last, nil
	if l.last != nil {
		l.last.next = w
	} else {
		l.first = w
	}
	l.last = w
	l.waiting++
}

func (l *teamQueue) pushFront(w *waiter) {
	w.queue, w.prev, w.next = l, nil, l.first
	if l.first != nil {
		l.first.prev = w
	} else {
		l.last = w
	}
	l.first = w
	l.waiting++
}

func (l *teamQueue) remove(w *waiter) {
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		l.first = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		l.last = w.prev
	}
	w.queue, w.prev, w.next = nil, nil, nil
	l.waiting--
}

// usage is what the team runs across the fleet, as far as it is known.
func (l *teamQueue) usage() float64 { return float64(l.running) + l.runningElsewhere }

// servedBefore reports whether l is served before other: its usage is lower in proportion to its share,
// or equal and its first request is older.
func (l *teamQueue) servedBefore(other *teamQueue) bool {
	mine, theirs := l.usage()*float64(other.share), other.usage()*float64(l.share)
	if mine != theirs {
		return mine < theirs
	}
	return l.first.request.Arrived.Before(other.first.request.Arrived)
}

// shedBefore reports whether l is further above its share than other when waiting requests count as well.
func (l *teamQueue) shedBefore(other *teamQueue) bool {
	mine := (l.usage() + float64(l.waiting)) * float64(other.share)
	theirs := (other.usage() + float64(other.waiting)) * float64(l.share)
	if mine != theirs {
		return mine > theirs
	}
	return l.team > other.team
}
