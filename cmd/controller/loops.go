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

// platformClients holds the RPC clients of the platform's log, host and worker services.
type platformClients struct {
	log     turmericyokev1connect.LogServiceClient
	hosts   turmericyokev1connect.HostServiceClient
	workers turmericyokev1connect.WorkerServiceClient
}

// components holds what the control loops share.
type components struct {
	name        string
	incarnation string
	follower    *follower.Follower
	proposer    *proposer.Proposer
	platform    platformClients
	// demand sums up the slots that gateways ask for in each pool.
	demand *demand.Table
	gauges *gauges.Gauges
	logger *logrus.Entry
}

// controlLoop is a named control loop. Its run function returns when ctx ends; an error stops the whole
// controller.
type controlLoop struct {
	name string
	run  func(ctx context.Context) error
}

// controlLoops returns the control loops of the controller. The caller starts them once the controller has
// joined the fleet.
func controlLoops(c components) []controlLoop {
	snapshotLoop := &snapshot.Loop{
		Name: c.name, Incarnation: c.incarnation,
		State: c.follower, Log: c.platform.log, OnNewest: c.gauges.SetNewestSnapshot,
		Logger: c.logger.WithField("loop", "snapshot"),
	}
	ranker := adapt.Ranker{Follower: c.follower, Name: c.name}
	recordProposer := adapt.Proposer{Proposer: c.proposer}
	loopDeps := func(name string) fleet.Dependencies {
		return fleet.Dependencies{
			Reader: adapt.FleetReader{Follower: c.follower}, Proposer: recordProposer, Ranker: ranker,
			Platform: c.platform.hosts, Log: c.logger.WithField("loop", name), Now: time.Now,
		}
	}
	scheduler := schedule.New(schedule.Dependencies{
		Reader: adapt.JobReader{Follower: c.follower}, Ranker: ranker, Proposer: recordProposer,
		Workers: c.platform.workers, Now: time.Now, Log: c.logger.WithField("loop", "schedule"),
	}, schedule.DefaultSettings())
	return []controlLoop{
		{name: "snapshot", run: snapshotLoop.Run},
		{name: "demand", run: c.demand.Run},
		{name: "hosts", run: hosts.New(loopDeps("hosts")).Run},
		{name: "wave", run: wave.New(loopDeps("wave")).Run},
		{name: "move", run: move.New(loopDeps("move"), c.demand).Run},
		{name: "schedule", run: scheduler.Run},
	}
}
