package fold

import (
	"bytes"
	"errors"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// applyChangeSet accepts a change set if its base version is current, the resulting document is valid
// and has the outcome hash, and no section forbids it.
func (s *State) applyChangeSet(changeSet *v1.ChangeSet) *fault.Error {
	if changeSet.GetBaseVersion() != s.version {
		return fault.New(fault.VersionConflict, "base version %d: the current version is %d", changeSet.GetBaseVersion(), s.version)
	}
	next, index, err := s.nextDocument(changeSet)
	if err != nil {
		return err
	}
	for _, section := range s.sections() {
		if err := section.CheckDocument(next); err != nil {
			return err
		}
	}
	s.doc, s.index = next, index
	s.version++
	for _, section := range s.sections() {
		section.AdoptDocument(next)
	}
	return nil
}

// nextDocument returns the document that results from the change set. It makes all checks that don't
// need the state of the sections.
func (s *State) nextDocument(changeSet *v1.ChangeSet) (*structs.Document, *document.Index, *fault.Error) {
	if len(changeSet.GetChanges()) == 0 {
		return nil, nil, fault.New(fault.DocumentInvalid, "change set %q has no changes", changeSet.GetId())
	}
	next, index, err := document.ApplyIndexed(s.doc, s.index, changeSet.GetChanges())
	if err != nil {
		return nil, nil, documentError(err)
	}
	if index.Bytes() > document.MaxBytes {
		return nil, nil, fault.New(fault.DocumentInvalid, "document of %d bytes: want at most %d", index.Bytes(), document.MaxBytes)
	}
	if err := document.Validate(next); err != nil {
		return nil, nil, documentError(err)
	}
	if !bytes.Equal(index.Hash(), changeSet.GetOutcomeHash()) {
		return nil, nil, fault.New(fault.OutcomeMismatch, "resulting document has hash %x: the change set names %x", index.Hash(), changeSet.GetOutcomeHash())
	}
	return next, index, nil
}

// documentError returns err if it is a fault itself, and otherwise wraps it as DocumentInvalid.
func documentError(err error) *fault.Error {
	var faultErr *fault.Error
	if errors.As(err, &faultErr) && faultErr == err {
		return faultErr
	}
	return fault.Wrap(fault.DocumentInvalid, err, "the resulting document breaks a rule")
}
