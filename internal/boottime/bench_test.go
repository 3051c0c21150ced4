package boottime

import (
	"testing"
	"time"
)

// BenchmarkNow is the cost of one reading of the clock. The scheduler reads it many times for each order and report.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		time.Now()
	}
}
