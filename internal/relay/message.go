// Package relay spreads the calls to workers over entry processes. The scheduling process sends its orders and lease
// renewals in batches over one kept connection to each relay, an entry process with processor time to spare. The relay
// calls the workers and returns the outcomes in batches. All decisions stay with the scheduling process.
package relay

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
)

const (
	// Path is the HTTP path at which an entry process accepts relay connections, and protocol the protocol to which the
	// connection is then upgraded.
	Path     = "/turmericyoke.entry.v1.Relay"
	protocol = "turmericyoke-relay"
	// batchDelay is how long a message waits for others of its batch, and batchInterval the shortest time between two
	// batches of a connection: a batch costs about as much processor time as a call over HTTP. Both add to the time of
	// each start, for which callers allow some hundred milliseconds.
	batchDelay    = 2 * time.Millisecond
	batchInterval = 10 * time.Millisecond
	// heartbeatInterval is the longest time between the batches of a relay.
	heartbeatInterval = 50 * time.Millisecond
	// silenceLimit is how long a relay may send nothing before its connection is given up: a few heartbeats.
	silenceLimit = 200 * time.Millisecond
	// slowReadTime is how long a batch may wait to be read at a relay that is well.
	slowReadTime = silenceLimit / 2
	// congestedLimit is how long a batch may wait to be read while those to other relays wait as well. The link of this
	// host is full then, and direct calls, which take more bytes, would wait longer.
	congestedLimit = 6 * silenceLimit
	// idleInterval is the longest time between the batches of the scheduling process, and idleLimit how long it may send
	// nothing before the relay closes the connection.
	idleInterval = 5 * time.Second
	idleLimit    = 4 * idleInterval
	// writeTimeout is the time limit for writing a batch. A relay that doesn't read blocks its writer.
	writeTimeout = time.Second
	// maxFrameBytes limits a batch. The largest outcomes are reports with several hundred ends.
	maxFrameBytes = 8 << 20
	// lengthBytes is the size of the length before a batch, and maxKeptBuffer that of the buffers that are kept.
	lengthBytes   = 4
	maxKeptBuffer = 32 << 10
)

// callKind is the kind of a call to a worker. The list is closed.
type callKind uint8

// Kinds of calls.
const (
	callStart callKind = iota + 1
	callStop
	callPace
	callRenewal
)

// call is a call to a worker that a relay is to make.
type call struct {
	// ID identifies the call within its connection.
	ID     int64
	Kind   callKind
	Worker infra.WorkerRef
	// SendWithin is how long the call may still be sent, from when its batch was written.
	SendWithin time.Duration
	// TimeLimit is the time limit of the call; 0 means the adapter's own limit.
	TimeLimit time.Duration
	// Order is the order to start a run. Stops and changes of the pace use its item, run and token only.
	Order   infra.StartOrder
	Percent int
	Renewal infra.LeaseRenewal
}

// token returns the fencing token of the call.
func (c *call) token() int64 {
	if c.Kind == callRenewal {
		return c.Renewal.Token
	}
	return c.Order.Token
}

// send makes the call through workers.
func (c *call) send(ctx context.Context, workers infra.Workers) (result outcome, err error) {
	switch c.Kind {
	case callStart:
		result.ClockMs, err = workers.Start(ctx, c.Worker, c.Order)
	case callStop:
		result.ClockMs, err = workers.Stop(ctx, c.Worker, c.Order.Item, c.Order.Run, c.Order.Token)
	case callPace:
		result.ClockMs, err = workers.SetPace(ctx, c.Worker, c.Order.Item, c.Order.Run, c.Percent, c.Order.Token)
	case callRenewal:
		result.Report, err = workers.RenewLease(ctx, c.Worker, c.Renewal)
	}
	return result, err
}

// reason tells why a relay didn't send a call. The list is closed.
type reason string

// Reasons why a call wasn't sent.
const (
	reasonExpired reason = "expired"
	// reasonNotWritten means that this process has given the call up before it was written.
	reasonNotWritten reason = "not_written"
	reasonUnlisted   reason = "unlisted"
	reasonStopping   reason = "stopping"
	reasonBusy       reason = "busy"
	reasonInvalid    reason = "invalid"
)

