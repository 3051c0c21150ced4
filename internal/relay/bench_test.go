package relay

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// BenchmarkBatchOfReports encodes and decodes batches of ten reports with eight runs and an end each.
func BenchmarkBatchOfReports(b *testing.B) {
	batch := outcomeBatch{Stamp: 12345678901234}
	for n := range 10 {
		result := outcome{ID: int64(n + 1000), Report: infra.WorkerReport{ClockMs: 123456, StartUnixMs: 1774650000000}}
		for k := range 8 {
			result.Report.Running = append(result.Report.Running, infra.ActiveRun{Item: work.ItemID{Job: fmt.Sprintf("5c0e7a21d94b%04x", n*8+k), Step: 1, Index: k}, Run: 1 << 40, ProgressPercent: 41, Load: 8900})
		}
		result.Report.Ended = []infra.EndedRun{{Sequence: 7, Item: work.ItemID{Job: "5c0e7a21d94b36f8"}, Run: 1 << 40, Cause: infra.EndDone}}
		batch.Outcomes = append(batch.Outcomes, result)
	}
	var encoded writer
	b.Run("encode", func(b *testing.B) {
		for range b.N {
			encoded = writer{bytes: encoded.bytes[:0]}
			batch.appendTo(&encoded)
		}
	})
	b.Run("decode", func(b *testing.B) {
		for range b.N {
			var read outcomeBatch
			r := reader{bytes: encoded.bytes}
			read.decode(&r)
			assert.NilError(b, r.err)
		}
	})
}
