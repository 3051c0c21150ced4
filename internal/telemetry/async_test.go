package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockingWriter is a writer whose Write blocks until unblocked is closed.
type blockingWriter struct {
	unblocked chan struct{}
	mu        sync.Mutex
	bytes.Buffer
}

func (w *blockingWriter) Write(data []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(data)
}

// Guards against a process that blocks because nothing reads its log output, and against lines that are
// dropped without being counted in the log.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &blockingWriter{unblocked: make(chan struct{})}
	w := NewAsyncWriter(out)
	const lineCount = 2 * maxQueuedLines
	for n := range lineCount {
		_, err := fmt.Fprintf(w, "line=%d\n", n)
		assert.NilError(t, err)
	}
	close(out.unblocked)
	w.Close()
	_, err := w.Write([]byte("after the end\n"))
	assert.NilError(t, err)
	text := out.String()
	assert.Assert(t, strings.Contains(text, "event=log_lines_dropped"))
	assert.Assert(t, strings.Count(text, "line=") >= maxQueuedLines)
}
