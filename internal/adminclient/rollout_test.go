package adminclient

import (
	"testing"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/standin/controllersvc"
	"turmericyoke/internal/standin/fleetdoc"
	"turmericyoke/internal/structs"
)

// Guards against a withdrawn key that is reported as out of force everywhere while a gateway accepts it that polls no
// controller, or whose controller has just started.
func TestJoinedGatewayWithoutReportIsBehind(t *testing.T) {
	controller := controllersvc.New(7, *fleetdoc.New(fleetdoc.Size{Hosts: 4, Teams: 2, Pools: 1, Zones: 1}))
	client := newTestClient(t, controller.Handler())
	joined := []structs.GatewayEntry{{Name: "g1", Zone: "z1"}, {Name: "g2", Zone: "z1"}, {Name: "g3", Zone: "z1", Suspected: true}}
	controller.SetGateways(joined, &v1.GatewayStatus{Name: "g1", ConfigVersion: 7})

	behind, err := client.ProcessesBehind(t.Context(), 7)
	assert.NilError(t, err)
	assert.DeepEqual(t, behind, []string{"g2"})

	controller.SetGateways(joined, &v1.GatewayStatus{Name: "g1", ConfigVersion: 7}, &v1.GatewayStatus{Name: "g2", ConfigVersion: 7})
	behind, err = client.ProcessesBehind(t.Context(), 7)
	assert.NilError(t, err)
	assert.Equal(t, len(behind), 0)

	_, err = client.ProcessesBehind(t.Context(), 8)
	assert.Equal(t, fault.KindOf(err), fault.NotReady, "the gateways that joined before version 8 aren't known")
}
