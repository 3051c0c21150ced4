package relay

import (
	"errors"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// Batches are encoded as fields in a fixed order: integers as zigzag varints, texts with their length. Both ends of a
// connection run the same revision or are told apart by the name of the protocol.

// writer appends the fields of a batch.
type writer struct {
	bytes []byte
	// specs are the positions of the specs in the batch so far: the items of a job share theirs.
	specs map[string]int
}

func (w *writer) integer(n int64) {
	w.bytes = protowire.AppendVarint(w.bytes, protowire.EncodeZigZag(n))
}

func (w *writer) boolean(b bool) {
	n := int64(0)
	if b {
		n = 1
	}
	w.integer(n)
}

func (w *writer) text(s string) {
	w.integer(int64(len(s)))
	w.bytes = append(w.bytes, s...)
}

// spec appends a spec, or its position if the batch has it already.
func (w *writer) spec(s string) {
	if position, known := w.specs[s]; known {
		w.integer(int64(position))
		return
	}
	if w.specs == nil {
		w.specs = map[string]int{}
	}
	w.specs[s] = len(w.specs)
	w.integer(int64(len(w.specs) - 1))
	w.text(s)
}

func (w *writer) item(id work.ItemID) {
	w.text(id.Job)
	w.integer(int64(id.Occurrence))
	w.integer(int64(id.Step))
	w.integer(int64(id.Index))
}

func (w *writer) call(m *call) {
	w.integer(int64(m.Kind))
	w.integer(m.ID)
	w.text(m.Worker.ID)
	w.text(m.Worker.Address)
	w.integer(int64(m.SendWithin))
	w.integer(int64(m.TimeLimit))
	if m.Kind == callRenewal {
		w.integer(m.Renewal.Token)
		w.integer(m.Renewal.AckedEnd)
		w.integer(m.Renewal.LeaseEndMs)
		w.integer(int64(m.Renewal.Wait))
		w.integer(int64(m.Renewal.ResponseTime))
		return
	}
	w.item(m.Order.Item)
	w.integer(m.Order.Run)
	w.integer(m.Order.Token)
	switch m.Kind {
	case callStart:
		w.spec(m.Order.Spec)
		w.text(m.Order.Checkpoint)
		w.integer(m.Order.LeaseEndMs)
		w.text(m.Order.Ticket)
	case callPace:
		w.integer(int64(m.Percent))
	}
}

func (w *writer) outcome(o *outcome) {
	w.integer(o.ID)
	w.text(string(o.NotSent))
	w.text(string(o.Kind))
	if o.Kind != "" {
		w.text(o.Op)
		w.text(o.Detail)
	}
	w.integer(o.ClockMs)
	w.report(&o.Report)
}

func (w *writer) report(r *infra.WorkerReport) {
	w.integer(r.ClockMs)
	w.integer(r.StartUnixMs)
	w.boolean(r.Partial)
	w.integer(int64(len(r.Running)))
	for n := range r.Running {
		run := &r.Running[n]
		w.item(run.Item)
		w.integer(run.Run)
		w.text(run.Checkpoint)
		w.integer(int64(run.ProgressPercent))
		w.integer(run.Load)
	}
	w.integer(int64(len(r.Ended)))
	for n := range r.Ended {
		end := &r.Ended[n]
		w.integer(end.Sequence)
		w.item(end.Item)
		w.integer(end.Run)
		w.text(string(end.Cause))
		w.text(end.Checkpoint)
	}
}

// maxPreallocated bounds the entries for which space is allocated before they are decoded.
const maxPreallocated = 512

// errMalformed is the error of a batch that can't be decoded.
var errMalformed = errors.New("malformed batch")

// reader consumes the fields of a batch. After a field that can't be decoded, all further ones are zero.
type reader struct {
	bytes []byte
	specs []string
	err   error
}

// fail ends the decoding.
func (r *reader) fail() { r.bytes, r.err = nil, errMalformed }

func (r *reader) integer() int64 {
	value, n := protowire.ConsumeVarint(r.bytes)
	if n < 0 || r.err != nil {
		r.fail()
		return 0
	}
	r.bytes = r.bytes[n:]
	return protowire.DecodeZigZag(value)
}

func (r *reader) boolean() bool { return r.integer() != 0 }

func (r *reader) text() string {
	length := r.integer()
	if length < 0 || length > int64(len(r.bytes)) {
		r.fail()
		return ""
	}
	text := string(r.bytes[:length])
	r.bytes = r.bytes[length:]
	return text
}

// count consumes the number of entries of a list, each of which takes at least a byte.
func (r *reader) count() int {
	count := r.integer()
	if count < 0 || count > int64(len(r.bytes)) {
		r.fail()
		return 0
	}
	return int(count)
}

func (r *reader) spec() string {
	position := r.integer()
	switch {
	case position >= 0 && position < int64(len(r.specs)):
		return r.specs[position]
	case position != int64(len(r.specs)):
		r.fail()
		return ""
	}
	r.specs = append(r.specs, r.text())
	return r.specs[position]
}

func (r *reader) item() work.ItemID {
	id := work.ItemID{Job: r.text(), Occurrence: int(r.integer()), Step: int(r.integer()), Index: int(r.integer())}
	if id.Occurrence < 0 || id.Step < 0 || id.Index < 0 {
		r.fail()
	}
	return id
}

func (r *reader) call() call {
	m := call{Kind: callKind(r.integer()), ID: r.integer(), Worker: infra.WorkerRef{ID: r.text(), Address: r.text()}, SendWithin: time.Duration(r.integer()), TimeLimit: time.Duration(r.integer())}
	if m.Kind == callRenewal {
		m.Renewal = infra.LeaseRenewal{Token: r.integer(), AckedEnd: r.integer(), LeaseEndMs: r.integer(), Wait: time.Duration(r.integer()), ResponseTime: time.Duration(r.integer())}
		return m
	}
	m.Order = infra.StartOrder{Item: r.item(), Run: r.integer(), Token: r.integer()}
	switch m.Kind {
	case callStart:
		m.Order.Spec, m.Order.Checkpoint, m.Order.LeaseEndMs, m.Order.Ticket = r.spec(), r.text(), r.integer(), r.text()
	case callPace:
		m.Percent = int(r.integer())
	case callStop:
	default:
		r.fail()
	}
	return m
}

func (r *reader) outcome() outcome {
	o := outcome{ID: r.integer(), NotSent: reason(r.text()), Kind: infra.ErrorKind(r.text())}
	if o.Kind != "" {
		o.Op, o.Detail = r.text(), r.text()
	}
	o.ClockMs = r.integer()
	o.Report = infra.WorkerReport{ClockMs: r.integer(), StartUnixMs: r.integer(), Partial: r.boolean()}
	if count := r.count(); count > 0 {
		o.Report.Running = make([]infra.ActiveRun, 0, min(count, maxPreallocated))
		for n := 0; n < count && r.err == nil; n++ {
			o.Report.Running = append(o.Report.Running, infra.ActiveRun{Item: r.item(), Run: r.integer(), Checkpoint: r.text(), ProgressPercent: int(r.integer()), Load: r.integer()})
		}
	}
	if count := r.count(); count > 0 {
		o.Report.Ended = make([]infra.EndedRun, 0, min(count, maxPreallocated))
		for n := 0; n < count && r.err == nil; n++ {
			o.Report.Ended = append(o.Report.Ended, infra.EndedRun{Sequence: r.integer(), Item: r.item(), Run: r.integer(), Cause: infra.EndCause(r.text()), Checkpoint: r.text()})
		}
	}
	return o
}

// appendTo appends the encoded batch.
func (b *callBatch) appendTo(w *writer) {
	w.integer(b.Echo)
	w.integer(int64(len(b.Calls)))
	for n := range b.Calls {
		w.call(&b.Calls[n])
	}
}

func (b *callBatch) decode(r *reader) {
	b.Echo = r.integer()
	count := r.count()
	for n := 0; n < count && r.err == nil; n++ {
		b.Calls = append(b.Calls, r.call())
	}
}

// appendTo appends the encoded batch.
func (b *outcomeBatch) appendTo(w *writer) {
	w.integer(b.Stamp)
	w.integer(b.Received)
	w.boolean(b.Stopping)
	w.integer(int64(len(b.Outcomes)))
	for n := range b.Outcomes {
		w.outcome(&b.Outcomes[n])
	}
}

func (b *outcomeBatch) decode(r *reader) {
	b.Stamp, b.Received, b.Stopping = r.integer(), r.integer(), r.boolean()
	count := r.count()
	for n := 0; n < count && r.err == nil; n++ {
		b.Outcomes = append(b.Outcomes, r.outcome())
	}
}
