// Package settings reads the YAML settings of the binaries. Unknown fields are errors, and the whole
// settings file is checked before the binary starts its work.
package settings

import (
	"bytes"
	"errors"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"turmericyoke/internal/fault"
)

// Checker is implemented by settings that can validate themselves.
type Checker interface {
	// Check returns one error for each violated rule.
	Check() []error
}

// Load decodes the file at path into out and checks the result.
func Load(path string, out Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(fault.SettingsInvalid, err, "settings file can't be read")
	}
	return Parse(data, out)
}

// Parse decodes data into out and checks the result.
func Parse(data []byte, out Checker) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(out); err != nil {
		return fault.Wrap(fault.SettingsInvalid, err, "settings can't be decoded")
	}
	return errors.Join(out.Check()...)
}

// CheckAddress returns an error unless address consists of an IP address and a port.
func CheckAddress(field, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fault.Invalid(fault.SettingsInvalid, field, "address %q: want an IP address and a port, such as 10.0.0.1:7000", address)
	}
	return nil
}

// CheckName returns an error unless name is valid; see ValidName.
func CheckName(field, name string) error {
	if !ValidName(name) {
		return fault.Invalid(fault.SettingsInvalid, field, "name %s: want 1 to 63 lower-case letters, digits, dots or hyphens", strconv.Quote(name))
	}
	return nil
}

// MaxNameLength is the maximum length of a name in bytes.
const MaxNameLength = 63

// ValidName reports whether name is accepted as the name of a process or of an object of the
// document: 1 to MaxNameLength lower-case letters, digits, dots and hyphens.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	const accepted = "abcdefghijklmnopqrstuvwxyz0123456789-."
	return strings.Trim(name, accepted) == ""
}
