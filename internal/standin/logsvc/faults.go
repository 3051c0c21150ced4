package logsvc

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"turmericyoke/internal/periodic"
)

// Errors that the log returns.
var (
	errOutage        = errors.New("log outage")
	errRateExceeded  = errors.New("append rate exceeded")
	errRequestLost   = errors.New("connection lost")
	errResponseLost  = errors.New("connection lost")
	errAppendInvalid = errors.New("append without stream or records, or too large")
)

// Faults are the simulated faults of the log. Each call or record that a fault with a number affects
// decrements that number.
type Faults struct {
	// Outage makes all calls fail without an effect.
	Outage bool
	// AppendOutage and ReadOutage do the same for Append or Read only.
	AppendOutage bool
	ReadOutage   bool
	// Delay is added to the duration of each call.
	Delay time.Duration
	// LoseRequests is the number of appends that fail without taking effect, as if the connection broke.
	LoseRequests int
	// LoseResponses is the number of appends that take effect and then fail.
	LoseResponses int
	// TruncateRecords is the number of records whose second half is lost when they are stored.
	TruncateRecords int
}

// UpdateFaults changes the faults and wakes pending reads, so that they notice an outage. It may be called
// at any time.
func (l *Log) UpdateFaults(change func(*Faults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
	close(l.appended)
	l.appended = make(chan struct{})
}

// SetRate sets the maximum number of appends per second; 0 removes the limit.
func (l *Log) SetRate(perSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter = rateLimiter{rate: perSecond}
}

// delayOrFail waits for the configured delay and then fails during an outage. outage returns the fault that
// disables only the method of the call.
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

// consume decrements the count of a fault and reports whether the fault applies.
func consume(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// rateLimiter is a token bucket that holds at most the tokens of one second.
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
