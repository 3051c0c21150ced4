package settings

import (
	"encoding/hex"
	"fmt"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/transport"
)

// minSessionSecretBytes is the least length of the secret that signs sessions.
const minSessionSecretBytes = 32

// Console is the settings of the console.
type Console struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Listen is the IP:port for operators' browsers.
	Listen string `yaml:"listen"`
	// Controllers are the IP:port of controllers, asked in this order.
	Controllers []string `yaml:"controllers"`
	// Log is the IP:port of the platform's log service, which keeps the refusals; without it the
	// console shows none.
	Log string `yaml:"log"`
	// Operators may sign in.
	Operators []Operator `yaml:"operators"`
	// Token is the console's own token at the controllers, where it is a delegate.
	Token string `yaml:"token"`
	// SessionSecret signs sessions, in hexadecimal digits; consoles that share it share sessions.
	SessionSecret string        `yaml:"sessionSecret"`
	TLS           transport.TLS `yaml:"tls"`
}

// Check returns one error for each broken rule.
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
