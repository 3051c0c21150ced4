package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/standin/fleetdoc"
)

// tailRecords is the longest tail after a snapshot, less one.
const tailRecords = 1999

// Start prints the cost of starting controllers from a snapshot and the longest tail.
func Start(ctx context.Context, out io.Writer, options Options) error {
	fmt.Fprintln(out, "hosts teams pools controllers | ready ms | each: core-s bytes-in bytes-out")
	for _, size := range []fleetdoc.Size{{Hosts: 50, Teams: 6, Pools: 5, Zones: 3}, {Hosts: 700, Teams: 40, Pools: 10, Zones: 15}, fleetdoc.DesignSize} {
		for _, count := range []int{1, 9} {
			if err := start(ctx, out, options, size, count); err != nil {
				return err
			}
		}
	}
	return nil
}

func start(ctx context.Context, out io.Writer, options Options, size fleetdoc.Size, count int) error {
	const entryHosts = 45
	b, err := newBed(ctx, "127.0.0.1:0", size, entryHosts, options.Seed)
	if err != nil {
		return err
	}
	defer b.close()
	if err := b.writeSnapshot(ctx); err != nil {
		return err
	}
	for range tailRecords {
		if err := b.writer.claim(ctx); err != nil {
			return err
		}
	}
	before := ownUsage(false)
	nodes, err := startNodes(b.url, count, 0, size.Zones)
	if err != nil {
		return err
	}
	defer stopAll(nodes)
	if err := awaitAll(ctx, nodes, settled(b.writer.state.Offset(), 0)); err != nil {
		return err
	}
	took := time.Since(before.At)
	used := ownUsage(false)
	bytes := nodes[0].fromLog.Read().Plus(nodes[0].peers.Read())
	fmt.Fprintf(out, "%d %d %d %d | %d | %.3f %d %d\n", size.Hosts, size.Teams, size.Pools, count,
		took.Milliseconds(), (used.CPU-before.CPU).Seconds()/float64(count), bytes.In, bytes.Out)
	return nil
}

func (b *bed) writeSnapshot(ctx context.Context) error {
	data, err := b.writer.state.EncodeSnapshot()
	if err != nil {
		return err
	}
	for _, chunk := range fold.SplitSnapshot(data, operator, incarnation, b.writer.state.Offset(), b.writer.state.Hash()) {
		raw, err := proto.Marshal(chunk)
		if err != nil {
			return err
		}
		if _, err := b.log.Append(ctx, &v1.AppendRequest{Stream: fold.SnapshotStream, Records: [][]byte{raw}}); err != nil {
			return err
		}
	}
	return nil
}
