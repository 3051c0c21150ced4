package console

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/http/cookiejar"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/net/html"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/adminclient"
	"turmericyoke/internal/logreader"
	"turmericyoke/internal/settings"
	"turmericyoke/internal/standin/controllersvc"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/transport"
)

const operatorToken = "token-of-ops"

// browser is the browser of an operator, with cookies.
type browser struct {
	t      *testing.T
	client *http.Client
	base   string
}

func newBrowser(t *testing.T, controller *controllersvc.Controller) *browser {
	return newBrowserWithLog(t, controller, nil)
}

func newBrowserWithLog(t *testing.T, controller *controllersvc.Controller, refusalsLog logreader.Log) *browser {
	t.Helper()
	controllerServer := httptest.NewServer(controller.Handler())
	t.Cleanup(controllerServer.Close)
	httpTransport, err := transport.New(transport.TLS{Plaintext: true})
	assert.NilError(t, err)
	digest := sha256.Sum256([]byte(operatorToken))
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	server, err := New(Config{
		Operators:   []settings.Operator{{Name: "ops", TokenHash: hex.EncodeToString(digest[:])}},
		Secret:      make([]byte, minSecretBytes),
		Client:      adminclient.NewClient(httpTransport, []string{strings.TrimPrefix(controllerServer.URL, "http://")}),
		RefusalsLog: refusalsLog,
		Logger:      logrus.NewEntry(logger),
		Now:         time.Now,
	})
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	httpServer := server.HTTP()
	go httpServer.Serve(listener)
	t.Cleanup(func() { _ = httpServer.Shutdown() })
	jar, err := cookiejar.New(nil)
	assert.NilError(t, err)
	return &browser{t: t, client: &http.Client{Jar: jar}, base: "http://" + listener.Addr().String()}
}

func (b *browser) signIn() *page {
	return b.post("/login", url.Values{"operator_token": {operatorToken}})
}

func (b *browser) post(path string, values url.Values) *page {
	response, err := b.client.PostForm(b.base+path, values)
	assert.NilError(b.t, err)
	return b.parse(response)
}

func (b *browser) get(path string) *page {
	response, err := b.client.Get(b.base + path)
	assert.NilError(b.t, err)
	return b.parse(response)
}

// page is a parsed response.
type page struct {
	status int
	text   string
	// inputs maps the names of all inputs to their values. If several inputs have the same name, the last one
	// counts.
	inputs url.Values
}

func (b *browser) parse(response *http.Response) *page {
	defer response.Body.Close()
	root, err := html.Parse(response.Body)
	assert.NilError(b.t, err)
	parsed := &page{status: response.StatusCode, inputs: url.Values{}}
	for node := range root.Descendants() {
		if node.Type == html.TextNode {
			parsed.text += node.Data + " "
		}
		if node.Type == html.ElementNode && node.Data == "input" {
			parsed.inputs.Set(attribute(node, "name"), attribute(node, "value"))
		}
	}
	return parsed
}

func attribute(node *html.Node, name string) string {
	for _, attr := range node.Attr {
		if attr.Key == name {
			return attr.Val
		}
	}
	return ""
}

func testDocument() structs.Document {
	return structs.Document{
		Zones:  []structs.Zone{{Name: "north", Region: "zaanregio"}},
		Pools:  []structs.Pool{{Name: "orders"}},
		Teams:  []structs.Team{{Name: "markets", Share: 3, UpperLimit: 40}},
		Policy: structs.Policy{TargetUtilisation: 0.8},
	}
}

// editTeam goes through the forms from the list of teams to the preview, with a new share.
func (b *browser) editTeam(share string) *page {
	listPage := b.get("/document?kind=team")
	editForm := b.post("/edit", url.Values{"token": listPage.inputs["token"], "kind": {"team"}, "name": {"markets"}})
	editForm.inputs.Set("field.share", share)
	return b.post("/preview", editForm.inputs)
}

func publishForm(preview *page) url.Values {
	return url.Values{"token": preview.inputs["token"], "draft": preview.inputs["draft"], "version": preview.inputs["version"]}
}

// Guards against publishing values that differ from those the operator entered in the form.
func TestPublishThroughForms(t *testing.T) {
	controller := controllersvc.New(1, testDocument())
	b := newBrowser(t, controller)
	b.signIn()
	preview := b.editTeam("5")
	assert.Equal(t, preview.status, http.StatusOK)
	published := b.post("/publish", publishForm(preview))
	assert.Equal(t, published.status, http.StatusOK)
	assert.Equal(t, controller.Document().Document.Teams[0], structs.Team{Name: "markets", Share: 5, UpperLimit: 40})
}

