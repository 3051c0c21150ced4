package console

import (
	"bytes"
	"embed"
	"html/template"
	"sort"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/adminclient"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

//go:embed templates/*.html
var templateFiles embed.FS

// pageTemplates holds the parsed templates of all pages.
type pageTemplates struct{ parsed *template.Template }

func loadTemplates() (*pageTemplates, error) {
	parsed, err := template.New("console").Funcs(template.FuncMap{
		"when":    func(unixMS int64) string { return time.UnixMilli(unixMS).UTC().Format(time.RFC3339) },
		"meaning": ruleMeaning,
	}).ParseFS(templateFiles, "templates/*.html")
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "templates can't be parsed")
	}
	return &pageTemplates{parsed: parsed}, nil
}

// pageData is the data of a template. Page is the part that differs from page to page.
type pageData struct {
	Title    string
	Operator string
	// Token protects the page's forms against cross-site request forgery.
	Token string
	Page  any
}

// render executes the template name and sends the page. It buffers the output, so that a template that fails
// sends no partial page.
func (s *Server) render(r *request, name, title string, page any) {
	var out bytes.Buffer
	data := pageData{Title: title, Operator: r.operator, Page: page}
	if r.cookie != "" {
		data.Token = s.sessionSigner.formToken(r.cookie)
	}
	if err := s.templates.parsed.ExecuteTemplate(&out, name+".html", data); err != nil {
		s.config.Logger.WithField("event", "template_failed").Error(err)
		r.Error("internal", fault.ResponseFor(fault.Internal).HTTPStatus)
		return
	}
	r.SetContentType("text/html; charset=utf-8")
	r.SetBody(out.Bytes())
}

// zoneRollout is the progress of a version's roll-out in one availability zone.
type zoneRollout struct {
	Zone string
	// Total is the number of the zone's controllers that responded, and of the gateways that they reported.
	// InForce is the number of those that have the version.
	InForce, Total int
	// Unknown is the number of controllers that didn't respond, and of joined gateways that no controller reported,
	// so that it isn't known whether they have the version.
	Unknown int
}

// rolloutByZone returns the progress of the version's roll-out, by zone. Controllers that didn't respond are
// counted in a row of their own, named "unreachable".
func rolloutByZone(statuses []adminclient.ControllerStatus, joined []structs.GatewayEntry, version uint64) []zoneRollout {
	byZone := map[string]*zoneRollout{}
	rolloutOf := func(name string) *zoneRollout {
		if byZone[name] == nil {
			byZone[name] = &zoneRollout{Zone: name}
		}
		return byZone[name]
	}
	for _, status := range statuses {
		if status.Status == nil {
			rolloutOf("unreachable").Unknown++
			continue
		}
		zone := rolloutOf(status.Status.GetZone())
		zone.countProcess(status.Status.GetConfigVersion(), version)
		for _, gateway := range status.Status.GetGateways() {
			zone.countProcess(gateway.GetConfigVersion(), version)
		}
	}
	for _, gateway := range adminclient.UnreportedGateways(statuses, joined) {
		rolloutOf(gateway.Zone).Unknown++
	}
	rollouts := make([]zoneRollout, 0, len(byZone))
	for _, zone := range byZone {
		rollouts = append(rollouts, *zone)
	}
	sort.Slice(rollouts, func(i, j int) bool { return rollouts[i].Zone < rollouts[j].Zone })
	return rollouts
}

func (z *zoneRollout) countProcess(actual, wanted uint64) {
	z.Total++
	if actual >= wanted {
		z.InForce++
	}
}

func formatVersion(version uint64) string { return strconv.FormatUint(version, 10) }

// overviewPage shows the accepted version, its roll-out and the controllers.
type overviewPage struct {
	Version     uint64
	Controllers []adminclient.ControllerStatus
	Zones       []zoneRollout
}

func (s *Server) showOverview(r *request) error {
	current, err := r.client.Document(r.ctx)
	if err != nil {
		return err
	}
	statuses, zones := readRollout(r, current.Version)
	s.render(r, "overview", "Overview", overviewPage{Version: current.Version, Controllers: statuses, Zones: zones})
	return nil
}

// readRollout returns the status of each controller and the progress of the version's roll-out. While no controller has
// the version, the gateways that no controller reports are left out.
func readRollout(r *request, version uint64) ([]adminclient.ControllerStatus, []zoneRollout) {
	statuses := r.client.Statuses(r.ctx)
	joined, err := r.client.JoinedGateways(r.ctx, version)
	if err != nil {
		joined = nil
	}
	return statuses, rolloutByZone(statuses, joined, version)
}

func (s *Server) showHosts(r *request) error {
	var hosts []structs.HostStatus
	if _, err := r.client.Query(r.ctx, "hosts", "", &hosts); err != nil {
		return err
	}
	s.render(r, "hosts", "Hosts", hosts)
	return nil
}

func (s *Server) showTeams(r *request) error {
	var teams []structs.TeamStatus
	if _, err := r.client.Query(r.ctx, "teams", "", &teams); err != nil {
		return err
	}
	s.render(r, "teams", "Teams", newTeamsPage(teams))
	return nil
}

func (s *Server) showWaves(r *request) error {
	var waves []structs.WaveStatus
	if _, err := r.client.Query(r.ctx, "waves", "", &waves); err != nil {
		return err
	}
	s.render(r, "waves", "Maintenance waves", waves)
	return nil
}

// waveActions maps the values of the buttons on the page of waves to actions.
var waveActions = map[string]v1.WaveAction{
	"pause":  v1.WaveAction_WAVE_ACTION_PAUSE,
	"resume": v1.WaveAction_WAVE_ACTION_RESUME,
	"stop":   v1.WaveAction_WAVE_ACTION_STOP,
}

func (s *Server) controlWave(r *request) error {
	action, known := waveActions[r.formValue("action")]
	if !known {
		return fault.New(fault.RequestInvalid, "action %q: want pause, resume or stop", r.formValue("action"))
	}
	control := &v1.WaveControl{Wave: r.formValue("wave"), Action: action, Author: r.operator, Reason: r.formValue("reason")}
	record := &v1.Record{Payload: &v1.Record_WaveControl{WaveControl: control}}
	if _, err := r.client.Propose(r.ctx, r.operator, record); err != nil {
		return err
	}
	r.Redirect("/waves", fasthttp.StatusSeeOther)
	return nil
}

// documentPage lists the objects of one kind.
type documentPage struct {
	Specs   []formSpec
	Spec    formSpec
	Objects []document.Object
	Version uint64
}

func (s *Server) showDocument(r *request) error {
	spec, known := formSpecFor(string(r.QueryArgs().Peek("kind")))
	if !known {
		spec = formSpecs[0]
	}
	current, err := r.client.Document(r.ctx)
	if err != nil {
		return err
	}
	objects, err := document.Objects(&current.Document)
	if err != nil {
		return err
	}
	page := documentPage{Specs: formSpecs, Spec: spec, Version: current.Version}
	for _, object := range objects {
		if object.Kind == spec.Kind {
			page.Objects = append(page.Objects, object)
		}
	}
	s.render(r, "document", spec.Title, page)
	return nil
}

func (s *Server) showAuditTrail(r *request) error {
	var verdicts []structs.VerdictStatus
	if _, err := r.client.Query(r.ctx, "verdicts", "", &verdicts); err != nil {
		return err
	}
	s.render(r, "audit", "Audit trail", verdicts)
	return nil
}
