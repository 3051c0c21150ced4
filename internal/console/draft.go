package console

import (
	"encoding/json"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// draft holds the changes that an operator has entered but not published. It is stored in a hidden field of the
// form.
type draft struct {
	// ID becomes the id of the change set, so that publishing the same draft again doesn't change the fleet twice.
	ID string `json:"id"`
	// BaseVersion is the accepted configuration version at the time of the draft's first change.
	BaseVersion uint64        `json:"baseVersion"`
	Comment     string        `json:"comment,omitempty"`
	Changes     []draftChange `json:"changes"`
}

// draftChange is the change of one object in a draft.
type draftChange struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Before is the accepted object at the time when the operator submitted the change; empty for a new one.
	Before json.RawMessage `json:"before,omitempty"`
	// After is the object that the operator submitted; empty for a deletion.
	After json.RawMessage `json:"after,omitempty"`
}

func decodeDraft(text string) (draft, error) {
	var d draft
	if text == "" {
		return d, nil
	}
	if err := json.Unmarshal([]byte(text), &d); err != nil {
		return d, fault.Wrap(fault.RequestInvalid, err, "draft can't be decoded")
	}
	return d, nil
}

func (d draft) encode() string {
	data, err := json.Marshal(d)
	if err != nil {
		return ""
	}
	return string(data)
}

// withChange returns the draft with the change added. It replaces an earlier change of the same object, but
// keeps the Before value of the earlier one.
func (d draft) withChange(change draftChange) draft {
	kept := make([]draftChange, 0, len(d.Changes)+1)
	for _, earlier := range d.Changes {
		if earlier.Kind == change.Kind && earlier.Name == change.Name {
			change.Before = earlier.Before
			continue
		}
		kept = append(kept, earlier)
	}
	d.Changes = append(kept, change)
	return d
}

// applyTo returns the document base with the draft's changes applied.
func (d draft) applyTo(base *structs.Document) (*structs.Document, error) {
	changes := make([]*v1.Change, 0, len(d.Changes))
	for _, change := range d.Changes {
		changes = append(changes, &v1.Change{
			Kind: change.Kind, Name: change.Name, Body: change.After, Delete: len(change.After) == 0,
		})
	}
	return document.Apply(base, changes)
}

// conflict is an object that someone else changed after the operator had changed it in the draft. Seen is the
// object that the operator saw, Now the accepted one and Wanted the one in the draft, all encoded as JSON.
type conflict struct {
	Kind, Name        string
	Seen, Now, Wanted string
}

// conflictsWith returns the objects of the draft for which base, the accepted document, differs from what the
// operator saw.
func (d draft) conflictsWith(base *structs.Document) ([]conflict, error) {
	accepted, err := document.Bodies(base)
	if err != nil {
		return nil, err
	}
	var found []conflict
	for _, change := range d.Changes {
		current := accepted[document.Ref{Kind: change.Kind, Name: change.Name}]
		if current == string(change.Before) {
			continue
		}
		found = append(found, conflict{
			Kind: change.Kind, Name: change.Name,
			Seen: string(change.Before), Now: current, Wanted: string(change.After),
		})
	}
	return found, nil
}

// publishTimeout bounds publishing, including the wait for returned rights.
const publishTimeout = 45 * time.Second
