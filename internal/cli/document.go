package cli

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"turmericyoke/internal/adminclient"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// rolloutPollInterval is the time between two status queries while a command waits for a roll-out.
const rolloutPollInterval = 200 * time.Millisecond

func newValidateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a document without calling a controller",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readDocument(cmd, args[0])
			if err != nil {
				return err
			}
			if err := document.Validate(doc); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "valid: %d pools, %d hosts, %d teams, %d keys, %d waves\n",
				len(doc.Pools), len(doc.Hosts), len(doc.Teams), len(doc.Keys), len(doc.Waves))
			return nil
		},
	}
}

func newDiffCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what a document would change; exits with 3 when there are changes",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return opts.withClient(cmd, func(ctx context.Context, client *adminclient.Client) error {
				return showDiff(ctx, cmd, client, opts, args[0])
			})
		},
	}
}

func newApplyCommand(opts *options) *cobra.Command {
	var comment string
	var wait bool
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Publish a document; nothing changes if it is already accepted",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return opts.withClient(cmd, func(ctx context.Context, client *adminclient.Client) error {
				changePlan, err := planChanges(ctx, cmd, client, opts.author, args[0], comment)
				if err != nil {
					return err
				}
				return publishChanges(ctx, cmd.OutOrStdout(), client, changePlan, wait)
			})
		},
	}
	cmd.Flags().StringVarP(&comment, "message", "m", "", "comment for the audit trail")
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until all named controllers and all gateways have the version")
	return cmd
}

// showDiff prints the changes and returns errDocumentsDiffer if there are any.
func showDiff(ctx context.Context, cmd *cobra.Command, client *adminclient.Client, opts *options, path string) error {
	changePlan, err := planChanges(ctx, cmd, client, opts.author, path, "")
	if err != nil {
		return err
	}
	if err := writeChanges(cmd.OutOrStdout(), opts.format, changePlan); err != nil {
		return err
	}
	if len(changePlan.ChangeSet.GetChanges()) > 0 {
		return errDocumentsDiffer
	}
	return nil
}

// publishChanges publishes the plan if it has changes. If wait is set, it then waits until the new version is
// in force.
func publishChanges(ctx context.Context, out io.Writer, client *adminclient.Client, changePlan *adminclient.ChangePlan, wait bool) error {
	changeCount := len(changePlan.ChangeSet.GetChanges())
	if changeCount == 0 {
		fmt.Fprintf(out, "unchanged: version %d\n", changePlan.Base.Version)
		return nil
	}
	version, err := client.Publish(ctx, changePlan)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "accepted: version %d, %d changes\n", version, changeCount)
	if !wait {
		return nil
	}
	return waitInForce(ctx, out, client, version)
}

func planChanges(ctx context.Context, cmd *cobra.Command, client *adminclient.Client, author, path, comment string) (*adminclient.ChangePlan, error) {
	next, err := readDocument(cmd, path)
	if err != nil {
		return nil, err
	}
	return client.Plan(ctx, rand.Text(), author, comment, next)
}

// readDocument reads the document from path, or from standard input if path is "-".
func readDocument(cmd *cobra.Command, path string) (*structs.Document, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(io.LimitReader(cmd.InOrStdin(), document.MaxBytes+1))
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, usageError{err}
	}
	return document.Decode(data)
}

func writeChanges(out io.Writer, format string, changePlan *adminclient.ChangePlan) error {
	rows, err := changePlan.ChangeRows()
	if err != nil {
		return err
	}
	table := textTable{header: []string{"ACTION", "KIND", "NAME", "BEFORE", "AFTER"}}
	for _, row := range rows {
		table.rows = append(table.rows, []string{row.Action, row.Kind, row.Name, row.Before, row.After})
	}
	return writeResult(out, format, rows, table)
}

// waitInForce waits until every controller named by --controller, and every joined gateway, has the version.
func waitInForce(ctx context.Context, out io.Writer, client *adminclient.Client, version uint64) error {
	ticker := time.NewTicker(rolloutPollInterval)
	defer ticker.Stop()
	for {
		behind, err := client.ProcessesBehind(ctx, version)
		if err == nil && len(behind) == 0 {
			fmt.Fprintf(out, "in force: version %d\n", version)
			return nil
		}
		select {
		case <-ctx.Done():
			if err == nil {
				err = errors.New(fmt.Sprint(behind))
			}
			return fault.Wrap(fault.NotReady, err, "version %d isn't known to be in force", version)
		case <-ticker.C:
		}
	}
}
