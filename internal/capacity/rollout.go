package capacity

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"turmericyoke/internal/standin/fleetdoc"
)

// rollOutSamples is the number of changes measured for each fleet size, both with and without relay.
const rollOutSamples = 20

// RollOut prints the time from the acceptance of a change until it is in force at a view client, for a
// controller that reads the log and for one that reads from a peer.
func RollOut(ctx context.Context, out io.Writer, options Options) error {
	fmt.Fprintln(out, "hosts teams pools relay samples | accepted ms p50 max | accepted to in force ms p50 max")
	for _, size := range []fleetdoc.Size{{Hosts: 50, Teams: 6, Pools: 5, Zones: 3}, {Hosts: 700, Teams: 40, Pools: 10, Zones: 15}, fleetdoc.DesignSize} {
		for _, relay := range []bool{false, true} {
			if err := measureRollOut(ctx, out, options, size, relay); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureRollOut measures one size. With relay set, the second controller can't read the log and gets the
// records from the first.
func measureRollOut(ctx context.Context, out io.Writer, options Options, size fleetdoc.Size, relay bool) error {
	const entryHosts = 9
	bed, err := newTestbed(ctx, "127.0.0.1:0", size, entryHosts, options.Seed)
	if err != nil {
		return err
	}
	defer bed.close()
	controllers, err := startControllers(bed.url, 2, 2, size.Zones)
	if err != nil {
		return err
	}
	defer stopAll(controllers)
	if err := awaitAll(ctx, controllers, caughtUp(bed.writer.state.Offset(), 2)); err != nil {
		return err
	}
	if err := controllers[0].join(ctx); err != nil {
		return err
	}
	controllers[1].logClient.disconnected.Store(relay)
	var accepted, inForce []time.Duration
	for range rollOutSamples {
		// A random pause spreads the changes evenly over the polling intervals.
		time.Sleep(time.Duration(bed.writer.rng.Int64N(int64(time.Second))))
		acceptTime, inForceTime, err := measureChange(ctx, bed.writer, controllers)
		if err != nil {
			return err
		}
		accepted, inForce = append(accepted, acceptTime), append(inForce, inForceTime)
	}
	fmt.Fprintf(out, "%d %d %d %t %d | %s | %s\n", size.Hosts, size.Teams, size.Pools, relay, rollOutSamples, medianAndMax(accepted), medianAndMax(inForce))
	return nil
}

// measureChange proposes a change through the first controller. It returns the time until the change is
// accepted, and the time from then until it is in force at the second controller's view client.
func measureChange(ctx context.Context, writer *recordWriter, controllers []*controller) (acceptTime, inForceTime time.Duration, err error) {
	if _, err := writer.catchUp(ctx); err != nil {
		return 0, 0, err
	}
	record, err := writer.changeSet(writer.nextDocument())
	if err != nil {
		return 0, 0, err
	}
	proposedAt := time.Now()
	if err := controllers[0].propose(ctx, record); err != nil {
		return 0, 0, err
	}
	acceptedAt := time.Now()
	version := writer.state.Version() + 1
	err = awaitAll(ctx, controllers[1:], func(c *controller) bool { return c.viewStore.Current().View.ConfigVersion >= version })
	return acceptedAt.Sub(proposedAt), time.Since(acceptedAt), err
}

// medianAndMax formats the median and the maximum in milliseconds. It sorts the slice.
func medianAndMax(durations []time.Duration) string {
	slices.Sort(durations)
	return fmt.Sprintf("%d %d", durations[len(durations)/2].Milliseconds(), durations[len(durations)-1].Milliseconds())
}
