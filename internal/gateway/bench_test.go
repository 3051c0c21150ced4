package gateway_test

import (
	"runtime"
	"sort"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/standin/endpointsvc"
)

// benchBody is the size of a small tally.
var benchBody = make([]byte, 512)

// benchTarget is where a benchmark sends its requests.
type benchTarget struct {
	client    *fasthttp.HostClient
	uri       string
	keyHeader [2]string
}

func newTarget(address, path, key string) benchTarget {
	return benchTarget{
		client:    &fasthttp.HostClient{Addr: address, MaxConns: 256},
		uri:       "http://" + address + path,
		keyHeader: [2]string{"Authorization", key},
	}
}

// send sends one request, and returns its time.
func (g benchTarget) send(b *testing.B) time.Duration {
	req, out := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(out)
	req.SetRequestURI(g.uri)
	req.Header.SetMethod("POST")
	req.Header.Set(g.keyHeader[0], g.keyHeader[1])
	req.SetBodyRaw(benchBody)
	start := time.Now()
	err := g.client.Do(req, out)
	if err != nil || out.StatusCode() != 200 {
		b.Errorf("status %d: %v", out.StatusCode(), err)
	}
	return time.Since(start)
}

// benchTargets returns the way to an endpoint directly, and through a gateway with eight endpoints.
func benchTargets(b *testing.B) (direct, through benchTarget) {
	bed := newTestZone(b)
	for range 8 {
		bed.addEndpoint("desk", endpointsvc.Config{Work: 0, Connections: 512})
	}
	n := bed.addGateway("z1", map[string]uint64{"a": 1000}, nil)
	bed.publish()
	// The endpoint of the direct way has as many slots as the eight behind the gateway.
	lone := bed.addEndpoint("lone", endpointsvc.Config{Slots: 64, Connections: 512})
	assert.Assert(b, lone != nil)
	address := bed.view.Endpoints[8].Address
	return newTarget(address, "/x", "Bearer "+secretA), newTarget(n.address, "/v1/pools/desk/x", "Bearer "+secretA)
}

// BenchmarkAddedLatency sends one request at a time, in turn directly and through the gateway.
func BenchmarkAddedLatency(b *testing.B) {
	direct, through := benchTargets(b)
	var times [2][]time.Duration
	for b.Loop() {
		times[0] = append(times[0], direct.send(b))
		times[1] = append(times[1], through.send(b))
	}
	for _, list := range times {
		sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	}
	at := func(way int, part float64) float64 {
		return float64(times[way][int(part*float64(len(times[way])-1))].Nanoseconds()) / 1000
	}
	b.ReportMetric(at(0, 0.5), "direct-p50-µs")
	b.ReportMetric(at(1, 0.5), "gateway-p50-µs")
	b.ReportMetric(at(0, 0.99), "direct-p99-µs")
	b.ReportMetric(at(1, 0.99), "gateway-p99-µs")
	b.ReportMetric(at(1, 0.5)/at(0, 0.5), "p50-ratio")
}

// BenchmarkThroughput sends 48 requests at a time, first directly and then through the gateway.
func BenchmarkThroughput(b *testing.B) {
	direct, through := benchTargets(b)
	const batch, workers = 4000, 48
	var spent [2]time.Duration
	for b.Loop() {
		spent[0] += sendBatch(b, direct, batch, workers)
		spent[1] += sendBatch(b, through, batch, workers)
	}
	rate := func(way int) float64 { return batch * float64(b.N) / spent[way].Seconds() }
	b.ReportMetric(rate(0), "direct-req/s")
	b.ReportMetric(rate(1), "gateway-req/s")
	b.ReportMetric(rate(1)/rate(0), "ratio")
}

func sendBatch(b *testing.B, to benchTarget, count int64, workers int) time.Duration {
	var left atomic.Int64
	left.Store(count)
	start := time.Now()
	done := make(chan struct{})
	for range workers {
		go func() {
			for left.Add(-1) >= 0 {
				to.send(b)
			}
			done <- struct{}{}
		}()
	}
	for range workers {
		<-done
	}
	return time.Since(start)
}

// BenchmarkAllocations counts what the gateway allocates for a request, over the direct way.
func BenchmarkAllocations(b *testing.B) {
	direct, through := benchTargets(b)
	var counts [2]uint64
	var before, after runtime.MemStats
	const batch = 500
	for b.Loop() {
		for way, to := range []benchTarget{direct, through} {
			runtime.ReadMemStats(&before)
			for range batch {
				to.send(b)
			}
			runtime.ReadMemStats(&after)
			counts[way] += after.Mallocs - before.Mallocs
		}
	}
	requests := float64(batch * b.N)
	b.ReportMetric(float64(counts[0])/requests, "direct-allocs")
	b.ReportMetric(float64(counts[1]-counts[0])/requests, "gateway-allocs")
}
