// Package viewdelta derives the difference between two views, so that a change costs a gateway
// about the size of the change and not that of the fleet.
package viewdelta

import (
	"reflect"
	"slices"

	"turmericyoke/internal/structs"
)

// maxRemovals bounds the removals that a tracker remembers. A view from before the oldest of them
// gets no delta.
const maxRemovals = 4096

// Tracker notes for each object of the view at which offset it last changed. It keeps one view,
// whatever the number of gateways and their offsets. It isn't safe for concurrent use.
type Tracker struct {
	// minBase is the offset of the first view or of the last forgotten removal; older bases get no delta.
	minBase int64
	offset  int64
	version uint64
	lists   trackedLists
	removed []removal
}

type removal struct {
	offset int64
	object structs.RemovedObject
}

// trackedLists are the tracked lists of a view.
type trackedLists struct {
	teams     trackedList[structs.Team]
	keys      trackedList[structs.Key]
	pools     trackedList[structs.Pool]
	endpoints trackedList[structs.Endpoint]
	gateways  trackedList[structs.GatewayEntry]
	rights    trackedList[structs.GatewayRights]
	units     trackedList[structs.TeamUnits]
}

// trackedList holds the objects of one list by key.
type trackedList[T any] struct {
	objects     map[string]*trackedObject[T]
	updateCount uint64
}

type trackedObject[T any] struct {
	value      T
	changedAt  int64
	lastUpdate uint64
}

// Update takes in a view, whose offset must not be below that of the last one.
func (t *Tracker) Update(view *structs.View) {
	if t.offset == 0 {
		t.minBase = view.Offset
	}
	t.offset, t.version = view.Offset, view.ConfigVersion
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

func updateList[T any](t *Tracker, list *trackedList[T], name string, values []T, key func(*T) string) {
	if list.objects == nil {
		list.objects = make(map[string]*trackedObject[T], len(values))
	}
	list.updateCount++
	for i := range values {
		id := key(&values[i])
		known := list.objects[id]
		if known == nil {
			known = &trackedObject[T]{changedAt: t.offset, value: values[i]}
			list.objects[id] = known
		}
		known.lastUpdate = list.updateCount
		if !equal(&known.value, &values[i]) {
			known.value, known.changedAt = values[i], t.offset
		}
	}
	if len(list.objects) == len(values) {
		return
	}
	for _, id := range sortedKeys(list.objects) {
		if list.objects[id].lastUpdate != list.updateCount {
			delete(list.objects, id)
			t.removed = append(t.removed, removal{t.offset, structs.RemovedObject{List: name, Key: id}})
		}
	}
}

// equal compares endpoints, the longest list, without reflection.
func equal[T any](left, right *T) bool {
	if a, ok := any(left).(*structs.Endpoint); ok {
		return *a == *any(right).(*structs.Endpoint)
	}
	return reflect.DeepEqual(left, right)
}

// Delta returns what changed after the view at base; false when the tracker doesn't know, and the
// gateway needs the whole view.
func (t *Tracker) Delta(base int64) (*structs.ViewDelta, bool) {
	if t.offset == 0 || base < t.minBase || base > t.offset {
		return nil, false
	}
	delta := &structs.ViewDelta{
		BaseOffset: base, Offset: t.offset, ConfigVersion: t.version,
		Teams:     changedAfter(&t.lists.teams, base),
		Keys:      changedAfter(&t.lists.keys, base),
		Pools:     changedAfter(&t.lists.pools, base),
		Endpoints: changedAfter(&t.lists.endpoints, base),
		Gateways:  changedAfter(&t.lists.gateways, base),
		Rights:    changedAfter(&t.lists.rights, base),
		Units:     changedAfter(&t.lists.units, base),
	}
	for _, gone := range t.removed {
		if gone.offset > base {
			delta.Removed = append(delta.Removed, gone.object)
		}
	}
	return delta, true
}

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
