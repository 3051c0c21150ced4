package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"turmericyoke/internal/gateway/endpoints"
)

// registerGauges registers what the gateway holds at the time of a scrape.
func (g *Gateway) registerGauges() {
	g.gauge("gateway_waiting_requests", "Requests in the queue.", func() float64 { return float64(g.queue.Waiting()) })
	g.gauge("gateway_owned_slots", "Slots of usable endpoints that this gateway owns.", func() float64 {
		return g.sumRooms(func(room endpoints.SlotCounts) int { return room.Owned })
	})
	g.gauge("gateway_free_slots", "Owned slots that aren't in use.", func() float64 {
		return g.sumRooms(func(room endpoints.SlotCounts) int { return room.Free })
	})
	g.gauge("gateway_zone_members", "Gateways that own slots of the zone, as this one hears.", func() float64 {
		return float64(len(g.peers.Members()))
	})
	g.gauge("gateway_view_offset", "Offset of the newest view.", func() float64 {
		return float64(g.config.Store.Current().View.Offset)
	})
}

func (g *Gateway) gauge(name, help string, value func() float64) {
	g.config.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

func (g *Gateway) sumRooms(part func(endpoints.SlotCounts) int) float64 {
	total := 0
	g.table.EachPool(func(_ string, room endpoints.SlotCounts) { total += part(room) })
	return float64(total)
}
