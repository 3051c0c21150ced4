// Command capacity measures what a controller and a gateway's view cost at several sizes. It serves
// and calls only loopback addresses.
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

// Bounds and defaults of a run.
const (
	defaultSeed = 1
	defaultSpan = 8 * time.Second
	maxSpan     = time.Minute
	maxRun      = 30 * time.Minute

	maxEntryHosts = 200
	maxRate       = 1000
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRun)
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
			if options.Span <= 0 || options.Span > maxSpan {
				return fmt.Errorf("span %s: want above 0 and at most %s", options.Span, maxSpan)
			}
			return nil
		},
	}
	root.PersistentFlags().Uint64Var(&options.Seed, "seed", defaultSeed, "seed of the load")
	root.PersistentFlags().DurationVar(&options.Span, "span", defaultSpan, "measured time of each run")
	root.AddCommand(
		slopes(&options), process(&options),
		scenario("rollout", "Time from acceptance to being in force, with and without relay", &options, capacity.RollOut),
		scenario("start", "Start controllers from a snapshot", &options, capacity.Start),
		scenario("outage", "Log down for all, then back", &options, capacity.Outage),
		scenario("storm", "All hosts of a zone, then all hosts, fail and return", &options, capacity.Storm),
	)
	return root
}

func scenario(use, short string, options *capacity.Options, run func(context.Context, io.Writer, capacity.Options) error) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), cmd.OutOrStdout(), *options) },
	}
}

func process(options *capacity.Options) *cobra.Command {
	p := capacity.ProcessOptions{}
	cmd := &cobra.Command{
		Use: "process", Short: "Serve the log to a controller that runs already, and watch its process", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, address := range []string{p.LogListen, p.Controller} {
				host, _, err := net.SplitHostPort(address)
				if ip := net.ParseIP(host); err != nil || !ip.IsLoopback() {
					return fmt.Errorf("address %q: want a loopback IP and a port", address)
				}
			}
			if p.EntryHosts < 1 || p.EntryHosts > maxEntryHosts || p.Rate > maxRate {
				return fmt.Errorf("want 1 to %d entry hosts and at most %d records a second", maxEntryHosts, maxRate)
			}
			return capacity.Process(cmd.Context(), cmd.OutOrStdout(), *options, p)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&p.LogListen, "log-listen", "127.0.0.1:7000", "address of the log in the controller's settings")
	flags.StringVar(&p.Controller, "controller", "127.0.0.1:7100", "address of the controller")
	flags.IntVar(&p.PID, "pid", 0, "process id of the controller")
	flags.Float64Var(&p.Rate, "rate", 1, "records a second")
	flags.IntVar(&p.EntryHosts, "entry-hosts", 45, "gateways that have joined")
	flags.BoolVar(&p.Changes, "changes", false, "change sets instead of claims and returns")
	return cmd
}

func slopes(options *capacity.Options) *cobra.Command {
	var axis string
	cmd := &cobra.Command{
		Use: "slopes", Short: "Vary hosts, teams, pools, entry hosts, changes and holder records", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return capacity.Slopes(cmd.Context(), cmd.OutOrStdout(), *options, axis)
		},
	}
	cmd.Flags().StringVar(&axis, "axis", "", "only this one: hosts, teams, pools, \"entry hosts\", changes or \"holder records\"")
	return cmd
}
