// Package telemetry sets up logging and metrics for all binaries.
package telemetry

import (
	"io"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger that writes each entry as a line of key=value pairs, with the name and the
// availability zone of the process.
func NewLogger(out io.Writer, process, zone string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	return logger.WithFields(logrus.Fields{"process": process, "zone": zone})
}

// NewRegistry returns a Prometheus registry with the collectors of the Go runtime and the process.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}
