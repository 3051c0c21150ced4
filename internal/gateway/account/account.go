// Package account counts the requests that have ended, and records the refused ones.
package account

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/pipe"
)

// Refusal is the record of one refused request.
type Refusal struct {
	// ID is the ID of the request; see pipe.Request.
	ID     string
	Number uint64
	// Team is empty if the request was refused before its team was known, for example for an unknown key.
	Team  string
	KeyID string
	Pool  string
	// Rule is the kind of the fault for which the request was refused.
	Rule          fault.Kind
	ConfigVersion uint64
	// Free and Needed count the rights or slots that were free and needed at the time of the refusal.
	Free, Needed uint64
	Detail       string
	At           time.Time
}

// Sink records refusals. RecordRefusal doesn't block, and returns the ID of the record.
type Sink interface {
	RecordRefusal(refusal Refusal) string
}

// Recorder implements pipe.Recorder. It updates the request metrics and passes refusals to a sink.
type Recorder struct {
	sink     Sink
	now      func() time.Time
	refusals atomic.Uint64
	requests *prometheus.CounterVec
	latency  prometheus.Histogram
}

// New returns a recorder and registers its metrics.
func New(sink Sink, registry prometheus.Registerer, now func() time.Time) *Recorder {
	recorder := &Recorder{
		sink: sink, now: now,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gateway_requests_total", Help: "Ended requests by outcome and kind of refusal.",
		}, []string{"outcome", "kind"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "gateway_request_seconds", Help: "Time from arrival to answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}),
	}
	registry.MustRegister(recorder.requests, recorder.latency)
	return recorder
}

// RefusedTotal returns the number of refusals since the process started.
func (rec *Recorder) RefusedTotal() uint64 { return rec.refusals.Load() }

// Record implements pipe.Recorder. A request that another gateway forwarded only counts in the metrics: the
// gateway that accepted it may still place it elsewhere, and records its refusal if it can't. A caller that
// disconnected wasn't refused.
func (rec *Recorder) Record(r *pipe.Request) {
	kind := ""
	if r.Fault != nil {
		kind = string(r.Fault.Kind)
	}
	rec.requests.WithLabelValues(r.Outcome.String(), kind).Inc()
	rec.latency.Observe(rec.now().Sub(r.Arrived).Seconds())
	if r.Fault == nil || r.Forwarded || r.Fault.Kind == fault.CallerGone {
		return
	}
	rec.refusals.Add(1)
	r.RefusalID = rec.sink.RecordRefusal(Refusal{
		ID: r.ID, Number: r.Number, Team: r.Team, KeyID: r.KeyID, Pool: r.PoolName,
		Rule: r.Fault.Kind, ConfigVersion: r.ConfigVersion,
		Free: r.Shortage.Free, Needed: r.Shortage.Needed, Detail: r.Fault.Detail, At: rec.now(),
	})
}

// CountingSink counts refusals by rule in memory and keeps the newest one.
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

// Count returns the number of refusals by the rule.
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
