// Command turmericyoke is the command-line client for operators of the fleet.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"turmericyoke/internal/cli"
)

// version is set by the linker in release builds.
var version = "dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := cli.NewRootCommand(version).ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "turmericyoke:", err)
	}
	os.Exit(int(cli.ExitCodeFor(err)))
}
