package cli

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"turmericyoke/internal/audit"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/refusal"
	"turmericyoke/internal/structs"
)

func newAuditCommand(opts *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "Show the settled proposals that the controller still keeps",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var verdicts []structs.VerdictStatus
			if err := querySection(cmd, opts, "verdicts", nil, &verdicts); err != nil {
				return err
			}
			table := textTable{header: []string{"OFFSET", "TIME", "PAYLOAD", "SUBJECT", "AUTHOR", "VERDICT", "DETAIL"}}
			for _, verdict := range verdicts {
				table.rows = append(table.rows, []string{
					strconv.FormatInt(verdict.Offset, 10), formatTime(verdict.TimeUnixMS), verdict.Payload,
					verdict.Subject, verdict.Author, verdictText(verdict), verdict.Detail,
				})
			}
			return writeResult(cmd.OutOrStdout(), opts.format, verdicts, table)
		},
	}
	cmd.AddCommand(newAuditExportCommand(opts), newAuditVerifyCommand(opts))
	return cmd
}

func verdictText(verdict structs.VerdictStatus) string {
	if verdict.Accepted {
		return "accepted"
	}
	return verdict.Kind
}

func newAuditExportCommand(opts *options) *cobra.Command {
	var stream string
	var after int64
	cmd := &cobra.Command{
		Use:   "export",
		Short: "Write the kept records as JSON lines with a hash chain",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), opts.timeout)
			defer cancel()
			log, err := opts.newLogClient()
			if err != nil {
				return err
			}
			out := bufio.NewWriter(cmd.OutOrStdout())
			count, missingAtEnd, err := audit.Export(ctx, log, stream, after, out)
			if err := errors.Join(err, out.Flush()); err != nil {
				return err
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "exported: %d records\n", count)
			if missingAtEnd > 0 {
				fmt.Fprintf(cmd.ErrOrStderr(), "missing at the end: %d records that the log no longer keeps\n", missingAtEnd)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&stream, "stream", fold.FleetStream, "fleet or refusals")
	cmd.Flags().Int64Var(&after, "after", 0, "offset after which the export starts")
	return cmd
}

func newAuditVerifyCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "verify FILE",
		Short: "Check the hash chain and the offsets of an export",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := os.Open(args[0])
			if err != nil {
				return usageError{err}
			}
			defer file.Close()
			report, err := audit.Verify(file)
			if err != nil {
				return err
			}
			table := textTable{header: []string{"LINES", "FIRST OFFSET", "LAST OFFSET", "MISSING"}, rows: [][]string{{
				strconv.Itoa(report.Lines), strconv.FormatInt(report.FirstOffset, 10),
				strconv.FormatInt(report.LastOffset, 10), strconv.FormatInt(report.Missing, 10),
			}}}
			return writeResult(cmd.OutOrStdout(), opts.format, report, table)
		},
	}
}

// refusalRow is one entry of the refusals stream. An entry may count several refusals.
type refusalRow struct {
	Gateway       string `json:"gateway"`
	Team          string `json:"team"`
	KeyID         string `json:"keyId"`
	Pool          string `json:"pool"`
	Rule          string `json:"rule"`
	ConfigVersion uint64 `json:"configVersion"`
	Count         uint64 `json:"count"`
	First         string `json:"first"`
	Last          string `json:"last"`
	// Free and Needed are the units or slots that were free and needed at one refusal of the entry.
	Free   uint64 `json:"free"`
	Needed uint64 `json:"needed"`
	Detail string `json:"detail,omitempty"`
	// Coarse is set if the entry merges refusals of several keys, pools or configuration versions.
	Coarse bool `json:"coarse,omitempty"`
}

func newRefusalRow(match refusal.Match) refusalRow {
	entry := match.Entry
	return refusalRow{
		Gateway: match.Gateway, Team: entry.GetTeam(), KeyID: entry.GetKeyId(), Pool: entry.GetPool(), Rule: entry.GetRule(),
		ConfigVersion: entry.GetConfigVersion(), Count: entry.GetCount(),
		First: formatTime(entry.GetFirstUnixMs()), Last: formatTime(entry.GetLastUnixMs()),
		Free: entry.GetSampleFree(), Needed: entry.GetSampleNeeded(), Detail: entry.GetSampleDetail(), Coarse: entry.GetCoarse(),
	}
}

