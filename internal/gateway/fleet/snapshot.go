// Package fleet indexes the newest view of the fleet state for the filters.
package fleet

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	"turmericyoke/internal/structs"
)

// Snapshot is an immutable index of one view.
type Snapshot struct {
	View *structs.View
	// FreshAt is when the view was last known to be current; zero when that isn't known.
	FreshAt time.Time

	salt  [sha256.Size]byte
	teams map[string]structs.Team
	pools map[string]structs.Pool
	keys  map[[sha256.Size]byte]indexedKey
}

// indexedKey is a key with its decoded hash.
type indexedKey struct {
	key  structs.Key
	hash [sha256.Size]byte
}

// NewSnapshot indexes view.
func NewSnapshot(view *structs.View, freshAt time.Time) *Snapshot {
	s := &Snapshot{
		View: view, FreshAt: freshAt,
		teams: make(map[string]structs.Team, len(view.Teams)),
		pools: make(map[string]structs.Pool, len(view.Pools)),
		keys:  make(map[[sha256.Size]byte]indexedKey, len(view.Keys)),
	}
	// crypto/rand.Read never fails; it ends the process instead.
	_, _ = rand.Read(s.salt[:])
	for _, team := range view.Teams {
		s.teams[team.Name] = team
	}
	for _, pool := range view.Pools {
		s.pools[pool.Name] = pool
	}
	for _, key := range view.Keys {
		s.addKey(key)
	}
	return s
}

// withFreshAt returns a copy of s that was current at freshAt.
func (s *Snapshot) withFreshAt(freshAt time.Time) *Snapshot {
	next := *s
	next.FreshAt = freshAt
	return &next
}

func (s *Snapshot) addKey(key structs.Key) {
	raw, err := hex.DecodeString(key.Hash)
	if err != nil || len(raw) != sha256.Size {
		return
	}
	entry := indexedKey{key: key}
	copy(entry.hash[:], raw)
	s.keys[s.saltedHash(entry.hash)] = entry
}

// saltedHash hides the hash of a key behind a random salt, so that the time of a map lookup tells a
// caller nothing about the hashes of other keys.
func (s *Snapshot) saltedHash(hash [sha256.Size]byte) [sha256.Size]byte {
	var salted [2 * sha256.Size]byte
	copy(salted[:], s.salt[:])
	copy(salted[sha256.Size:], hash[:])
	return sha256.Sum256(salted[:])
}

// Key returns the key with the secret.
func (s *Snapshot) Key(secret []byte) (structs.Key, bool) {
	hash := sha256.Sum256(secret)
	entry, found := s.keys[s.saltedHash(hash)]
	if subtle.ConstantTimeCompare(entry.hash[:], hash[:]) != 1 || !found {
		return structs.Key{}, false
	}
	return entry.key, true
}

// Team returns the declared team.
func (s *Snapshot) Team(name string) (structs.Team, bool) {
	team, ok := s.teams[name]
	return team, ok
}

// Pool returns the declared pool.
func (s *Snapshot) Pool(name string) (structs.Pool, bool) {
	pool, ok := s.pools[name]
	return pool, ok
}

// Fresh reports whether the view was known to be current within the span before now.
func (s *Snapshot) Fresh(now time.Time, span time.Duration) bool {
	return !s.FreshAt.IsZero() && now.Sub(s.FreshAt) <= span
}
