// Package console serves the forms with which operators drive the fleet. It keeps no state but a
// bounded copy of the newest refusals: a draft lives in the operator's form and a session in a
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
	// readTimeout bounds the time in which a browser sends a request.
	readTimeout = 10 * time.Second
	// pageTimeout bounds the calls of controllers for one page.
	pageTimeout = 10 * time.Second
	// maxFormBytes bounds a submitted form; a draft of some hundred objects fits.
	maxFormBytes = 1 << 20
)

// Config is what a console needs.
type Config struct {
	Operators []settings.Operator
	// Secret signs sessions; at least 32 bytes.
	Secret []byte
	// Secure marks the session cookie for TLS only.
	Secure bool
	// Client calls the controllers as a delegate of the operators.
	Client *adminclient.Client
	// RefusalsLog is the log that keeps the refusals; nil when the console has no address of it.
	RefusalsLog logreader.Log
	Logger      *logrus.Entry
	Now         func() time.Time
}

// Server serves the console.
type Server struct {
	config    Config
	sessions  sessionSigner
	templates *pageTemplates
	// refusals is nil without a log.
	refusals *refusalsFollower
}

// New returns a console.
func New(config Config) (*Server, error) {
	if len(config.Secret) < minSecretBytes {
		return nil, fault.Invalid(fault.SettingsInvalid, "secret", "%d bytes: want at least %d", len(config.Secret), minSecretBytes)
	}
	templates, err := loadTemplates()
	if err != nil {
		return nil, err
	}
	server := &Server{
		config:    config,
		sessions:  sessionSigner{secret: config.Secret, now: config.Now},
		templates: templates,
	}
	if config.RefusalsLog != nil {
		server.refusals = newRefusalsFollower(config.RefusalsLog)
	}
	return server, nil
}

// HTTP returns the HTTP server.
func (s *Server) HTTP() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:            s.handle,
		Name:               "turmericyoke",
		ReadTimeout:        readTimeout,
		MaxRequestBodySize: maxFormBytes,
	}
}

// request is one request of a signed-in operator.
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
	operator, ok := s.sessions.operatorOf(cookie)
	if !ok {
		httpCtx.Redirect("/login", fasthttp.StatusSeeOther)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeoutFor(path))
	defer cancel()
	r := &request{RequestCtx: httpCtx, ctx: ctx, operator: operator, cookie: cookie, client: s.config.Client}
	if r.IsPost() && !s.sessions.validFormToken(cookie, r.form("token")) {
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

// setSecurityHeaders forbids scripts, frames and caching; the pages need none of them.
func setSecurityHeaders(httpCtx *fasthttp.RequestCtx) {
	header := &httpCtx.Response.Header
	header.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	header.Set("X-Content-Type-Options", "nosniff")
	header.Set("Cache-Control", "no-store")
	header.Set("Referrer-Policy", "no-referrer")
}

func (r *request) form(name string) string { return string(r.PostArgs().Peek(name)) }

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

// renderError shows an error with the status of its kind.
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
	operator, known := auth.Identify(s.config.Operators, r.form("operator_token"))
	if !known {
		s.config.Logger.WithField("event", "login_refused").Warn("unknown operator token")
		r.SetStatusCode(fasthttp.StatusUnauthorized)
		s.render(r, "login", "Sign in", "The token isn't known.")
		return
	}
	cookie := fasthttp.AcquireCookie()
	defer fasthttp.ReleaseCookie(cookie)
	cookie.SetKey(sessionCookie)
	cookie.SetValue(s.sessions.issue(operator.Name))
	cookie.SetHTTPOnly(true)
	cookie.SetSecure(s.config.Secure)
	cookie.SetSameSite(fasthttp.CookieSameSiteStrictMode)
	cookie.SetPath("/")
	r.Response.Header.SetCookie(cookie)
	s.config.Logger.WithFields(logrus.Fields{"event": "login", "operator": operator.Name}).Info("operator signed in")
	r.Redirect("/", fasthttp.StatusSeeOther)
}

// errorLines splits joined errors for display.
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
