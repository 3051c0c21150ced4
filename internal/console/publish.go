package console

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/adminclient"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// editPage shows the form for one object.
type editPage struct {
	Kind, Name, Title string
	New               bool
	Fields            []fieldView
	Draft             string
	Problems          []string
	// BaseVersion is the version of the accepted document that the form was made from.
	BaseVersion uint64
}

// showEditForm shows the form for an object, or for a new one if the submitted name is empty.
func (s *Server) showEditForm(r *request) error {
	spec, known := formSpecFor(r.formValue("kind"))
	if !known {
		return fault.New(fault.RequestInvalid, "unknown kind %q", r.formValue("kind"))
	}
	current, err := r.client.Document(r.ctx)
	if err != nil {
		return err
	}
	body, err := objectToEdit(r, current)
	if err != nil {
		return err
	}
	fields, err := newFieldViews(spec, body, &current.Document)
	if err != nil {
		return err
	}
	s.render(r, "edit", spec.Title, editPage{
		Kind: spec.Kind, Name: r.formValue("name"), Title: spec.Title, New: r.formValue("name") == "",
		Fields: fields, Draft: r.formValue("draft"), BaseVersion: current.Version,
	})
	return nil
}

// objectToEdit returns the object from the draft, or else from the accepted document. It is empty if the
// object is new or if the draft deletes it.
func objectToEdit(r *request, current *structs.DocumentStatus) ([]byte, error) {
	d, err := decodeDraft(r.formValue("draft"))
	if err != nil {
		return nil, err
	}
	for _, change := range d.Changes {
		if change.Kind == r.formValue("kind") && change.Name == r.formValue("name") {
			return change.After, nil
		}
	}
	bodies, err := document.Bodies(&current.Document)
	if err != nil {
		return nil, err
	}
	return []byte(bodies[document.Ref{Kind: r.formValue("kind"), Name: r.formValue("name")}]), nil
}

// previewPage shows which changes publishing a draft would make.
type previewPage struct {
	Draft     string
	Rows      []adminclient.ChangeRow
	Conflicts []conflict
	Problems  []string
	// Others are the change sets that were accepted after the draft's base version.
	Others []structs.VerdictStatus
	// Secret is the secret generated for a new key in this submission. It is shown only once.
	Secret      string
	BaseVersion uint64
	Version     uint64
	CanPublish  bool
}

// previewSubmission adds the submitted object to the draft and shows the preview, or the form again if a field
// can't be parsed.
func (s *Server) previewSubmission(r *request) error {
	current, err := r.client.Document(r.ctx)
	if err != nil {
		return err
	}
	d, err := decodeDraft(r.formValue("draft"))
	if err != nil {
		return err
	}
	if d.ID == "" {
		d.ID = rand.Text()
		d.BaseVersion = current.Version
	}
	change, secret, problems, err := submittedChange(r, current)
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		return s.showRejectedForm(r, current, problems)
	}
	d = d.withChange(change)
	if comment := r.formValue("comment"); comment != "" {
		d.Comment = comment
	}
	return s.renderPreview(r, current, d, secret, nil)
}

// submittedChange returns the change in the submitted form and the errors of fields that can't be parsed. For
// a key without a hash it generates a secret and returns that as well.
func submittedChange(r *request, current *structs.DocumentStatus) (draftChange, string, []error, error) {
	spec, known := formSpecFor(r.formValue("kind"))
	if !known {
		return draftChange{}, "", nil, fault.New(fault.RequestInvalid, "unknown kind %q", r.formValue("kind"))
	}
	name := r.formValue("name")
	if name == "" {
		name = r.formValue("field." + spec.nameField())
	}
	bodies, err := document.Bodies(&current.Document)
	if err != nil {
		return draftChange{}, "", nil, err
	}
	change := draftChange{Kind: spec.Kind, Name: name}
	if before, exists := bodies[document.Ref{Kind: spec.Kind, Name: name}]; exists {
		change.Before = json.RawMessage(before)
	}
	if r.formValue("delete") != "" {
		return change, "", nil, nil
	}
	secret := ""
	fieldText := func(path string) string { return r.formValue("field." + path) }
	if spec.Kind == document.KindKey && fieldText("hash") == "" {
		secret = rand.Text()
	}
	body, problems := encodeForm(spec, func(path string) string {
		if path == "hash" && secret != "" {
			return hashSecret(secret)
		}
		return fieldText(path)
	})
	change.After = body
	return change, secret, problems, nil
}

func hashSecret(secret string) string {
	digest := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(digest[:])
}

