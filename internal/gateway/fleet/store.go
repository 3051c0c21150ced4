package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"turmericyoke/internal/structs"
)

// Store holds the newest snapshot. Its methods are safe for concurrent use.
type Store struct {
	current atomic.Pointer[Snapshot]

	mu        sync.Mutex
	listeners []func(*Snapshot)
}

// NewStore returns a store with an empty snapshot, in which no key is valid.
func NewStore() *Store {
	s := &Store{}
	s.current.Store(NewSnapshot(&structs.View{}, time.Time{}))
	return s
}

// Current returns the newest snapshot.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// OnChange registers listener, which is called with the snapshot of each new view, in order. It is called
// with the lock of the store held, so it must not call OnChange, Update or Refresh.
func (s *Store) OnChange(listener func(*Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, listener)
}

// Update replaces the snapshot by view if its offset is higher, and reports whether it did. FreshAt never
// decreases.
func (s *Store) Update(view *structs.View, freshAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if view.Offset <= s.Current().View.Offset {
		return false
	}
	snapshot := NewSnapshot(view, latest(freshAt, s.Current().FreshAt))
	s.current.Store(snapshot)
	for _, listener := range s.listeners {
		listener(snapshot)
	}
	return true
}

// Refresh records that the view at offset was current at freshAt. It does nothing if the current view has
// another offset or is known to be current at a later time.
func (s *Store) Refresh(offset int64, freshAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Current()
	if offset != current.View.Offset || !freshAt.After(current.FreshAt) {
		return
	}
	s.current.Store(current.withFreshAt(freshAt))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
