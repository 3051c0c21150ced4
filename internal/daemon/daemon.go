// Package daemon provides the command line shared by the long-running binaries.
package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"turmericyoke/internal/settings"
)

// Binary describes one long-running binary with settings of type T.
type Binary[T settings.Checker] struct {
	Name, Short, Version string
	// Settings returns the default settings, which the settings file overrides.
	Settings func() T
	// Run serves until ctx is cancelled and writes log lines to logs.
	Run func(ctx context.Context, config T, logs io.Writer) error
}

// Main runs the binary until it receives SIGINT or SIGTERM, and returns its exit status.
func (b Binary[T]) Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := b.Command().ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", b.Name, err)
		return 1
	}
	return 0
}

// Command returns the root command with the flags --config, --check-config and --version.
func (b Binary[T]) Command() *cobra.Command {
	var path string
	var checkOnly bool
	cmd := &cobra.Command{
		Use: b.Name, Short: b.Short, Version: b.Version,
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config := b.Settings()
			if err := settings.Load(path, config); err != nil {
				return err
			}
			if checkOnly {
				_, err := fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return err
			}
			return b.Run(cmd.Context(), config, cmd.ErrOrStderr())
		},
	}
	cmd.Flags().StringVar(&path, "config", b.Name+".yaml", "settings file")
	cmd.Flags().BoolVar(&checkOnly, "check-config", false, "check the settings file and exit")
	return cmd
}
