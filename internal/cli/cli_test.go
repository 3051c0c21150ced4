package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/adminclient"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/refusal"
	"turmericyoke/internal/standin/controllersvc"
	"turmericyoke/internal/standin/logsvc"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/transport"
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
	return runCommandAt(t, []http.Handler{controller.Handler()}, args...)
}

// runCommandAt is like runCommand, with several controllers.
func runCommandAt(t *testing.T, controllers []http.Handler, args ...string) (string, ExitCode) {
	t.Helper()
	root := NewRootCommand("test")
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(append(args, "--plaintext", "--controller", strings.Join(startControllers(t, controllers), ",")))
	code := ExitCodeFor(root.ExecuteContext(context.Background()))
	return out.String(), code
}

// startControllers serves the handlers until the test ends and returns their addresses.
func startControllers(t *testing.T, controllers []http.Handler) []string {
	t.Helper()
	var addresses []string
	for _, handler := range controllers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	return addresses
}

// newTestClient returns a client of the controllers.
func newTestClient(t *testing.T, controllers ...http.Handler) *adminclient.Client {
	t.Helper()
	link, err := transport.New(transport.TLS{Plaintext: true})
	assert.NilError(t, err)
	return adminclient.NewClient(link, startControllers(t, controllers))
}

// cutOffController answers queries from its state, but can't propose anything.
type cutOffController struct{ *controllersvc.Controller }

func (cutOffController) Propose(context.Context, *v1.ProposeRequest) (*v1.ProposeResponse, error) {
	return nil, connect.NewError(connect.CodeUnavailable, fault.New(fault.LogUnavailable, "the log can't be reached"))
}

// newCutOffController returns a controller that has been cut off from the log for an hour.
func newCutOffController(version uint64, doc structs.Document) http.Handler {
	controller := controllersvc.New(version, doc)
	controller.SetFreshness(time.Hour)
	_, handler := turmericyokev1connect.NewControllerServiceHandler(cutOffController{controller})
	return handler
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

// Guards against a key that stays valid, although its withdrawal is reported as in force, because a controller that is
// cut off from the log has never heard of it.
func TestWithdrawnKeyIsLookedUpInCurrentDocument(t *testing.T) {
	doc := testDocument()
	doc.Keys = []structs.Key{{ID: "desk-7", Team: "reconciliation", Hash: strings.Repeat("0", 64)}}
	current := controllersvc.New(5, doc)
	client := newTestClient(t, newCutOffController(4, testDocument()), current.Handler())

	version, err := withdrawKey(t.Context(), client, "ada", "desk-7")
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(6))
	assert.Equal(t, len(current.Document().Document.Keys), 0)

	_, err = withdrawKey(t.Context(), newTestClient(t, newCutOffController(4, testDocument())), "ada", "desk-7")
	assert.Equal(t, fault.KindOf(err), fault.NotReady)
}

// Guards against a document that is reported as accepted, although another one was accepted after it, because a
// controller that is cut off from the log still has it.
func TestUnchangedNeedsCurrentDocument(t *testing.T) {
	newer := testDocument()
	newer.Teams[0].Share = 5
	controllers := []http.Handler{newCutOffController(4, testDocument()), controllersvc.New(5, newer).Handler()}
	path := writeDocument(t, testDocument())

	_, code := runCommandAt(t, controllers, "diff", path)
	assert.Equal(t, code, ExitDifferent)
	_, code = runCommandAt(t, controllers[:1], "apply", path)
	assert.Equal(t, code, ExitUnavailable)
}

// Guards against objects that are shown as absent, without a hint, because the controller that is asked first is cut off
// from the log.
func TestSectionsAreReadFromRecentState(t *testing.T) {
	current := controllersvc.New(5, testDocument())
	current.SetGateways([]structs.GatewayEntry{{Name: "g1", Zone: "north"}})
	controllers := []http.Handler{newCutOffController(4, testDocument()), current.Handler()}

	output, code := runCommandAt(t, controllers, "holder", "show")
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(output, "g1"), output)
	output, code = runCommandAt(t, controllers[:1], "holder", "show")
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(output, "the state may be out of date"), output)
}

// Guards against a list of refusals that looks complete although refusals are known to be lost, or expired.
func TestRefusalsSayWhatIsNotListed(t *testing.T) {
	log := logsvc.New()
	batch := &v1.RefusalBatch{
		Schema: refusal.Schema, Gateway: "g1", Incarnation: "g1-1", AppendedBy: "g1", Seq: 2, CumulativeCount: 9, MissingCount: 3,
		Entries: []*v1.RefusalEntry{{Team: "reconciliation", Rule: "team_limit", Count: 2, FirstNumber: 5, LastNumber: 6}},
	}
	assert.NilError(t, refusal.LogAppender{Log: log}.AppendRefusals(t.Context(), batch))
	mux := http.NewServeMux()
	mux.Handle(turmericyokev1connect.NewLogServiceHandler(log))
	address := startControllers(t, []http.Handler{mux})[0]

	output, code := runCommandAt(t, nil, "refusals", "--log", address)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.HasPrefix(output, "3 refusals are lost\n4 or more older refusals aren't listed\n"), output)
}

// Guards against a withdrawal that reverts a change of another operator, accepted while it was made.
func TestWithdrawnKeyKeepsConcurrentChange(t *testing.T) {
	doc := testDocument()
	doc.Keys = []structs.Key{{ID: "desk-7", Team: "reconciliation", Hash: strings.Repeat("0", 64)}}
	changed := testDocument()
	changed.Keys = doc.Keys
	changed.Teams[0].Share = 5
	controller := controllersvc.New(4, doc)
	controller.ReplaceAfterNextQuery(changed)

	_, err := withdrawKey(t.Context(), newTestClient(t, controller.Handler()), "ada", "desk-7")
	assert.Equal(t, fault.KindOf(err), fault.VersionConflict)
	assert.Equal(t, controller.Document().Document.Teams[0].Share, 5)
}

// abortingController closes the connection of each proposal after it was read.
type abortingController struct{ *controllersvc.Controller }

func (abortingController) Propose(context.Context, *v1.ProposeRequest) (*v1.ProposeResponse, error) {
	panic(http.ErrAbortHandler)
}

// Guards against the exit status of a change that wasn't made, for one that may still be accepted.
func TestApplyAfterLostConnectionIsUnsettled(t *testing.T) {
	doc := testDocument()
	doc.Teams[0].Share = 5
	_, handler := turmericyokev1connect.NewControllerServiceHandler(abortingController{controllersvc.New(4, testDocument())})

	_, code := runCommandAt(t, []http.Handler{handler}, "apply", writeDocument(t, doc))
	assert.Equal(t, code, ExitUnsettled)
}
