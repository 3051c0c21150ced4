package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"turmericyoke/internal/standin/fleetdoc"
)

// Options bound a run.
type Options struct {
	Seed uint64
	// Span is the measured time of each run.
	Span time.Duration
}

// Point is one combination of sizes and load.
type Point struct {
	Axis       string
	Size       fleetdoc.Size
	EntryHosts int
	// Rate is records a second; Changes makes them change sets instead of claims and returns.
	Rate    float64
	Changes bool
}

func designPoint(axis string, rate float64) Point {
	const entryHosts = 45
	return Point{Axis: axis, Size: fleetdoc.DesignSize, EntryHosts: entryHosts, Rate: rate}
}

// points varies one size at a time from the design scale.
func points() []Point {
	var list []Point
	add := func(axis string, rate float64, set func(*Point)) {
		p := designPoint(axis, rate)
		set(&p)
		list = append(list, p)
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
	for _, entries := range []int{9, 45, 120} {
		add("entry hosts", 1, func(p *Point) { p.EntryHosts = entries })
	}
	for _, rate := range []float64{0, 1, 3} {
		add("changes", rate, func(p *Point) { p.Changes = true })
	}
	for _, rate := range []float64{0, 3, 45} {
		add("holder records", rate, func(*Point) {})
	}
	return list
}

// result is one run.
type result struct {
	cpu         float64 // Cores.
	heap        uint64
	rss         uint64
	log, view   Bytes // One node.
	recordBytes float64
	rate        float64
	seconds     float64
}

// Slopes prints the cost of one controller and of one view client at each point. The cost of a
// controller is the difference between runs with three and with one of them, so that the log and the writer,
// which are in the same process, don't count, except for the log's answers to that controller.
func Slopes(ctx context.Context, out io.Writer, options Options, axis string) error {
	fmt.Fprintln(out, "axis hosts teams pools entry changes rec/s rec-B | controller: core% heap-MB log-in-B/s log-out-B/s | view client and serving it: core% heap-MB in-B/s out-B/s | process rss-MB with one")
	for _, p := range points() {
		if axis != "" && axis != p.Axis {
			continue
		}
		var runs [3]result
		for i, counts := range [][2]int{{1, 0}, {3, 0}, {3, 3}} {
			run, err := measure(ctx, options, p, counts[0], counts[1])
			if err != nil {
				return fmt.Errorf("%s: %w", p.Axis, err)
			}
			runs[i] = run
		}
		printPoint(out, p, runs)
	}
	return nil
}

const (
	megabyte = 1e6
	percent  = 100
)

func printPoint(out io.Writer, p Point, runs [3]result) {
	one, three, viewed := runs[0], runs[1], runs[2]
	heap := (float64(three.heap) - float64(one.heap)) / 2 / megabyte
	viewHeap := (float64(viewed.heap) - float64(three.heap)) / 3 / megabyte
	fmt.Fprintf(out, "%s %d %d %d %d %t %.1f %.0f | %.2f %.1f %.0f %.0f | %.2f %.1f %.0f %.0f | %.0f\n",
		p.Axis, p.Size.Hosts, p.Size.Teams, p.Size.Pools, p.EntryHosts, p.Changes, three.rate, three.recordBytes,
		percent*(three.cpu-one.cpu)/2, heap, float64(three.log.In)/three.seconds, float64(three.log.Out)/three.seconds,
		percent*(viewed.cpu-three.cpu)/3, viewHeap, float64(viewed.view.In)/viewed.seconds, float64(viewed.view.Out)/viewed.seconds,
		float64(one.rss)/megabyte)
}

func measure(ctx context.Context, options Options, p Point, controllers, views int) (result, error) {
	b, err := newBed(ctx, "127.0.0.1:0", p.Size, p.EntryHosts, options.Seed)
	if err != nil {
		return result{}, err
	}
	defer b.close()
	nodes, err := startNodes(b.url, controllers, views, p.Size.Zones)
	if err != nil {
		return result{}, err
	}
	defer stopAll(nodes)
	if err := awaitAll(ctx, nodes, settled(b.writer.state.Offset(), views)); err != nil {
		return result{}, err
	}
	step := b.writer.claim
	if p.Changes {
		step = b.writer.change
	}
	ownUsage(true)
	last := nodes[0]
	before, logBefore, viewBefore := ownUsage(false), last.fromLog.Read(), last.view.Read()
	records, size := b.writer.records, b.writer.bytes
	if err := load(ctx, options.Span, p.Rate, step); err != nil {
		return result{}, err
	}
	after, logAfter, viewAfter := ownUsage(false), last.fromLog.Read(), last.view.Read()
	seconds := after.At.Sub(before.At).Seconds()
	made := float64(b.writer.records - records)
	return result{
		cpu: (after.CPU - before.CPU).Seconds() / seconds, rss: after.RSS, heap: ownUsage(true).HeapLive,
		log: logAfter.Minus(logBefore), view: viewAfter.Minus(viewBefore), seconds: seconds,
		rate: made / seconds, recordBytes: float64(b.writer.bytes-size) / max(1, made),
	}, nil
}
