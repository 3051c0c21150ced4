// Package telemetry sets up logs and metrics in the same way for each binary.
package telemetry

import (
	"io"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger that writes one line of key=value pairs for each event.
func NewLogger(out io.Writer, process, zone string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	return logger.WithFields(logrus.Fields{"process": process, "zone": zone})
}

// NewRegistry returns a registry with the collectors of the Go runtime and the process.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}
