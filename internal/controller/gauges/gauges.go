// Package gauges exports metrics of the fleet from the state that a controller folds from the log. All
// controllers fold the same records and export the same values, so a dashboard has to show the values of one
// controller and not the sum.
package gauges

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold"
)

// countInterval is the time between two counts of new verdicts. The state keeps only the last
// fold.MaxRecentVerdicts verdicts, which 120 gateways replace in about 8 s if each writes one record per second.
const countInterval = 2 * time.Second

// Follower gives access to the folded state and its progress; follower.Follower implements it.
type Follower interface {
	Read(use func(*fold.State)) bool
	Status() *v1.StatusResponse
	Lag() (records int64, known bool)
	Stopped() bool
}

// Demand returns how many slots the requests to a pool need; demand.Table implements it.
type Demand interface {
	Slots(pool string) (slots float64, known bool)
}

// Gauges collects the metrics of one controller's state.
type Gauges struct {
	follower       Follower
	demand         Demand
	now            func() time.Time
	acceptedMoves  prometheus.Counter
	missedVerdicts prometheus.Counter

	// countedOffset is the offset up to which verdicts have been counted; only Run uses it.
	countedOffset int64

	mu sync.Mutex
	// snapshotOffset is the offset of the newest known snapshot, and snapshotLearnedAt when the controller
	// learned of it.
	snapshotOffset    int64
	snapshotLearnedAt time.Time
}

// New registers the gauges and counters. The gauges are read from the state at each scrape; the counters
// advance only while Run runs.
func New(registry prometheus.Registerer, follower Follower, demand Demand, now func() time.Time) *Gauges {
	g := &Gauges{
		follower: follower, demand: demand, now: now,
		acceptedMoves: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmericyoke_controller_moves_accepted_total", Help: "Moves of hosts that the fold accepted since the controller started.",
		}),
		missedVerdicts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "turmericyoke_controller_verdicts_missed_total", Help: "Verdicts that passed before they were counted.",
		}),
	}
	registry.MustRegister(g.acceptedMoves, g.missedVerdicts, g)
	return g
}

// SetNewestSnapshot records the offset of the newest complete snapshot on the log.
func (g *Gauges) SetNewestSnapshot(offset int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.snapshotOffset, g.snapshotLearnedAt = offset, g.now()
}

// Run counts accepted moves and missed verdicts until ctx ends.
func (g *Gauges) Run(ctx context.Context) error {
	ticker := time.NewTicker(countInterval)
	defer ticker.Stop()
	for {
		g.countMoves()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// countMoves counts the accepted moves since the last call, and the verdicts that the state no longer keeps.
// The first call only sets the start offset, since the state may hold verdicts from before the controller
// started.
func (g *Gauges) countMoves() {
	var verdicts []fold.Verdict
	offset := int64(0)
	g.follower.Read(func(state *fold.State) {
		offset = state.Offset()
		if g.countedOffset > 0 && offset > g.countedOffset {
			verdicts = state.VerdictsAfter(g.countedOffset)
		}
	})
	if g.countedOffset > 0 {
		if missing := offset - g.countedOffset - int64(len(verdicts)); missing > 0 {
			g.missedVerdicts.Add(float64(missing))
		}
	}
	for _, verdict := range verdicts {
		if verdict.Accepted && verdict.Payload == "move" {
			g.acceptedMoves.Inc()
		}
	}
	g.countedOffset = offset
}
