package server

import (
	"context"
	"net"
	"sync"
	"time"

	"turmericyoke/internal/netpeek"
)

// watchInterval is how often the connections of callers are checked. A check costs one system call for each
// request in progress.
const watchInterval = 100 * time.Millisecond

// watcher cancels the requests of callers that disconnect. fasthttp doesn't read from a connection while it
// handles a request, so it doesn't detect this itself.
type watcher struct {
	mu      sync.Mutex
	watched map[*watchedRequest]struct{}
}

// watchedRequest is the context of one request in progress and the connection of its caller.
type watchedRequest struct {
	context.Context
	cancel context.CancelFunc
	conn   net.Conn
}

func newWatcher() *watcher { return &watcher{watched: map[*watchedRequest]struct{}{}} }

// add starts to watch conn and returns the context of its request. The context has no parent, since all
// requests would contend for the lock of a common parent.
func (w *watcher) add(conn net.Conn) *watchedRequest {
	ctx, cancel := context.WithCancel(context.Background())
	request := &watchedRequest{Context: ctx, cancel: cancel, conn: conn}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watched[request] = struct{}{}
	return request
}

// remove stops watching and cancels the context. The watcher doesn't use the connection afterwards.
func (w *watcher) remove(request *watchedRequest) {
	w.mu.Lock()
	delete(w.watched, request)
	w.mu.Unlock()
	request.cancel()
}

// cancelAll cancels all requests in progress.
func (w *watcher) cancelAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for request := range w.watched {
		request.cancel()
	}
}

// run checks all connections at each watchInterval, until ctx ends.
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

// checkAll cancels the requests whose callers have closed their connection.
func (w *watcher) checkAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for request := range w.watched {
		if netpeek.Peek(request.conn) == netpeek.Closed {
			request.cancel()
			delete(w.watched, request)
		}
	}
}
