// Package cli implements the command line for operators.
package cli

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/spf13/cobra"

	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/adminclient"
	"turmericyoke/internal/auth"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/transport"
)

// options are the values of the flags that all commands share.
type options struct {
	controllers []string
	format      string
	author      string
	timeout     time.Duration
	tls         transport.TLS
	// logAddress is the address (IP:port) of the platform's log, which retains refusals and the audit trail.
	logAddress string
}

// tokenVariable is the environment variable with the operator's token. A flag would expose the token in the
// list of processes.
const tokenVariable = "TURMERICYOKE_TOKEN"

func (o *options) newClient() (*adminclient.Client, error) {
	if len(o.controllers) == 0 {
		return nil, usageError{errors.New("no controller is named: use --controller IP:port")}
	}
	httpTransport, err := o.newTransport()
	if err != nil {
		return nil, err
	}
	return adminclient.NewClient(httpTransport, o.controllers, auth.WithToken(os.Getenv(tokenVariable))), nil
}

// withClient calls run with a client for the controllers and a context that ends at the time limit.
func (o *options) withClient(cmd *cobra.Command, run func(ctx context.Context, client *adminclient.Client) error) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
	defer cancel()
	client, err := o.newClient()
	if err != nil {
		return err
	}
	return run(ctx, client)
}

// newTransport returns a transport for the TLS flags.
func (o *options) newTransport() (*transport.Transport, error) {
	if errs := o.tls.Check("--cert, --key, --ca"); len(errs) > 0 {
		return nil, usageError{errors.Join(errs...)}
	}
	return transport.New(o.tls)
}

// newLogClient returns a client for the platform's log.
func (o *options) newLogClient() (turmericyokev1connect.LogServiceClient, error) {
	if o.logAddress == "" {
		return nil, usageError{errors.New("no log is named: use --log IP:port")}
	}
	httpTransport, err := o.newTransport()
	if err != nil {
		return nil, err
	}
	return turmericyokev1connect.NewLogServiceClient(httpTransport.Client(), httpTransport.URL(o.logAddress)), nil
}

// defaultTimeout bounds one command, including the waits for returned rights and for the roll-out.
const defaultTimeout = 60 * time.Second

// NewRootCommand returns the root command.
func NewRootCommand(version string) *cobra.Command {
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
	flags.StringVar(&opts.logAddress, "log", "", "IP:port of the platform's log, for refusals and exports")
	flags.StringVarP(&opts.format, "output", "o", formatTable, "table, json or yaml")
	flags.StringVar(&opts.author, "author", "", "operator's name for the audit trail")
	flags.StringVar(&opts.tls.CertFile, "cert", "", "file with the operator's certificate")
	flags.StringVar(&opts.tls.KeyFile, "key", "", "file with the key of the certificate")
	flags.StringVar(&opts.tls.CAFile, "ca", "", "file with the authorities of the controllers' certificates")
	flags.BoolVar(&opts.tls.Plaintext, "plaintext", false, "call controllers without TLS, for loopback only")
	flags.DurationVar(&opts.timeout, "timeout", defaultTimeout, "time limit of the command")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(
		newValidateCommand(), newDiffCommand(opts), newApplyCommand(opts), newStatusCommand(opts),
		newHostsCommand(opts), newTeamsCommand(opts), newJobsCommand(opts), newWaveCommand(opts), newKeyCommand(opts), newAuditCommand(opts),
		newExplainCommand(opts), newRefusalsCommand(opts), newHolderCommand(opts),
	)
	return root
}

// exactArgs is like cobra.ExactArgs, but its error makes the command exit with ExitUsage.
func exactArgs(count int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(count)(cmd, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

// formatTime formats a Unix time in milliseconds as a time in UTC.
func formatTime(unixMS int64) string {
	return time.UnixMilli(unixMS).UTC().Format(time.RFC3339)
}

// formatMillis formats a number of milliseconds as a duration, such as "1.5s".
func formatMillis(ms uint64) string {
	return structs.Duration(time.Duration(ms) * time.Millisecond).Duration().String()
}
