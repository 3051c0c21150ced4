// Package demand collects the number of slots that requests ask for in each pool. The figures come from the
// gateways that poll this controller and from the other controllers.
package demand

import (
	"context"
	"sort"
	"sync"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/periodic"
)

const (
	// pollInterval is the time between two polls of the other controllers. The planner moves hosts within
	// minutes, and with 120 controllers a shorter interval would cost more than 1 KB/s.
	pollInterval = 30 * time.Second
	// maxReportAge is the age up to which a report is used.
	maxReportAge = 2 * pollInterval
	// callTimeout bounds the status call to one controller.
	callTimeout = 2 * time.Second
)

// Peer is the client of another controller. The generated ControllerServiceClient implements it.
type Peer interface {
	Status(context.Context, *v1.StatusRequest) (*v1.StatusResponse, error)
}

// report is the newest demand that one gateway or controller has reported.
type report struct {
	receivedAt time.Time
	pools      []*v1.PoolDemand
}

// Table holds the newest report of each gateway and controller. It is safe for concurrent use.
type Table struct {
	now   func() time.Time
	peers map[string]Peer

	mu          sync.Mutex
	gateways    map[string]report
	controllers map[string]report
}

// New returns a table without reports. Peers are the other controllers by name.
func New(peers map[string]Peer, now func() time.Time) *Table {
	return &Table{now: now, peers: peers, gateways: map[string]report{}, controllers: map[string]report{}}
}

// RecordGatewayDemand stores the demand of a gateway that polls this controller.
func (t *Table) RecordGatewayDemand(gateway string, pools []*v1.PoolDemand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gateways[gateway] = report{receivedAt: t.now(), pools: pools}
	t.removeExpired(t.gateways)
}

// removeExpired removes reports older than maxReportAge. The caller holds the lock.
func (t *Table) removeExpired(reports map[string]report) {
	for name, r := range reports {
		if t.now().Sub(r.receivedAt) > maxReportAge {
			delete(reports, name)
		}
	}
}

// LocalDemand returns the demand of each pool, summed over the gateways that poll this controller.
func (t *Table) LocalDemand() []*v1.PoolDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(t.gateways)
	sums := map[string]uint64{}
	for _, r := range t.gateways {
		for _, pool := range r.pools {
			sums[pool.GetPool()] += pool.GetSlots()
		}
	}
	demand := make([]*v1.PoolDemand, 0, len(sums))
	for pool, slots := range sums {
		demand = append(demand, &v1.PoolDemand{Pool: pool, Slots: slots})
	}
	sort.Slice(demand, func(i, j int) bool { return demand[i].GetPool() < demand[j].GetPool() })
	return demand
}

// Slots implements move.Demand. The demand is known only when at least one gateway of this controller and all
// other controllers have reported recently: with a partial sum, the planner would take hosts from busy pools.
func (t *Table) Slots(pool string) (slots float64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(t.gateways)
	t.removeExpired(t.controllers)
	if len(t.gateways) == 0 || len(t.controllers) < len(t.peers) {
		return 0, false
	}
	for _, reports := range []map[string]report{t.gateways, t.controllers} {
		for _, r := range reports {
			slots += float64(slotsOf(r.pools, pool))
		}
	}
	return slots, true
}

// slotsOf returns the slots of the named pool, or 0 if it isn't listed.
func slotsOf(pools []*v1.PoolDemand, name string) uint64 {
	for _, pool := range pools {
		if pool.GetPool() == name {
			return pool.GetSlots()
		}
	}
	return 0
}

// Run polls the other controllers until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	return periodic.Every(ctx, pollInterval, t.pollControllers)
}

// pollControllers calls all other controllers concurrently, so that unreachable ones don't delay the rest.
func (t *Table) pollControllers(ctx context.Context) {
	var calls sync.WaitGroup
	for name, peer := range t.peers {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			status, err := peer.Status(callCtx, &v1.StatusRequest{})
			if err != nil {
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.controllers[name] = report{receivedAt: t.now(), pools: status.GetDemand()}
		})
	}
	calls.Wait()
}
