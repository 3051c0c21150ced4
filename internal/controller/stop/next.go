// Package stop takes hosts through a planned stop: drain, wait until nothing runs, reboot or assign to
// another pool, undrain once a probe finds the host healthy, and return to service. All that it needs can be
// learned from the folded state and from probes of the host, so that another controller can continue a stop
// whose controller is lost at any step.
package stop

import (
	"fmt"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold/inventory"
)

// Action is the next step of a stop.
type Action string

// The actions of a stop, in order. ActionWait may be due between any two of them.
const (
	ActionWait    Action = "wait"
	ActionDrain   Action = "drain"
	ActionReboot  Action = "reboot"
	ActionAssign  Action = "assign"
	ActionUndrain Action = "undrain"
	ActionReturn  Action = "return"
)

// ProbeResult holds the outcome of a probe of the host.
type ProbeResult struct {
	// Response is nil when the probe had no answer.
	Response *v1.HostResponse
	// StopEnded is set when the platform has already seen the call epoch of the stop's end.
	StopEnded bool
}

// NextAction returns the next action in the stop of a granted, moving or failed host, and the reason as a
// phrase that follows the host's name.
func NextAction(host inventory.Host, result ProbeResult) (Action, string) {
	if result.Response == nil {
		return ActionWait, "doesn't answer"
	}
	if !result.Response.GetHealthy() {
		return ActionWait, "is down"
	}
	if result.StopEnded {
		return nextAfterStopEnded(result.Response)
	}
	if purposeFulfilled(host, result.Response) {
		return ActionUndrain, "has reached the end of its stop"
	}
	if !result.Response.GetDraining() {
		return ActionDrain, "takes work"
	}
	if running := result.Response.GetRunning(); running > 0 {
		return ActionWait, fmt.Sprintf("still runs %d requests or tasks", running)
	}
	if host.MoveTo != "" && result.Response.GetPool() != host.MoveTo {
		return ActionAssign, "is drained"
	}
	return ActionReboot, "is drained"
}

// nextAfterStopEnded returns the next action once the platform has seen the epoch of the stop's end: the host
// only has to be undrained, if it still is drained, and returned.
func nextAfterStopEnded(response *v1.HostResponse) (Action, string) {
	if response.GetDraining() {
		return ActionUndrain, "is drained at the end of its stop"
	}
	return ActionReturn, "is back"
}

// purposeFulfilled reports whether the stop has done what it was for: the host has moved to its new pool, and
// has rebooted if it was stopped for a wave. A host that failed outside a wave or a move only had to become
// healthy.
func purposeFulfilled(host inventory.Host, response *v1.HostResponse) bool {
	if host.MoveTo != "" && response.GetPool() != host.MoveTo {
		return false
	}
	return host.Wave == "" || response.GetBootCount() > host.BootCount
}
