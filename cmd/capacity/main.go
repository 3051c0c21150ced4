// Command capacity measures the processor time, memory and traffic of a controller and of a gateway's
// view client at several fleet sizes. It listens on and calls only loopback addresses.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"turmericyoke/internal/capacity"
)

// Defaults and upper bounds of the options.
const (
	defaultSeed     = 1
	defaultDuration = 8 * time.Second
	maxDuration     = time.Minute
	// maxTotalTime bounds the run time of the whole command.
	maxTotalTime = 30 * time.Minute

	maxEntryHosts       = 200
	maxRecordsPerSecond = 1000
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxTotalTime)
	defer cancel()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	options := capacity.Options{}
	root := &cobra.Command{
		Use: "capacity", Short: "Measure processor time, memory and bytes of a controller and a gateway's view",
		SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if options.Duration <= 0 || options.Duration > maxDuration {
				return fmt.Errorf("--span %s: must be positive and at most %s", options.Duration, maxDuration)
			}
			return nil
		},
	}
	root.PersistentFlags().Uint64Var(&options.Seed, "seed", defaultSeed, "seed of the generated load")
	root.PersistentFlags().DurationVar(&options.Duration, "span", defaultDuration, "time for which each run is measured")
	root.AddCommand(
		slopesCommand(&options), processCommand(&options),
		scenarioCommand("rollout", "Measure the time from the acceptance of a change until it is in force, with and without relay", &options, capacity.RollOut),
		scenarioCommand("start", "Measure the start of controllers from a snapshot", &options, capacity.Start),
		scenarioCommand("outage", "Measure an outage of the log for all processes, and the recovery from it", &options, capacity.Outage),
		scenarioCommand("storm", "Measure the failure and return of all hosts of a zone, then of all hosts", &options, capacity.Storm),
	)
	return root
}

// scenarioCommand returns the subcommand of a measurement without options of its own.
func scenarioCommand(use, short string, options *capacity.Options, run func(context.Context, io.Writer, capacity.Options) error) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), cmd.OutOrStdout(), *options) },
	}
}

func processCommand(options *capacity.Options) *cobra.Command {
	processOptions := capacity.ProcessOptions{}
	cmd := &cobra.Command{
		Use: "process", Short: "Serve the log to a controller that is already running, and measure its process", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, address := range []string{processOptions.LogListen, processOptions.Controller} {
				host, _, err := net.SplitHostPort(address)
				if ip := net.ParseIP(host); err != nil || !ip.IsLoopback() {
					return fmt.Errorf("address %q: must be a loopback IP address with a port", address)
				}
			}
			if processOptions.EntryHosts < 1 || processOptions.EntryHosts > maxEntryHosts || processOptions.Rate > maxRecordsPerSecond {
				return fmt.Errorf("--entry-hosts must be 1 to %d and --rate at most %d records per second", maxEntryHosts, maxRecordsPerSecond)
			}
			return capacity.Process(cmd.Context(), cmd.OutOrStdout(), *options, processOptions)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&processOptions.LogListen, "log-listen", "127.0.0.1:7000", "loopback address to serve the log on, as in the controller's settings")
	flags.StringVar(&processOptions.Controller, "controller", "127.0.0.1:7100", "loopback address of the controller")
	flags.IntVar(&processOptions.PID, "pid", 0, "process id of the controller")
	flags.Float64Var(&processOptions.Rate, "rate", 1, "records appended per second")
	flags.IntVar(&processOptions.EntryHosts, "entry-hosts", 45, "number of gateways that have joined")
	flags.BoolVar(&processOptions.Changes, "changes", false, "append change sets instead of claims and returns")
	return cmd
}

func slopesCommand(options *capacity.Options) *cobra.Command {
	var axis string
	cmd := &cobra.Command{
		Use: "slopes", Short: "Measure with varying numbers of hosts, teams, pools, entry hosts, changes and holder records", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return capacity.Slopes(cmd.Context(), cmd.OutOrStdout(), *options, axis)
		},
	}
	cmd.Flags().StringVar(&axis, "axis", "", "measure only this axis: hosts, teams, pools, \"entry hosts\", changes or \"holder records\"")
	return cmd
}
