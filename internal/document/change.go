package document

import (
	"bytes"

	v1 "turmericyoke/api/turmericyoke/v1"
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
