package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"turmericyoke/internal/standin/fleetdoc"
)

// Options holds the options that all measurements share.
type Options struct {
	// Seed makes the generated load repeatable.
	Seed uint64
	// Duration is the time for which each run is measured.
	Duration time.Duration
}

// Point is one combination of fleet size and load. Axis names the quantity that it varies.
type Point struct {
	Axis string
	Size fleetdoc.Size
	// EntryHosts is the number of entry hosts, each with one gateway.
	EntryHosts int
	// Rate is the number of records appended per second. With Changes set they are change sets instead
	// of claims and returns.
	Rate    float64
	Changes bool
}

// designPoint returns the point at the design scale.
func designPoint(axis string, rate float64) Point {
	const entryHosts = 45
	return Point{Axis: axis, Size: fleetdoc.DesignSize, EntryHosts: entryHosts, Rate: rate}
}

// measurementPoints returns points that each vary one quantity from the design scale.
func measurementPoints() []Point {
	var points []Point
	add := func(axis string, rate float64, set func(*Point)) {
		p := designPoint(axis, rate)
		set(&p)
		points = append(points, p)
	}
	for _, hosts := range []int{50, 700, 2800} {
		add("hosts", 1, func(p *Point) { p.Size.Hosts = hosts })
	}
	for _, teams := range []int{6, 40, 160} {
		add("teams", 1, func(p *Point) { p.Size.Teams = teams })
	}
	for _, pools := range []int{5, 10, 25} {
		add("pools", 1, func(p *Point) { p.Size.Pools = pools })
	}
	for _, entryHosts := range []int{9, 45, 120} {
		add("entry hosts", 1, func(p *Point) { p.EntryHosts = entryHosts })
	}
	for _, rate := range []float64{0, 1, 3} {
		add("changes", rate, func(p *Point) { p.Changes = true })
	}
	for _, rate := range []float64{0, 3, 45} {
		add("holder records", rate, func(*Point) {})
	}
	return points
}

// result holds the measurements of one run.
type result struct {
	cores                   float64 // Processor time divided by elapsed time, for the whole process.
	heapBytes               uint64
	rssBytes                uint64
	logTraffic, viewTraffic Bytes // Traffic of the first controller and its view client.
	recordBytes             float64
	recordRate              float64
	seconds                 float64
}

// Slopes prints the cost of one controller and of one view client at each point, or at the points of one
// axis if it isn't empty. The stand-in for the log and the writer run in the same process. To exclude
// them, the cost of a controller is half the difference between runs with three controllers and with
// one, and the cost of a view client a third of the difference between runs with three view clients and
// with none. The cost of a controller still includes the log's work for its calls.
func Slopes(ctx context.Context, out io.Writer, options Options, axis string) error {
	fmt.Fprintln(out, "axis hosts teams pools entry changes rec/s rec-B | controller: core% heap-MB log-in-B/s log-out-B/s | view client and serving it: core% heap-MB in-B/s out-B/s | process rss-MB with one")
	for _, point := range measurementPoints() {
		if axis != "" && axis != point.Axis {
			continue
		}
		var runs [3]result
		for i, counts := range [][2]int{{1, 0}, {3, 0}, {3, 3}} {
			run, err := measurePoint(ctx, options, point, counts[0], counts[1])
			if err != nil {
				return fmt.Errorf("%s: %w", point.Axis, err)
			}
			runs[i] = run
		}
		printPoint(out, point, runs)
	}
	return nil
}

const (
	megabyte = 1e6
	percent  = 100
)

func printPoint(out io.Writer, point Point, runs [3]result) {
	one, three, withViewClients := runs[0], runs[1], runs[2]
	controllerHeap := (float64(three.heapBytes) - float64(one.heapBytes)) / 2 / megabyte
	viewClientHeap := (float64(withViewClients.heapBytes) - float64(three.heapBytes)) / 3 / megabyte
	fmt.Fprintf(out, "%s %d %d %d %d %t %.1f %.0f | %.2f %.1f %.0f %.0f | %.2f %.1f %.0f %.0f | %.0f\n",
		point.Axis, point.Size.Hosts, point.Size.Teams, point.Size.Pools, point.EntryHosts, point.Changes, three.recordRate, three.recordBytes,
		percent*(three.cores-one.cores)/2, controllerHeap, float64(three.logTraffic.Received)/three.seconds, float64(three.logTraffic.Sent)/three.seconds,
		percent*(withViewClients.cores-three.cores)/3, viewClientHeap, float64(withViewClients.viewTraffic.Received)/withViewClients.seconds, float64(withViewClients.viewTraffic.Sent)/withViewClients.seconds,
		float64(one.rssBytes)/megabyte)
}

// measurePoint runs the load of the point and measures it. Garbage of the start and of earlier runs is collected
// before the measured time begins.
func measurePoint(ctx context.Context, options Options, point Point, controllerCount, viewClientCount int) (result, error) {
	bed, err := newTestbed(ctx, "127.0.0.1:0", point.Size, point.EntryHosts, options.Seed)
	if err != nil {
		return result{}, err
	}
	defer bed.close()
	controllers, err := startControllers(bed.url, controllerCount, viewClientCount, point.Size.Zones)
	if err != nil {
		return result{}, err
	}
	defer stopAll(controllers)
	if err := awaitAll(ctx, controllers, caughtUp(bed.writer.state.Offset(), viewClientCount)); err != nil {
		return result{}, err
	}
	step := bed.writer.claimOrReturn
	if point.Changes {
		step = bed.writer.appendChange
	}
	ownUsage(true)
	first := controllers[0]
	before, logBefore, viewBefore := ownUsage(false), first.logTraffic.Total(), first.viewTraffic.Total()
	recordsBefore, bytesBefore := bed.writer.recordsWritten, bed.writer.bytesWritten
	if err := generateLoad(ctx, options.Duration, point.Rate, step); err != nil {
		return result{}, err
	}
	after, logAfter, viewAfter := ownUsage(false), first.logTraffic.Total(), first.viewTraffic.Total()
	seconds := after.MeasuredAt.Sub(before.MeasuredAt).Seconds()
	appended := float64(bed.writer.recordsWritten - recordsBefore)
	return result{
		cores: (after.CPUTime - before.CPUTime).Seconds() / seconds, rssBytes: after.RSSBytes, heapBytes: ownUsage(true).LiveHeapBytes,
		logTraffic: logAfter.Sub(logBefore), viewTraffic: viewAfter.Sub(viewBefore), seconds: seconds,
		recordRate: appended / seconds, recordBytes: float64(bed.writer.bytesWritten-bytesBefore) / max(1, appended),
	}, nil
}
