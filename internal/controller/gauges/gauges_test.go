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

// Guards against idle hosts that include failed ones, and against failed hosts that aren't counted as such.
func TestPoolCounts(t *testing.T) {
	doc := &structs.Document{Pools: []structs.Pool{{Name: "orders", MinAvailable: 3}}}
	for _, name := range []string{"a", "b", "c", "d"} {
		doc.Hosts = append(doc.Hosts, structs.Host{Name: name, Pool: "orders", Zone: "z", Rack: name, Slots: 8})
	}
	state := fold.New()
	state.Inventory.AdoptDocument(doc)
	for _, name := range []string{"c", "d"} {
		state.Inventory.HostsByName[name].Phase = inventory.PhaseFailed
	}
	orders := &poolHosts{byPhase: map[inventory.Phase]int{}}
	for _, host := range state.Inventory.HostsByName {
		orders.add(host, 8)
	}
	assert.Equal(t, orders.idleHosts(4), 1.5)
	assert.Equal(t, orders.idleHosts(40), 0.0)
	assert.Equal(t, orders.byPhase[inventory.PhaseFailed], 2)
}

// Guards against gauges whose labels don't match their description, and against a snapshot lag or age that
// is measured from the wrong offset or time.
func TestCollect(t *testing.T) {
	registry := prometheus.NewPedanticRegistry()
	now := time.Unix(100, 0)
	g := New(registry, fakeFollower{fold.New()}, fakeDemand(1), func() time.Time { return now })
	g.SetNewestSnapshot(0)
	now = now.Add(time.Minute)
	families, err := registry.Gather()
	assert.NilError(t, err)
	values := map[string]float64{}
	for _, family := range families {
		values[family.GetName()] = family.GetMetric()[0].GetGauge().GetValue()
	}
	assert.Equal(t, values["turmericyoke_controller_snapshot_age_seconds"], 60.0)
	assert.Equal(t, values["turmericyoke_controller_snapshot_lag_records"], 0.0)
	assert.Equal(t, values["turmericyoke_controller_follower_error"], 1.0)
}
