package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"turmericyoke/internal/structs"
)

// Store holds the newest snapshot.
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

// OnChange calls listener with each new view, in order.
func (s *Store) OnChange(listener func(*Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, listener)
}

// Update takes view when its offset is above that of the current one, and reports whether it did.
func (s *Store) Update(view *structs.View, freshAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if view.Offset <= s.Current().View.Offset {
		return false
	}
	next := NewSnapshot(view, latest(freshAt, s.Current().FreshAt))
	s.current.Store(next)
	for _, listener := range s.listeners {
		listener(next)
	}
	return true
}

// Refresh notes that the view at offset was current at freshAt. A report about an older offset changes nothing.
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
