package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/controller/adapt"
	"turmericyoke/internal/controller/demand"
	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/controller/gauges"
	"turmericyoke/internal/controller/hosts"
	"turmericyoke/internal/controller/move"
	"turmericyoke/internal/controller/schedule"
	"turmericyoke/internal/controller/snapshot"
	"turmericyoke/internal/controller/wave"
	"turmericyoke/internal/follower"
	"turmericyoke/internal/proposer"
)

// platformClients has the clients of the platform's services.
type platformClients struct {
	log     turmericyokev1connect.LogServiceClient
	hosts   turmericyokev1connect.HostServiceClient
	workers turmericyokev1connect.WorkerServiceClient
}

// components is what control loops are made from.
type components struct {
	name        string
	incarnation string
	follower    *follower.Follower
	proposer    *proposer.Proposer
	platform    platformClients
	// demand is what gateways ask of each pool.
	demand *demand.Table
	gauges *gauges.Gauges
	logger *logrus.Entry
}

// controlLoop is one control loop; it runs until ctx ends. An error ends the controller.
type controlLoop struct {
	name string
	run  func(ctx context.Context) error
}

// controlLoops returns the control loops. Each of them starts once the controller has joined.
func controlLoops(p components) []controlLoop {
	snapshots := &snapshot.Loop{
		Name: p.name, Incarnation: p.incarnation,
		State: p.follower, Log: p.platform.log, OnNewest: p.gauges.SnapshotWritten,
		Logger: p.logger.WithField("loop", "snapshot"),
	}
	ranker := adapt.Ranker{Follower: p.follower, Name: p.name}
	verdicts := adapt.Verdicts{Proposer: p.proposer}
	deps := func(name string) fleet.Deps {
		return fleet.Deps{
			Reader: adapt.Fleet{Follower: p.follower}, Proposer: verdicts, Ranker: ranker,
			Platform: p.platform.hosts, Log: p.logger.WithField("loop", name), Now: time.Now,
		}
	}
	placement := schedule.New(schedule.Dependencies{
		State: adapt.Jobs{Follower: p.follower}, Rank: ranker, Proposer: verdicts,
		Workers: p.platform.workers, Now: time.Now, Log: p.logger.WithField("loop", "schedule"),
	}, schedule.DefaultSettings())
	return []controlLoop{
		{name: "snapshot", run: snapshots.Run},
		{name: "demand", run: p.demand.Run},
		{name: "hosts", run: hosts.New(deps("hosts")).Run},
		{name: "wave", run: wave.New(deps("wave")).Run},
		{name: "move", run: move.New(deps("move"), p.demand).Run},
		{name: "schedule", run: placement.Run},
	}
}
