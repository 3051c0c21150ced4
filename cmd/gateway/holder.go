package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/gateway/account"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/refusal"
	"turmericyoke/internal/rights"
	"turmericyoke/internal/settings"
)

// freshnessPoll is the time between two looks at how current the view is.
const freshnessPoll = 250 * time.Millisecond

// holder is the gateway's part in the escrow of limits together with its record of refusals.
type holder struct {
	*rights.Holder
	*refusalRecord

	store   *fleet.Store
	log     *logrus.Entry
	started time.Time
}

// newHolder returns the holder of the process.
func newHolder(config *settings.Gateway, calls processCalls, store *fleet.Store, waiting func() map[string]uint64, log *logrus.Entry) *holder {
	h := &holder{store: store, log: log, started: time.Now()}
	h.Holder = rights.New(rights.Config{
		Name: config.Name, Zone: config.Zone, Address: config.PeerAddress(),
		Proposer: rights.RemoteProposer{Clients: calls.controllers},
		Peers:    rights.RemotePeers{Client: calls.peer},
		Waiting:  waiting, Now: time.Now, Logger: log,
	})
	h.refusalRecord = newRefusalRecord(config.Name, h.Incarnation(), calls.log)
	store.OnChange(func(snapshot *fleet.Snapshot) {
		h.UpdateView(snapshot.View, snapshot.FreshAt)
		h.observeMembers(snapshot.View.Gateways)
	})
	return h
}

// Run joins, moves rights and records refusals until ctx ends.
func (h *holder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.Holder.Run(ctx) })
	group.Go(func() error { return h.recorder.Run(ctx, h.appender, h.log) })
	group.Go(func() error { return h.handOver(ctx) })
	group.Go(func() error {
		h.followFreshness(ctx)
		return nil
	})
	return group.Wait()
}

// warmUp is the time after the start for which a gateway without any rights isn't ready: its first
// claim is settled by then, unless the log is down.
const warmUp = 5 * time.Second

// warm reports whether the gateway has rights, or has waited long enough for them.
func (h *holder) warm() bool {
	if time.Since(h.started) >= warmUp {
		return true
	}
	for _, team := range h.store.Current().View.Teams {
		if h.Free(team.Name) > 0 {
			return true
		}
	}
	return false
}

// followFreshness tells the holder when the view was last known to be current.
func (h *holder) followFreshness(ctx context.Context) {
	_ = periodic.Every(ctx, freshnessPoll, func(context.Context) { h.UpdateFreshness(h.store.Current().FreshAt) })
}

// RecordRefusal implements account.Sink.
func (h *holder) RecordRefusal(r account.Refusal) string {
	return h.recorder.Add(refusal.Refusal{
		Team: r.Team, KeyID: r.KeyID, Pool: r.Pool, Kind: r.Rule, ConfigVersion: r.ConfigVersion,
		Free: r.Free, Needed: r.Needed, Detail: r.Detail,
	})
}

// processCalls are the clients of other processes.
type processCalls struct {
	controllers []turmericyokev1connect.ControllerServiceClient
	peer        func(address string) turmericyokev1connect.PeerServiceClient
	log         refusal.Log
}

var _ account.Sink = (*holder)(nil)
var _ rights.Source = (*holder)(nil)
