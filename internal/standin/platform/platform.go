// Package platform runs the stand-ins for the platform's services in one process: the log, the hosts
// with their endpoints, and the workers.
package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/standin/hostsvc"
	"turmericyoke/internal/standin/logsvc"
	"turmericyoke/internal/standin/workersvc"
	"turmericyoke/internal/structs"
)

// stopTimeout limits the wait for open calls at shutdown; a long poll of the log may last longer and is
// cut off. It also limits the time to read request headers.
const stopTimeout = time.Second

// Options configure the stand-ins.
type Options struct {
	// Listen is the IP:port for the services, for injecting faults and for the counts.
	Listen string
	// AppendsPerSecond is the rate above which the log refuses appends; 0 removes the limit.
	AppendsPerSecond int
	// ListLag is the age of the states in the host list.
	ListLag time.Duration
	// RebootTime is the duration of a reboot, and AssignTime that of a change of pool.
	RebootTime time.Duration
	AssignTime time.Duration
	// RunTime is the time that an endpoint takes for one request.
	RunTime time.Duration
}

// Platform is the set of stand-ins for the platform's services.
type Platform struct {
	options   Options
	log       *logsvc.Log
	hosts     *hostsvc.Service
	workers   *workersvc.Service
	endpoints *endpointSet
}

// New returns the stand-ins for the hosts of a document.
func New(options Options, hosts []structs.Host) *Platform {
	p := &Platform{options: options, log: logsvc.New(), endpoints: newEndpointSet(hosts, options.RunTime)}
	p.log.SetRate(options.AppendsPerSecond)
	p.hosts = hostsvc.New(hostsvc.Options{
		ListLag:    options.ListLag,
		RebootTime: options.RebootTime,
		AssignTime: options.AssignTime,
		Running: func(host string) (running, busySlots uint64) {
			requests := p.endpoints.running(host)
			return requests, requests
		},
		OnChange: func(host hostsvc.Host) { p.endpoints.update(host.Name, host.Up, host.Draining) },
	}, serviceHosts(hosts))
	p.workers = workersvc.New(workersvc.DefaultSettings(), time.Now)
	return p
}

func serviceHosts(hosts []structs.Host) []hostsvc.Host {
	result := make([]hostsvc.Host, 0, len(hosts))
	for _, host := range hosts {
		result = append(result, hostsvc.Host{Name: host.Name, Zone: host.Zone, Rack: host.Rack, Pool: host.Pool})
	}
	return result
}

// Handler returns the HTTP handler for the services, for injecting faults and for the counts.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(turmericyokev1connect.NewLogServiceHandler(p.log))
	mux.Handle(p.hosts.Handler())
	mux.Handle(turmericyokev1connect.NewWorkerServiceHandler(p.workers))
	mux.HandleFunc("POST /faults/{switch}", p.setFault)
	mux.HandleFunc("GET /counts", p.serveCounts)
	return mux
}

// Run serves until ctx is cancelled.
func (p *Platform) Run(ctx context.Context) error {
	if err := p.endpoints.startAll(); err != nil {
		return err
	}
	defer p.endpoints.stopAll()
	listener, err := net.Listen("tcp", p.options.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: stopTimeout}
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-groupCtx.Done()
		stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if server.Shutdown(stopCtx) != nil {
			return server.Close()
		}
		return nil
	})
	return group.Wait()
}
