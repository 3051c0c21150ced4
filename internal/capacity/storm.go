package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/standin/fleetdoc"
)

// maxPendingProposals bounds the proposals that wait for their verdict at one time. The proposer refuses
// more than 1,024.
const maxPendingProposals = 1000

// Storm prints the time, processor time and traffic when all hosts of a zone, or of the fleet, fail and
// then return at once.
func Storm(ctx context.Context, out io.Writer, options Options) error {
	fmt.Fprintln(out, "event records | verdicts ms, in force at view client ms, core-s | each controller: log-in-B log-out-B | view client: in-B out-B")
	const controllerCount = 3
	bed, err := newTestbed(ctx, "127.0.0.1:0", fleetdoc.DesignSize, 45, options.Seed)
	if err != nil {
		return err
	}
	defer bed.close()
	controllers, err := startControllers(bed.url, controllerCount, controllerCount, fleetdoc.DesignSize.Zones)
	if err != nil {
		return err
	}
	defer stopAll(controllers)
	if err := awaitAll(ctx, controllers, caughtUp(bed.writer.state.Offset(), controllerCount)); err != nil {
		return err
	}
	bed.log.SetRate(300)
	if err := controllers[0].join(ctx); err != nil {
		return err
	}
	for _, zone := range []string{zoneName(0, 1), ""} {
		for _, down := range []bool{true, false} {
			if err := bed.measureStorm(ctx, out, controllers, zone, down); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureStorm proposes at once that all hosts of the zone, or of the fleet if zone is empty, have failed
// or returned, and prints the cost of the proposals and of their roll-out.
func (bed *testbed) measureStorm(ctx context.Context, out io.Writer, controllers []*controller, zone string, down bool) error {
	if _, err := bed.writer.catchUp(ctx); err != nil {
		return err
	}
	// Earlier records must not count, so wait until they have arrived everywhere.
	if err := awaitAll(ctx, controllers, caughtUp(bed.writer.state.Offset(), len(controllers))); err != nil {
		return err
	}
	before, logBefore, viewBefore := ownUsage(false), controllers[2].logTraffic.Total(), controllers[2].viewTraffic.Total()
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxPendingProposals)
	records := 0
	for _, host := range bed.writer.state.Inventory.Hosts() {
		if zone == "" || host.Zone == zone {
			records++
			record := hostStateRecord(host, down)
			group.Go(func() error { return controllers[0].propose(groupCtx, record) })
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	verdictTime := time.Since(before.MeasuredAt)
	if _, err := bed.writer.catchUp(ctx); err != nil {
		return err
	}
	if err := awaitAll(ctx, controllers, caughtUp(bed.writer.state.Offset(), len(controllers))); err != nil {
		return err
	}
	inForceTime, after := time.Since(before.MeasuredAt), ownUsage(false)
	log, view := controllers[2].logTraffic.Total().Sub(logBefore), controllers[2].viewTraffic.Total().Sub(viewBefore)
	fmt.Fprintf(out, "%s %d | %d %d %.2f | %d %d | %d %d\n", stormName(zone, down), records, verdictTime.Milliseconds(), inForceTime.Milliseconds(),
		(after.CPUTime - before.CPUTime).Seconds(), log.Received, log.Sent, view.Received, view.Sent)
	return nil
}

// stormName names the event in the output. An empty zone stands for all zones.
func stormName(zone string, down bool) string {
	name := "all hosts"
	if zone != "" {
		name = "one zone"
	}
	if down {
		return name + " down"
	}
	return name + " back"
}

// hostStateRecord returns the record that reports the host as failed or, if down is false, as returned.
func hostStateRecord(host inventory.Host, down bool) *v1.Record {
	if down {
		return &v1.Record{Payload: &v1.Record_HostDown{HostDown: &v1.HostDown{Host: host.Name, HostEpoch: host.Epoch, Reason: "three probes failed"}}}
	}
	return &v1.Record{Payload: &v1.Record_HostBack{HostBack: &v1.HostBack{Host: host.Name, HostEpoch: host.Epoch}}}
}
