package scheduler

import (
	"slices"
	"strings"
)

// workerLists are the workers sorted by ID: all, and those of each pool. Several workers a second come, leave or change
// their pool in a large fleet, so that sorting them anew for each change would take more time than planning.
type workerLists struct {
	all    []*worker
	byPool map[string][]*worker
}

// add adds a worker that isn't in the lists.
func (l *workerLists) add(w *worker) {
	l.all = insertByID(l.all, w)
	l.byPool[w.entry.Pool] = insertByID(l.byPool[w.entry.Pool], w)
}

// remove removes a worker. Its pool must be that with which it was added.
func (l *workerLists) remove(w *worker) {
	l.all = removeByID(l.all, w)
	if l.byPool[w.entry.Pool] = removeByID(l.byPool[w.entry.Pool], w); len(l.byPool[w.entry.Pool]) == 0 {
		delete(l.byPool, w.entry.Pool)
	}
}

// insertByID inserts the worker into a list that is sorted by ID.
func insertByID(list []*worker, w *worker) []*worker {
	at, _ := slices.BinarySearchFunc(list, w, compareByID)
	return slices.Insert(list, at, w)
}

// removeByID removes the worker from a list that is sorted by ID, if it is there.
func removeByID(list []*worker, w *worker) []*worker {
	if at, found := slices.BinarySearchFunc(list, w, compareByID); found {
		return slices.Delete(list, at, at+1)
	}
	return list
}

func compareByID(a, b *worker) int { return strings.Compare(a.entry.ID, b.entry.ID) }
