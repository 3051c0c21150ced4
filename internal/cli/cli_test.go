package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// fakeController accepts change sets against its document, with switches for faults.
type fakeController struct {
	turmericyokev1connect.UnimplementedControllerServiceHandler
	status     structs.DocumentStatus
	held       map[string]uint64
	verdicts   []structs.VerdictStatus
	surrenders []*v1.Surrender
	// loseAnswer makes the next accepted proposal fail after it took effect.
	loseAnswer bool
}

func (f *fakeController) Query(_ context.Context, request *v1.QueryRequest) (*v1.QueryResponse, error) {
	var value any
	switch request.GetSection() {
	case "document":
		value = f.status
	case "verdicts":
		value = f.verdicts
	case "teams":
		value = []structs.TeamStatus{{Name: request.GetName(), Held: f.held[request.GetName()]}}
	}
	data, err := json.Marshal(value)
	return &v1.QueryResponse{Json: data, ConfigVersion: f.status.Version}, err
}

func (f *fakeController) Propose(_ context.Context, request *v1.ProposeRequest) (*v1.ProposeResponse, error) {
	if surrender := request.GetRecord().GetSurrender(); surrender != nil {
		f.surrenders = append(f.surrenders, surrender)
		f.held[surrender.GetTeam()] = min(f.held[surrender.GetTeam()], surrender.GetTarget())
		return &v1.ProposeResponse{Accepted: true}, nil
	}
	changeSet := request.GetRecord().GetChangeSet()
	if changeSet.GetBaseVersion() != f.status.Version {
		return &v1.ProposeResponse{Kind: string(fault.VersionConflict), Detail: "another operator was first"}, nil
	}
	next, err := document.Apply(&f.status.Document, changeSet.GetChanges())
	if err != nil {
		return nil, err
	}
	f.status = structs.DocumentStatus{Version: f.status.Version + 1, Document: *next}
	f.verdicts = append(f.verdicts, structs.VerdictStatus{
		Subject: changeSet.GetId(), Accepted: true, ConfigVersion: f.status.Version,
	})
	if f.loseAnswer {
		f.loseAnswer = false
		return nil, connect.NewError(connect.CodeUnknown, errors.New("connection lost"))
	}
	return &v1.ProposeResponse{Accepted: true, ConfigVersion: f.status.Version}, nil
}

func testDocument() structs.Document {
	return structs.Document{
		Zones: []structs.Zone{{Name: "north", Region: "gauteng"}},
		Pools: []structs.Pool{{Name: "desk", MinAvailable: 1}},
		Hosts: []structs.Host{{
			Name: "h1", Zone: "north", Rack: "r1", Pool: "desk",
			Address: "127.0.0.1:9000", Slots: 8, Connections: 64,
		}},
		Teams:  []structs.Team{{Name: "reconciliation", Share: 3, UpperLimit: 40}},
		Policy: structs.Policy{TargetUtilisation: 0.8},
	}
}

// cliRun runs the command line against the fake and returns its output and exit status.
func cliRun(t *testing.T, fake *fakeController, args ...string) (string, ExitCode) {
	t.Helper()
	_, handler := turmericyokev1connect.NewControllerServiceHandler(fake)
	server := httptest.NewServer(handler)
	defer server.Close()
	root := NewRoot("test")
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetArgs(append(args, "--plaintext", "--controller", strings.TrimPrefix(server.URL, "http://")))
	code := CodeFor(root.ExecuteContext(context.Background()))
	return out.String(), code
}

func writeDocument(t *testing.T, doc structs.Document) string {
	t.Helper()
	data, err := document.Encode(&doc)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "fleet.yaml")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	return path
}

// Guards against a change that is published twice when the answer to it was lost, and against an
// apply of the same document that makes a new version.
func TestApplySettlesLostAnswer(t *testing.T) {
	doc := testDocument()
	fake := &fakeController{held: map[string]uint64{}, loseAnswer: true}
	fake.status = structs.DocumentStatus{Version: 4, Document: testDocument()}
	doc.Teams[0].Share = 5
	path := writeDocument(t, doc)

	_, code := cliRun(t, fake, "apply", path)
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, fake.status.Version, uint64(5))

	output, code := cliRun(t, fake, "apply", path)
	assert.Equal(t, output, "unchanged: version 5\n")
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, fake.status.Version, uint64(5))
}

// Guards against a lower limit that is published before holders have given their rights back.
func TestApplySurrendersLoweredLimit(t *testing.T) {
	doc := testDocument()
	fake := &fakeController{held: map[string]uint64{"reconciliation": 40}}
	fake.status = structs.DocumentStatus{Version: 1, Document: testDocument()}
	doc.Teams[0].UpperLimit = 10

	_, code := cliRun(t, fake, "apply", writeDocument(t, doc))
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, len(fake.surrenders), 1)
	assert.Equal(t, fake.surrenders[0].GetTarget(), uint64(10))
	assert.Equal(t, fake.status.Document.Teams[0].UpperLimit, uint64(10))
}

// Guards against exit statuses that scripts rely on.
func TestExitCodes(t *testing.T) {
	fake := &fakeController{held: map[string]uint64{}}
	fake.status = structs.DocumentStatus{Version: 1, Document: testDocument()}
	changed := testDocument()
	changed.Teams[0].Share = 4
	invalid := testDocument()
	invalid.Teams[0].Share = 0

	_, same := cliRun(t, fake, "diff", writeDocument(t, testDocument()))
	_, different := cliRun(t, fake, "diff", writeDocument(t, changed))
	_, rejected := cliRun(t, fake, "apply", writeDocument(t, invalid))
	_, usage := cliRun(t, fake, "apply")

	assert.Equal(t, same, ExitOK)
	assert.Equal(t, different, ExitDifferent)
	assert.Equal(t, rejected, ExitRejected)
	assert.Equal(t, usage, ExitUsage)
}
