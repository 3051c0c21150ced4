// Command gateway accepts callers' HTTP requests and passes them to endpoints.
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

// version is set by the linker.
var version = "dev"

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

// command returns the command line of the binary.
func command() *cobra.Command {
	var path string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:           "gateway",
		Short:         "Accept callers' requests and pass them to endpoints",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: false,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config := settings.DefaultGateway()
			if err := settings.Load(path, config); err != nil {
				return err
			}
			if checkOnly {
				_, err := fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return run(ctx, config, cmd.ErrOrStderr())
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file")
	cmd.Flags().BoolVar(&checkOnly, "check-config", false, "check the settings file and exit")
	_ = cmd.MarkFlagRequired("config")
	cmd.SetContext(context.Background())
	return cmd
}
