// Command standin runs stand-ins for the platform's services for demos and tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"turmericyoke/internal/document"
	"turmericyoke/internal/standin/platform"
)

// version is set by the linker in release builds.
var version = "dev"

// The default times are short, so that a demo takes seconds.
const (
	defaultAppendsPerSecond = 300
	defaultListLag          = 2 * time.Second
	defaultRebootTime       = 2 * time.Second
	defaultAssignTime       = time.Second
	defaultWorkTime         = 20 * time.Millisecond
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	options := platform.Options{}
	var documentPath string
	cmd := &cobra.Command{
		Use: "standin", Short: "Run stand-ins for the platform: log, hosts with endpoints, workers", Version: version,
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := os.ReadFile(documentPath)
			if err != nil {
				return err
			}
			doc, err := document.Decode(data)
			if err != nil {
				return err
			}
			return platform.New(options, doc.Hosts).Run(cmd.Context())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&documentPath, "document", "fleet.yaml", "fleet document whose hosts are simulated")
	flags.StringVar(&options.Listen, "listen", "127.0.0.1:7000", "IP:port for the services and for injecting faults")
	flags.IntVar(&options.AppendsPerSecond, "appends-per-second", defaultAppendsPerSecond, "rate above which the log refuses appends; 0 removes the limit")
	flags.DurationVar(&options.ListLag, "list-lag", defaultListLag, "age of the host list that is returned")
	flags.DurationVar(&options.RebootTime, "reboot-time", defaultRebootTime, "time that a reboot takes")
	flags.DurationVar(&options.AssignTime, "assign-time", defaultAssignTime, "time that a change of pool takes")
	flags.DurationVar(&options.RunTime, "work-time", defaultWorkTime, "time that an endpoint takes for one request")
	return cmd
}
