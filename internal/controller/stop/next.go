// Package stop carries hosts through a planned stop: drain, wait until nothing runs, reboot or
// assign, probe, return. It keeps nothing that another controller couldn't learn from the fold's
// state and the host's own answer, so a stop goes on when its controller is lost at any step.
package stop

import (
	"fmt"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold/inventory"
)

// Action is the next step of a stop.
type Action string

// Actions in the order of a stop.
const (
	ActionWait    Action = "wait"
	ActionDrain   Action = "drain"
	ActionReboot  Action = "reboot"
	ActionAssign  Action = "assign"
	ActionUndrain Action = "undrain"
	ActionReturn  Action = "return"
)

// ProbeAnswer is what a probe of the host found.
type ProbeAnswer struct {
	// Response is nil when the host didn't answer.
	Response *v1.HostResponse
	// StopEnded is set when the platform has seen the call epoch of the end of the stop.
	StopEnded bool
}

// NextAction returns the next step of the stop of a granted, moving or failed host, and why.
func NextAction(host inventory.Host, seen ProbeAnswer) (Action, string) {
	if seen.Response == nil {
		return ActionWait, "doesn't answer"
	}
	if !seen.Response.GetHealthy() {
		return ActionWait, "is down"
	}
	if seen.StopEnded {
		return nextAfterStopEnded(seen.Response)
	}
	if purposeFulfilled(host, seen.Response) {
		return ActionUndrain, "has reached the end of its stop"
	}
	if !seen.Response.GetDraining() {
		return ActionDrain, "takes work"
	}
	if running := seen.Response.GetRunning(); running > 0 {
		return ActionWait, fmt.Sprintf("still runs %d requests or tasks", running)
	}
	if host.MoveTo != "" && seen.Response.GetPool() != host.MoveTo {
		return ActionAssign, "is drained"
	}
	return ActionReboot, "is drained"
}

func nextAfterStopEnded(seen *v1.HostResponse) (Action, string) {
	if seen.GetDraining() {
		return ActionUndrain, "is drained at the end of its stop"
	}
	return ActionReturn, "is back"
}

// purposeFulfilled reports whether the purpose of the stop is fulfilled. A failure outside a wave or a move
// has none but that the host is healthy.
func purposeFulfilled(host inventory.Host, seen *v1.HostResponse) bool {
	if host.MoveTo != "" && seen.GetPool() != host.MoveTo {
		return false
	}
	return host.Wave == "" || seen.GetBootCount() > host.BootCount
}
