package main

import (
	"turmericyoke/internal/settings"
	"turmericyoke/internal/transport"
)

// config is the settings file of the controller.
type config struct {
	settings.Controller `yaml:",inline"`
	TLS                 transport.TLS `yaml:"tls"`
	// Operators may change the fleet through this controller.
	Operators []settings.Operator `yaml:"operators"`
}

// Check implements settings.Checker.
func (c *config) Check() []error {
	errs := c.Controller.Check()
	errs = append(errs, c.TLS.Check("tls")...)
	return append(errs, settings.CheckOperators("operators", c.Operators)...)
}
