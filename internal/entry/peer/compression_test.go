package peer

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// answeringService answers reads.
type answeringService struct{ Service }

func (answeringService) State(context.Context, *StateRequest) (*StateResponse, error) {
	return &StateResponse{Known: true}, nil
}

func (answeringService) Config(context.Context, *ConfigRequest) (*ConfigResponse, error) {
	return &ConfigResponse{Source: bytes.Repeat([]byte("queue "), minCompressedBytes)}, nil
}

// Guards against a scheduling process that spends half of the processor time for a call on the compression of a short
// response. The configuration is compressed.
func TestOnlyLongResponsesAreCompressed(t *testing.T) {
	handler := NewHandler(answeringService{})
	for procedure, want := range map[string]string{stateProcedure: "", configProcedure: "gzip"} {
		request := httptest.NewRequest(http.MethodPost, procedure, strings.NewReader("{}"))
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Accept-Encoding", "gzip")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		assert.Equal(t, recorder.Code, http.StatusOK)
		assert.Equal(t, recorder.Header().Get("Content-Encoding"), want, "%s", procedure)
	}
}

// BenchmarkState measures a read over loopback, with the processor time of both sides.
func BenchmarkState(b *testing.B) {
	server := httptest.NewServer(NewHandler(answeringService{}))
	defer server.Close()
	client := NewClients().At(server.Listener.Addr().String())
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := client.State(b.Context(), &StateRequest{Job: "0123456789abcdef"}); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
