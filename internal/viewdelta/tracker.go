// Package viewdelta computes the difference between two views of the fleet and applies it, so that the
// traffic of a gateway depends on the size of the changes and not on the size of the fleet.
package viewdelta

import (
	"reflect"
	"slices"

	"turmericyoke/internal/structs"
)

// maxRemovals limits the removals that a tracker keeps. There is no delta for a view that is older than a
// removal that was dropped.
const maxRemovals = 4096

// Tracker records for each object of the view at which offset it last changed. It keeps only one view,
// regardless of the number of gateways and their offsets. It isn't safe for concurrent use.
type Tracker struct {
	// minBase is the offset of the first view or of the last dropped removal, if that is higher. There is no
	// delta for a base below it.
	minBase       int64
	offset        int64
	configVersion uint64
	lists         trackedLists
	removed       []removal
}

// removal is an object that was removed, with the offset of the first view without it.
type removal struct {
	offset int64
	object structs.RemovedObject
}

// trackedLists has the lists of a view that are tracked.
type trackedLists struct {
	teams     trackedList[structs.Team]
	keys      trackedList[structs.Key]
	pools     trackedList[structs.Pool]
	endpoints trackedList[structs.Endpoint]
	gateways  trackedList[structs.GatewayEntry]
	rights    trackedList[structs.GatewayRights]
	units     trackedList[structs.TeamUnits]
}

// trackedList has the objects of one list by key.
type trackedList[T any] struct {
	objects map[string]*trackedObject[T]
	// updateCount is the number of updates of the list.
	updateCount uint64
}

// trackedObject is one object with the offset of its last change.
type trackedObject[T any] struct {
	value T
	// changedAt is the offset of the view in which the object last changed.
	changedAt int64
	// lastUpdate is the updateCount of the last update that contained the object.
	lastUpdate uint64
}

// Update records the changes in a new view, whose offset must not be below that of the previous one.
func (t *Tracker) Update(view *structs.View) {
	if t.offset == 0 {
		t.minBase = view.Offset
	}
	t.offset, t.configVersion = view.Offset, view.ConfigVersion
	updateList(t, &t.lists.teams, "teams", view.Teams, teamKey)
	updateList(t, &t.lists.keys, "keys", view.Keys, apiKeyKey)
	updateList(t, &t.lists.pools, "pools", view.Pools, poolKey)
	updateList(t, &t.lists.endpoints, "endpoints", view.Endpoints, endpointKey)
	updateList(t, &t.lists.gateways, "gateways", withoutRights(view.Gateways), gatewayKey)
	updateList(t, &t.lists.rights, "rights", gatewayRights(view.Gateways), rightsKey)
	updateList(t, &t.lists.units, "units", unitsByTeam(view), unitsKey)
	if excess := len(t.removed) - maxRemovals; excess > 0 {
		t.minBase = max(t.minBase, t.removed[excess-1].offset)
		t.removed = slices.Delete(t.removed, 0, excess)
	}
}

// updateList records the changes in one list of a new view.
func updateList[T any](t *Tracker, list *trackedList[T], name string, values []T, key func(*T) string) {
	if list.objects == nil {
		list.objects = make(map[string]*trackedObject[T], len(values))
	}
	list.updateCount++
	for i := range values {
		objectKey := key(&values[i])
		object := list.objects[objectKey]
		if object == nil {
			object = &trackedObject[T]{changedAt: t.offset, value: values[i]}
			list.objects[objectKey] = object
		}
		object.lastUpdate = list.updateCount
		if !equal(&object.value, &values[i]) {
			object.value, object.changedAt = values[i], t.offset
		}
	}
	if len(list.objects) == len(values) {
		return
	}
	for _, objectKey := range sortedKeys(list.objects) {
		if list.objects[objectKey].lastUpdate != list.updateCount {
			delete(list.objects, objectKey)
			t.removed = append(t.removed, removal{t.offset, structs.RemovedObject{List: name, Key: objectKey}})
		}
	}
}

// equal reports whether two objects are equal. Endpoints, which are the longest list, are compared without
// reflection.
func equal[T any](left, right *T) bool {
	if a, ok := any(left).(*structs.Endpoint); ok {
		return *a == *any(right).(*structs.Endpoint)
	}
	return reflect.DeepEqual(left, right)
}

// Delta returns the changes since the view at offset base. It returns false if the tracker doesn't know them,
// so that the gateway needs the whole view.
func (t *Tracker) Delta(base int64) (*structs.ViewDelta, bool) {
	if t.offset == 0 || base < t.minBase || base > t.offset {
		return nil, false
	}
	delta := &structs.ViewDelta{
		BaseOffset: base, Offset: t.offset, ConfigVersion: t.configVersion,
		Teams:     changedAfter(&t.lists.teams, base),
		Keys:      changedAfter(&t.lists.keys, base),
		Pools:     changedAfter(&t.lists.pools, base),
		Endpoints: changedAfter(&t.lists.endpoints, base),
		Gateways:  changedAfter(&t.lists.gateways, base),
		Rights:    changedAfter(&t.lists.rights, base),
		Units:     changedAfter(&t.lists.units, base),
	}
	for _, removed := range t.removed {
		if removed.offset > base {
			delta.Removed = append(delta.Removed, removed.object)
		}
	}
	return delta, true
}

// changedAfter returns the objects that changed after the offset base, in order of their keys.
func changedAfter[T any](list *trackedList[T], base int64) []T {
	var keys []string
	for key, object := range list.objects {
		if object.changedAt > base {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	values := make([]T, 0, len(keys))
	for _, key := range keys {
		values = append(values, list.objects[key].value)
	}
	return values
}

func sortedKeys[T any](objects map[string]*trackedObject[T]) []string {
	keys := make([]string, 0, len(objects))
	for key := range objects {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
