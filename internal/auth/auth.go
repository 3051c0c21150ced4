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

// Identify returns the operator whose token hash matches the token. It compares the hashes of all operators in
// constant time, so that the response time reveals nothing about a token.
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

// bearerPrefix precedes the token in the Authorization header.
const bearerPrefix = "Bearer "

// errTokenRequired is returned to callers whose operator token is missing or wrong.
var errTokenRequired = errors.New("want an operator's token in the Authorization header")

// NewInterceptor returns an interceptor with which controllers authenticate operators. A proposal whose
// record names no proposer comes from an operator: it needs a token, and the operator's name replaces the
// author in the request. Only a delegate, such as the console, may name another author.
//
// Proposals of gateways name their proposer, or submit or cancel a job. The client certificate authenticates
// them.
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

// isJobProposal reports whether the proposal submits or cancels a job. Such a proposal comes from
// a submitter through a gateway that checked the submitter's key, and the fold checks the key again.
func isJobProposal(proposal *v1.ProposeRequest) bool {
	return proposal.GetRecord().GetJobSubmit() != nil || proposal.GetRecord().GetJobCancel() != nil
}

// auditAuthor returns the author for the audit trail: the claimed one if the operator is a delegate, and
// otherwise the operator.
func auditAuthor(operator settings.Operator, claimed string) string {
	if operator.Delegate && claimed != "" {
		return claimed
	}
	return operator.Name
}

// setAuthor sets every author field of the proposal to the authenticated name.
func setAuthor(proposal *v1.ProposeRequest, name string) {
	proposal.Author = name
	if changeSet := proposal.GetRecord().GetChangeSet(); changeSet != nil {
		changeSet.Author = name
	}
	if control := proposal.GetRecord().GetWaveControl(); control != nil {
		control.Author = name
	}
}

// WithToken returns a client option that sends the operator's token with every call.
func WithToken(token string) connect.ClientOption {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", bearerPrefix+token)
			return next(ctx, request)
		}
	}))
}
