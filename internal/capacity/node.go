package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/controller/serve"
	"turmericyoke/internal/controller/snapshot"
	"turmericyoke/internal/follower"
	"turmericyoke/internal/gateway/fleet"
	"turmericyoke/internal/gateway/viewclient"
	"turmericyoke/internal/proposer"
	"turmericyoke/internal/transport"
)

// logClient is a controller's client of the log. While disconnected is set, reads fail.
type logClient struct {
	turmericyokev1connect.LogServiceClient
	disconnected atomic.Bool
}

var errDisconnected = connect.NewError(connect.CodeUnavailable, errors.New("connection to the log is interrupted by the measurement"))

// Read implements LogServiceClient.
func (c *logClient) Read(ctx context.Context, request *v1.ReadRequest) (*v1.ReadResponse, error) {
	if c.disconnected.Load() {
		return nil, errDisconnected
	}
	return c.LogServiceClient.Read(ctx, request)
}

// controller runs the components of a controller in this process, optionally with the client of a
// gateway that follows its view. The Traffic fields count the bytes to and from the log, other
// controllers and this view client.
type controller struct {
	name        string
	listener    net.Listener
	follower    *follower.Follower
	proposer    *proposer.Proposer
	logClient   *logClient
	viewStore   *fleet.Store
	logTraffic  Traffic
	peerTraffic Traffic
	viewTraffic Traffic
	stop        func()
}

// discardLogger returns a logger without output.
func discardLogger() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func controllerName(i int) string { return fmt.Sprintf("controller-%03d", i) }

func zoneName(i, zones int) string { return fmt.Sprintf("zone-%02d", i%zones) }

// startControllers starts count controllers that know each other as peers. The first viewClients of
// them each get a view client.
func startControllers(logURL string, count, viewClients, zones int) ([]*controller, error) {
	controllers := make([]*controller, count)
	for i := range controllers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		controllers[i] = &controller{name: controllerName(i), listener: listener, viewStore: fleet.NewStore()}
	}
	for i, c := range controllers {
		if err := c.start(logURL, controllers, zoneName(i, zones), zones, i < viewClients); err != nil {
			return nil, err
		}
	}
	return controllers, nil
}

func (c *controller) url() string { return "http://" + c.listener.Addr().String() }

// start connects the controller to the log and to all controllers as peers, and starts it.
func (c *controller) start(logURL string, controllers []*controller, zone string, zones int, withViewClient bool) error {
	logHTTP, err := c.logTraffic.Client()
	if err != nil {
		return err
	}
	peerHTTP, err := c.peerTraffic.Client()
	if err != nil {
		return err
	}
	c.logClient = &logClient{LogServiceClient: turmericyokev1connect.NewLogServiceClient(logHTTP, logURL)}
	var peers []follower.Peer
	for i, other := range controllers {
		client := turmericyokev1connect.NewControllerServiceClient(peerHTTP, other.url())
		peers = append(peers, follower.Peer{Name: other.name, Zone: zoneName(i, zones), Client: client})
	}
	c.follower = follower.New(follower.Config{Name: c.name, Incarnation: incarnation, Zone: zone, Log: c.logClient, Peers: peers, Logger: discardLogger()})
	c.proposer = proposer.New(c.name, incarnation, c.logClient, c.follower)
	return c.serve(withViewClient)
}

// serve starts the controller's loops and its server, and sets stop to end them.
func (c *controller) serve(withViewClient bool) error {
	link, err := transport.New(transport.TLS{Plaintext: true})
	if err != nil {
		return err
	}
	service := serve.New(serve.Config{
		Follower: c.follower, Proposer: c.proposer, Joined: func() bool { return true },
		Metrics: serve.NewMetrics(prometheus.NewRegistry(), c.follower),
	})
	mux := http.NewServeMux()
	mux.Handle(turmericyokev1connect.NewControllerServiceHandler(service))
	server := link.Server(mux)
	ctx, cancel := context.WithCancel(context.Background())
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	snapshots := &snapshot.Loop{Name: c.name, Incarnation: incarnation, State: c.follower, Log: c.logClient, Logger: discardLogger()}
	group := &errgroup.Group{}
	group.Go(func() error { return c.follower.Run(ctx) })
	group.Go(func() error { return c.proposer.Run(ctx) })
	group.Go(func() error { return snapshots.Run(ctx) })
	group.Go(func() error { return server.Serve(c.listener) })
	if withViewClient {
		client, err := c.viewTraffic.Client()
		if err != nil {
			cancel()
			return err
		}
		source := viewclient.Source{Name: c.name, Client: turmericyokev1connect.NewControllerServiceClient(client, c.url())}
		viewClient := viewclient.New("gateway-of-"+c.name, []viewclient.Source{source}, c.viewStore, discardLogger(), time.Now)
		group.Go(func() error { return viewClient.Run(ctx) })
	}
	c.stop = func() {
		cancel()
		_ = server.Close()
		_ = group.Wait()
	}
	return nil
}

// awaitAll returns once condition has held for each controller, or fails after a minute.
func awaitAll(ctx context.Context, controllers []*controller, condition func(*controller) bool) error {
	const timeout, interval = time.Minute, 2 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for _, c := range controllers {
		for !condition(c) {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return fmt.Errorf("controller %s, now at offset %d, hasn't reached the awaited state: %w", c.name, c.follower.Offset(), ctx.Err())
			}
		}
	}
	return nil
}

func stopAll(controllers []*controller) {
	for _, c := range controllers {
		c.stop()
	}
}

// join makes the controller a member of the fleet, so that the fold accepts its proposals.
func (c *controller) join(ctx context.Context) error {
	record := &v1.Record{Payload: &v1.Record_Join{Join: &v1.Join{Zone: zoneName(0, 1), Address: "10.200.100.100:7002", Role: v1.Role_ROLE_CONTROLLER}}}
	return c.propose(ctx, record)
}

// propose appends the record through the controller and fails if the fold rejects it.
func (c *controller) propose(ctx context.Context, record *v1.Record) error {
	verdict, err := c.proposer.Propose(ctx, record)
	if err == nil && !verdict.Accepted {
		err = fmt.Errorf("the fold rejected a proposal of %s: %s: %s", c.name, verdict.Kind, verdict.Detail)
	}
	return err
}

// caughtUp returns the condition that a controller has folded the log up to offset. Unless viewClients
// is 0, its view client must have reached the offset too.
func caughtUp(offset int64, viewClients int) func(*controller) bool {
	return func(c *controller) bool {
		return c.follower.Ready() && c.follower.Offset() >= offset && (viewClients == 0 || c.viewStore.Current().View.Offset >= offset)
	}
}
