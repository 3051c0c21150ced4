package console

import (
	"encoding/json"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// draft is what an operator has changed but not published. It lives in a hidden field of the form.
type draft struct {
	// ID names the change set; publishing the same draft again doesn't change the fleet twice.
	ID string `json:"id"`
	// BaseVersion is the version on which the first change of the draft was made.
	BaseVersion uint64        `json:"baseVersion"`
	Comment     string        `json:"comment,omitempty"`
	Changes     []draftChange `json:"changes"`
}

// draftChange is one object of the draft.
type draftChange struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Before is the object that the operator saw; empty for a new one.
	Before json.RawMessage `json:"before,omitempty"`
	// After is the object that the operator typed; empty for a deletion.
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

// withChange returns the draft with the change added, or replacing an earlier change of the same object.
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

// applyTo returns base with the draft's changes.
func (d draft) applyTo(base *structs.Document) (*structs.Document, error) {
	changes := make([]*v1.Change, 0, len(d.Changes))
	for _, change := range d.Changes {
		changes = append(changes, &v1.Change{
			Kind: change.Kind, Name: change.Name, Body: change.After, Delete: len(change.After) == 0,
		})
	}
	return document.Apply(base, changes)
}

// conflict is an object that someone else changed after the operator looked at it.
type conflict struct {
	Kind, Name        string
	Seen, Now, Wanted string
}

// conflictsWith compares what the operator saw with the accepted document.
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

// publishTimeout bounds publishing, the wait for returned rights included.
const publishTimeout = 45 * time.Second
