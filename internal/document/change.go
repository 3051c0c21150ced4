package document

import (
	"bytes"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/structs"
)

// Diff returns the changes that turn base into next, sorted by kind and name.
func Diff(base, next *structs.Document) ([]*v1.Change, error) {
	baseObjects, err := Objects(base)
	if err != nil {
		return nil, err
	}
	nextObjects, err := Objects(next)
	if err != nil {
		return nil, err
	}
	var changes []*v1.Change
	for len(baseObjects) > 0 || len(nextObjects) > 0 {
		switch compareFirst(baseObjects, nextObjects) {
		case -1:
			changes = append(changes, &v1.Change{Kind: baseObjects[0].Kind, Name: baseObjects[0].Name, Delete: true})
			baseObjects = baseObjects[1:]
		case 1:
			changes = append(changes, &v1.Change{Kind: nextObjects[0].Kind, Name: nextObjects[0].Name, Body: nextObjects[0].Body})
			nextObjects = nextObjects[1:]
		default:
			if !bytes.Equal(baseObjects[0].Body, nextObjects[0].Body) {
				changes = append(changes, &v1.Change{Kind: nextObjects[0].Kind, Name: nextObjects[0].Name, Body: nextObjects[0].Body})
			}
			baseObjects, nextObjects = baseObjects[1:], nextObjects[1:]
		}
	}
	return changes, nil
}

// compareFirst compares the first objects of two sorted lists by kind and name. An empty list sorts last.
func compareFirst(left, right []Object) int {
	switch {
	case len(left) == 0:
		return 1
	case len(right) == 0:
		return -1
	case left[0].Kind != right[0].Kind:
		return compareStrings(left[0].Kind, right[0].Kind)
	default:
		return compareStrings(left[0].Name, right[0].Name)
	}
}

func compareStrings(left, right string) int {
	switch {
	case left < right:
		return -1
	case left > right:
		return 1
	}
	return 0
}

// NewChangeSet returns the change set that turns base, which has the given version, into next.
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
