package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/auth"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/settings"
	"turmericyoke/internal/standin/logsvc"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/transport"
	"turmericyoke/internal/viewdelta"
)

// startController runs a controller on the given log. The returned stop function shuts the controller down
// and returns its error.
func startController(t *testing.T, log *logsvc.Log) (p *process, client turmericyokev1connect.ControllerServiceClient, stop func() error) {
	t.Helper()
	_, logHandler := turmericyokev1connect.NewLogServiceHandler(log)
	platformServer := httptest.NewServer(logHandler)
	t.Cleanup(platformServer.Close)
	tokenHash := sha256.Sum256([]byte("token"))
	platformAddress := strings.TrimPrefix(platformServer.URL, "http://")
	p, err := newProcess(&config{
		Controller: settings.Controller{
			Name: "ctl-1", Zone: "north", Listen: "127.0.0.1:0", OperatorsListen: "127.0.0.1:0",
			Log: platformAddress, Hosts: platformAddress, Workers: platformAddress,
		},
		TLS:       transport.TLS{Plaintext: true},
		Operators: []settings.Operator{{Name: "ops", TokenHash: hex.EncodeToString(tokenHash[:])}},
	}, io.Discard)
	assert.NilError(t, err)
	assert.NilError(t, p.listen())
	ctx, cancel := context.WithCancel(t.Context())
	serveErr := make(chan error, 1)
	go func() { serveErr <- p.serve(ctx) }()
	url := "http://" + p.servers[0].listener.Addr().String()
	return p, turmericyokev1connect.NewControllerServiceClient(http.DefaultClient, url, auth.WithToken("token")), func() error {
		cancel()
		return <-serveErr
	}
}

// awaitView polls until the controller returns a view with an offset above the given one. With acceptDelta
// set, the response may hold a delta instead of the whole view.
func awaitView(t *testing.T, client turmericyokev1connect.ControllerServiceClient, afterOffset int64, acceptDelta bool) *v1.ViewResponse {
	t.Helper()
	for {
		request := &v1.ViewRequest{AfterOffset: afterOffset, WaitMs: 5000, Gateway: "gw-1", AcceptDelta: acceptDelta}
		response, err := client.View(t.Context(), request)
		if connect.CodeOf(err) == connect.CodeUnavailable {
			continue
		}
		assert.NilError(t, err)
		if response.GetOffset() > afterOffset {
			return response
		}
	}
}

// Guards against a controller that doesn't serve the document an operator published, that accepts a change
// set in a gateway's envelope, or that doesn't leave the fleet when it shuts down.
func TestControllerServesPublishedDocument(t *testing.T) {
	log := logsvc.New()
	p, client, stop := startController(t, log)
	firstResponse := awaitView(t, client, 0, false)
	baseView := &structs.View{}
	assert.NilError(t, json.Unmarshal(firstResponse.GetView(), baseView))

	doc := &structs.Document{
		Zones: []structs.Zone{{Name: "north", Region: "r"}}, Teams: []structs.Team{{Name: "a", Share: 1, UpperLimit: 7}},
		Policy: structs.Policy{TargetUtilisation: 0.8},
	}
	change, err := document.NewChangeSet("c-1", "somebody", "", 0, &structs.Document{}, doc)
	assert.NilError(t, err)
	record := &v1.Record{Payload: &v1.Record_ChangeSet{ChangeSet: change}}
	verdict, err := client.Propose(t.Context(), &v1.ProposeRequest{Record: record})
	assert.NilError(t, err)
	assert.Assert(t, verdict.GetAccepted(), verdict.GetDetail())
	record.Proposer, record.Incarnation, record.Seq = "gw-1", "i", 1
	_, err = client.Propose(t.Context(), &v1.ProposeRequest{Record: record})
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)

	deltaResponse := awaitView(t, client, firstResponse.GetOffset(), true)
	delta := &structs.ViewDelta{}
	assert.NilError(t, json.Unmarshal(deltaResponse.GetDelta(), delta))
	view, applyErr := viewdelta.Apply(baseView, delta)
	assert.Assert(t, applyErr == nil)
	assert.DeepEqual(t, view.Teams, doc.Teams)
	queryResponse, err := client.Query(t.Context(), &v1.QueryRequest{Section: "verdicts"})
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(queryResponse.GetJson(), []byte(`"author":"ops"`)))

	assertReady(t, p, http.StatusOK)
	assert.NilError(t, stop())
	logRecords, err := log.Read(context.Background(), &v1.ReadRequest{Stream: "fleet", MaxRecords: 100})
	assert.NilError(t, err)
	lastRecord := logRecords.GetRecords()[len(logRecords.GetRecords())-1]
	decoded := &v1.Record{}
	assert.NilError(t, proto.Unmarshal(lastRecord.GetData(), decoded))
	assert.Assert(t, decoded.GetLeave() != nil)
}

// assertReady checks the status of the readiness endpoint on the operators' address.
func assertReady(t *testing.T, p *process, status int) {
	t.Helper()
	response, err := http.Get("http://" + p.servers[1].listener.Addr().String() + "/readyz")
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, status)
}

// Guards against a controller that starts with an invalid address or without TLS files in its settings.
func TestInvalidSettingsAreRefused(t *testing.T) {
	err := settings.Parse([]byte("name: ctl\nzone: north\nlisten: localhost:1\n"), &config{})
	assert.Equal(t, fault.KindOf(err), fault.SettingsInvalid)
	assert.ErrorContains(t, err, "listen")
	assert.ErrorContains(t, err, "tls")
}
