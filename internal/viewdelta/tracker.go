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
	// first is the offset of the first view or of the last forgotten removal; older bases get no delta.
	first   int64
	offset  int64
	version uint64
	lists   lists
	removed []removal
}

type removal struct {
	offset int64
	object structs.RemovedObject
}

// lists are the tracked lists of a view.
type lists struct {
	teams     tracked[structs.Team]
	keys      tracked[structs.Key]
	pools     tracked[structs.Pool]
	endpoints tracked[structs.Endpoint]
	gateways  tracked[structs.GatewayEntry]
	rights    tracked[structs.GatewayRights]
	units     tracked[structs.TeamUnits]
}

// tracked holds the objects of one list by key.
type tracked[T any] struct {
	objects map[string]*object[T]
	round   uint64
}

type object[T any] struct {
	value   T
	changed int64
	round   uint64
}

// Update takes in a view, whose offset must not be below that of the last one.
func (t *Tracker) Update(view *structs.View) {
	if t.offset == 0 {
		t.first = view.Offset
	}
	t.offset, t.version = view.Offset, view.ConfigVersion
	update(t, &t.lists.teams, "teams", view.Teams, teamKey)
	update(t, &t.lists.keys, "keys", view.Keys, keyKey)
	update(t, &t.lists.pools, "pools", view.Pools, poolKey)
	update(t, &t.lists.endpoints, "endpoints", view.Endpoints, endpointKey)
	update(t, &t.lists.gateways, "gateways", withoutRights(view.Gateways), gatewayKey)
	update(t, &t.lists.rights, "rights", heldUnits(view.Gateways), heldKey)
	update(t, &t.lists.units, "units", teamUnits(view), unitsKey)
	if excess := len(t.removed) - maxRemovals; excess > 0 {
		t.first = max(t.first, t.removed[excess-1].offset)
		t.removed = slices.Delete(t.removed, 0, excess)
	}
}

func update[T any](t *Tracker, list *tracked[T], name string, values []T, key func(*T) string) {
	if list.objects == nil {
		list.objects = make(map[string]*object[T], len(values))
	}
	list.round++
	for i := range values {
		id := key(&values[i])
		known := list.objects[id]
		if known == nil {
			known = &object[T]{changed: t.offset, value: values[i]}
			list.objects[id] = known
		}
		known.round = list.round
		if !equal(&known.value, &values[i]) {
			known.value, known.changed = values[i], t.offset
		}
	}
	if len(list.objects) == len(values) {
		return
	}
	for _, id := range sortedKeys(list.objects) {
		if list.objects[id].round != list.round {
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
	if t.offset == 0 || base < t.first || base > t.offset {
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

func changedAfter[T any](list *tracked[T], base int64) []T {
	var keys []string
	for key, object := range list.objects {
		if object.changed > base {
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

func sortedKeys[T any](objects map[string]*object[T]) []string {
	keys := make([]string, 0, len(objects))
	for key := range objects {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
