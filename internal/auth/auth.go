// Package auth authenticates operators who call controllers or the console.
package auth

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"strings"

	"connectrpc.com/connect"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/settings"
)

// Identify returns the operator with the token. It compares with all operators in
// constant time, so that the answer's delay tells nothing about a token.
func Identify(operators []settings.Operator, token string) (settings.Operator, bool) {
	digest := sha256.Sum256([]byte(token))
	tokenHash := hex.EncodeToString(digest[:])
	identified, found := settings.Operator{}, false
	for _, operator := range operators {
		if subtle.ConstantTimeCompare([]byte(tokenHash), []byte(strings.ToLower(operator.TokenHash))) == 1 {
			identified, found = operator, true
		}
	}
	return identified, found
}

// bearerPrefix starts the Authorization header of operators.
const bearerPrefix = "Bearer "

// errTokenRequired is the answer to a missing or wrong token.
var errTokenRequired = errors.New("want an operator's token in the Authorization header")

// NewInterceptor returns an interceptor for controllers. A proposal without an envelope comes from
// an operator: it needs a token, and the operator's name replaces the author that the call names,
// except for a delegate such as the console.
// Proposals of gateways carry their envelope, or submit a job, and are authenticated by their
// certificate.
func NewInterceptor(operators []settings.Operator) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			proposal, isProposal := request.Any().(*v1.ProposeRequest)
			if !isProposal || proposal.GetRecord().GetProposer() != "" || isJobProposal(proposal) {
				return next(ctx, request)
			}
			token, _ := strings.CutPrefix(request.Header().Get("Authorization"), bearerPrefix)
			operator, known := Identify(operators, token)
			if !known {
				return nil, connect.NewError(connect.CodeUnauthenticated, errTokenRequired)
			}
			setAuthor(proposal, auditAuthor(operator, proposal.GetAuthor()))
			return next(ctx, request)
		}
	})
}

// isJobProposal reports whether the proposal comes from a submitter, through a gateway that checked the
// key; the fold checks the key again.
func isJobProposal(proposal *v1.ProposeRequest) bool {
	return proposal.GetRecord().GetJobSubmit() != nil || proposal.GetRecord().GetJobCancel() != nil
}

// auditAuthor returns the author for the audit trail. Only a delegate may name somebody else.
func auditAuthor(operator settings.Operator, claimed string) string {
	if operator.Delegate && claimed != "" {
		return claimed
	}
	return operator.Name
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
