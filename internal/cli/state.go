package cli

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"turmericyoke/internal/adminclient"
	"turmericyoke/internal/structs"
)

func newStatusCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show each controller: offset, version, freshness and gateways",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return opts.withClient(cmd, func(ctx context.Context, client *adminclient.Client) error {
				statuses := client.Statuses(ctx)
				return writeResult(cmd.OutOrStdout(), opts.format, statuses, statusTable(statuses))
			})
		},
	}
}

func statusTable(statuses []adminclient.ControllerStatus) textTable {
	table := textTable{header: []string{"ADDRESS", "NAME", "ZONE", "READY", "OFFSET", "VERSION", "FRESHNESS", "GATEWAYS", "ERROR"}}
	for _, status := range statuses {
		controller := status.Status
		problem := status.Error
		if controller.GetFollowerError() != "" {
			problem = controller.GetFollowerError()
		}
		table.rows = append(table.rows, []string{
			status.Address, controller.GetName(), controller.GetZone(), strconv.FormatBool(controller.GetReady()),
			strconv.FormatInt(controller.GetOffset(), 10), strconv.FormatUint(controller.GetConfigVersion(), 10),
			formatMillis(controller.GetFreshnessMs()), strconv.Itoa(len(controller.GetGateways())), problem,
		})
	}
	return table
}

func newHostsCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "hosts [NAME]",
		Short: "Show the location and state of hosts, and why a host isn't serving",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var hosts []structs.HostStatus
			if err := querySection(cmd, opts, "hosts", args, &hosts); err != nil {
				return err
			}
			table := textTable{header: []string{"HOST", "POOL", "ZONE", "RACK", "PHASE", "EPOCH", "REASON"}}
			for _, host := range hosts {
				table.rows = append(table.rows, []string{
					host.Name, host.Pool, host.Zone, host.Rack, host.Phase,
					strconv.FormatUint(host.Epoch, 10), hostReason(host),
				})
			}
			return writeResult(cmd.OutOrStdout(), opts.format, hosts, table)
		},
	}
}

// hostReason returns the reason why the host isn't serving or is about to move, or an empty text.
func hostReason(host structs.HostStatus) string {
	switch {
	case host.Wave != "":
		return fmt.Sprintf("maintenance wave %s since offset %d", host.Wave, host.SinceOffset)
	case host.MoveTo != "":
		return fmt.Sprintf("moves to pool %s since offset %d", host.MoveTo, host.SinceOffset)
	case host.Phase != "serving":
		return fmt.Sprintf("since offset %d", host.SinceOffset)
	default:
		return ""
	}
}

func newTeamsCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "teams [NAME]",
		Short: "Show the shares and limits of teams, and the units that they have",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var teams []structs.TeamStatus
			if err := querySection(cmd, opts, "teams", args, &teams); err != nil {
				return err
			}
			table := textTable{header: []string{"TEAM", "SHARE", "LIMIT", "RIGHTS HELD", "JOB UNITS", "UNALLOCATED"}}
			for _, team := range teams {
				table.rows = append(table.rows, []string{
					team.Name, strconv.Itoa(team.Share), strconv.FormatUint(team.UpperLimit, 10),
					strconv.FormatUint(team.Held, 10), strconv.FormatUint(team.JobUnits, 10),
					strconv.FormatUint(team.Unallocated, 10),
				})
			}
			return writeResult(cmd.OutOrStdout(), opts.format, teams, table)
		},
	}
}

// querySection reads a section of the state into out. If args isn't empty, its first element selects one
// object. A state that isn't recent, of which the section may lack later objects, is reported on standard error.
func querySection(cmd *cobra.Command, opts *options, section string, args []string, out any) error {
	name := ""
	if len(args) > 0 {
		name = args[0]
	}
	return opts.withClient(cmd, func(ctx context.Context, client *adminclient.Client) error {
		age, err := client.QueryRecent(ctx, section, name, out)
		if err == nil && age > adminclient.RecentAge {
			fmt.Fprintf(cmd.ErrOrStderr(), "the state may be out of date: it was last known to be current %s ago\n", age.Round(time.Second))
		}
		return err
	})
}
