package telemetry

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is how many lines may wait to be written; at some 200 bytes each they take about 1 MB.
const maxQueuedLines = 4096

// AsyncWriter writes lines in the background and never blocks: when its reader is slow it drops lines,
// and tells how many.
type AsyncWriter struct {
	out     io.Writer
	queue   chan []byte
	closing chan struct{}
	dropped atomic.Int64
	writing sync.WaitGroup
}

// NewAsyncWriter returns a writer to out. Close must be called to write what still waits.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, queue: make(chan []byte, maxQueuedLines), closing: make(chan struct{})}
	w.writing.Go(w.writeQueued)
	return w
}

// Write takes one line. Lines that come after Close are lost.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// writeQueued writes the lines that wait, many with one call, until Close.
func (w *AsyncWriter) writeQueued() {
	var buffer []byte
	for open := true; open; {
		buffer = buffer[:0]
		select {
		case line := <-w.queue:
			buffer = append(buffer, line...)
		case <-w.closing:
			open = false
		}
		buffer = w.appendQueued(buffer)
		if dropped := w.dropped.Swap(0); dropped > 0 {
			buffer = append(buffer, "level=warning event=log_lines_dropped lines="+strconv.FormatInt(dropped, 10)+"\n"...)
		}
		// There is nowhere to report that the log itself can't be written.
		_, _ = w.out.Write(buffer)
	}
}

// appendQueued appends all lines that wait.
func (w *AsyncWriter) appendQueued(buffer []byte) []byte {
	for {
		select {
		case line := <-w.queue:
			buffer = append(buffer, line...)
		default:
			return buffer
		}
	}
}

// Close writes what waits.
func (w *AsyncWriter) Close() {
	close(w.closing)
	w.writing.Wait()
}
