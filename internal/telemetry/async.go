package telemetry

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the maximum number of lines waiting to be written. At about 200 bytes a line, they
	// take about 1 MB.
	maxQueuedLines = 4096
	// writePause is how long a line waits for others that are written with it. A busy process logs more than a thousand
	// lines a second, and each write is a system call that blocks a thread.
	writePause = 20 * time.Millisecond
)

// AsyncWriter writes log lines in the background. Its Write never blocks: if the underlying writer is
// too slow, lines are dropped and their number is logged.
type AsyncWriter struct {
	out     io.Writer
	queue   chan []byte
	closing chan struct{}
	dropped atomic.Int64
	writing sync.WaitGroup
}

// NewAsyncWriter returns a writer to out. Close must be called to write the lines that are still queued.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, queue: make(chan []byte, maxQueuedLines), closing: make(chan struct{})}
	w.writing.Go(w.writeQueued)
	return w
}

// Write queues one line, or drops it if the queue is full. Lines written after Close are lost.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// writeQueued writes queued lines until Close. It combines them, so that one call of the underlying
// writer writes many lines.
func (w *AsyncWriter) writeQueued() {
	var buffer []byte
	for open := true; open; {
		buffer = buffer[:0]
		select {
		case line := <-w.queue:
			buffer = append(buffer, line...)
			open = w.awaitMore()
		case <-w.closing:
			open = false
		}
		buffer = w.appendQueued(buffer)
		if dropped := w.dropped.Swap(0); dropped > 0 {
			buffer = append(buffer, "level=warning event=log_lines_dropped lines="+strconv.FormatInt(dropped, 10)+"\n"...)
		}
		// A failure to write the log can't be reported anywhere.
		_, _ = w.out.Write(buffer)
	}
}

// awaitMore waits for writePause. It returns false if Close was called.
func (w *AsyncWriter) awaitMore() bool {
	timer := time.NewTimer(writePause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.closing:
		return false
	}
}

// appendQueued appends all queued lines to the buffer.
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

// Close writes the queued lines and stops the writer.
func (w *AsyncWriter) Close() {
	close(w.closing)
	w.writing.Wait()
}
