package settings

import (
	"fmt"
	"time"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/transport"
)

// Gateway holds the settings of a gateway.
type Gateway struct {
	// Name is unique in the fleet.
	Name string `yaml:"name"`
	// Zone is the gateway's availability zone, and Region lists all zones of its region.
	Zone   string   `yaml:"zone"`
	Region []string `yaml:"region"`
	// Listen is the IP:port for callers, PeerListen the one for other gateways, and OperatorListen the
	// one for metrics, health and profiling.
	Listen         string `yaml:"listen"`
	PeerListen     string `yaml:"peerListen"`
	OperatorListen string `yaml:"operatorListen"`
	// PeerAdvertise is the IP:port at which other gateways reach this one; if empty, it is PeerListen.
	PeerAdvertise string `yaml:"peerAdvertise"`
	// Log is the IP:port of the platform's log service, to which refusals are written.
	Log string `yaml:"log"`
	// TLS names the certificate files for connections with callers and other processes.
	TLS transport.TLS `yaml:"tls"`
	// Controllers are the IP:ports of the zone's controllers, the gateway's own controller first.
	Controllers []string        `yaml:"controllers"`
	Limits      GatewayLimits   `yaml:"limits"`
	Timeouts    GatewayTimeouts `yaml:"timeouts"`
}

// GatewayLimits limit the memory use of a gateway.
type GatewayLimits struct {
	// HeaderBytes limits the header and BodyBytes the body of a request; AnswerBytes limits the body of
	// a response.
	HeaderBytes int `yaml:"headerBytes"`
	BodyBytes   int `yaml:"bodyBytes"`
	AnswerBytes int `yaml:"answerBytes"`
	// BufferedBytes limits the total size of the bodies of all requests in progress, and QueueBytes that
	// of the queued requests.
	BufferedBytes int64 `yaml:"bufferedBytes"`
	QueueBytes    int64 `yaml:"queueBytes"`
	// QueueWaiting limits the number of queued requests of one pool.
	QueueWaiting int `yaml:"queueWaiting"`
	// Connections limits the number of connections from callers.
	Connections int `yaml:"connections"`
}

// GatewayTimeouts limit how long a gateway waits.
type GatewayTimeouts struct {
	// QueueWait is the maximum time that a request waits for a right and a slot.
	QueueWait structs.Duration `yaml:"queueWait"`
	// Connect limits the time to open a connection to an endpoint.
	Connect structs.Duration `yaml:"connect"`
	// Read limits the time to receive a request, Write the time to send its response, and Idle the time
	// between two requests of a connection.
	Read  structs.Duration `yaml:"read"`
	Write structs.Duration `yaml:"write"`
	Idle  structs.Duration `yaml:"idle"`
	// Drain is the time that the load balancer needs to detect that the gateway isn't ready.
	Drain structs.Duration `yaml:"drain"`
	// Shutdown limits the wait for requests in progress. It should be at least the longest permitted
	// run time.
	Shutdown structs.Duration `yaml:"shutdown"`
}

// DefaultGateway returns the default settings.
func DefaultGateway() *Gateway {
	return &Gateway{
		Limits: GatewayLimits{
			HeaderBytes: 8 << 10, BodyBytes: 1 << 20, AnswerBytes: 4 << 20,
			BufferedBytes: 16 << 20, QueueBytes: 8 << 20, QueueWaiting: 512, Connections: 2048,
		},
		Timeouts: GatewayTimeouts{
			QueueWait: structs.Duration(10 * time.Second),
			Connect:   structs.Duration(time.Second),
			Read:      structs.Duration(10 * time.Second),
			Write:     structs.Duration(30 * time.Second),
			Idle:      structs.Duration(30 * time.Second),
			Drain:     structs.Duration(5 * time.Second),
			Shutdown:  structs.Duration(structs.DefaultMaxRunTime + 5*time.Second),
		},
	}
}

// Check implements Checker.
func (g *Gateway) Check() []error {
	var errs []error
	add := func(err error) {
		if err != nil {
			errs = append(errs, err)
		}
	}
	add(CheckName("name", g.Name))
	add(CheckName("zone", g.Zone))
	for i, zone := range g.Region {
		add(CheckName(fmt.Sprintf("region[%d]", i), zone))
	}
	add(CheckAddress("listen", g.Listen))
	add(CheckAddress("peerListen", g.PeerListen))
	add(CheckAddress("operatorListen", g.OperatorListen))
	add(CheckAddress("log", g.Log))
	if g.PeerAdvertise != "" {
		add(CheckAddress("peerAdvertise", g.PeerAdvertise))
	}
	errs = append(errs, g.TLS.Check("tls")...)
	if len(g.Controllers) == 0 {
		add(fault.Invalid(fault.SettingsInvalid, "controllers", "no controller: want at least 1"))
	}
	for i, address := range g.Controllers {
		add(CheckAddress(fmt.Sprintf("controllers[%d]", i), address))
	}
	for _, setting := range g.positiveSettings() {
		add(setting.check())
	}
	return errs
}

// PeerAddress returns the IP:port at which other gateways reach this one.
func (g *Gateway) PeerAddress() string {
	if g.PeerAdvertise != "" {
		return g.PeerAdvertise
	}
	return g.PeerListen
}

// positiveSetting is a numeric setting that must be above 0.
type positiveSetting struct {
	field string
	value int64
}

func (p positiveSetting) check() error {
	if p.value > 0 {
		return nil
	}
	return fault.Invalid(fault.SettingsInvalid, p.field, "%d: want more than 0", p.value)
}

// positiveSettings returns the settings that must be above 0.
func (g *Gateway) positiveSettings() []positiveSetting {
	return []positiveSetting{
		{"limits.headerBytes", int64(g.Limits.HeaderBytes)},
		{"limits.bodyBytes", int64(g.Limits.BodyBytes)},
		{"limits.answerBytes", int64(g.Limits.AnswerBytes)},
		{"limits.bufferedBytes", g.Limits.BufferedBytes},
		{"limits.queueBytes", g.Limits.QueueBytes},
		{"limits.queueWaiting", int64(g.Limits.QueueWaiting)},
		{"limits.connections", int64(g.Limits.Connections)},
		{"timeouts.queueWait", int64(g.Timeouts.QueueWait)},
		{"timeouts.connect", int64(g.Timeouts.Connect)},
		{"timeouts.read", int64(g.Timeouts.Read)},
		{"timeouts.write", int64(g.Timeouts.Write)},
		{"timeouts.idle", int64(g.Timeouts.Idle)},
		{"timeouts.drain", int64(g.Timeouts.Drain)},
		{"timeouts.shutdown", int64(g.Timeouts.Shutdown)},
	}
}
