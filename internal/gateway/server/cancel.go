package server

import (
	"context"
	"net"
	"sync"
	"time"

	"turmericyoke/internal/netpeek"
)

// watchInterval is how often the connections of callers are looked at. The look is one system call
// for each request in progress.
const watchInterval = 100 * time.Millisecond

// watcher cancels the requests of callers that disconnect. fasthttp doesn't read from a
// connection while its request is handled, so it doesn't notice by itself.
type watcher struct {
	mu      sync.Mutex
	watched map[*watchedRequest]struct{}
}

// watchedRequest is one request in progress.
type watchedRequest struct {
	context.Context
	cancel context.CancelFunc
	conn   net.Conn
}

func newWatcher() *watcher { return &watcher{watched: map[*watchedRequest]struct{}{}} }

// add begins to look at conn. The contexts have no common parent, whose lock all requests would share.
func (w *watcher) add(conn net.Conn) *watchedRequest {
	ctx, cancel := context.WithCancel(context.Background())
	c := &watchedRequest{Context: ctx, cancel: cancel, conn: conn}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watched[c] = struct{}{}
	return c
}

// remove ends the watch. Afterwards the watcher doesn't touch the connection.
func (w *watcher) remove(c *watchedRequest) {
	w.mu.Lock()
	delete(w.watched, c)
	w.mu.Unlock()
	c.cancel()
}

// cancelAll cancels all requests in progress.
func (w *watcher) cancelAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.watched {
		c.cancel()
	}
}

// run looks at all connections at each interval, until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.checkAll()
		}
	}
}

func (w *watcher) checkAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.watched {
		if netpeek.Look(c.conn) == netpeek.Closed {
			c.cancel()
			delete(w.watched, c)
		}
	}
}
