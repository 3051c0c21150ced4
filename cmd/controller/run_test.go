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

// startController runs a controller over the log until stop is called, which returns its error.
func startController(t *testing.T, log *logsvc.Log) (p *process, client turmericyokev1connect.ControllerServiceClient, stop func() error) {
	t.Helper()
	_, handler := turmericyokev1connect.NewLogServiceHandler(log)
	platform := httptest.NewServer(handler)
	t.Cleanup(platform.Close)
	digest := sha256.Sum256([]byte("token"))
	address := strings.TrimPrefix(platform.URL, "http://")
	p, err := newProcess(&config{
		Controller: settings.Controller{
			Name: "ctl-1", Zone: "north", Listen: "127.0.0.1:0", OperatorsListen: "127.0.0.1:0",
			Log: address, Hosts: address, Workers: address,
		},
		TLS:       transport.TLS{Plaintext: true},
		Operators: []settings.Operator{{Name: "ops", TokenHash: hex.EncodeToString(digest[:])}},
	}, io.Discard)
	assert.NilError(t, err)
	assert.NilError(t, p.listen())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.serve(ctx) }()
	url := "http://" + p.servers[0].listener.Addr().String()
	return p, turmericyokev1connect.NewControllerServiceClient(http.DefaultClient, url, auth.WithToken("token")), func() error {
		cancel()
		return <-ended
	}
}

// awaitView returns the first view above after.
func awaitView(t *testing.T, client turmericyokev1connect.ControllerServiceClient, after int64, deltas bool) *v1.ViewResponse {
	t.Helper()
	for {
		request := &v1.ViewRequest{AfterOffset: after, WaitMs: 5000, Gateway: "gw-1", AcceptDelta: deltas}
		response, err := client.View(t.Context(), request)
		if connect.CodeOf(err) == connect.CodeUnavailable {
			continue
		}
		assert.NilError(t, err)
		if response.GetOffset() > after {
			return response
		}
	}
}

// Guards against a controller that doesn't serve what operators published, that lets a gateway's
// envelope carry an operator's change, or that doesn't leave the fleet when it shuts down.
func TestControllerServesPublishedDocument(t *testing.T) {
	log := logsvc.New()
	p, client, stop := startController(t, log)
	joined := awaitView(t, client, 0, false)
	first := &structs.View{}
	assert.NilError(t, json.Unmarshal(joined.GetView(), first))

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

	response := awaitView(t, client, joined.GetOffset(), true)
	delta := &structs.ViewDelta{}
	assert.NilError(t, json.Unmarshal(response.GetDelta(), delta))
	view, unfit := viewdelta.Apply(first, delta)
	assert.Assert(t, unfit == nil)
	assert.DeepEqual(t, view.Teams, doc.Teams)
	answer, err := client.Query(t.Context(), &v1.QueryRequest{Section: "verdicts"})
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(answer.GetJson(), []byte(`"author":"ops"`)))

	assertReady(t, p, http.StatusOK)
	assert.NilError(t, stop())
	read, err := log.Read(context.Background(), &v1.ReadRequest{Stream: "fleet", MaxRecords: 100})
	assert.NilError(t, err)
	last := read.GetRecords()[len(read.GetRecords())-1]
	leave := &v1.Record{}
	assert.NilError(t, proto.Unmarshal(last.GetData(), leave))
	assert.Assert(t, leave.GetLeave() != nil)
}

func assertReady(t *testing.T, p *process, status int) {
	t.Helper()
	response, err := http.Get("http://" + p.servers[1].listener.Addr().String() + "/readyz")
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, status)
}

// Guards against settings that start a controller with a broken address or without TLS files.
func TestSettingsAreChecked(t *testing.T) {
	err := settings.Parse([]byte("name: ctl\nzone: north\nlisten: localhost:1\n"), &config{})
	assert.Equal(t, fault.KindOf(err), fault.SettingsInvalid)
	assert.ErrorContains(t, err, "listen")
	assert.ErrorContains(t, err, "tls")
}
