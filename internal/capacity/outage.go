package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"turmericyoke/internal/standin/fleetdoc"
	"turmericyoke/internal/standin/logsvc"
)

// stale is a time without the log after which peers count as cut off too.
const stale = 12 * time.Second

// Outage prints what controllers cost while the log is down for all of them, and how they catch up
// with the records that all gateways append as soon as it is back.
func Outage(ctx context.Context, out io.Writer, options Options) error {
	fmt.Fprintln(out, "controllers | log down, each: log-in-B/s log-out-B/s peers-in-B/s peers-out-B/s core% | log back: records, all caught up ms, bytes in from log and peers each")
	for _, count := range []int{9, 21, 45} {
		if err := outage(ctx, out, options, count); err != nil {
			return err
		}
	}
	return nil
}

func outage(ctx context.Context, out io.Writer, options Options, count int) error {
	b, err := newBed(ctx, "127.0.0.1:0", fleetdoc.DesignSize, count, options.Seed)
	if err != nil {
		return err
	}
	defer b.close()
	nodes, err := startNodes(b.url, count, 0, fleetdoc.DesignSize.Zones)
	if err != nil {
		return err
	}
	defer stopAll(nodes)
	if err := awaitAll(ctx, nodes, settled(b.writer.state.Offset(), 0)); err != nil {
		return err
	}
	b.log.UpdateFaults(func(f *logsvc.Faults) { f.Outage = true })
	if err := load(ctx, stale, 0, nil); err != nil {
		return err
	}
	before, logBefore, peersBefore := ownUsage(false), nodes[0].fromLog.Read(), nodes[0].peers.Read()
	if err := load(ctx, options.Span, 0, nil); err != nil {
		return err
	}
	after, log, peers := ownUsage(false), nodes[0].fromLog.Read().Minus(logBefore), nodes[0].peers.Read().Minus(peersBefore)
	seconds := after.At.Sub(before.At).Seconds()
	fmt.Fprintf(out, "%d | %.0f %.0f %.0f %.0f %.2f", count, float64(log.In)/seconds, float64(log.Out)/seconds,
		float64(peers.In)/seconds, float64(peers.Out)/seconds, percent*(after.CPU-before.CPU).Seconds()/seconds/float64(count))
	return b.recover(ctx, out, nodes)
}

// recover ends the outage; each gateway appends one record at once.
func (b *bed) recover(ctx context.Context, out io.Writer, nodes []*node) error {
	before := nodes[0].fromLog.Read().Plus(nodes[0].peers.Read())
	start := time.Now()
	b.log.UpdateFaults(func(f *logsvc.Faults) { f.Outage = false })
	for range nodes {
		if err := b.writer.claim(ctx); err != nil {
			return err
		}
	}
	if err := awaitAll(ctx, nodes, settled(b.writer.state.Offset(), 0)); err != nil {
		return err
	}
	took := time.Since(start)
	bytes := nodes[0].fromLog.Read().Plus(nodes[0].peers.Read()).Minus(before)
	fmt.Fprintf(out, " | %d %d %d\n", len(nodes), took.Milliseconds(), bytes.In)
	return nil
}
