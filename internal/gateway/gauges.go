package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"turmericyoke/internal/gateway/endpoints"
)

// registerGauges registers the metrics whose values are read at each scrape.
func (g *Gateway) registerGauges() {
	g.registerGauge("gateway_waiting_requests", "Requests in the queue.", func() float64 { return float64(g.queue.Waiting()) })
	g.registerGauge("gateway_owned_slots", "Slots of usable endpoints that this gateway owns.", func() float64 {
		return g.sumPools(func(slots endpoints.SlotCounts) int { return slots.Owned })
	})
	g.registerGauge("gateway_free_slots", "Owned slots that aren't in use.", func() float64 {
		return g.sumPools(func(slots endpoints.SlotCounts) int { return slots.Free })
	})
	g.registerGauge("gateway_zone_members", "Gateways that own slots of the zone, as this one hears.", func() float64 {
		return float64(len(g.peers.Members()))
	})
	g.registerGauge("gateway_view_offset", "Offset of the newest view.", func() float64 {
		return float64(g.config.Store.Current().View.Offset)
	})
}

// registerGauge registers a gauge that calls value at each scrape.
func (g *Gateway) registerGauge(name, help string, value func() float64) {
	g.config.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// sumPools returns the sum of count over the slots of all pools.
func (g *Gateway) sumPools(count func(endpoints.SlotCounts) int) float64 {
	total := 0
	g.table.EachPool(func(_ string, slots endpoints.SlotCounts) { total += count(slots) })
	return float64(total)
}
