package relay

import (
	"bytes"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// pipeConn is the end of a connection that keeps what is written.
type pipeConn struct {
	net.Conn
	bytes.Buffer
}

func (c *pipeConn) Write(p []byte) (int, error)      { return c.Buffer.Write(p) }
func (c *pipeConn) Read(p []byte) (int, error)       { return c.Buffer.Read(p) }
func (c *pipeConn) SetWriteDeadline(time.Time) error { return nil }

func drawItem(t *rapid.T) work.ItemID {
	index := rapid.IntRange(0, 1<<20)
	return work.ItemID{Job: rapid.String().Draw(t, "job"), Occurrence: index.Draw(t, "occurrence"), Step: index.Draw(t, "step"), Index: index.Draw(t, "index")}
}

func drawCall(t *rapid.T) call {
	integer, text := rapid.Int64(), rapid.String()
	m := call{Kind: callKind(rapid.IntRange(int(callStart), int(callRenewal)).Draw(t, "kind")), ID: integer.Draw(t, "id"), Worker: infra.WorkerRef{ID: text.Draw(t, "worker"), Address: text.Draw(t, "address")},
		SendWithin: time.Duration(integer.Draw(t, "within")), TimeLimit: time.Duration(integer.Draw(t, "limit"))}
	if m.Kind == callRenewal {
		m.Renewal = infra.LeaseRenewal{Token: integer.Draw(t, "token"), AckedEnd: integer.Draw(t, "acked"), LeaseEndMs: integer.Draw(t, "lease"), Wait: time.Duration(integer.Draw(t, "wait")), ResponseTime: time.Duration(integer.Draw(t, "response"))}
		return m
	}
	m.Order = infra.StartOrder{Item: drawItem(t), Run: integer.Draw(t, "run"), Token: integer.Draw(t, "token")}
	switch m.Kind {
	case callStart:
		m.Order.Spec, m.Order.Checkpoint = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "spec"), text.Draw(t, "checkpoint")
		m.Order.LeaseEndMs, m.Order.Ticket = integer.Draw(t, "lease"), text.Draw(t, "ticket")
	case callPace:
		m.Percent = rapid.IntRange(0, 100).Draw(t, "percent")
	}
	return m
}

func drawOutcome(t *rapid.T) outcome {
	integer, text := rapid.Int64(), rapid.String()
	o := outcome{ID: integer.Draw(t, "id"), NotSent: reason(text.Draw(t, "not sent")), Kind: infra.ErrorKind(text.Draw(t, "kind")), ClockMs: integer.Draw(t, "clock")}
	if o.Kind != "" {
		o.Op, o.Detail = text.Draw(t, "op"), text.Draw(t, "detail")
	}
	o.Report = infra.WorkerReport{ClockMs: integer.Draw(t, "report clock"), StartUnixMs: integer.Draw(t, "start"), Partial: rapid.Bool().Draw(t, "partial")}
	for range rapid.IntRange(0, 3).Draw(t, "running") {
		o.Report.Running = append(o.Report.Running, infra.ActiveRun{Item: drawItem(t), Run: integer.Draw(t, "run"), Checkpoint: text.Draw(t, "checkpoint"), ProgressPercent: rapid.IntRange(0, 100).Draw(t, "percent"), Load: integer.Draw(t, "load")})
	}
	for range rapid.IntRange(0, 3).Draw(t, "ended") {
		o.Report.Ended = append(o.Report.Ended, infra.EndedRun{Sequence: integer.Draw(t, "sequence"), Item: drawItem(t), Run: integer.Draw(t, "run"), Cause: infra.EndCause(text.Draw(t, "cause")), Checkpoint: text.Draw(t, "checkpoint")})
	}
	return o
}

// Guards against a field that is lost or mixed up in a batch.
func TestBatchesAreReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		conn := &pipeConn{}
		encoder, decoder := encoder{conn: conn}, newDecoder(conn)
		for range rapid.IntRange(1, 3).Draw(t, "batches") {
			calls := callBatch{Echo: rapid.Int64().Draw(t, "echo"), Calls: rapid.SliceOfN(rapid.Custom(drawCall), 1, 4).Draw(t, "calls")}
			outcomes := outcomeBatch{Stamp: rapid.Int64().Draw(t, "stamp"), Received: rapid.Int64().Draw(t, "received"), Stopping: rapid.Bool().Draw(t, "stopping"),
				Outcomes: rapid.SliceOfN(rapid.Custom(drawOutcome), 1, 4).Draw(t, "outcomes")}
			assert.NilError(t, encoder.write(&calls))
			assert.NilError(t, encoder.write(&outcomes))
			var readCalls callBatch
			var readOutcomes outcomeBatch
			assert.NilError(t, decoder.read(&readCalls))
			assert.NilError(t, decoder.read(&readOutcomes))
			assert.DeepEqual(t, readCalls, calls)
			assert.DeepEqual(t, readOutcomes, outcomes)
		}
	})
}

// Guards against a malformed batch that crashes the process or takes its memory.
func FuzzBatches(f *testing.F) {
	var w writer
	(&callBatch{Echo: 1, Calls: []call{{Kind: callStart, ID: 1, Order: infra.StartOrder{Item: testItem, Run: 1, Token: 5, Spec: "s"}}, {Kind: callRenewal, ID: 2}}}).appendTo(&w)
	f.Add(w.bytes)
	w = writer{}
	(&outcomeBatch{Stamp: 1, Outcomes: []outcome{{ID: 1, Report: infra.WorkerReport{Running: []infra.ActiveRun{{Item: testItem}}}}}}).appendTo(&w)
	f.Add(w.bytes)
	f.Add([]byte("\x00\x02\xff\xff\xff\xff\xff\xff\xff\xff\x01"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		(&callBatch{}).decode(&reader{bytes: data})
		(&outcomeBatch{}).decode(&reader{bytes: data})
	})
}
