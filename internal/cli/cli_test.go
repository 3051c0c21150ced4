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

// cliRun runs the command line against the fake and returns its output and exit status.
func cliRun(t *testing.T, fake *controllersvc.Controller, args ...string) (string, ExitCode) {
	t.Helper()
	server := httptest.NewServer(fake.Handler())
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
	fake := controllersvc.New(4, testDocument())
	fake.LoseNextResponse()
	doc.Teams[0].Share = 5
	path := writeDocument(t, doc)

	_, code := cliRun(t, fake, "apply", path)
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, fake.Document().Version, uint64(5))

	output, code := cliRun(t, fake, "apply", path)
	assert.Equal(t, output, "unchanged: version 5\n")
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, fake.Document().Version, uint64(5))
}

// Guards against a lower limit that is published before holders have given their rights back.
func TestApplySurrendersLoweredLimit(t *testing.T) {
	doc := testDocument()
	fake := controllersvc.New(1, testDocument())
	fake.SetHeldRights("reconciliation", 40)
	doc.Teams[0].UpperLimit = 10

	_, code := cliRun(t, fake, "apply", writeDocument(t, doc))
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, len(fake.Surrenders()), 1)
	assert.Equal(t, fake.Surrenders()[0].GetTarget(), uint64(10))
	assert.Equal(t, fake.Document().Document.Teams[0].UpperLimit, uint64(10))
}

// Guards against exit statuses that scripts rely on.
func TestExitCodes(t *testing.T) {
	fake := controllersvc.New(1, testDocument())
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
