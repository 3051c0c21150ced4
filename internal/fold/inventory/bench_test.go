package inventory

import (
	"encoding/json"
	"fmt"
	"testing"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/structs"
)

// newBenchDocument declares hosts in racks of four, three zones and pools of about 112 hosts, which is the
// pool size at the design scale.
func newBenchDocument(hosts int) *structs.Document {
	doc := &structs.Document{}
	pools := max(1, hosts/112)
	for i := range pools {
		doc.Pools = append(doc.Pools, structs.Pool{Name: fmt.Sprintf("p%d", i), MinAvailable: 10, MaxUnavailablePerZone: 4})
	}
	for i := range hosts {
		zone := i / 4 % 3
		doc.Hosts = append(doc.Hosts, structs.Host{
			Name: fmt.Sprintf("h%05d", i), Zone: fmt.Sprintf("z%d", zone), Rack: fmt.Sprintf("r%d", i/4), Pool: fmt.Sprintf("p%d", i%pools),
		})
	}
	doc.Waves = []structs.Wave{{Name: "w", Pool: "p0", MaxParallel: 4, MaxPerRack: 4, CanaryCount: 1, PauseAfterFailures: 3}}
	return doc
}

var fleetSizes = []int{50, 700, 2800}

// BenchmarkGrantAndBack guards against a cost of one record that grows with the fleet.
func BenchmarkGrantAndBack(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s := New()
			s.AdoptDocument(newBenchDocument(size))
			epoch := uint64(1)
			for b.Loop() {
				if err := s.Grant(structs.Envelope{Offset: 1}, &v1.Grant{Wave: "w", Host: "h00000", HostEpoch: epoch, BootCount: 1}); err != nil {
					b.Fatal(err)
				}
				if err := s.HostBack(structs.Envelope{Offset: 2}, &v1.HostBack{Host: "h00000", HostEpoch: epoch}); err != nil {
					b.Fatal(err)
				}
				epoch++
				s.Waves["w"].setStep("h00000", StepPending)
			}
		})
	}
}

func BenchmarkAdoptDocument(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s, doc := New(), newBenchDocument(size)
			for b.Loop() {
				if err := s.CheckDocument(doc); err != nil {
					b.Fatal(err)
				}
				s.AdoptDocument(doc)
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s := New()
			s.AdoptDocument(newBenchDocument(size))
			for b.Loop() {
				data, err := json.Marshal(s)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "bytes")
			}
		})
	}
}
