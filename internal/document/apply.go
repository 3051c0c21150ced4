package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// Apply returns a copy of base with the changes applied. It doesn't modify base.
func Apply(base *structs.Document, changes []*v1.Change) (*structs.Document, error) {
	next, _, err := apply(base, changes)
	return next, err
}

// ApplyIndexed returns a copy of base with the changes applied, and the index of the result. It
// encodes only the changed objects and doesn't modify base or index.
func ApplyIndexed(base *structs.Document, index *Index, changes []*v1.Change) (*structs.Document, *Index, error) {
	next, edits, err := apply(base, changes)
	if err != nil {
		return nil, nil, err
	}
	return next, index.withEdits(edits), nil
}

// edit is a changed object in its canonical encoding; Body is nil if the object is deleted.
type edit = Object

// apply applies the changes kind by kind, so that each list is copied only once even if the change
// set has thousands of changes. It also returns the edits for the index.
func apply(base *structs.Document, changes []*v1.Change) (*structs.Document, []edit, error) {
	byKind, err := groupChanges(changes)
	if err != nil {
		return nil, nil, err
	}
	next := *base
	edits := make([]edit, 0, len(changes))
	errs := []error{
		applyList(&next.Zones, byKind[KindZone], &edits, func(z *structs.Zone) string { return z.Name }),
		applyList(&next.Pools, byKind[KindPool], &edits, func(p *structs.Pool) string { return p.Name }),
		applyList(&next.Hosts, byKind[KindHost], &edits, func(h *structs.Host) string { return h.Name }),
		applyList(&next.Teams, byKind[KindTeam], &edits, func(t *structs.Team) string { return t.Name }),
		applyList(&next.Keys, byKind[KindKey], &edits, func(k *structs.Key) string { return k.ID }),
		applyList(&next.Waves, byKind[KindWave], &edits, func(w *structs.Wave) string { return w.Name }),
		applyPolicy(&next.Policy, byKind[KindPolicy], &edits),
	}
	if err := errors.Join(errs...); err != nil {
		return nil, nil, err
	}
	return &next, edits, nil
}

// groupChanges groups the changes by kind and name. Two changes of the same object are an error,
// since the result would depend on their order.
func groupChanges(changes []*v1.Change) (map[string]map[string]*v1.Change, error) {
	byKind := map[string]map[string]*v1.Change{
		KindZone: {}, KindPool: {}, KindHost: {}, KindTeam: {}, KindKey: {}, KindWave: {}, KindPolicy: {},
	}
	for _, change := range changes {
		byName, known := byKind[change.GetKind()]
		if !known {
			return nil, fault.New(fault.DocumentInvalid, "change of unknown kind %q", change.GetKind())
		}
		if byName[change.GetName()] != nil {
			return nil, fault.New(fault.DocumentInvalid, "two changes of %s %q", change.GetKind(), change.GetName())
		}
		byName[change.GetName()] = change
	}
	return byKind, nil
}

// applyList replaces *list with a copy that has the changes applied and is sorted by name.
func applyList[T any](list *[]T, changes map[string]*v1.Change, edits *[]edit, name func(*T) string) error {
	if len(changes) == 0 {
		return nil
	}
	result := make([]T, 0, len(*list)+len(changes))
	found := map[string]bool{}
	for i := range *list {
		object := &(*list)[i]
		if changes[name(object)] == nil {
			result = append(result, *object)
			continue
		}
		found[name(object)] = true
	}
	for _, changedName := range sortedNames(changes) {
		change := changes[changedName]
		if change.GetDelete() {
			if !found[changedName] {
				return fault.New(fault.DocumentInvalid, "change deletes unknown %s %q", change.GetKind(), changedName)
			}
			*edits = append(*edits, edit{Kind: change.GetKind(), Name: changedName})
			continue
		}
		value, err := decodeObject(change, name)
		if err != nil {
			return err
		}
		result = append(result, *value)
		if err := appendEdit(edits, change, value); err != nil {
			return err
		}
	}
	sortByName(result, name)
	*list = result
	return nil
}

// decodeObject decodes the body of the change and checks that it describes the named object.
func decodeObject[T any](change *v1.Change, name func(*T) string) (*T, error) {
	value := new(T)
	if err := decodeBody(change, value); err != nil {
		return nil, err
	}
	if name(value) != change.GetName() {
		return nil, fault.New(fault.DocumentInvalid, "change of %s %q has a body for %q", change.GetKind(), change.GetName(), name(value))
	}
	return value, nil
}

func applyPolicy(policy *structs.Policy, changes map[string]*v1.Change, edits *[]edit) error {
	for name, change := range changes {
		if name != policyName || change.GetDelete() {
			return fault.New(fault.DocumentInvalid, "change of policy %q: only %q can be replaced", name, policyName)
		}
		next := structs.Policy{}
		if err := decodeBody(change, &next); err != nil {
			return err
		}
		*policy = next
		if err := appendEdit(edits, change, next); err != nil {
			return err
		}
	}
	return nil
}

// appendEdit appends the edit of a changed object. It encodes the decoded value again, since the body
// of a change may be valid without being canonical.
func appendEdit(edits *[]edit, change *v1.Change, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return fault.Wrap(fault.DocumentInvalid, err, "%s %q can't be encoded", change.GetKind(), change.GetName())
	}
	*edits = append(*edits, edit{Kind: change.GetKind(), Name: change.GetName(), Body: body})
	return nil
}

func decodeBody(change *v1.Change, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(change.GetBody()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return fault.Wrap(fault.DocumentInvalid, err, "change of %s %q can't be decoded", change.GetKind(), change.GetName())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fault.New(fault.DocumentInvalid, "change of %s %q has data after its body", change.GetKind(), change.GetName())
	}
	return nil
}
