package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/boottime"
	"turmericyoke/internal/gateway/account"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/refusal"
	"turmericyoke/internal/rights"
	"turmericyoke/internal/settings"
)

// freshnessInterval is how often the holder is told at what time the view was last known to be current.
const freshnessInterval = 250 * time.Millisecond

// holder holds the gateway's rights under the teams' limits, and records and replicates its refusals.
type holder struct {
	*rights.Holder
	*refusalReplicator

	store     *fleet.Store
	viewClock *fleet.Clock
	log       *logrus.Entry
	started   time.Time
}

// newHolder returns the holder of the process, which is updated whenever the view in store changes. waiting
// returns the number of waiting requests by team.
func newHolder(config *settings.Gateway, clients processClients, store *fleet.Store, viewClock *fleet.Clock, waiting func() map[string]uint64, log *logrus.Entry) *holder {
	h := &holder{store: store, viewClock: viewClock, log: log, started: time.Now()}
	h.Holder = rights.New(rights.Config{
		Name: config.Name, Zone: config.Zone, Address: config.PeerAddress(),
		Proposer: rights.RemoteProposer{Clients: clients.controllers},
		Peers:    rights.RemotePeers{Client: clients.peerClient},
		Waiting:  waiting, Now: time.Now, BootClock: boottime.Now, Logger: log,
	})
	h.refusalReplicator = newRefusalReplicator(config.Name, h.Incarnation(), clients.log)
	store.OnChange(func(snapshot *fleet.Snapshot) {
		h.UpdateView(snapshot.View, h.monotonicTime(snapshot.FreshAt))
		h.observeMembers(snapshot.View.Gateways)
	})
	return h
}

// Run joins the fleet, claims and returns rights, and records refusals until ctx ends.
func (h *holder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.Holder.Run(ctx) })
	group.Go(func() error { return h.recorder.Run(ctx, h.appender, h.log) })
	group.Go(func() error { return h.appendForLostGateways(ctx) })
	group.Go(func() error {
		h.followFreshness(ctx)
		return nil
	})
	return group.Wait()
}

// warmUpTimeout is how long after its start a gateway without rights reports that it isn't ready. By then its
// first claim has been accepted or rejected, unless the log is down.
const warmUpTimeout = 5 * time.Second

// warmedUp reports whether the gateway has free rights of any team, or has waited for them for
// warmUpTimeout.
func (h *holder) warmedUp() bool {
	if time.Since(h.started) >= warmUpTimeout {
		return true
	}
	for _, team := range h.store.Current().View.Teams {
		if h.Free(team.Name) > 0 {
			return true
		}
	}
	return false
}

// followFreshness regularly tells the holder at what time the view was last known to be current.
func (h *holder) followFreshness(ctx context.Context) {
	_ = periodic.Every(ctx, freshnessInterval, func(context.Context) { h.UpdateFreshness(h.monotonicTime(h.store.Current().FreshAt)) })
}

// monotonicTime converts a time of the clock for views to the monotonic clock of the holder.
func (h *holder) monotonicTime(freshAt time.Time) time.Time {
	return freshAt.Add(-h.viewClock.Suspended())
}

// RecordRefusal implements account.Sink.
func (h *holder) RecordRefusal(r account.Refusal) string {
	return h.recorder.Add(refusal.Refusal{
		Team: r.Team, KeyID: r.KeyID, Pool: r.Pool, Kind: r.Rule, ConfigVersion: r.ConfigVersion,
		Free: r.Free, Needed: r.Needed, Detail: r.Detail,
	})
}

// processClients holds the clients for calls to other processes.
type processClients struct {
	controllers []turmericyokev1connect.ControllerServiceClient
	peerClient  func(address string) turmericyokev1connect.PeerServiceClient
	log         refusal.Log
}

var _ account.Sink = (*holder)(nil)
var _ rights.Source = (*holder)(nil)