// showRejectedForm shows the form again with the submitted values and their errors.
func (s *Server) showRejectedForm(r *request, current *structs.DocumentStatus, problems []error) error {
	spec, _ := formSpecFor(r.formValue("kind"))
	fields, err := newFieldViews(spec, nil, &current.Document)
	if err != nil {
		return err
	}
	for i := range fields {
		fields[i].Value = r.formValue("field." + fields[i].Path)
	}
	r.SetStatusCode(fault.ResponseFor(fault.DocumentInvalid).HTTPStatus)
	s.render(r, "edit", spec.Title, editPage{
		Kind: spec.Kind, Name: r.formValue("name"), Title: spec.Title, New: r.formValue("name") == "",
		Fields: fields, Draft: r.formValue("draft"), BaseVersion: current.Version,
		Problems: errorLines(errors.Join(problems...)),
	})
	return nil
}

// renderPreview shows the preview of the draft against the accepted document. cause is the error with which
// publishing failed, or nil.
func (s *Server) renderPreview(r *request, current *structs.DocumentStatus, d draft, secret string, cause error) error {
	page := previewPage{
		Draft: d.encode(), Secret: secret, BaseVersion: d.BaseVersion, Version: current.Version,
		Problems: errorLines(cause),
	}
	conflicts, err := d.conflictsWith(&current.Document)
	if err != nil {
		return err
	}
	page.Conflicts = conflicts
	if current.Version != d.BaseVersion {
		page.Others = s.acceptedChangesSince(r, d.BaseVersion)
	}
	changePlan, err := planDraft(r, current, d)
	if err != nil {
		page.Problems = append(page.Problems, errorLines(err)...)
		r.SetStatusCode(fault.ResponseFor(fault.DocumentInvalid).HTTPStatus)
		s.render(r, "preview", "Check the change", page)
		return nil
	}
	page.Rows, err = changePlan.ChangeRows()
	if err != nil {
		return err
	}
	page.CanPublish = len(page.Rows) > 0
	s.render(r, "preview", "Check the change", page)
	return nil
}

// planDraft validates the accepted document with the draft applied and returns the plan of the changes.
func planDraft(r *request, current *structs.DocumentStatus, d draft) (*adminclient.ChangePlan, error) {
	next, err := d.applyTo(&current.Document)
	if err != nil {
		return nil, err
	}
	return adminclient.PlanFrom(current, d.ID, r.operator, d.Comment, next)
}

// acceptedChangesSince returns the verdicts on change sets that were accepted after version, or none if the
// query fails.
func (s *Server) acceptedChangesSince(r *request, version uint64) []structs.VerdictStatus {
	var verdicts []structs.VerdictStatus
	if _, err := r.client.Query(r.ctx, "verdicts", "", &verdicts); err != nil {
		return nil
	}
	var accepted []structs.VerdictStatus
	for _, verdict := range verdicts {
		if verdict.Accepted && verdict.Payload == "change_set" && verdict.ConfigVersion > version {
			accepted = append(accepted, verdict)
		}
	}
	return accepted
}

// publishedPage shows the version of an accepted change set and the progress of its roll-out.
type publishedPage struct {
	Version uint64
	Zones   []zoneRollout
}

// publishDraft proposes the draft. If the document has changed since the preview, it proposes nothing: the
// operator sees what changed and keeps the draft.
func (s *Server) publishDraft(r *request) error {
	d, err := decodeDraft(r.formValue("draft"))
	if err != nil {
		return err
	}
	current, err := r.client.Document(r.ctx)
	if err != nil {
		return err
	}
	seenVersion := r.formValue("version")
	if seenVersion != formatVersion(current.Version) {
		conflictErr := fault.New(fault.VersionConflict, "the document changed from version %s to %d meanwhile: check your change again", seenVersion, current.Version)
		r.SetStatusCode(fault.ResponseFor(fault.VersionConflict).HTTPStatus)
		return s.renderPreview(r, current, d, "", conflictErr)
	}
	changePlan, err := planDraft(r, current, d)
	if err != nil {
		return s.renderPreview(r, current, d, "", err)
	}
	version, err := r.client.Publish(r.ctx, changePlan)
	if err != nil {
		r.SetStatusCode(fault.ResponseFor(fault.KindOf(err)).HTTPStatus)
		return s.renderPreview(r, current, d, "", err)
	}
	s.config.Logger.WithFields(logrus.Fields{
		"event": "published", "operator": r.operator, "version": version, "change_set": d.ID,
	}).Info("change accepted")
	_, zones := readRollout(r, version)
	s.render(r, "published", "Accepted", publishedPage{Version: version, Zones: zones})
	return nil
}
