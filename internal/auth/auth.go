// Package auth authenticates operators who call controllers or the console.
package auth

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/settings"
)

// Operator is a person or program that may change the fleet.
type Operator struct {
	Name string `yaml:"name"`
	// TokenHash is the SHA-256 of the operator's token in hexadecimal digits.
	TokenHash string `yaml:"tokenHash"`
}

// Check returns one error for each broken rule.
func Check(field string, operators []Operator) []error {
	var errs []error
	for i, operator := range operators {
		path := fmt.Sprintf("%s[%d]", field, i)
		if err := settings.CheckName(path+".name", operator.Name); err != nil {
			errs = append(errs, err)
		}
		if raw, err := hex.DecodeString(operator.TokenHash); err != nil || len(raw) != sha256.Size {
			errs = append(errs, fault.Invalid(fault.SettingsInvalid, path+".tokenHash", "want the SHA-256 of the token in %d hexadecimal digits", 2*sha256.Size))
		}
	}
	return errs
}

// Identify returns the name of the operator with the token. It compares with all operators in
// constant time, so that the answer's delay tells nothing about a token.
func Identify(operators []Operator, token string) (string, bool) {
	digest := sha256.Sum256([]byte(token))
	given := hex.EncodeToString(digest[:])
	name, found := "", false
	for _, operator := range operators {
		if subtle.ConstantTimeCompare([]byte(given), []byte(strings.ToLower(operator.TokenHash))) == 1 {
			name, found = operator.Name, true
		}
	}
	return name, found
}

// bearerPrefix starts the Authorization header of operators.
const bearerPrefix = "Bearer "

// errUnauthenticated is the answer to a missing or wrong token.
var errUnauthenticated = errors.New("want an operator's token in the Authorization header")

// NewInterceptor returns an interceptor for controllers. A proposal without an envelope comes from
// an operator: it needs a token, and the operator's name replaces the author that the call names.
// Proposals of gateways carry their envelope and are authenticated by their certificate.
func NewInterceptor(operators []Operator) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			proposal, ok := request.Any().(*v1.ProposeRequest)
			if !ok || proposal.GetRecord().GetProposer() != "" {
				return next(ctx, request)
			}
			token, _ := strings.CutPrefix(request.Header().Get("Authorization"), bearerPrefix)
			name, known := Identify(operators, token)
			if !known {
				return nil, connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
			}
			setAuthor(proposal, name)
			return next(ctx, request)
		}
	})
}

// setAuthor writes the authenticated name wherever the proposal has an author.
func setAuthor(proposal *v1.ProposeRequest, name string) {
	proposal.Author = name
	if changeSet := proposal.GetRecord().GetChangeSet(); changeSet != nil {
		changeSet.Author = name
	}
	if control := proposal.GetRecord().GetWaveControl(); control != nil {
		control.Author = name
	}
}

// WithToken returns a client option that sends the operator's token.
func WithToken(token string) connect.ClientOption {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", bearerPrefix+token)
			return next(ctx, request)
		}
	}))
}
