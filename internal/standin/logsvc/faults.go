package logsvc

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"turmericyoke/internal/periodic"
)

// Errors of the log.
var (
	errOutage        = errors.New("log outage")
	errRateExceeded  = errors.New("append rate exceeded")
	errRequestLost   = errors.New("connection lost")
	errResponseLost  = errors.New("connection lost")
	errAppendInvalid = errors.New("append without stream or records, or too large")
)

// Faults are the switches of the log. Counters are used up by the calls that they affect.
type Faults struct {
	// Outage makes each call fail without an effect.
	Outage bool
	// AppendOutage and ReadOutage do so for one call only.
	AppendOutage bool
	ReadOutage   bool
	// Delay is how long each call takes.
	Delay time.Duration
	// LoseRequests appends fail without taking effect, as if the connection broke.
	LoseRequests int
	// LoseResponses appends take effect and then fail.
	LoseResponses int
	// TruncateRecords records lose their second half when they are stored.
	TruncateRecords int
}

// UpdateFaults changes the switches. It may be called at any moment.
func (l *Log) UpdateFaults(change func(*Faults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
	close(l.appended)
	l.appended = make(chan struct{})
}

// SetRate sets the appends per second beyond which appends are refused; 0 removes the bound.
func (l *Log) SetRate(perSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter = rateLimiter{rate: perSecond}
}

// delayOrFail applies delay and outage to one call.
func (l *Log) delayOrFail(ctx context.Context, outage func(*Faults) *bool) error {
	l.mu.Lock()
	delay := l.faults.Delay
	l.mu.Unlock()
	if err := periodic.Pause(ctx, delay); err != nil {
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage || *outage(&l.faults) {
		return connect.NewError(connect.CodeUnavailable, errOutage)
	}
	return nil
}

// consume uses up one of the calls that a fault affects.
func consume(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// rateLimiter is a token bucket that holds the tokens of one second.
type rateLimiter struct {
	rate       int
	tokens     float64
	refilledAt time.Time
}

func (l *rateLimiter) allow(now time.Time) bool {
	if l.rate <= 0 {
		return true
	}
	if l.refilledAt.IsZero() {
		l.tokens = float64(l.rate)
	} else {
		l.tokens = min(float64(l.rate), l.tokens+now.Sub(l.refilledAt).Seconds()*float64(l.rate))
	}
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
