package adminclient

import (
	"context"
	"slices"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// ProcessesBehind returns the controllers, by address, and the gateways, by name, that aren't known to have at
// least this configuration version. Controllers that didn't respond and joined gateways that no controller reports are
// among them. The error is that of JoinedGateways.
func (c *Client) ProcessesBehind(ctx context.Context, version uint64) ([]string, error) {
	statuses := c.Statuses(ctx)
	joined, err := c.JoinedGateways(ctx, version)
	if err != nil {
		return nil, err
	}
	var behind []string
	for _, status := range statuses {
		if status.Status.GetConfigVersion() < version {
			behind = append(behind, status.Address)
		}
		for _, gateway := range status.Status.GetGateways() {
			if gateway.GetConfigVersion() < version {
				behind = append(behind, gateway.GetName())
			}
		}
	}
	for _, gateway := range UnreportedGateways(statuses, joined) {
		behind = append(behind, gateway.Name)
	}
	return behind, nil
}

// JoinedGateways returns the gateways that may admit work, according to a controller that has at least this
// configuration version. A gateway that joins later admits work only with a view that includes its own Join, and so
// has the version as well.
func (c *Client) JoinedGateways(ctx context.Context, version uint64) ([]structs.GatewayEntry, error) {
	hasVersion := func(response *v1.QueryResponse) error {
		if response.GetConfigVersion() < version {
			return fault.New(fault.NotReady, "the controller has version %d: want at least %d", response.GetConfigVersion(), version)
		}
		return nil
	}
	var joined []structs.GatewayEntry
	_, err := c.queryWhere(ctx, "holders", "", hasVersion, &joined)
	// The lease of a suspected gateway has lapsed for good.
	return slices.DeleteFunc(joined, func(gateway structs.GatewayEntry) bool { return gateway.Suspected }), err
}

// UnreportedGateways returns the joined gateways that none of the controllers reports: they don't poll any of these, or
// the controller that they poll has just started.
func UnreportedGateways(statuses []ControllerStatus, joined []structs.GatewayEntry) []structs.GatewayEntry {
	reported := map[string]bool{}
	for _, status := range statuses {
		for _, gateway := range status.Status.GetGateways() {
			reported[gateway.GetName()] = true
		}
	}
	var unreported []structs.GatewayEntry
	for _, gateway := range joined {
		if !reported[gateway.Name] {
			unreported = append(unreported, gateway)
		}
	}
	return unreported
}
