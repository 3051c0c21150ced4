package capacity

import (
	"context"
	"net"
	"net/http"
	"time"

	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/standin/fleetdoc"
	"turmericyoke/internal/standin/logsvc"
)

// headerTimeout bounds the time to receive the header of a request to the log.
const headerTimeout = 5 * time.Second

// testbed is a stand-in for the log, served over loopback, with the writer that fills it.
type testbed struct {
	log    *logsvc.Log
	writer *recordWriter
	url    string
	server *http.Server
}

func newTestbed(ctx context.Context, address string, size fleetdoc.Size, entryHosts int, seed uint64) (*testbed, error) {
	log := logsvc.New()
	// The stand-in limits the rate of appends. Here one writer appends the records of many processes
	// one at a time, so the limit is switched off.
	log.SetRate(0)
	writer, err := newRecordWriter(ctx, log, size, entryHosts, seed)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(turmericyokev1connect.NewLogServiceHandler(log))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return &testbed{log: log, writer: writer, url: "http://" + listener.Addr().String(), server: server}, nil
}

func (bed *testbed) close() { _ = bed.server.Close() }

// generateLoad calls step at an even rate, in calls per second, for the duration. With rate 0 it only waits.
func generateLoad(ctx context.Context, duration time.Duration, rate float64, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	if rate <= 0 {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if err := step(context.WithoutCancel(ctx)); err != nil {
			return err
		}
	}
}
