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

	"turmericyoke/internal/adminclient"
	"turmericyoke/internal/logreader"
	"turmericyoke/internal/settings"
	"turmericyoke/internal/standin/controllersvc"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/transport"
)

const operatorToken = "token-of-ops"

// browser is a signed-in operator's browser.
type browser struct {
	t      *testing.T
	client *http.Client
	base   string
}

func newBrowser(t *testing.T, fake *controllersvc.Controller) *browser {
	return newBrowserWithLog(t, fake, nil)
}

func newBrowserWithLog(t *testing.T, fake *controllersvc.Controller, refusals logreader.Log) *browser {
	t.Helper()
	controller := httptest.NewServer(fake.Handler())
	t.Cleanup(controller.Close)
	link, err := transport.New(transport.TLS{Plaintext: true})
	assert.NilError(t, err)
	digest := sha256.Sum256([]byte(operatorToken))
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	server, err := New(Config{
		Operators: []settings.Operator{{Name: "ops", TokenHash: hex.EncodeToString(digest[:])}},
		Secret:    make([]byte, minSecretBytes),
		Client:    adminclient.NewClient(link, []string{strings.TrimPrefix(controller.URL, "http://")}),
		Refusals:  refusals,
		Log:       logrus.NewEntry(logger),
		Now:       time.Now,
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

// page is a parsed answer.
type page struct {
	status int
	text   string
	// inputs are the names and values of all inputs; the last of one name stays.
	inputs url.Values
}

func (b *browser) parse(response *http.Response) *page {
	defer response.Body.Close()
	root, err := html.Parse(response.Body)
	assert.NilError(b.t, err)
	p := &page{status: response.StatusCode, inputs: url.Values{}}
	for node := range root.Descendants() {
		if node.Type == html.TextNode {
			p.text += node.Data + " "
		}
		if node.Type == html.ElementNode && node.Data == "input" {
			p.inputs.Set(attribute(node, "name"), attribute(node, "value"))
		}
	}
	return p
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

// editTeam goes from the list to the preview with a new share.
func (b *browser) editTeam(share string) *page {
	list := b.get("/document?kind=team")
	form := b.post("/edit", url.Values{"token": list.inputs["token"], "kind": {"team"}, "name": {"markets"}})
	form.inputs.Set("field.share", share)
	return b.post("/preview", form.inputs)
}

func publishForm(preview *page) url.Values {
	return url.Values{"token": preview.inputs["token"], "draft": preview.inputs["draft"], "version": preview.inputs["version"]}
}

// Guards against a form that publishes something else than the operator typed.
func TestPublishThroughForms(t *testing.T) {
	fake := controllersvc.New(1, testDocument())
	b := newBrowser(t, fake)
	b.signIn()
	preview := b.editTeam("5")
	assert.Equal(t, preview.status, http.StatusOK)
	done := b.post("/publish", publishForm(preview))
	assert.Equal(t, done.status, http.StatusOK)
	assert.Equal(t, fake.Document().Document.Teams[0], structs.Team{Name: "markets", Share: 5, UpperLimit: 40})
}

// Guards against a second operator who silently overwrites the first one's change, and against a
// draft that is lost with the conflict.
func TestSecondOperatorIsToldAndKeepsDraft(t *testing.T) {
	fake := controllersvc.New(1, testDocument())
	first, second := newBrowser(t, fake), newBrowser(t, fake)
	first.signIn()
	second.signIn()
	firstPreview, secondPreview := first.editTeam("5"), second.editTeam("7")
	assert.Equal(t, first.post("/publish", publishForm(firstPreview)).status, http.StatusOK)

	conflicted := second.post("/publish", publishForm(secondPreview))
	assert.Equal(t, conflicted.status, http.StatusConflict)
	assert.Assert(t, strings.Contains(conflicted.text, "Someone else changed team markets"))
	assert.Equal(t, fake.Document().Document.Teams[0].Share, 5)

	assert.Equal(t, second.post("/publish", publishForm(conflicted)).status, http.StatusOK)
	assert.Equal(t, fake.Document().Document.Teams[0].Share, 7)
}

// Guards against a change that is published again when the answer to it was lost.
func TestLostAnswerIsSettled(t *testing.T) {
	fake := controllersvc.New(1, testDocument())
	b := newBrowser(t, fake)
	b.signIn()
	preview := b.editTeam("5")
	fake.LoseNextResponse()
	assert.Equal(t, b.post("/publish", publishForm(preview)).status, http.StatusOK)
	assert.Equal(t, fake.Document().Version, uint64(2))
}

// Guards against a value that can't be read and takes the rest of the form with it, and against a
// document that breaks a rule.
func TestBadInputKeepsTheForm(t *testing.T) {
	b := newBrowser(t, controllersvc.New(1, testDocument()))
	b.signIn()
	again := b.editTeam("five")
	assert.Equal(t, again.status, http.StatusUnprocessableEntity)
	assert.Equal(t, again.inputs.Get("field.share"), "five")
	assert.Equal(t, again.inputs.Get("field.upperLimit"), "40")

	invalid := b.editTeam("0")
	assert.Equal(t, invalid.status, http.StatusUnprocessableEntity)
	assert.Assert(t, strings.Contains(invalid.text, "want at least 1"))
}

// Guards against pages without a session, wrong tokens, and forms sent from another site.
func TestSessionAndFormTokenAreNeeded(t *testing.T) {
	fake := controllersvc.New(1, testDocument())
	b := newBrowser(t, fake)
	assert.Assert(t, strings.Contains(b.get("/document").text, "Sign in"))
	assert.Equal(t, b.post("/login", url.Values{"operator_token": {"guess"}}).status, http.StatusUnauthorized)
	b.signIn()
	values := publishForm(b.editTeam("5"))
	values.Set("token", "made-elsewhere")
	assert.Equal(t, b.post("/publish", values).status, http.StatusBadRequest)
	assert.Equal(t, fake.Document().Version, uint64(1))
}

// Guards against a session that outlives its length or is signed for another purpose.
func TestSessionExpires(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := sessions{secret: make([]byte, minSecretBytes), now: func() time.Time { return now }}
	cookie := s.issue("ops")
	name, ok := s.operator(cookie)
	assert.Assert(t, ok && name == "ops")
	now = now.Add(sessionLength)
	_, ok = s.operator(cookie)
	assert.Assert(t, !ok)
	_, ok = s.operator("ops|9999999999|" + s.formToken("ops|9999999999"))
	assert.Assert(t, !ok)
}
