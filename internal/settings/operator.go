package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"turmericyoke/internal/fault"
)

// Operator is a person or program that may change the fleet.
type Operator struct {
	Name string `yaml:"name"`
	// TokenHash is the SHA-256 of the operator's token in hexadecimal digits.
	TokenHash string `yaml:"tokenHash"`
	// Delegate permits the operator to act on behalf of another operator, whom it names; the console
	// uses this.
	Delegate bool `yaml:"delegate"`
}

// CheckOperators returns one error for each violated rule. field is the path of the list in the settings.
func CheckOperators(field string, operators []Operator) []error {
	var errs []error
	for i, operator := range operators {
		path := fmt.Sprintf("%s[%d]", field, i)
		if err := CheckName(path+".name", operator.Name); err != nil {
			errs = append(errs, err)
		}
		if raw, err := hex.DecodeString(operator.TokenHash); err != nil || len(raw) != sha256.Size {
			errs = append(errs, fault.Invalid(fault.SettingsInvalid, path+".tokenHash",
				"want the SHA-256 of the token in %d hexadecimal digits", 2*sha256.Size))
		}
	}
	return errs
}