// Guards against a second operator who overwrites the first operator's change without notice, and against
// losing the second operator's draft at the conflict.
func TestConflictIsReportedAndKeepsDraft(t *testing.T) {
	controller := controllersvc.New(1, testDocument())
	first, second := newBrowser(t, controller), newBrowser(t, controller)
	first.signIn()
	second.signIn()
	firstPreview, secondPreview := first.editTeam("5"), second.editTeam("7")
	assert.Equal(t, first.post("/publish", publishForm(firstPreview)).status, http.StatusOK)

	conflicted := second.post("/publish", publishForm(secondPreview))
	assert.Equal(t, conflicted.status, http.StatusConflict)
	assert.Assert(t, strings.Contains(conflicted.text, "Someone else changed team markets"))
	assert.Equal(t, controller.Document().Document.Teams[0].Share, 5)

	assert.Equal(t, second.post("/publish", publishForm(conflicted)).status, http.StatusOK)
	assert.Equal(t, controller.Document().Document.Teams[0].Share, 7)
}

// Guards against a published draft that reverts a change of another operator, accepted between the check of the version and
// the proposal.
func TestPublishKeepsConcurrentChange(t *testing.T) {
	controller := controllersvc.New(1, testDocument())
	b := newBrowser(t, controller)
	b.signIn()
	preview := b.editTeam("5")
	changed := testDocument()
	changed.Policy.TargetUtilisation = 0.5
	controller.ReplaceAfterNextQuery(changed)

	assert.Equal(t, b.post("/publish", publishForm(preview)).status, http.StatusConflict)
	assert.Equal(t, controller.Document().Document.Policy.TargetUtilisation, 0.5)
}

// Guards against a roll-out that looks complete although a gateway that no controller reports may lack the version.
func TestRolloutCountsUnreportedGatewaysAsUnknown(t *testing.T) {
	controller := controllersvc.New(1, testDocument())
	controller.SetGateways([]structs.GatewayEntry{{Name: "g1", Zone: "north"}, {Name: "g2", Zone: "south"}}, &v1.GatewayStatus{Name: "g1", ConfigVersion: 1})
	b := newBrowser(t, controller)
	b.signIn()
	overview := strings.Join(strings.Fields(b.get("/").text), " ")
	assert.Assert(t, strings.Contains(overview, "north 2 of 2 processes 0 south 0 of 0 processes 1"), overview)
}

// Guards against a change that is published twice because the response was lost.
func TestPublishAfterLostResponse(t *testing.T) {
	controller := controllersvc.New(1, testDocument())
	b := newBrowser(t, controller)
	b.signIn()
	preview := b.editTeam("5")
	controller.LoseNextResponse()
	assert.Equal(t, b.post("/publish", publishForm(preview)).status, http.StatusOK)
	assert.Equal(t, controller.Document().Version, uint64(2))
}

// Guards against losing the other values of the form when one can't be parsed, and against accepting a document
// that breaks a rule.
func TestInvalidInputKeepsFormValues(t *testing.T) {
	b := newBrowser(t, controllersvc.New(1, testDocument()))
	b.signIn()
	rejected := b.editTeam("five")
	assert.Equal(t, rejected.status, http.StatusUnprocessableEntity)
	assert.Equal(t, rejected.inputs.Get("field.share"), "five")
	assert.Equal(t, rejected.inputs.Get("field.upperLimit"), "40")

	invalid := b.editTeam("0")
	assert.Equal(t, invalid.status, http.StatusUnprocessableEntity)
	assert.Assert(t, strings.Contains(invalid.text, "want at least 1"))
}

// Guards against serving pages without a session, signing in with a wrong token, and accepting forms that
// another site sent.
func TestSessionAndFormTokenAreRequired(t *testing.T) {
	controller := controllersvc.New(1, testDocument())
	b := newBrowser(t, controller)
	assert.Assert(t, strings.Contains(b.get("/document").text, "Sign in"))
	assert.Equal(t, b.post("/login", url.Values{"operator_token": {"guess"}}).status, http.StatusUnauthorized)
	b.signIn()
	values := publishForm(b.editTeam("5"))
	values.Set("token", "made-elsewhere")
	assert.Equal(t, b.post("/publish", values).status, http.StatusBadRequest)
	assert.Equal(t, controller.Document().Version, uint64(1))
}

// Guards against accepting a session after its lifetime or with a signature made for another purpose.
func TestSessionExpires(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	signer := sessionSigner{secret: make([]byte, minSecretBytes), now: func() time.Time { return now }}
	cookie := signer.issue("ops")
	name, ok := signer.operatorOf(cookie)
	assert.Assert(t, ok && name == "ops")
	now = now.Add(sessionLifetime)
	_, ok = signer.operatorOf(cookie)
	assert.Assert(t, !ok)
	_, ok = signer.operatorOf("ops|9999999999|" + signer.formToken("ops|9999999999"))
	assert.Assert(t, !ok)
}
