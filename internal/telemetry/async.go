package telemetry

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// asyncLines is how many lines may wait to be written; at some 200 bytes each they take about 1 MB.
const asyncLines = 4096

// AsyncWriter writes lines in the background and never blocks: when its reader is slow it drops lines,
// and tells how many.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	end     chan struct{}
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewAsyncWriter returns a writer to out. Close must be called to write what still waits.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncLines), end: make(chan struct{})}
	w.done.Go(w.write)
	return w
}

// Write takes one line. Lines that come after Close are lost.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// write writes the lines that wait, many with one call, until Close.
func (w *AsyncWriter) write() {
	var buffer []byte
	for open := true; open; {
		buffer = buffer[:0]
		select {
		case line := <-w.lines:
			buffer = append(buffer, line...)
		case <-w.end:
			open = false
		}
		buffer = w.drain(buffer)
		if dropped := w.dropped.Swap(0); dropped > 0 {
			buffer = append(buffer, "level=warning event=log_lines_dropped lines="+strconv.FormatInt(dropped, 10)+"\n"...)
		}
		// There is nowhere to report that the log itself can't be written.
		_, _ = w.out.Write(buffer)
	}
}

// drain appends all lines that wait.
func (w *AsyncWriter) drain(buffer []byte) []byte {
	for {
		select {
		case line := <-w.lines:
			buffer = append(buffer, line...)
		default:
			return buffer
		}
	}
}

// Close writes what waits.
func (w *AsyncWriter) Close() {
	close(w.end)
	w.done.Wait()
}
