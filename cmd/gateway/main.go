// Command gateway accepts HTTP requests of callers and passes them to endpoints.
package main

import (
	"os"

	"turmericyoke/internal/daemon"
	"turmericyoke/internal/settings"
)

// version is set by the linker in release builds.
var version = "dev"

func main() { os.Exit(newBinary().Main()) }

// newBinary returns the description of the gateway command.
func newBinary() daemon.Binary[*settings.Gateway] {
	return daemon.Binary[*settings.Gateway]{
		Name: "gateway", Short: "Accept callers' requests and pass them to endpoints", Version: version,
		Settings: settings.DefaultGateway,
		Run:      run,
	}
}
