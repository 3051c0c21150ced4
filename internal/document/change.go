package document

import (
	"bytes"
	"encoding/json"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// Diff returns the changes that turn base into next, in order of kind and name.
func Diff(base, next *structs.Document) ([]*v1.Change, error) {
	old, err := Objects(base)
	if err != nil {
		return nil, err
	}
	fresh, err := Objects(next)
	if err != nil {
		return nil, err
	}
	var changes []*v1.Change
	for len(old) > 0 || len(fresh) > 0 {
		switch order(old, fresh) {
		case -1:
			changes = append(changes, &v1.Change{Kind: old[0].Kind, Name: old[0].Name, Delete: true})
			old = old[1:]
		case 1:
			changes = append(changes, &v1.Change{Kind: fresh[0].Kind, Name: fresh[0].Name, Body: fresh[0].Body})
			fresh = fresh[1:]
		default:
			if !bytes.Equal(old[0].Body, fresh[0].Body) {
				changes = append(changes, &v1.Change{Kind: fresh[0].Kind, Name: fresh[0].Name, Body: fresh[0].Body})
			}
			old, fresh = old[1:], fresh[1:]
		}
	}
	return changes, nil
}

// order compares the first objects of two sorted lists; an empty list comes last.
func order(left, right []Object) int {
	switch {
	case len(left) == 0:
		return 1
	case len(right) == 0:
		return -1
	case left[0].Kind != right[0].Kind:
		return compare(left[0].Kind, right[0].Kind)
	default:
		return compare(left[0].Name, right[0].Name)
	}
}

func compare(left, right string) int {
	switch {
	case left < right:
		return -1
	case left > right:
		return 1
	}
	return 0
}

// NewChangeSet returns the change set that turns base, at version, into next.
func NewChangeSet(id, author, comment string, version uint64, base, next *structs.Document) (*v1.ChangeSet, error) {
	changes, err := Diff(base, next)
	if err != nil {
		return nil, err
	}
	hash, err := Hash(next)
	if err != nil {
		return nil, err
	}
	return &v1.ChangeSet{
		Id: id, Author: author, Comment: comment,
		BaseVersion: version, Changes: changes, OutcomeHash: hash,
	}, nil
}

// Apply returns base with the changes applied. It leaves base as it is.
func Apply(base *structs.Document, changes []*v1.Change) (*structs.Document, error) {
	next := *base
	for _, change := range changes {
		if err := applyChange(&next, change); err != nil {
			return nil, err
		}
	}
	Normalize(&next)
	return &next, nil
}

func applyChange(doc *structs.Document, change *v1.Change) error {
	switch change.GetKind() {
	case KindZone:
		return applyObject(&doc.Zones, change, func(z structs.Zone) string { return z.Name })
	case KindPool:
		return applyObject(&doc.Pools, change, func(p structs.Pool) string { return p.Name })
	case KindHost:
		return applyObject(&doc.Hosts, change, func(h structs.Host) string { return h.Name })
	case KindTeam:
		return applyObject(&doc.Teams, change, func(t structs.Team) string { return t.Name })
	case KindKey:
		return applyObject(&doc.Keys, change, func(k structs.Key) string { return k.ID })
	case KindWave:
		return applyObject(&doc.Waves, change, func(w structs.Wave) string { return w.Name })
	case KindPolicy:
		return decodeBody(change, &doc.Policy)
	default:
		return fault.New(fault.DocumentInvalid, "change of unknown kind %q", change.GetKind())
	}
}

// applyObject replaces, adds or deletes one object in a copy of the list.
func applyObject[T any](list *[]T, change *v1.Change, name func(T) string) error {
	var value T
	if !change.GetDelete() {
		if err := decodeBody(change, &value); err != nil {
			return err
		}
		if name(value) != change.GetName() {
			return fault.New(fault.DocumentInvalid, "change of %s %q has a body for %q", change.GetKind(), change.GetName(), name(value))
		}
	}
	kept := make([]T, 0, len(*list)+1)
	found := false
	for _, object := range *list {
		if name(object) != change.GetName() {
			kept = append(kept, object)
			continue
		}
		found = true
	}
	if change.GetDelete() && !found {
		return fault.New(fault.DocumentInvalid, "change deletes unknown %s %q", change.GetKind(), change.GetName())
	}
	if !change.GetDelete() {
		kept = append(kept, value)
	}
	*list = kept
	return nil
}

func decodeBody(change *v1.Change, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(change.GetBody()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return fault.Wrap(fault.DocumentInvalid, err, "change of %s %q can't be decoded", change.GetKind(), change.GetName())
	}
	return nil
}
