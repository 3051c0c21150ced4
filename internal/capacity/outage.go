package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"turmericyoke/internal/standin/fleetdoc"
	"turmericyoke/internal/standin/logsvc"
)

// settleTime passes between the start of the outage and the measurement. It exceeds the 10 s without
// the log after which a follower regards its peers as cut off from the log as well.
const settleTime = 12 * time.Second

// Outage prints the processor time and traffic of controllers while none of them can reach the log,
// and the time and traffic for catching up with the records that gateways append as soon as it is back.
func Outage(ctx context.Context, out io.Writer, options Options) error {
	fmt.Fprintln(out, "controllers | log down, each: log-in-B/s log-out-B/s peers-in-B/s peers-out-B/s core% | log back: records, all caught up ms, bytes in from log and peers each")
	for _, controllerCount := range []int{9, 21, 45} {
		if err := measureOutage(ctx, out, options, controllerCount); err != nil {
			return err
		}
	}
	return nil
}

func measureOutage(ctx context.Context, out io.Writer, options Options, controllerCount int) error {
	bed, err := newTestbed(ctx, "127.0.0.1:0", fleetdoc.DesignSize, controllerCount, options.Seed)
	if err != nil {
		return err
	}
	defer bed.close()
	controllers, err := startControllers(bed.url, controllerCount, 0, fleetdoc.DesignSize.Zones)
	if err != nil {
		return err
	}
	defer stopAll(controllers)
	if err := awaitAll(ctx, controllers, caughtUp(bed.writer.state.Offset(), 0)); err != nil {
		return err
	}
	bed.log.UpdateFaults(func(f *logsvc.Faults) { f.Outage = true })
	if err := generateLoad(ctx, settleTime, 0, nil); err != nil {
		return err
	}
	before, logBefore, peersBefore := ownUsage(false), controllers[0].logTraffic.Total(), controllers[0].peerTraffic.Total()
	if err := generateLoad(ctx, options.Duration, 0, nil); err != nil {
		return err
	}
	after, log, peers := ownUsage(false), controllers[0].logTraffic.Total().Sub(logBefore), controllers[0].peerTraffic.Total().Sub(peersBefore)
	seconds := after.MeasuredAt.Sub(before.MeasuredAt).Seconds()
	fmt.Fprintf(out, "%d | %.0f %.0f %.0f %.0f %.2f", controllerCount, float64(log.Received)/seconds, float64(log.Sent)/seconds,
		float64(peers.Received)/seconds, float64(peers.Sent)/seconds, percent*(after.CPUTime-before.CPUTime).Seconds()/seconds/float64(controllerCount))
	return bed.measureRecovery(ctx, out, controllers)
}

// measureRecovery ends the outage, immediately appends as many records as there are controllers, and waits
// until all controllers have read them.
func (bed *testbed) measureRecovery(ctx context.Context, out io.Writer, controllers []*controller) error {
	before := controllers[0].logTraffic.Total().Add(controllers[0].peerTraffic.Total())
	recoveredAt := time.Now()
	bed.log.UpdateFaults(func(f *logsvc.Faults) { f.Outage = false })
	for range controllers {
		if err := bed.writer.claimOrReturn(ctx); err != nil {
			return err
		}
	}
	if err := awaitAll(ctx, controllers, caughtUp(bed.writer.state.Offset(), 0)); err != nil {
		return err
	}
	elapsed := time.Since(recoveredAt)
	bytes := controllers[0].logTraffic.Total().Add(controllers[0].peerTraffic.Total()).Sub(before)
	fmt.Fprintf(out, " | %d %d %d\n", len(controllers), elapsed.Milliseconds(), bytes.Received)
	return nil
}
