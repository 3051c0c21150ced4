// Package gauges measures the fleet from the state that a controller folds. Every controller folds
// the same records and shows the same figures, so that dashboards take one of them, not their sum.
package gauges

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold"
)

// countInterval is the time between two looks at new verdicts. The state keeps fold.RecentVerdicts of
// them, which 120 holders that write once a second need 8 s for.
const countInterval = 2 * time.Second

// Follower is the source of state; follower.Follower implements it.
type Follower interface {
	Read(use func(*fold.State)) bool
	Status() *v1.StatusResponse
	Lag() (records int64, known bool)
	Stopped() bool
}

// Demand tells the slots that requests of a pool ask for; demand.Table implements it.
type Demand interface {
	Slots(pool string) (slots float64, known bool)
}

// Gauges measures one controller's state.
type Gauges struct {
	follower       Follower
	demand         Demand
	now            func() time.Time
	acceptedMoves  prometheus.Counter
	missedVerdicts prometheus.Counter

	// countedOffset is the offset of the last verdict that was counted; only Run uses it.
	countedOffset int64

	mu sync.Mutex
	// snapshotOffset and snapshotAt are the newest snapshot that is known, and since when.
	snapshotOffset    int64
	snapshotLearnedAt time.Time
}

// New registers the gauges. Run counts what isn't state.
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

// SnapshotWritten notes the newest complete snapshot on the log.
func (g *Gauges) SnapshotWritten(offset int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.snapshotOffset, g.snapshotLearnedAt = offset, g.now()
}

// Run counts accepted moves until ctx ends.
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

// countMoves counts the accepted moves after the last look. The first look only finds its place,
// since the state may hold verdicts from before the controller started.
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
		if passed := offset - g.countedOffset - int64(len(verdicts)); passed > 0 {
			g.missedVerdicts.Add(float64(passed))
		}
	}
	for _, verdict := range verdicts {
		if verdict.Accepted && verdict.Payload == "move" {
			g.acceptedMoves.Inc()
		}
	}
	g.countedOffset = offset
}
