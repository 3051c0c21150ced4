package auth

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/settings"
)

// recordingController accepts every proposal and records the author of the last change set.
type recordingController struct {
	turmericyokev1connect.UnimplementedControllerServiceHandler
	author string
}

func (r *recordingController) Propose(_ context.Context, request *v1.ProposeRequest) (*v1.ProposeResponse, error) {
	r.author = request.GetRecord().GetChangeSet().GetAuthor()
	return &v1.ProposeResponse{Accepted: true}, nil
}

// Guards against a change proposed without a valid token, and against an operator who names another author.
func TestProposalRequiresOperatorToken(t *testing.T) {
	digest := sha256.Sum256([]byte("token-of-ops"))
	operators := []settings.Operator{{Name: "ops", TokenHash: hex.EncodeToString(digest[:])}}
	controller := &recordingController{}
	_, handler := turmericyokev1connect.NewControllerServiceHandler(controller, connect.WithInterceptors(NewInterceptor(operators)))
	server := httptest.NewServer(handler)
	defer server.Close()
	request := &v1.ProposeRequest{Record: &v1.Record{Payload: &v1.Record_ChangeSet{ChangeSet: &v1.ChangeSet{Author: "someone-else"}}}}

	propose := func(token string) error {
		client := turmericyokev1connect.NewControllerServiceClient(server.Client(), server.URL, WithToken(token))
		_, err := client.Propose(t.Context(), request)
		return err
	}
	assert.Equal(t, connect.CodeOf(propose("")), connect.CodeUnauthenticated)
	assert.Equal(t, connect.CodeOf(propose("token-of-nobody")), connect.CodeUnauthenticated)
	assert.NilError(t, propose("token-of-ops"))
	assert.Equal(t, controller.author, "ops")
}
