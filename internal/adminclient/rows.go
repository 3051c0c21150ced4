package adminclient

import (
	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/document"
)

// ChangeRow is one change of a change set, in the form that operators see.
type ChangeRow struct {
	// Action is add, replace or delete.
	Action string `json:"action"`
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	// Before and After are the JSON encodings of the object. Before is empty for a new object, After for a
	// deleted one.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// ChangeRows returns one row for each change, with the object before and after the change.
func (p *ChangePlan) ChangeRows() ([]ChangeRow, error) {
	before, err := document.Bodies(&p.Base.Document)
	if err != nil {
		return nil, err
	}
	rows := []ChangeRow{}
	for _, change := range p.ChangeSet.GetChanges() {
		row := ChangeRow{Kind: change.GetKind(), Name: change.GetName(), After: string(change.GetBody())}
		row.Before = before[document.Ref{Kind: row.Kind, Name: row.Name}]
		row.Action = changeAction(row, change)
		rows = append(rows, row)
	}
	return rows, nil
}

func changeAction(row ChangeRow, change *v1.Change) string {
	switch {
	case change.GetDelete():
		return "delete"
	case row.Before == "":
		return "add"
	default:
		return "replace"
	}
}
