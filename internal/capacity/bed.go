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

// headerTimeout bounds the time to receive a header.
const headerTimeout = 5 * time.Second

// bed is a log that is served over loopback, and the writer that fills it.
type bed struct {
	log    *logsvc.Log
	writer *writer
	url    string
	server *http.Server
}

func newBed(ctx context.Context, address string, size fleetdoc.Size, entryHosts int, seed uint64) (*bed, error) {
	log := logsvc.New()
	// The writer stands for many processes and appends one by one, so it isn't held to the rate.
	log.SetRate(0)
	w, err := newWriter(ctx, log, size, entryHosts, seed)
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
	return &bed{log: log, writer: w, url: "http://" + listener.Addr().String(), server: server}, nil
}

func (b *bed) close() { _ = b.server.Close() }

// load calls step at an even rate for span. Rate 0 is an idle span.
func load(ctx context.Context, span time.Duration, rate float64, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, span)
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
