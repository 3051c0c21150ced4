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

// logClient is a controller's connection to the log, which can be cut.
type logClient struct {
	turmericyokev1connect.LogServiceClient
	cut atomic.Bool
}

var errCut = connect.NewError(connect.CodeUnavailable, errors.New("connection to the log is cut"))

// Read implements LogServiceClient.
func (c *logClient) Read(ctx context.Context, request *v1.ReadRequest) (*v1.ReadResponse, error) {
	if c.cut.Load() {
		return nil, errCut
	}
	return c.LogServiceClient.Read(ctx, request)
}

// node is a controller's parts and, if wanted, the view client of a gateway.
type node struct {
	name     string
	listener net.Listener
	reader   *follower.Follower
	writer   *proposer.Proposer
	log      *logClient
	store    *fleet.Store
	fromLog  Traffic
	peers    Traffic
	view     Traffic
	stop     func()
}

func quiet() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func controllerName(i int) string { return fmt.Sprintf("controller-%03d", i) }

func zoneOf(i, zones int) string { return fmt.Sprintf("zone-%02d", i%zones) }

// startNodes starts controllers that know each other; the first views of them have a view client.
func startNodes(logURL string, count, views, zones int) ([]*node, error) {
	nodes := make([]*node, count)
	for i := range nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		nodes[i] = &node{name: controllerName(i), listener: listener, store: fleet.NewStore()}
	}
	for i, n := range nodes {
		if err := n.start(logURL, nodes, zoneOf(i, zones), zones, i < views); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

func (n *node) url() string { return "http://" + n.listener.Addr().String() }

func (n *node) start(logURL string, nodes []*node, zone string, zones int, withView bool) error {
	toLog, err := n.fromLog.Client()
	if err != nil {
		return err
	}
	toPeers, err := n.peers.Client()
	if err != nil {
		return err
	}
	n.log = &logClient{LogServiceClient: turmericyokev1connect.NewLogServiceClient(toLog, logURL)}
	var peers []follower.Peer
	for i, other := range nodes {
		client := turmericyokev1connect.NewControllerServiceClient(toPeers, other.url())
		peers = append(peers, follower.Peer{Name: other.name, Zone: zoneOf(i, zones), Client: client})
	}
	n.reader = follower.New(follower.Config{Name: n.name, Incarnation: incarnation, Zone: zone, Log: n.log, Peers: peers, Logger: quiet()})
	n.writer = proposer.New(n.name, incarnation, n.log, n.reader)
	return n.run(withView)
}

func (n *node) run(withView bool) error {
	link, err := transport.New(transport.TLS{Plaintext: true})
	if err != nil {
		return err
	}
	service := serve.New(serve.Config{
		Follower: n.reader, Proposer: n.writer, Joined: func() bool { return true },
		Metrics: serve.NewMetrics(prometheus.NewRegistry(), n.reader),
	})
	mux := http.NewServeMux()
	mux.Handle(turmericyokev1connect.NewControllerServiceHandler(service))
	server := link.Server(mux)
	ctx, cancel := context.WithCancel(context.Background())
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	snapshots := &snapshot.Loop{Name: n.name, Incarnation: incarnation, State: n.reader, Log: n.log, Logger: quiet()}
	group := &errgroup.Group{}
	group.Go(func() error { return n.reader.Run(ctx) })
	group.Go(func() error { return n.writer.Run(ctx) })
	group.Go(func() error { return snapshots.Run(ctx) })
	group.Go(func() error { return server.Serve(n.listener) })
	if withView {
		client, err := n.view.Client()
		if err != nil {
			cancel()
			return err
		}
		source := viewclient.Source{Name: n.name, Client: turmericyokev1connect.NewControllerServiceClient(client, n.url())}
		views := viewclient.New("gateway-of-"+n.name, []viewclient.Source{source}, n.store, quiet(), time.Now)
		group.Go(func() error { return views.Run(ctx) })
	}
	n.stop = func() {
		cancel()
		_ = server.Close()
		_ = group.Wait()
	}
	return nil
}

// awaitAll returns once done holds for each node; the time is bounded.
func awaitAll(ctx context.Context, nodes []*node, done func(*node) bool) error {
	const bound, interval = time.Minute, 2 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for _, n := range nodes {
		for !done(n) {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return fmt.Errorf("controller %s at offset %d: %w", n.name, n.reader.Offset(), ctx.Err())
			}
		}
	}
	return nil
}

func stopAll(nodes []*node) {
	for _, n := range nodes {
		n.stop()
	}
}

// join makes the controller a member, so that its own proposals can be accepted.
func (n *node) join(ctx context.Context) error {
	record := &v1.Record{Payload: &v1.Record_Join{Join: &v1.Join{Zone: zoneOf(0, 1), Address: "10.200.100.100:7002", Role: v1.Role_ROLE_CONTROLLER}}}
	return n.propose(ctx, record)
}

// propose fails when the fold doesn't accept the record.
func (n *node) propose(ctx context.Context, record *v1.Record) error {
	verdict, err := n.writer.Propose(ctx, record)
	if err == nil && !verdict.Accepted {
		err = fmt.Errorf("proposal of %s is rejected: %s %s", n.name, verdict.Kind, verdict.Detail)
	}
	return err
}

// settled returns the condition that a node has folded up to offset, and its view client with it.
func settled(offset int64, views int) func(*node) bool {
	return func(n *node) bool {
		return n.reader.Ready() && n.reader.Offset() >= offset && (views == 0 || n.store.Current().View.Offset >= offset)
	}
}
