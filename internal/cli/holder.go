package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/structs"
)

func newHolderCommand(opts *options) *cobra.Command {
	cmd := &cobra.Command{Use: "holder", Short: "Show gateways with their rights, or confirm that one is off for good"}
	cmd.AddCommand(newHolderShowCommand(opts), newHolderConfirmOffCommand(opts))
	return cmd
}

func newHolderShowCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "show [NAME]",
		Short: "Show the joined gateways with the rights that they hold",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var holders []structs.GatewayEntry
			if err := querySection(cmd, opts, "holders", args, &holders); err != nil {
				return err
			}
			table := textTable{header: []string{"GATEWAY", "INCARNATION", "ZONE", "SUSPECTED", "RIGHTS"}}
			for _, holder := range holders {
				rights := uint64(0)
				for _, units := range holder.Rights {
					rights += units
				}
				table.rows = append(table.rows, []string{
					holder.Name, holder.Incarnation, holder.Zone,
					strconv.FormatBool(holder.Suspected), strconv.FormatUint(rights, 10),
				})
			}
			return writeResult(cmd.OutOrStdout(), opts.format, holders, table)
		},
	}
}

func newHolderConfirmOffCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "confirm-off NAME INCARNATION",
		Short: "Confirm that the host of a gateway is off, which replaces the vows of its zone",
		Args:  exactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), opts.timeout)
			defer cancel()
			client, err := opts.newClient()
			if err != nil {
				return err
			}
			// The controller records the authenticated operator as the author of the confirmation.
			suspect := &v1.Suspect{Holder: args[0], HolderIncarnation: args[1]}
			record := &v1.Record{Payload: &v1.Record_Suspect{Suspect: suspect}}
			response, err := client.Propose(ctx, opts.author, record)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "accepted: offset %d\n", response.GetOffset())
			return nil
		},
	}
}
