package main

import (
	"turmericyoke/internal/settings"
	"turmericyoke/internal/transport"
)

// config is the schema of the controller's settings file.
type config struct {
	settings.Controller `yaml:",inline"`
	TLS                 transport.TLS `yaml:"tls"`
	// Operators lists the operators that may change the fleet through this controller, with the hashes of
	// their tokens.
	Operators []settings.Operator `yaml:"operators"`
}

// Check implements settings.Checker and returns all errors in the settings.
func (c *config) Check() []error {
	errs := c.Controller.Check()
	errs = append(errs, c.TLS.Check("tls")...)
	return append(errs, settings.CheckOperators("operators", c.Operators)...)
}
