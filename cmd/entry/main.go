// Command entry serves callers at an entry host of the users' platform. While its process is the elected
// leader, it also schedules the fleet.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"turmericyoke/internal/policy"
	"turmericyoke/platform"
)

// version is set by the linker in release builds.
var version = "dev"

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "entry: %v\n", err)
		os.Exit(1)
	}
}

// newCommand returns the root command. The platform provides the settings file and names it in an
// environment variable.
func newCommand() *cobra.Command {
	var checkOnly bool
	var policyPath string
	cmd := &cobra.Command{
		Use: "entry", Short: "Serve callers, and schedule the fleet while this process is the leader", Version: version,
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := platform.LoadSettings()
			if err != nil {
				return err
			}
			rules, err := policy.Load(policyPath)
			if err != nil {
				return err
			}
			if checkOnly {
				_, err := fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return err
			}
			return run(cmd.Context(), settings, rules, os.Stdout)
		},
	}
	cmd.Flags().BoolVar(&checkOnly, "check-config", false, "check the settings file named by "+platform.SettingsVariable+", and exit")
	cmd.Flags().StringVar(&policyPath, "policy", "", "policy file, which chooses scheduling rules; without it, all rules have their defaults")
	return cmd
}
