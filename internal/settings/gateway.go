package settings

import (
	"fmt"
	"time"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/transport"
)

// Gateway is the settings file of the gateway.
type Gateway struct {
	// Name is unique in the fleet.
	Name string `yaml:"name"`
	// Zone is the availability zone, and Region lists all zones of its region.
	Zone   string   `yaml:"zone"`
	Region []string `yaml:"region"`
	// Listen is the callers' address, PeerListen that of other gateways, and OperatorListen that of
	// metrics, health and profiles.
	Listen         string `yaml:"listen"`
	PeerListen     string `yaml:"peerListen"`
	OperatorListen string `yaml:"operatorListen"`
	// PeerAdvertise is the IP:port that other gateways call; empty means PeerListen.
	PeerAdvertise string `yaml:"peerAdvertise"`
	// Log is the IP:port of the platform's log, for the record of refusals.
	Log string `yaml:"log"`
	// TLS names the certificates for callers and other processes.
	TLS transport.TLS `yaml:"tls"`
	// Controllers are the addresses of the zone's controllers; the first is the gateway's own.
	Controllers []string        `yaml:"controllers"`
	Limits      GatewayLimits   `yaml:"limits"`
	Timeouts    GatewayTimeouts `yaml:"timeouts"`
}

// GatewayLimits bound the memory of a gateway.
type GatewayLimits struct {
	// HeaderBytes bounds the header and BodyBytes the body of a request; AnswerBytes the body of an answer.
	HeaderBytes int `yaml:"headerBytes"`
	BodyBytes   int `yaml:"bodyBytes"`
	AnswerBytes int `yaml:"answerBytes"`
	// BufferedBytes bounds the bodies of all requests in progress, and QueueBytes those of waiting ones.
	BufferedBytes int64 `yaml:"bufferedBytes"`
	QueueBytes    int64 `yaml:"queueBytes"`
	// QueueWaiting bounds the waiting requests of one pool.
	QueueWaiting int `yaml:"queueWaiting"`
	// Connections bounds the callers' connections.
	Connections int `yaml:"connections"`
}

// GatewayTimeouts bound waits.
type GatewayTimeouts struct {
	// QueueWait is the longest wait for a right and a slot.
	QueueWait structs.Duration `yaml:"queueWait"`
	// Connect bounds a new connection to an endpoint.
	Connect structs.Duration `yaml:"connect"`
	// Read bounds the time to receive a request, Write that to send its answer, and Idle the time
	// between requests of a connection.
	Read  structs.Duration `yaml:"read"`
	Write structs.Duration `yaml:"write"`
	Idle  structs.Duration `yaml:"idle"`
	// Drain is the time that the load balancer needs to notice that the gateway isn't ready.
	Drain structs.Duration `yaml:"drain"`
	// Shutdown bounds the wait for requests in progress; at least the longest permitted run.
	Shutdown structs.Duration `yaml:"shutdown"`
}

// DefaultGateway returns settings with all values that have defaults.
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

// PeerAddress returns the IP:port that other gateways call.
func (g *Gateway) PeerAddress() string {
	if g.PeerAdvertise != "" {
		return g.PeerAdvertise
	}
	return g.PeerListen
}

// positiveSetting is a number that must be above 0.
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
