package capacity

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"turmericyoke/internal/standin/fleetdoc"
)

// rollOutSamples is the number of changes of one series.
const rollOutSamples = 20

// RollOut prints the time from the acceptance of a change to its being in force at a view client,
// for a controller that reads the log and for one that reads from a peer.
func RollOut(ctx context.Context, out io.Writer, options Options) error {
	fmt.Fprintln(out, "hosts teams pools relay samples | accepted ms p50 max | accepted to in force ms p50 max")
	for _, size := range []fleetdoc.Size{{Hosts: 50, Teams: 6, Pools: 5, Zones: 3}, {Hosts: 700, Teams: 40, Pools: 10, Zones: 15}, fleetdoc.DesignSize} {
		for _, relay := range []bool{false, true} {
			if err := rollOut(ctx, out, options, size, relay); err != nil {
				return err
			}
		}
	}
	return nil
}

func rollOut(ctx context.Context, out io.Writer, options Options, size fleetdoc.Size, relay bool) error {
	const entryHosts = 9
	b, err := newBed(ctx, "127.0.0.1:0", size, entryHosts, options.Seed)
	if err != nil {
		return err
	}
	defer b.close()
	nodes, err := startNodes(b.url, 2, 2, size.Zones)
	if err != nil {
		return err
	}
	defer stopAll(nodes)
	if err := awaitAll(ctx, nodes, settled(b.writer.state.Offset(), 2)); err != nil {
		return err
	}
	if err := nodes[0].join(ctx); err != nil {
		return err
	}
	nodes[1].log.cut.Store(relay)
	var accepted, inForce []time.Duration
	for range rollOutSamples {
		// Changes come at any moment of the intervals of polls.
		time.Sleep(time.Duration(b.writer.rng.Int64N(int64(time.Second))))
		published, seen, err := rollOutOnce(ctx, b.writer, nodes)
		if err != nil {
			return err
		}
		accepted, inForce = append(accepted, published), append(inForce, seen)
	}
	fmt.Fprintf(out, "%d %d %d %t %d | %s | %s\n", size.Hosts, size.Teams, size.Pools, relay, rollOutSamples, middleAndMax(accepted), middleAndMax(inForce))
	return nil
}

// rollOutOnce publishes through the first controller and watches the second one's view client.
func rollOutOnce(ctx context.Context, w *writer, nodes []*node) (published, seen time.Duration, err error) {
	if _, err := w.catchUp(ctx); err != nil {
		return 0, 0, err
	}
	record, err := w.changeSet(w.nextDocument())
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	if err := nodes[0].propose(ctx, record); err != nil {
		return 0, 0, err
	}
	done := time.Now()
	version := w.state.Version() + 1
	err = awaitAll(ctx, nodes[1:], func(n *node) bool { return n.store.Current().View.ConfigVersion >= version })
	return done.Sub(start), time.Since(done), err
}

func middleAndMax(spans []time.Duration) string {
	slices.Sort(spans)
	return fmt.Sprintf("%d %d", spans[len(spans)/2].Milliseconds(), spans[len(spans)-1].Milliseconds())
}
