package relay

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
)

const (
	// listInterval is the interval at which a relay reads changes of the list of workers, and minListInterval the shortest
	// one, while calls to workers wait that aren't listed yet.
	listInterval    = 250 * time.Millisecond
	minListInterval = 50 * time.Millisecond
)

// workerList is the list of workers that a relay may call. It is read while there are connections.
type workerList struct {
	mu sync.Mutex
	// users is the number of connections, and stop ends the reads.
	users int
	stop  context.CancelFunc
	// addresses are the addresses of the workers by ID.
	addresses map[string]string
	// changed is closed when the list has been read again. A value in due asks for a read.
	changed chan struct{}
	due     chan struct{}
}

// retain begins to read the list for the first connection.
func (l *workerList) retain(s *Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.users++; l.users > 1 {
		return
	}
	var ctx context.Context
	ctx, l.stop = context.WithCancel(context.Background())
	l.addresses, l.changed, l.due = map[string]string{}, make(chan struct{}), make(chan struct{}, 1)
	go l.follow(ctx, s.NewDirectory(), l.due, s.Logger)
}

// release stops the reads after the last connection.
func (l *workerList) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.users--; l.users == 0 {
		l.stop()
		l.addresses = nil
	}
}

// follow reads the list until ctx ends.
func (l *workerList) follow(ctx context.Context, directory infra.Directory, due <-chan struct{}, logger *logrus.Entry) {
	for failures := 0; ctx.Err() == nil; _ = periodic.Wait(ctx, listInterval-minListInterval, due) {
		update, err := directory.Poll(ctx)
		if err != nil {
			if failures++; failures == 1 {
				logger.WithField("event", "relay_directory_lost").WithError(err).Warn("can't read the list of workers; trying again")
			}
			continue
		}
		failures = 0
		l.apply(ctx, update)
		_ = periodic.Pause(ctx, minListInterval)
	}
}

// apply applies an update, unless ctx has ended: the list may have been restarted since.
func (l *workerList) apply(ctx context.Context, update infra.WorkerUpdate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if update.Full {
		clear(l.addresses)
	}
	for _, entry := range update.Entries {
		l.addresses[entry.ID] = entry.Address
	}
	for _, id := range update.Removed {
		delete(l.addresses, id)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// await reports whether the worker is listed with its address. If it isn't, it waits for reads of the list for at most the
// duration.
func (l *workerList) await(ctx context.Context, worker infra.WorkerRef, limit time.Duration) bool {
	listed, changed := l.lookUp(worker)
	if listed {
		return true
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for !listed {
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
		listed, changed = l.lookUp(worker)
	}
	return true
}

// lookUp reports whether the worker is listed with its address. If it isn't, the list is read again soon, and the channel
// is closed then.
func (l *workerList) lookUp(worker infra.WorkerRef) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	address, listed := l.addresses[worker.ID]
	if listed = listed && address == worker.Address && address != ""; !listed {
		periodic.Wake(l.due)
	}
	return listed, l.changed
}
