package cli

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/document"
	"turmericyoke/internal/standin/controllersvc"
	"turmericyoke/internal/structs"
)

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

// runCommand runs the command line against the controller and returns its output and exit status.
func runCommand(t *testing.T, controller *controllersvc.Controller, args ...string) (string, ExitCode) {
	t.Helper()
	server := httptest.NewServer(controller.Handler())
	defer server.Close()
	root := NewRootCommand("test")
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetArgs(append(args, "--plaintext", "--controller", strings.TrimPrefix(server.URL, "http://")))
	code := ExitCodeFor(root.ExecuteContext(context.Background()))
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

// Guards against a change that is published twice because the response was lost, and against a new version when
// the same document is applied again.
func TestApplyAfterLostResponse(t *testing.T) {
	doc := testDocument()
	controller := controllersvc.New(4, testDocument())
	controller.LoseNextResponse()
	doc.Teams[0].Share = 5
	path := writeDocument(t, doc)

	_, code := runCommand(t, controller, "apply", path)
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, controller.Document().Version, uint64(5))

	output, code := runCommand(t, controller, "apply", path)
	assert.Equal(t, output, "unchanged: version 5\n")
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, controller.Document().Version, uint64(5))
}

// Guards against publishing a lower limit before holders have returned enough rights.
func TestApplyLoweredLimitSurrendersRights(t *testing.T) {
	doc := testDocument()
	controller := controllersvc.New(1, testDocument())
	controller.SetHeldRights("reconciliation", 40)
	doc.Teams[0].UpperLimit = 10

	_, code := runCommand(t, controller, "apply", writeDocument(t, doc))
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, len(controller.Surrenders()), 1)
	assert.Equal(t, controller.Surrenders()[0].GetTarget(), uint64(10))
	assert.Equal(t, controller.Document().Document.Teams[0].UpperLimit, uint64(10))
}

// Guards against changes of exit statuses that scripts rely on.
func TestExitCodes(t *testing.T) {
	controller := controllersvc.New(1, testDocument())
	changed := testDocument()
	changed.Teams[0].Share = 4
	invalid := testDocument()
	invalid.Teams[0].Share = 0

	_, identicalCode := runCommand(t, controller, "diff", writeDocument(t, testDocument()))
	_, changedCode := runCommand(t, controller, "diff", writeDocument(t, changed))
	_, invalidCode := runCommand(t, controller, "apply", writeDocument(t, invalid))
	_, usageCode := runCommand(t, controller, "apply")

	assert.Equal(t, identicalCode, ExitOK)
	assert.Equal(t, changedCode, ExitDifferent)
	assert.Equal(t, invalidCode, ExitRejected)
	assert.Equal(t, usageCode, ExitUsage)
}
