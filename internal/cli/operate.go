package cli

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/adminclient"
	"turmericyoke/internal/structs"
)

func newWaveCommand(opts *options) *cobra.Command {
	cmd := &cobra.Command{Use: "wave", Short: "Show, pause, resume or stop a maintenance wave"}
	cmd.AddCommand(
		newWaveShowCommand(opts),
		newWaveActionCommand(opts, "pause", v1.WaveAction_WAVE_ACTION_PAUSE),
		newWaveActionCommand(opts, "resume", v1.WaveAction_WAVE_ACTION_RESUME),
		newWaveActionCommand(opts, "stop", v1.WaveAction_WAVE_ACTION_STOP),
	)
	return cmd
}

func newWaveShowCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "show [WAVE]",
		Short: "Show the progress of waves",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var waves []structs.WaveStatus
			if err := querySection(cmd, opts, "waves", args, &waves); err != nil {
				return err
			}
			table := textTable{header: []string{"WAVE", "POOL", "STATE", "BACK", "STOPPED", "WAITING", "FAILED", "REASON"}}
			for _, wave := range waves {
				table.rows = append(table.rows, []string{
					wave.Name, wave.Pool, wave.State, strconv.Itoa(len(wave.Done)),
					strings.Join(wave.Outstanding, " "), strconv.Itoa(len(wave.Waiting)),
					strings.Join(wave.Failed, " "), wave.Reason,
				})
			}
			return writeResult(cmd.OutOrStdout(), opts.format, waves, table)
		},
	}
}

func newWaveActionCommand(opts *options, name string, action v1.WaveAction) *cobra.Command {
	var reason string
	cmd := &cobra.Command{
		Use:   name + " WAVE",
		Short: "Ask the wave to " + name,
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return opts.withClient(cmd, func(ctx context.Context, client *adminclient.Client) error {
				control := &v1.WaveControl{Wave: args[0], Action: action, Author: opts.author, Reason: reason}
				record := &v1.Record{Payload: &v1.Record_WaveControl{WaveControl: control}}
				response, err := client.Propose(ctx, opts.author, record)
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "accepted: offset %d\n", response.GetOffset())
				return nil
			})
		},
	}
	cmd.Flags().StringVar(&reason, "reason", "", "reason for the audit trail")
	return cmd
}

func newKeyCommand(opts *options) *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Make or withdraw a key"}
	cmd.AddCommand(newKeyCreateCommand(opts), newKeyWithdrawCommand(opts))
	return cmd
}

// createdKey is a new key with its secret, which is shown only once.
type createdKey struct {
	Key    structs.Key `json:"key"`
	Secret string      `json:"secret"`
}

func newKeyCreateCommand(opts *options) *cobra.Command {
	var team string
	cmd := &cobra.Command{
		Use:   "create ID",
		Short: "Make a secret and the document entry for it; the secret is shown once",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			secret := rand.Text()
			digest := sha256.Sum256([]byte(secret))
			created := createdKey{
				Key:    structs.Key{ID: args[0], Team: team, Hash: hex.EncodeToString(digest[:])},
				Secret: secret,
			}
			table := textTable{
				header: []string{"ID", "TEAM", "HASH", "SECRET"},
				rows:   [][]string{{created.Key.ID, team, created.Key.Hash, secret}},
			}
			return writeResult(cmd.OutOrStdout(), opts.format, created, table)
		},
	}
	cmd.Flags().StringVar(&team, "team", "", "team of the key")
	return cmd
}

func newKeyWithdrawCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "withdraw ID",
		Short: "Delete a key from the accepted document and wait until that is in force",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return opts.withClient(cmd, func(ctx context.Context, client *adminclient.Client) error {
				version, err := withdrawKey(ctx, client, opts.author, args[0])
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "accepted: version %d\n", version)
				return waitInForce(ctx, cmd.OutOrStdout(), client, version)
			})
		},
	}
}

// withdrawKey publishes the accepted document without the key and returns the version. If the document has no
// such key, which takes a document that is known to be current, it publishes nothing.
func withdrawKey(ctx context.Context, client *adminclient.Client, author, id string) (uint64, error) {
	base, err := client.Document(ctx)
	if err == nil && !hasKey(base, id) {
		base, err = client.CurrentDocument(ctx)
	}
	if err != nil {
		return 0, err
	}
	if !hasKey(base, id) {
		return base.Version, nil
	}
	next := base.Document
	next.Keys = nil
	for _, key := range base.Document.Keys {
		if key.ID != id {
			next.Keys = append(next.Keys, key)
		}
	}
	changePlan, err := adminclient.PlanFrom(base, rand.Text(), author, "withdraw key "+id, &next)
	if err != nil {
		return 0, err
	}
	return client.Publish(ctx, changePlan)
}

func hasKey(status *structs.DocumentStatus, id string) bool {
	return slices.ContainsFunc(status.Document.Keys, func(key structs.Key) bool { return key.ID == id })
}