// outcome is the outcome of a call.
type outcome struct {
	ID int64
	// NotSent is set if the call certainly wasn't and won't be sent.
	NotSent reason
	// Kind, Op and Detail describe the error of the call; Kind is empty if it succeeded.
	Kind       infra.ErrorKind
	Op, Detail string
	ClockMs    int64
	Report     infra.WorkerReport
}

// err returns the error of the call, or nil.
func (o *outcome) err() error {
	if o.Kind == "" {
		return nil
	}
	return &infra.Error{Kind: o.Kind, Op: o.Op, Detail: o.Detail}
}

// setErr sets the error of the call.
func (o *outcome) setErr(err error) {
	if o.Kind = infra.KindOf(err); o.Kind == "" {
		return
	}
	o.Detail = err.Error()
	var kindErr *infra.Error
	if errors.As(err, &kindErr) {
		o.Op, o.Detail = kindErr.Op, kindErr.Detail
		if kindErr.Cause != nil {
			o.Detail += ": " + kindErr.Cause.Error()
		}
	}
}

// callBatch is a batch of calls.
type callBatch struct {
	// Echo is the Stamp of the newest batch that the scheduling process had received from the relay when it wrote this
	// one. The age of the batch is at most the time since then on the clock of the relay.
	Echo  int64
	Calls []call
}

// outcomeBatch is a batch of outcomes. It may be empty.
type outcomeBatch struct {
	// Stamp is the time at which the relay wrote the batch, on its own clock.
	Stamp int64
	// Received is the number of batches that the relay has read on this connection.
	Received int64
	// Stopping is set when the relay accepts no more calls.
	Stopping bool
	Outcomes []outcome
}

// encoder writes batches to a connection, each with its length before it.
type encoder struct {
	conn   net.Conn
	buffer []byte
}

// write writes a batch within writeTimeout.
func (e *encoder) write(batch interface{ appendTo(*writer) }) error {
	w := writer{bytes: append(e.buffer[:0], make([]byte, lengthBytes)...)}
	batch.appendTo(&w)
	binary.BigEndian.PutUint32(w.bytes, uint32(len(w.bytes)-lengthBytes))
	if e.buffer = w.bytes; cap(e.buffer) > maxKeptBuffer {
		e.buffer = nil
	}
	if err := e.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := e.conn.Write(w.bytes)
	return err
}

// pauseBetweenBatches waits for further messages before the next batch of a connection is written, the last one of which
// was written at lastAt. It returns when the next one is written.
func pauseBetweenBatches(ctx context.Context, lastAt time.Time) (time.Time, error) {
	err := periodic.Pause(ctx, max(batchDelay, batchInterval-time.Since(lastAt)))
	return time.Now(), err
}

// decoder reads batches from a connection.
type decoder struct {
	reader *bufio.Reader
	buffer []byte
}

func newDecoder(source io.Reader) *decoder {
	return &decoder{reader: bufio.NewReaderSize(source, maxKeptBuffer)}
}

// read reads the next batch.
func (d *decoder) read(batch interface{ decode(*reader) }) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(d.reader, length[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(length[:]))
	if size > maxFrameBytes {
		return errMalformed
	}
	if cap(d.buffer) < size {
		d.buffer = make([]byte, size)
	}
	frame := d.buffer[:size]
	if size > maxKeptBuffer {
		d.buffer = nil
	}
	if _, err := io.ReadFull(d.reader, frame); err != nil {
		return err
	}
	r := reader{bytes: frame}
	batch.decode(&r)
	if r.err == nil && len(r.bytes) > 0 {
		return errMalformed
	}
	return r.err
}

// patientReader reads from a connection on which data must arrive within limit. If the limit has passed, it tries once
// more for a moment: a process that was delayed itself finds the data that has arrived meanwhile.
type patientReader struct {
	conn  net.Conn
	limit time.Duration
}

// secondReadTime is the time limit of the second attempt of a patientReader.
const secondReadTime = 20 * time.Millisecond

// Read implements io.Reader.
func (r patientReader) Read(p []byte) (int, error) {
	n, err := r.readWithin(p, r.limit)
	var netErr net.Error
	if n == 0 && errors.As(err, &netErr) && netErr.Timeout() {
		return r.readWithin(p, secondReadTime)
	}
	return n, err
}

func (r patientReader) readWithin(p []byte, limit time.Duration) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return 0, err
	}
	return r.conn.Read(p)
}
