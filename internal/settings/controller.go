package settings

import (
	"fmt"

	"turmericyoke/internal/fault"
)

// Controller holds the settings of a controller that don't depend on other packages. The controller
// binary adds the TLS files and the operators.
type Controller struct {
	// Name is unique among the running processes of the fleet.
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Listen is the IP:port on which gateways, other controllers and operators' tools are served.
	Listen string `yaml:"listen"`
	// Advertise is the IP:port at which other processes reach the controller; if empty, it is Listen.
	Advertise string `yaml:"advertise"`
	// OperatorsListen is the IP:port of the health, metrics and profiling endpoints. Processes of the
	// fleet don't use it.
	OperatorsListen string `yaml:"operatorsListen"`
	// Log is the IP:port of the platform's log service.
	Log string `yaml:"log"`
	// Hosts and Workers are the IP:ports of the platform's host service and worker service.
	Hosts   string `yaml:"hosts"`
	Workers string `yaml:"workers"`
	// Controllers are the other controllers of the fleet.
	Controllers []ControllerPeer `yaml:"controllers"`
	// LogLevel is debug, info, warning or error; if empty, it is info.
	LogLevel string `yaml:"logLevel"`
}

// ControllerPeer identifies another controller of the fleet.
type ControllerPeer struct {
	Name    string `yaml:"name"`
	Zone    string `yaml:"zone"`
	Address string `yaml:"address"`
}

// Check implements Checker.
func (c *Controller) Check() []error {
	var errs []error
	add := func(err error) {
		if err != nil {
			errs = append(errs, err)
		}
	}
	add(CheckName("name", c.Name))
	add(CheckName("zone", c.Zone))
	add(CheckAddress("listen", c.Listen))
	add(CheckAddress("operatorsListen", c.OperatorsListen))
	add(CheckAddress("log", c.Log))
	add(CheckAddress("hosts", c.Hosts))
	add(CheckAddress("workers", c.Workers))
	if c.Advertise != "" {
		add(CheckAddress("advertise", c.Advertise))
	}
	seen := map[string]bool{c.Name: true}
	for i, peer := range c.Controllers {
		field := fmt.Sprintf("controllers[%d]", i)
		add(CheckName(field+".name", peer.Name))
		add(CheckName(field+".zone", peer.Zone))
		add(CheckAddress(field+".address", peer.Address))
		if seen[peer.Name] {
			add(fault.Invalid(fault.SettingsInvalid, field+".name", "name %q is used twice", peer.Name))
		}
		seen[peer.Name] = true
	}
	return errs
}

// Address returns the IP:port at which other processes reach the controller.
func (c *Controller) Address() string {
	if c.Advertise != "" {
		return c.Advertise
	}
	return c.Listen
}
