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

// benchBody is the body of each request. It has the size of a small tally.
var benchBody = make([]byte, 512)

// benchTarget is an endpoint or a gateway to which a benchmark sends requests.
type benchTarget struct {
	client    *fasthttp.HostClient
	uri       string
	keyHeader [2]string
}

func newBenchTarget(address, path, key string) benchTarget {
	return benchTarget{
		client:    &fasthttp.HostClient{Addr: address, MaxConns: 256},
		uri:       "http://" + address + path,
		keyHeader: [2]string{"Authorization", key},
	}
}

// send sends one request, and returns the time until its response.
func (target benchTarget) send(b *testing.B) time.Duration {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(target.uri)
	request.Header.SetMethod("POST")
	request.Header.Set(target.keyHeader[0], target.keyHeader[1])
	request.SetBodyRaw(benchBody)
	start := time.Now()
	err := target.client.Do(request, response)
	if err != nil || response.StatusCode() != 200 {
		b.Errorf("want status 200, got %d, error %v", response.StatusCode(), err)
	}
	return time.Since(start)
}

// benchTargets returns an endpoint that is called directly, and a gateway with eight endpoints.
func benchTargets(b *testing.B) (direct, viaGateway benchTarget) {
	zone := newTestZone(b)
	for range 8 {
		zone.addEndpoint("desk", endpointsvc.Config{RunTime: 0, Connections: 512})
	}
	gw := zone.addGateway("z1", map[string]uint64{"a": 1000}, nil)
	zone.publish()
	// The endpoint that is called directly has as many slots as the eight endpoints of the gateway together.
	directEndpoint := zone.addEndpoint("lone", endpointsvc.Config{Slots: 64, Connections: 512})
	assert.Assert(b, directEndpoint != nil)
	address := zone.view.Endpoints[8].Address
	return newBenchTarget(address, "/x", "Bearer "+secretA), newBenchTarget(gw.address, "/v1/pools/desk/x", "Bearer "+secretA)
}

// BenchmarkAddedLatency measures the latency of single requests that are sent in turn directly and through
// the gateway.
func BenchmarkAddedLatency(b *testing.B) {
	direct, viaGateway := benchTargets(b)
	var latencies [2][]time.Duration
	for b.Loop() {
		latencies[0] = append(latencies[0], direct.send(b))
		latencies[1] = append(latencies[1], viaGateway.send(b))
	}
	for _, sorted := range latencies {
		sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	}
	quantile := func(target int, q float64) float64 {
		return float64(latencies[target][int(q*float64(len(latencies[target])-1))].Nanoseconds()) / 1000
	}
	b.ReportMetric(quantile(0, 0.5), "direct-p50-µs")
	b.ReportMetric(quantile(1, 0.5), "gateway-p50-µs")
	b.ReportMetric(quantile(0, 0.99), "direct-p99-µs")
	b.ReportMetric(quantile(1, 0.99), "gateway-p99-µs")
	b.ReportMetric(quantile(1, 0.5)/quantile(0, 0.5), "p50-ratio")
}

// BenchmarkThroughput measures the throughput of 48 concurrent callers, first directly and then through the
// gateway.
func BenchmarkThroughput(b *testing.B) {
	direct, viaGateway := benchTargets(b)
	const batch, workers = 4000, 48
	var elapsed [2]time.Duration
	for b.Loop() {
		elapsed[0] += sendBatch(b, direct, batch, workers)
		elapsed[1] += sendBatch(b, viaGateway, batch, workers)
	}
	rate := func(target int) float64 { return batch * float64(b.N) / elapsed[target].Seconds() }
	b.ReportMetric(rate(0), "direct-req/s")
	b.ReportMetric(rate(1), "gateway-req/s")
	b.ReportMetric(rate(1)/rate(0), "ratio")
}

// sendBatch sends count requests from a number of concurrent workers, and returns the time for all of them.
func sendBatch(b *testing.B, target benchTarget, count int64, workers int) time.Duration {
	var left atomic.Int64
	left.Store(count)
	start := time.Now()
	done := make(chan struct{})
	for range workers {
		go func() {
			for left.Add(-1) >= 0 {
				target.send(b)
			}
			done <- struct{}{}
		}()
	}
	for range workers {
		<-done
	}
	return time.Since(start)
}

// BenchmarkAllocations counts the allocations for a request: those of a direct call, and those that the
// gateway adds.
func BenchmarkAllocations(b *testing.B) {
	direct, viaGateway := benchTargets(b)
	var allocations [2]uint64
	var before, after runtime.MemStats
	const batch = 500
	for b.Loop() {
		for i, target := range []benchTarget{direct, viaGateway} {
			runtime.ReadMemStats(&before)
			for range batch {
				target.send(b)
			}
			runtime.ReadMemStats(&after)
			allocations[i] += after.Mallocs - before.Mallocs
		}
	}
	requests := float64(batch * b.N)
	b.ReportMetric(float64(allocations[0])/requests, "direct-allocs")
	b.ReportMetric(float64(allocations[1]-allocations[0])/requests, "gateway-allocs")
}
