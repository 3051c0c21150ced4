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

// ProcessOptions holds the options of Process in addition to the common ones.
type ProcessOptions struct {
	// LogListen is the loopback address of the log, from the controller's settings.
	LogListen string
	// Controller is the loopback address of the controller, and PID its process ID.
	Controller string
	PID        int
	// Rate is the number of records appended per second, for EntryHosts gateways. With Changes set they
	// are change sets instead of claims and returns.
	Rate       float64
	EntryHosts int
	Changes    bool
}

// Process serves the log to a controller that runs as a process of its own, follows its view as a
// gateway does, and prints the resources that the process uses. The caller starts the controller.
func Process(ctx context.Context, out io.Writer, options Options, processOptions ProcessOptions) error {
	bed, err := newTestbed(ctx, processOptions.LogListen, fleetdoc.DesignSize, processOptions.EntryHosts, options.Seed)
	if err != nil {
		return err
	}
	defer bed.close()
	var traffic Traffic
	client, err := traffic.Client()
	if err != nil {
		return err
	}
	c := &controller{name: "watched", viewStore: fleet.NewStore()}
	source := viewclient.Source{Name: c.name, Client: turmericyokev1connect.NewControllerServiceClient(client, "http://"+processOptions.Controller)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		_ = viewclient.New("gateway", []viewclient.Source{source}, c.viewStore, discardLogger(), time.Now).Run(ctx)
	}()
	offset := bed.writer.state.Offset()
	if err := awaitAll(ctx, []*controller{c}, func(c *controller) bool { return c.viewStore.Current().View.Offset >= offset }); err != nil {
		return err
	}
	step := bed.writer.claimOrReturn
	if processOptions.Changes {
		step = bed.writer.appendChange
	}
	before, err := processUsage(processOptions.PID)
	if err != nil {
		return err
	}
	viewBefore := traffic.Total()
	if err := generateLoad(ctx, options.Duration, processOptions.Rate, step); err != nil {
		return err
	}
	after, err := processUsage(processOptions.PID)
	if err != nil {
		return err
	}
	view, seconds := traffic.Total().Sub(viewBefore), after.MeasuredAt.Sub(before.MeasuredAt).Seconds()
	_, err = fmt.Fprintf(out, "entry %d changes %t rec/s %.1f | controller process: core%% %.2f rss-MB %.1f | view in-B/s %.0f out-B/s %.0f\n", processOptions.EntryHosts, processOptions.Changes, processOptions.Rate,
		percent*(after.CPUTime-before.CPUTime).Seconds()/seconds, float64(after.RSSBytes)/megabyte, float64(view.Received)/seconds, float64(view.Sent)/seconds)
	return err
}
