// Command console serves web forms with which operators manage the fleet.
package main

import (
	"context"
	"encoding/hex"
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/adminclient"
	"turmericyoke/internal/auth"
	"turmericyoke/internal/console"
	"turmericyoke/internal/daemon"
	"turmericyoke/internal/logreader"
	"turmericyoke/internal/settings"
	"turmericyoke/internal/telemetry"
	"turmericyoke/internal/transport"
)

// version is set by the linker in release builds.
var version = "dev"

func main() { os.Exit(binary().Main()) }

func binary() daemon.Binary[*settings.Console] {
	return daemon.Binary[*settings.Console]{
		Name: "console", Short: "Serve web forms for operators of the fleet", Version: version,
		Settings: func() *settings.Console { return &settings.Console{} },
		Run:      run,
	}
}

// run serves until ctx ends, and then waits for open requests to finish.
func run(ctx context.Context, config *settings.Console, logs io.Writer) error {
	log := telemetry.NewLogger(logs, config.Name, config.Zone)
	link, err := transport.New(config.TLS)
	if err != nil {
		return err
	}
	link.LogReloads(log)
	server, err := newServer(config, link, log)
	if err != nil {
		return err
	}
	listener, err := link.ListenPublic(config.Listen)
	if err != nil {
		return err
	}
	httpServer := server.HTTP()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return httpServer.Serve(listener) })
	group.Go(func() error {
		<-groupCtx.Done()
		return httpServer.Shutdown()
	})
	log.WithFields(logrus.Fields{"event": "started", "listen": config.Listen}).Info("console is ready")
	return group.Wait()
}

// newServer returns a server that calls the controllers with the console's token. If a log is configured,
// it reads refusals from it.
func newServer(config *settings.Console, link *transport.Transport, logger *logrus.Entry) (*console.Server, error) {
	secret, err := hex.DecodeString(config.SessionSecret)
	if err != nil {
		return nil, err
	}
	client := adminclient.NewClient(link, config.Controllers, auth.WithToken(config.Token))
	var refusalLog logreader.Log
	if config.Log != "" {
		refusalLog = turmericyokev1connect.NewLogServiceClient(link.Client(), link.URL(config.Log))
	}
	return console.New(console.Config{
		RefusalsLog: refusalLog,
		Operators:   config.Operators,
		Secret:      secret,
		Secure:      !config.TLS.Plaintext,
		Client:      client,
		Logger:      logger,
		Now:         time.Now,
	})
}
