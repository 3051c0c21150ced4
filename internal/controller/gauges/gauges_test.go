package gauges

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/structs"
)

type fakeFollower struct{ state *fold.State }

func (f fakeFollower) Read(use func(*fold.State)) bool { use(f.state); return true }
func (f fakeFollower) Status() *v1.StatusResponse {
	return &v1.StatusResponse{FollowerError: "log_unavailable"}
}
func (f fakeFollower) Lag() (int64, bool) { return 0, true }
func (f fakeFollower) Stopped() bool      { return false }

type fakeDemand float64

func (d fakeDemand) Slots(string) (float64, bool) { return float64(d), true }

// Guards against a buffer cost that counts hosts which don't serve, and against a budget that looks
// intact after failures.
func TestPoolFigures(t *testing.T) {
	doc := &structs.Document{Pools: []structs.Pool{{Name: "orders", MinAvailable: 3}}}
	for _, name := range []string{"a", "b", "c", "d"} {
		doc.Hosts = append(doc.Hosts, structs.Host{Name: name, Pool: "orders", Zone: "z", Rack: name, Slots: 8})
	}
	state := fold.New()
	state.Inventory.AdoptDocument(doc)
	for _, name := range []string{"c", "d"} {
		state.Inventory.HostsByName[name].Phase = inventory.PhaseFailed
	}
	counts := &poolHosts{byPhase: map[inventory.Phase]int{}}
	for _, host := range state.Inventory.HostsByName {
		counts.add(host, 8)
	}
	assert.Equal(t, counts.idleHosts(4), 1.5)
	assert.Equal(t, counts.idleHosts(40), 0.0)
	assert.Equal(t, counts.byPhase[inventory.PhaseFailed], 2)
}

// Guards against gauges whose labels don't match their description, and against a lag or age that
// is measured from the wrong place.
func TestCollect(t *testing.T) {
	registry := prometheus.NewPedanticRegistry()
	now := time.Unix(100, 0)
	g := New(registry, fakeFollower{fold.New()}, fakeDemand(1), func() time.Time { return now })
	g.SnapshotWritten(0)
	now = now.Add(time.Minute)
	families, err := registry.Gather()
	assert.NilError(t, err)
	figures := map[string]float64{}
	for _, family := range families {
		figures[family.GetName()] = family.GetMetric()[0].GetGauge().GetValue()
	}
	assert.Equal(t, figures["turmericyoke_controller_snapshot_age_seconds"], 60.0)
	assert.Equal(t, figures["turmericyoke_controller_snapshot_lag_records"], 0.0)
	assert.Equal(t, figures["turmericyoke_controller_follower_error"], 1.0)
}
