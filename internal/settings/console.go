package settings

import (
	"encoding/hex"
	"fmt"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/transport"
)

// minSessionSecretBytes is the minimum length of the secret that signs sessions.
const minSessionSecretBytes = 32

// Console holds the settings of a console.
type Console struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Listen is the IP:port on which the console serves operators' browsers.
	Listen string `yaml:"listen"`
	// Controllers are the IP:ports of the controllers, in the order in which they are tried.
	Controllers []string `yaml:"controllers"`
	// Log is the IP:port of the platform's log service, which stores the refusals. If it is empty, the
	// console shows no refusals.
	Log string `yaml:"log"`
	// Operators are the operators who may sign in.
	Operators []Operator `yaml:"operators"`
	// Token authenticates the console at the controllers, which list it as a delegate.
	Token string `yaml:"token"`
	// SessionSecret is the secret that signs sessions, in hexadecimal digits. Consoles with the same
	// secret accept each other's sessions.
	SessionSecret string        `yaml:"sessionSecret"`
	TLS           transport.TLS `yaml:"tls"`
}

// Check implements Checker.
func (c *Console) Check() []error {
	errs := []error{CheckName("name", c.Name), CheckName("zone", c.Zone), CheckAddress("listen", c.Listen)}
	if len(c.Controllers) == 0 {
		errs = append(errs, fault.Invalid(fault.SettingsInvalid, "controllers", "want at least one IP:port"))
	}
	for i, address := range c.Controllers {
		errs = append(errs, CheckAddress(fmt.Sprintf("controllers[%d]", i), address))
	}
	if c.Log != "" {
		errs = append(errs, CheckAddress("log", c.Log))
	}
	if raw, err := hex.DecodeString(c.SessionSecret); err != nil || len(raw) < minSessionSecretBytes {
		errs = append(errs, fault.Invalid(fault.SettingsInvalid, "sessionSecret", "want at least %d bytes in hexadecimal digits", minSessionSecretBytes))
	}
	errs = append(errs, CheckOperators("operators", c.Operators)...)
	return append(errs, c.TLS.Check("tls")...)
}
