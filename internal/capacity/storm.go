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

// maxProposals bounds proposals that wait at one time; the proposer refuses more than 1,024.
const maxProposals = 1000

// Storm prints what it costs when the hosts of a zone, or all, fail and return at once.
func Storm(ctx context.Context, out io.Writer, options Options) error {
	fmt.Fprintln(out, "event records | verdicts ms, in force at view client ms, core-s | each controller: log-in-B log-out-B | view client: in-B out-B")
	const controllers = 3
	b, err := newBed(ctx, "127.0.0.1:0", fleetdoc.DesignSize, 45, options.Seed)
	if err != nil {
		return err
	}
	defer b.close()
	nodes, err := startNodes(b.url, controllers, controllers, fleetdoc.DesignSize.Zones)
	if err != nil {
		return err
	}
	defer stopAll(nodes)
	if err := awaitAll(ctx, nodes, settled(b.writer.state.Offset(), controllers)); err != nil {
		return err
	}
	b.log.SetRate(300)
	if err := nodes[0].join(ctx); err != nil {
		return err
	}
	for _, zone := range []string{zoneOf(0, 1), ""} {
		for _, down := range []bool{true, false} {
			if err := b.storm(ctx, out, nodes, zone, down); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b *bed) storm(ctx context.Context, out io.Writer, nodes []*node, zone string, down bool) error {
	if _, err := b.writer.catchUp(ctx); err != nil {
		return err
	}
	// Earlier records have arrived everywhere.
	if err := awaitAll(ctx, nodes, settled(b.writer.state.Offset(), len(nodes))); err != nil {
		return err
	}
	before, logBefore, viewBefore := ownUsage(false), nodes[2].fromLog.Read(), nodes[2].view.Read()
	group, inner := errgroup.WithContext(ctx)
	group.SetLimit(maxProposals)
	records := 0
	for _, host := range b.writer.state.Inventory.Hosts() {
		if zone == "" || host.Zone == zone {
			records++
			record := hostRecord(host, down)
			group.Go(func() error { return nodes[0].propose(inner, record) })
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	verdicts := time.Since(before.At)
	if _, err := b.writer.catchUp(ctx); err != nil {
		return err
	}
	if err := awaitAll(ctx, nodes, settled(b.writer.state.Offset(), len(nodes))); err != nil {
		return err
	}
	inForce, used := time.Since(before.At), ownUsage(false)
	log, view := nodes[2].fromLog.Read().Minus(logBefore), nodes[2].view.Read().Minus(viewBefore)
	fmt.Fprintf(out, "%s %d | %d %d %.2f | %d %d | %d %d\n", stormName(zone, down), records, verdicts.Milliseconds(), inForce.Milliseconds(),
		(used.CPU - before.CPU).Seconds(), log.In, log.Out, view.In, view.Out)
	return nil
}

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

func hostRecord(host inventory.Host, down bool) *v1.Record {
	if down {
		return &v1.Record{Payload: &v1.Record_HostDown{HostDown: &v1.HostDown{Host: host.Name, HostEpoch: host.Epoch, Reason: "three probes failed"}}}
	}
	return &v1.Record{Payload: &v1.Record_HostBack{HostBack: &v1.HostBack{Host: host.Name, HostEpoch: host.Epoch}}}
}
