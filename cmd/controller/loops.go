package main

import (
	"context"

	"github.com/sirupsen/logrus"

	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/controller/snapshot"
	"turmericyoke/internal/follower"
	"turmericyoke/internal/proposer"
)

// platform has the clients of the platform's services.
type platform struct {
	log     turmericyokev1connect.LogServiceClient
	hosts   turmericyokev1connect.HostServiceClient
	workers turmericyokev1connect.WorkerServiceClient
}

// parts is what control loops are made from.
type parts struct {
	name        string
	incarnation string
	follower    *follower.Follower
	proposer    *proposer.Proposer
	platform    platform
	logger      *logrus.Entry
}

// loop is one control loop; it runs until ctx ends. An error ends the controller.
type loop struct {
	name string
	run  func(ctx context.Context) error
}

// loops returns the control loops. Each of them starts once the controller has joined. Loops of
// waves, moves, hosts and jobs belong into this list.
func loops(p parts) []loop {
	snapshots := &snapshot.Loop{
		Name: p.name, Incarnation: p.incarnation,
		State: p.follower, Log: p.platform.log,
		Logger: p.logger.WithField("loop", "snapshot"),
	}
	return []loop{
		{name: "snapshot", run: snapshots.Run},
	}
}