func refusalTable(rows []refusalRow) textTable {
	table := textTable{header: []string{"GATEWAY", "TEAM", "KEY", "POOL", "RULE", "VERSION", "COUNT", "FIRST", "LAST", "FREE", "NEEDED", "DETAIL"}}
	for _, row := range rows {
		table.rows = append(table.rows, []string{
			row.Gateway, row.Team, row.KeyID, row.Pool, row.Rule, strconv.FormatUint(row.ConfigVersion, 10),
			strconv.FormatUint(row.Count, 10), row.First, row.Last,
			strconv.FormatUint(row.Free, 10), strconv.FormatUint(row.Needed, 10), row.Detail,
		})
	}
	return table
}

// readRefusals reads all refusals that the log still retains, and reports on standard error how many records
// have expired.
func readRefusals(cmd *cobra.Command, opts *options) (*refusal.Reader, error) {
	ctx, cancel := context.WithTimeout(cmd.Context(), opts.timeout)
	defer cancel()
	log, err := opts.newLogClient()
	if err != nil {
		return nil, err
	}
	reader := refusal.NewReader()
	expired, err := refusal.ReadAll(ctx, log, reader)
	if err != nil {
		return nil, err
	}
	if expired > 0 {
		fmt.Fprintf(cmd.ErrOrStderr(), "%d records of refusals have expired\n", expired)
	}
	return reader, nil
}

// reportUnlisted writes how many refusals the entries of the reader don't include, whatever the filter.
func reportUnlisted(out io.Writer, reader *refusal.Reader) {
	var lost, older uint64
	for _, totals := range reader.Totals() {
		lost += totals.Missing
		older += totals.BeforeFirst
	}
	if lost > 0 {
		fmt.Fprintf(out, "%d refusals are lost\n", lost)
	}
	if older > 0 {
		fmt.Fprintf(out, "%d or more older refusals aren't listed\n", older)
	}
}

func newRefusalsCommand(opts *options) *cobra.Command {
	var filter refusal.Filter
	var since time.Duration
	cmd := &cobra.Command{
		Use:   "refusals",
		Short: "Show refusals by team, rule and time",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			reader, err := readRefusals(cmd, opts)
			if err != nil {
				return err
			}
			if since > 0 {
				filter.From = time.Now().Add(-since)
			}
			reportUnlisted(cmd.ErrOrStderr(), reader)
			rows := []refusalRow{}
			for _, match := range reader.Find(filter) {
				rows = append(rows, newRefusalRow(match))
			}
			return writeResult(cmd.OutOrStdout(), opts.format, rows, refusalTable(rows))
		},
	}
	cmd.Flags().StringVar(&filter.Team, "team", "", "only this team")
	cmd.Flags().StringVar(&filter.Rule, "rule", "", "only this rule, such as team_limit")
	cmd.Flags().DurationVar(&since, "since", 0, "only refusals that are at most this old, such as 1h")
	return cmd
}

func newExplainCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REFUSAL-ID",
		Short: "Say why a request was refused",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			reader, err := readRefusals(cmd, opts)
			if err != nil {
				return err
			}
			explanation, explainErr := reader.Explain(args[0])
			if explainErr != nil {
				return explainErr
			}
			if len(explanation.Entries) == 0 {
				return fault.New(fault.RequestInvalid, "refusal %s isn't on record: it isn't appended yet, has expired, or is one of %d lost refusals",
					args[0], explanation.Missing)
			}
			rows := []refusalRow{}
			for _, entry := range explanation.Entries {
				rows = append(rows, newRefusalRow(refusal.Match{Gateway: explanation.Gateway, Entry: entry}))
			}
			return writeResult(cmd.OutOrStdout(), opts.format, rows, refusalTable(rows))
		},
	}
}
