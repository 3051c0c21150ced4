// Package cli is the command line for operators.
package cli

import (
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"turmericyoke/internal/structs"
)

// options are the flags that all commands share.
type options struct {
	controllers []string
	format      string
	author      string
	timeout     time.Duration
}

func (o *options) client() *Client {
	return NewClient(http.DefaultClient, o.controllers)
}

// defaultTimeout bounds one command, the wait for returned rights and for the roll-out included.
const defaultTimeout = 60 * time.Second

// NewRoot returns the root command.
func NewRoot(version string) *cobra.Command {
	opts := &options{}
	root := &cobra.Command{
		Use:           "turmericyoke",
		Short:         "Manage the capacity and maintenance of a shared fleet",
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&opts.controllers, "controller", nil, "IP:port of a controller; may be repeated")
	flags.StringVarP(&opts.format, "output", "o", formatTable, "table, json or yaml")
	flags.StringVar(&opts.author, "author", "", "operator's name for the audit trail")
	flags.DurationVar(&opts.timeout, "timeout", defaultTimeout, "time limit of the command")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(
		newValidate(), newDiff(opts), newApply(opts), newStatus(opts),
		newHosts(opts), newTeams(opts), newWave(opts), newKey(opts), newAudit(opts),
	)
	return root
}

// exactArgs is cobra.ExactArgs with the exit status for wrong usage.
func exactArgs(count int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(count)(cmd, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

// millis formats a wall-clock time in milliseconds.
func millis(unixMS int64) string {
	return time.UnixMilli(unixMS).UTC().Format(time.RFC3339)
}

// span formats milliseconds as a span.
func span(ms uint64) string {
	return structs.Duration(time.Duration(ms) * time.Millisecond).Duration().String()
}
