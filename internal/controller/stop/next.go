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

// Answer is what a probe of the host found.
type Answer struct {
	// Host is nil when the host didn't answer.
	Host *v1.HostResponse
	// Ended is set when the platform has seen the call epoch of the end of the stop.
	Ended bool
}

// Next returns the next step of the stop of a granted, moving or failed host, and why.
func Next(host inventory.Host, seen Answer) (Action, string) {
	if seen.Host == nil {
		return ActionWait, "doesn't answer"
	}
	if !seen.Host.GetHealthy() {
		return ActionWait, "is down"
	}
	if seen.Ended {
		return end(seen.Host)
	}
	if reached(host, seen.Host) {
		return ActionUndrain, "has reached the end of its stop"
	}
	if !seen.Host.GetDraining() {
		return ActionDrain, "takes work"
	}
	if running := seen.Host.GetRunning(); running > 0 {
		return ActionWait, fmt.Sprintf("still runs %d requests or tasks", running)
	}
	if host.MoveTo != "" && seen.Host.GetPool() != host.MoveTo {
		return ActionAssign, "is drained"
	}
	return ActionReboot, "is drained"
}

func end(seen *v1.HostResponse) (Action, string) {
	if seen.GetDraining() {
		return ActionUndrain, "is drained at the end of its stop"
	}
	return ActionReturn, "is back"
}

// reached reports whether the purpose of the stop is fulfilled. A failure outside a wave or a move
// has none but that the host is healthy.
func reached(host inventory.Host, seen *v1.HostResponse) bool {
	if host.MoveTo != "" && seen.GetPool() != host.MoveTo {
		return false
	}
	return host.Wave == "" || seen.GetBootCount() > host.BootCount
}
