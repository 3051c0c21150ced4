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

// tailRecords is one less than the 2000 records after which controllers write the next snapshot. That is
// the longest tail after a snapshot.
const tailRecords = 1999

// Start prints the time, processor time and traffic for starting controllers from a snapshot and the
// longest tail.
func Start(ctx context.Context, out io.Writer, options Options) error {
	fmt.Fprintln(out, "hosts teams pools controllers | ready ms | each: core-s bytes-in bytes-out")
	for _, size := range []fleetdoc.Size{{Hosts: 50, Teams: 6, Pools: 5, Zones: 3}, {Hosts: 700, Teams: 40, Pools: 10, Zones: 15}, fleetdoc.DesignSize} {
		for _, controllerCount := range []int{1, 9} {
			if err := measureStart(ctx, out, options, size, controllerCount); err != nil {
				return err
			}
		}
	}
	return nil
}

func measureStart(ctx context.Context, out io.Writer, options Options, size fleetdoc.Size, controllerCount int) error {
	const entryHosts = 45
	bed, err := newTestbed(ctx, "127.0.0.1:0", size, entryHosts, options.Seed)
	if err != nil {
		return err
	}
	defer bed.close()
	if err := bed.writeSnapshot(ctx); err != nil {
		return err
	}
	for range tailRecords {
		if err := bed.writer.claimOrReturn(ctx); err != nil {
			return err
		}
	}
	before := ownUsage(false)
	controllers, err := startControllers(bed.url, controllerCount, 0, size.Zones)
	if err != nil {
		return err
	}
	defer stopAll(controllers)
	if err := awaitAll(ctx, controllers, caughtUp(bed.writer.state.Offset(), 0)); err != nil {
		return err
	}
	elapsed := time.Since(before.MeasuredAt)
	after := ownUsage(false)
	bytes := controllers[0].logTraffic.Total().Add(controllers[0].peerTraffic.Total())
	fmt.Fprintf(out, "%d %d %d %d | %d | %.3f %d %d\n", size.Hosts, size.Teams, size.Pools, controllerCount,
		elapsed.Milliseconds(), (after.CPUTime-before.CPUTime).Seconds()/float64(controllerCount), bytes.Received, bytes.Sent)
	return nil
}

// writeSnapshot appends a snapshot of the writer's state to the log.
func (bed *testbed) writeSnapshot(ctx context.Context) error {
	data, err := bed.writer.state.EncodeSnapshot()
	if err != nil {
		return err
	}
	for _, chunk := range fold.SplitSnapshot(data, operatorName, incarnation, bed.writer.state.Offset(), bed.writer.state.Hash()) {
		encoded, err := proto.Marshal(chunk)
		if err != nil {
			return err
		}
		if _, err := bed.log.Append(ctx, &v1.AppendRequest{Stream: fold.SnapshotStream, Records: [][]byte{encoded}}); err != nil {
			return err
		}
	}
	return nil
}
