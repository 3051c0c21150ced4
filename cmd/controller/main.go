// Command controller follows the platform's log, serves the fleet state to gateways and operators, and runs
// the control loops for hosts, waves, moves, jobs, demand and snapshots.
package main

import (
	"os"

	"turmericyoke/internal/daemon"
)

// version is set by the linker in release builds.
var version = "dev"

func main() { os.Exit(newBinary().Main()) }

// newBinary returns the description of the controller command.
func newBinary() daemon.Binary[*config] {
	return daemon.Binary[*config]{
		Name: "controller", Short: "Follow the log, serve the fleet state and run the control loops", Version: version,
		Settings: func() *config { return &config{} },
		Run:      run,
	}
}
