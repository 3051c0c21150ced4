package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/gateway/viewclient"
	"turmericyoke/internal/standin/fleetdoc"
)

// ProcessOptions are what Process needs beside the common options.
type ProcessOptions struct {
	// LogListen is the loopback address of the log, from the controller's settings.
	LogListen string
	// Controller is the loopback address of the controller, and PID its process.
	Controller string
	PID        int
	Rate       float64
	EntryHosts int
	Changes    bool
}

// Process serves the log to a controller that runs as its own process, follows its view as a
// gateway, and prints what the process uses. The controller is started by the caller.
func Process(ctx context.Context, out io.Writer, options Options, p ProcessOptions) error {
	b, err := newBed(ctx, p.LogListen, fleetdoc.DesignSize, p.EntryHosts, options.Seed)
	if err != nil {
		return err
	}
	defer b.close()
	var traffic Traffic
	client, err := traffic.Client()
	if err != nil {
		return err
	}
	n := &node{name: "watched", store: fleet.NewStore()}
	source := viewclient.Source{Name: n.name, Client: turmericyokev1connect.NewControllerServiceClient(client, "http://"+p.Controller)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		_ = viewclient.New("gateway", []viewclient.Source{source}, n.store, quiet(), time.Now).Run(ctx)
	}()
	offset := b.writer.state.Offset()
	if err := awaitAll(ctx, []*node{n}, func(n *node) bool { return n.store.Current().View.Offset >= offset }); err != nil {
		return err
	}
	step := b.writer.claim
	if p.Changes {
		step = b.writer.change
	}
	before, err := processUsage(p.PID)
	if err != nil {
		return err
	}
	viewBefore := traffic.Read()
	if err := load(ctx, options.Span, p.Rate, step); err != nil {
		return err
	}
	after, err := processUsage(p.PID)
	if err != nil {
		return err
	}
	view, seconds := traffic.Read().Minus(viewBefore), after.At.Sub(before.At).Seconds()
	_, err = fmt.Fprintf(out, "entry %d changes %t rec/s %.1f | controller process: core%% %.2f rss-MB %.1f | view in-B/s %.0f out-B/s %.0f\n", p.EntryHosts, p.Changes, p.Rate,
		percent*(after.CPU-before.CPU).Seconds()/seconds, float64(after.RSS)/megabyte, float64(view.In)/seconds, float64(view.Out)/seconds)
	return err
}
