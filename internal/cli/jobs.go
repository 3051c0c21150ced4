package cli

import (
	"strconv"

	"github.com/spf13/cobra"

	"turmericyoke/internal/structs"
)

func newJobsCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "jobs [ID]",
		Short: "Show live jobs, or one job by its id, even if it has ended",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var jobs []structs.JobStatus
			if err := querySection(cmd, opts, "jobs", args, &jobs); err != nil {
				return err
			}
			table := textTable{header: []string{"JOB", "TEAM", "POOL", "CLASS", "STATE", "WORKER", "ATTEMPT", "UNITS"}}
			for _, job := range jobs {
				table.rows = append(table.rows, []string{
					job.ID, job.Team, job.Pool, job.Class, job.State, job.Worker,
					strconv.FormatUint(uint64(job.Attempt), 10), strconv.FormatUint(job.Units, 10),
				})
			}
			return writeResult(cmd.OutOrStdout(), opts.format, jobs, table)
		},
	}
}
