package fold

import (
	"bytes"
	"errors"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// applyChangeSet accepts the next document when its base is current, the document and its hash are
// right, and no section forbids it.
func (s *State) applyChangeSet(set *v1.ChangeSet) *fault.Error {
	if set.GetBaseVersion() != s.version {
		return fault.New(fault.VersionConflict, "base version %d: the current version is %d", set.GetBaseVersion(), s.version)
	}
	next, index, err := s.nextDocument(set)
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

// nextDocument returns the document after the change set, checked by itself.
func (s *State) nextDocument(set *v1.ChangeSet) (*structs.Document, *document.Index, *fault.Error) {
	if len(set.GetChanges()) == 0 {
		return nil, nil, fault.New(fault.DocumentInvalid, "change set %q has no changes", set.GetId())
	}
	next, index, err := document.ApplyIndexed(s.doc, s.index, set.GetChanges())
	if err != nil {
		return nil, nil, documentError(err)
	}
	if index.Bytes() > document.MaxBytes {
		return nil, nil, fault.New(fault.DocumentInvalid, "document of %d bytes: want at most %d", index.Bytes(), document.MaxBytes)
	}
	if err := document.Validate(next); err != nil {
		return nil, nil, documentError(err)
	}
	if !bytes.Equal(index.Hash(), set.GetOutcomeHash()) {
		return nil, nil, fault.New(fault.OutcomeMismatch, "resulting document has hash %x: the change set names %x", index.Hash(), set.GetOutcomeHash())
	}
	return next, index, nil
}

func documentError(err error) *fault.Error {
	var known *fault.Error
	if errors.As(err, &known) && known == err {
		return known
	}
	return fault.Wrap(fault.DocumentInvalid, err, "the resulting document breaks a rule")
}
