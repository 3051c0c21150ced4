package platform

import (
	"context"
	"net"
	"sync"
	"time"

	"turmericyoke/internal/standin/endpointsvc"
	"turmericyoke/internal/structs"
)

// shutdownGrace is the time that an endpoint has to complete requests in progress when its host goes
// down. It is short, since hosts are drained first and nothing should be running any more.
const shutdownGrace = 50 * time.Millisecond

// endpointSet runs an endpoint for each host that is up.
type endpointSet struct {
	runTime time.Duration

	mu      sync.Mutex
	byHost  map[string]*endpointsvc.Endpoint
	hosts   map[string]structs.Host
	serving sync.WaitGroup
}

func newEndpointSet(hosts []structs.Host, runTime time.Duration) *endpointSet {
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

// start starts the endpoint of the host. The caller holds the lock.
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

// update makes the endpoint match the state of its host: it runs only while the host is up.
func (e *endpointSet) update(name string, up, draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	endpoint := e.byHost[name]
	switch {
	case !up && endpoint != nil:
		e.stop(name, endpoint)
	case up && endpoint == nil:
		// If the port is still in use, the next change of the host tries again.
		_ = e.start(name)
		endpoint = e.byHost[name]
	}
	if up && endpoint != nil {
		endpoint.SetDraining(draining)
	}
}

// stop stops the endpoint of the host. The caller holds the lock.
func (e *endpointSet) stop(name string, endpoint *endpointsvc.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	_ = endpoint.Shutdown(ctx)
	delete(e.byHost, name)
}

// running returns the number of requests that run on the host. Each takes one slot.
func (e *endpointSet) running(name string) uint64 {
	e.mu.Lock()
	endpoint := e.byHost[name]
	e.mu.Unlock()
	if endpoint == nil {
		return 0
	}
	return uint64(endpoint.Running())
}

// stopAll stops all endpoints and waits until they no longer serve.
func (e *endpointSet) stopAll() {
	e.mu.Lock()
	for name, endpoint := range e.byHost {
		e.stop(name, endpoint)
	}
	e.mu.Unlock()
	e.serving.Wait()
}
