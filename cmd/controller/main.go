// Command controller follows the log, serves the fleet state and runs the control loops.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"turmericyoke/internal/settings"
)

// version is set by the linker in release builds.
var version = "dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "controller:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var path string
	var checkOnly bool
	command := &cobra.Command{
		Use:           "controller",
		Short:         "Follows the log, serves the fleet state and runs the control loops",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config := &config{}
			if err := settings.Load(path, config); err != nil {
				return err
			}
			if checkOnly {
				fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return nil
			}
			return run(cmd.Context(), config, cmd.ErrOrStderr())
		},
	}
	command.Flags().StringVar(&path, "config", "controller.yaml", "settings file")
	command.Flags().BoolVar(&checkOnly, "check-config", false, "check the settings file and exit")
	return command
}
