// Package console serves the web pages with which operators observe and change the fleet. It has no state
// except a bounded copy of the newest refusals: a draft is stored in the operator's form, and a session in a
// signed cookie.
package console

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"turmericyoke/internal/adminclient"
	"turmericyoke/internal/auth"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/logreader"
	"turmericyoke/internal/settings"
)

const (
	// readTimeout bounds the time that a browser may take to send a request.
	readTimeout = 10 * time.Second
	// pageTimeout bounds the calls to controllers and the log for one page.
	pageTimeout = 10 * time.Second
	// maxFormBytes bounds a submitted form. A draft of some hundred objects fits.
	maxFormBytes = 1 << 20
)

// Config holds the settings of a console and what it depends on.
type Config struct {
	Operators []settings.Operator
	// Secret is the key that signs sessions. It needs at least 32 bytes.
	Secret []byte
	// Secure restricts the session cookie to connections with TLS.
	Secure bool
	// Client calls the controllers with the token of a delegate, which proposes in the name of the operators.
	Client *adminclient.Client
	// RefusalsLog is the log with the refusals stream. It is nil if no address of the log is configured.
	RefusalsLog logreader.Log
	Logger      *logrus.Entry
	Now         func() time.Time
}

// Server serves the console.
type Server struct {
	config        Config
	sessionSigner sessionSigner
	templates     *pageTemplates
	// refusals is nil if no log is configured.
	refusals *refusalsFollower
}

// New returns the server of a console. It fails if the secret is too short.
func New(config Config) (*Server, error) {
	if len(config.Secret) < minSecretBytes {
		return nil, fault.Invalid(fault.SettingsInvalid, "secret", "%d bytes: want at least %d", len(config.Secret), minSecretBytes)
	}
	templates, err := loadTemplates()
	if err != nil {
		return nil, err
	}
	server := &Server{
		config:        config,
		sessionSigner: sessionSigner{secret: config.Secret, now: config.Now},
		templates:     templates,
	}
	if config.RefusalsLog != nil {
		server.refusals = newRefusalsFollower(config.RefusalsLog)
	}
	return server, nil
}

// HTTP returns the HTTP server, for the caller to start.
func (s *Server) HTTP() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:            s.handle,
		Name:               "turmericyoke",
		ReadTimeout:        readTimeout,
		MaxRequestBodySize: maxFormBytes,
	}
}

// request is a request with the operator's session. On the sign-in page, only RequestCtx is set.
type request struct {
	*fasthttp.RequestCtx
	ctx      context.Context
	operator string
	cookie   string
	client   *adminclient.Client
}

func (s *Server) handle(httpCtx *fasthttp.RequestCtx) {
	setSecurityHeaders(httpCtx)
	path := string(httpCtx.Path())
	if path == "/login" {
		s.login(httpCtx)
		return
	}
	cookie := string(httpCtx.Request.Header.Cookie(sessionCookie))
	operator, ok := s.sessionSigner.operatorOf(cookie)
	if !ok {
		httpCtx.Redirect("/login", fasthttp.StatusSeeOther)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeoutFor(path))
	defer cancel()
	r := &request{RequestCtx: httpCtx, ctx: ctx, operator: operator, cookie: cookie, client: s.config.Client}
	if r.IsPost() && !s.sessionSigner.validFormToken(cookie, r.formValue("token")) {
		s.renderError(r, fault.New(fault.RequestInvalid, "the form is not from this session: open the page again"))
		return
	}
	if err := s.route(r, path); err != nil {
		s.renderError(r, err)
	}
}

func timeoutFor(path string) time.Duration {
	if path == "/publish" {
		return publishTimeout
	}
	return pageTimeout
}

// setSecurityHeaders sets headers that forbid scripts, frames and caching, since the pages need none of these.
func setSecurityHeaders(httpCtx *fasthttp.RequestCtx) {
	header := &httpCtx.Response.Header
	header.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	header.Set("X-Content-Type-Options", "nosniff")
	header.Set("Cache-Control", "no-store")
	header.Set("Referrer-Policy", "no-referrer")
}

func (r *request) formValue(name string) string { return string(r.PostArgs().Peek(name)) }

func (s *Server) route(r *request, path string) error {
	switch {
	case path == "/" && r.IsGet():
		return s.showOverview(r)
	case path == "/hosts" && r.IsGet():
		return s.showHosts(r)
	case path == "/teams" && r.IsGet():
		return s.showTeams(r)
	case path == "/waves" && r.IsGet():
		return s.showWaves(r)
	case path == "/waves/control" && r.IsPost():
		return s.controlWave(r)
	case path == "/document" && r.IsGet():
		return s.showDocument(r)
	case path == "/audit" && r.IsGet():
		return s.showAuditTrail(r)
	case path == "/refusals" && r.IsGet():
		return s.listRefusals(r)
	case path == "/refusal" && r.IsGet():
		return s.explainRefusal(r)
	case path == "/edit" && r.IsPost():
		return s.showEditForm(r)
	case path == "/preview" && r.IsPost():
		return s.previewSubmission(r)
	case path == "/publish" && r.IsPost():
		return s.publishDraft(r)
	case path == "/logout" && r.IsPost():
		r.Response.Header.DelClientCookie(sessionCookie)
		r.Redirect("/login", fasthttp.StatusSeeOther)
		return nil
	default:
		return fault.New(fault.RequestInvalid, "no page at %s", path)
	}
}

// renderError logs an error and shows it, with the HTTP status for its kind.
func (s *Server) renderError(r *request, err error) {
	kind := fault.KindOf(err)
	s.config.Logger.WithFields(logrus.Fields{"event": "console_error", "kind": kind, "operator": r.operator}).Warn(err)
	r.SetStatusCode(fault.ResponseFor(kind).HTTPStatus)
	s.render(r, "error", "Error", strings.Split(err.Error(), "\n"))
}

func (s *Server) login(httpCtx *fasthttp.RequestCtx) {
	r := &request{RequestCtx: httpCtx}
	if !r.IsPost() {
		s.render(r, "login", "Sign in", "")
		return
	}
	operator, known := auth.Identify(s.config.Operators, r.formValue("operator_token"))
	if !known {
		s.config.Logger.WithField("event", "login_refused").Warn("unknown operator token")
		r.SetStatusCode(fasthttp.StatusUnauthorized)
		s.render(r, "login", "Sign in", "The token isn't known.")
		return
	}
	cookie := fasthttp.AcquireCookie()
	defer fasthttp.ReleaseCookie(cookie)
	cookie.SetKey(sessionCookie)
	cookie.SetValue(s.sessionSigner.issue(operator.Name))
	cookie.SetHTTPOnly(true)
	cookie.SetSecure(s.config.Secure)
	cookie.SetSameSite(fasthttp.CookieSameSiteStrictMode)
	cookie.SetPath("/")
	r.Response.Header.SetCookie(cookie)
	s.config.Logger.WithFields(logrus.Fields{"event": "login", "operator": operator.Name}).Info("operator signed in")
	r.Redirect("/", fasthttp.StatusSeeOther)
}

// errorLines returns the text of an error for display: one line for each error if several were joined.
func errorLines(err error) []string {
	if err == nil {
		return nil
	}
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return []string{err.Error()}
	}
	var lines []string
	for _, part := range joined.Unwrap() {
		if part != nil {
			lines = append(lines, part.Error())
		}
	}
	return lines
}
