// Package telemetry sets up logging and metrics for all binaries.
package telemetry

import (
	"io"
	"time"

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

// timedFormatter is a formatter whose time counts as a stage.
type timedFormatter struct {
	logrus.Formatter
	stage *Stage
}

// Format implements logrus.Formatter.
func (f timedFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	defer f.stage.Since(time.Now())
	return f.Formatter.Format(entry)
}

// TimeLogging counts the formatting of the logger's lines as a stage of usage. It must be called before the logger is
// used.
func TimeLogging(logger *logrus.Entry, usage *Usage) {
	logger.Logger.SetFormatter(timedFormatter{logger.Logger.Formatter, usage.Stage("log")})
}

// NewRegistry returns a Prometheus registry with the collectors of the Go runtime and the process.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}
