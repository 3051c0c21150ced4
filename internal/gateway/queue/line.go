package queue

import (
	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/pipe"
)

// waiter is one queued request. The lock of its pool guards all fields but ready.
type waiter struct {
	request    *pipe.Request
	line       *line
	prev, next *waiter
	bytes      int64
	// shed is set when the request lost its place to another team's request.
	shed *fault.Error
	// ready receives one value when the request is placed or shed.
	ready chan struct{}
}

// line holds the waiting requests of one team in one pool, oldest first.
type line struct {
	team  string
	share uint64
	// running counts requests of the team that this gateway accepted and placed, here or at a peer.
	running uint64
	// elsewhere counts requests of the team that the rest of the fleet reports as running.
	elsewhere   float64
	waiting     uint64
	first, last *waiter
	// reason is why the newest scan found no place for the requests of the line. Those behind the
	// first one wait for the same reason, although they aren't tried themselves.
	reason PlaceResult
	// blocked is set while a scan has found no place for the first request.
	blocked bool
}

func (l *line) pushBack(w *waiter) {
	w.line, w.prev, w.next = l, l.last, nil
	if l.last != nil {
		l.last.next = w
	} else {
		l.first = w
	}
	l.last = w
	l.waiting++
}

func (l *line) pushFront(w *waiter) {
	w.line, w.prev, w.next = l, nil, l.first
	if l.first != nil {
		l.first.prev = w
	} else {
		l.last = w
	}
	l.first = w
	l.waiting++
}

func (l *line) remove(w *waiter) {
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
	w.line, w.prev, w.next = nil, nil, nil
	l.waiting--
}

// usage is what the team runs across the fleet, as far as it is known.
func (l *line) usage() float64 { return float64(l.running) + l.elsewhere }

// below reports whether l is served before other: its usage is lower in proportion to its share,
// or equal and its first request is older.
func (l *line) below(other *line) bool {
	mine, theirs := l.usage()*float64(other.share), other.usage()*float64(l.share)
	if mine != theirs {
		return mine < theirs
	}
	return l.first.request.Arrived.Before(other.first.request.Arrived)
}

// above reports whether l is further above its share than other when waiting requests count as well.
func (l *line) above(other *line) bool {
	mine := (l.usage() + float64(l.waiting)) * float64(other.share)
	theirs := (other.usage() + float64(other.waiting)) * float64(l.share)
	if mine != theirs {
		return mine > theirs
	}
	return l.team > other.team
}
