package scheduler

import "slices"

// sortedItems returns the placed items that match, sorted by ID: the order of orders, and of crashes that are counted,
// must not depend on that of a map.
func (w *worker) sortedItems(matches func(*item) bool) []*item {
	var items []*item
	for i := range w.items {
		if matches(i) {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b *item) int { return a.id().Compare(b.id()) })
	return items
}

// anyItem matches all items.
func anyItem(*item) bool { return true }
