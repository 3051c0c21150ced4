// Package account records how each request ended.
package account

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/pipe"
)

// Refusal is the account of one refused request.
type Refusal struct {
	// ID is the incarnation of the gateway and Number.
	ID     string
	Number uint64
	// Team is empty when the key isn't known.
	Team          string
	KeyID         string
	Pool          string
	Rule          fault.Kind
	ConfigVersion uint64
	// Free and Needed are the units or slots at the time of the refusal.
	Free, Needed uint64
	Detail       string
	At           time.Time
}

// Sink takes refusals. Refuse doesn't block, and returns the id under which the refusal is on record.
type Sink interface {
	RecordRefusal(refusal Refusal) string
}

// Recorder records ended requests. It is the last part of the chain.
type Recorder struct {
	sink    Sink
	now     func() time.Time
	refused atomic.Uint64
	ended   *prometheus.CounterVec
	seconds prometheus.Histogram
}

// New returns the recorder with its metrics registered at registry.
func New(sink Sink, registry prometheus.Registerer, now func() time.Time) *Recorder {
	f := &Recorder{
		sink: sink, now: now,
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gateway_requests_total", Help: "Ended requests by outcome and kind of refusal.",
		}, []string{"outcome", "kind"}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "gateway_request_seconds", Help: "Time from arrival to answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}),
	}
	registry.MustRegister(f.ended, f.seconds)
	return f
}

// RefusedTotal returns the number of refusals since the start.
func (f *Recorder) RefusedTotal() uint64 { return f.refused.Load() }

// Record takes the account of r. A forwarded request is accounted for by the gateway that accepted
// it, which may still place it elsewhere; here it only counts in the metrics.
func (f *Recorder) Record(r *pipe.Request) {
	kind := ""
	if r.Fault != nil {
		kind = string(r.Fault.Kind)
	}
	f.ended.WithLabelValues(r.Outcome.String(), kind).Inc()
	f.seconds.Observe(f.now().Sub(r.Arrived).Seconds())
	if r.Fault == nil || r.Forwarded || r.Fault.Kind == fault.CallerGone {
		return
	}
	f.refused.Add(1)
	r.RefusalID = f.sink.RecordRefusal(Refusal{
		ID: r.ID, Number: r.Number, Team: r.Team, KeyID: r.KeyID, Pool: r.PoolName,
		Rule: r.Fault.Kind, ConfigVersion: r.ConfigVersion,
		Free: r.Shortage.Free, Needed: r.Shortage.Needed, Detail: r.Fault.Detail, At: f.now(),
	})
}

// CountingSink counts refusals by rule and keeps the newest one.
type CountingSink struct {
	mu     sync.Mutex
	counts map[fault.Kind]uint64
	last   Refusal
}

// RecordRefusal implements Sink.
func (s *CountingSink) RecordRefusal(refusal Refusal) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = map[fault.Kind]uint64{}
	}
	s.counts[refusal.Rule]++
	s.last = refusal
	return refusal.ID
}

// Count returns the refusals by rule.
func (s *CountingSink) Count(rule fault.Kind) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[rule]
}

// Last returns the newest refusal.
func (s *CountingSink) Last() Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}
