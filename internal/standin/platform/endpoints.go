package platform

import (
	"context"
	"net"
	"sync"
	"time"

	"turmericyoke/internal/standin/endpointsvc"
	"turmericyoke/internal/structs"
)

// shutdownGrace is the time that an endpoint gets to answer what still runs when its host goes down.
// The platform's drain comes first, so that nothing should be running.
const shutdownGrace = 50 * time.Millisecond

// endpointSet runs one endpoint for each host.
type endpointSet struct {
	runTime time.Duration

	mu      sync.Mutex
	byHost  map[string]*endpointsvc.Endpoint
	hosts   map[string]structs.Host
	serving sync.WaitGroup
}

func newEndpoints(hosts []structs.Host, runTime time.Duration) *endpointSet {
	e := &endpointSet{runTime: runTime, byHost: map[string]*endpointsvc.Endpoint{}, hosts: map[string]structs.Host{}}
	for _, host := range hosts {
		e.hosts[host.Name] = host
	}
	return e
}

// startAll starts the endpoints of all hosts.
func (e *endpointSet) startAll() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name := range e.hosts {
		if err := e.start(name); err != nil {
			return err
		}
	}
	return nil
}

// start listens for the host. The caller holds the lock.
func (e *endpointSet) start(name string) error {
	host := e.hosts[name]
	listener, err := net.Listen("tcp", host.Address)
	if err != nil {
		return err
	}
	endpoint := endpointsvc.New(endpointsvc.Config{Slots: host.Slots, Connections: host.Connections, RunTime: e.runTime})
	e.byHost[name] = endpoint
	e.serving.Go(func() { _ = endpoint.Serve(listener) })
	return nil
}

// update brings the endpoint in line with its host: it stops while the host is down.
func (e *endpointSet) update(name string, up, draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	endpoint := e.byHost[name]
	switch {
	case !up && endpoint != nil:
		e.stop(name, endpoint)
	case up && endpoint == nil:
		// A port that is still taken is tried again at the next change of the host.
		_ = e.start(name)
		endpoint = e.byHost[name]
	}
	if up && endpoint != nil {
		endpoint.SetDraining(draining)
	}
}

// stop ends the endpoint with its host. The caller holds the lock.
func (e *endpointSet) stop(name string, endpoint *endpointsvc.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	_ = endpoint.Shutdown(ctx)
	delete(e.byHost, name)
}

// running returns the requests that run on the host; each takes one slot.
func (e *endpointSet) running(name string) uint64 {
	e.mu.Lock()
	endpoint := e.byHost[name]
	e.mu.Unlock()
	if endpoint == nil {
		return 0
	}
	return uint64(endpoint.Running())
}

// stopAll ends all endpoints.
func (e *endpointSet) stopAll() {
	e.mu.Lock()
	for name, endpoint := range e.byHost {
		e.stop(name, endpoint)
	}
	e.mu.Unlock()
	e.serving.Wait()
}
